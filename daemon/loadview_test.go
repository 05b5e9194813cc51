package daemon

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/cluster"
	"github.com/wheatseam/wheatseam/core/load"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/core/route"
	"github.com/wheatseam/wheatseam/settings"
)

// TestLoadViewReportsLeavingChanges guards against an upstream overriding the host
// list: only a change in what an upstream reports is passed on. An upstream that has
// never reported that it is leaving thus can't cancel a leaving state in the host list.
func TestLoadViewReportsLeavingChanges(t *testing.T) {
	g := NewWithT(t)
	v := newLoadView(&settings.Settings{Host: "entry-1"}, route.New(route.Config{}), zap.NewNop(), time.Now)
	var reported []bool
	v.reportLeaving = func(_ string, leaving bool, _ time.Time) { reported = append(reported, leaving) }
	for _, leaving := range []bool{false, false, true, true, false, false} {
		v.Observe(load.Report{Upstream: "seal-1", Leaving: leaving})
	}
	g.Expect(reported).To(Equal([]bool{true, false}))
}

// TestLiveMembers checks which hosts divide the polls among them: live and suspected
// members, and always this host.
func TestLiveMembers(t *testing.T) {
	g := NewWithT(t)
	var members []member.Member
	for i, s := range []member.State{member.Unknown, member.Alive, member.Suspect, member.Dead, member.Leaving} {
		members = append(members, member.Member{Host: member.Host{Name: fmt.Sprintf("entry-%d", i), FailureDomain: "a"}, State: s})
	}
	names := func(self string) (names []string) {
		for _, h := range liveMembers(members, self, "a") {
			names = append(names, h.Name)
		}
		return names
	}
	g.Expect(names("entry-1")).To(Equal([]string{"entry-1", "entry-2"}))
	g.Expect(names("entry-4")).To(Equal([]string{"entry-1", "entry-2", "entry-4"}))
	g.Expect(names("entry-9")).To(Equal([]string{"entry-1", "entry-2", "entry-9"}))
}

// TestNewerSlotValues guards against merging a digest twice: each value is returned
// once, and hosts that no longer have a value are removed from lastReceived.
func TestNewerSlotValues(t *testing.T) {
	g := NewWithT(t)
	at := time.Unix(1000, 0)
	lastReceived := map[string]time.Time{"entry-9": at}
	slots := []cluster.SlotValue{{Host: "entry-1", ReceivedAt: at}, {Host: "entry-2", ReceivedAt: at}}
	g.Expect(newerSlotValues(slots, lastReceived)).To(HaveLen(2))
	g.Expect(newerSlotValues(slots, lastReceived)).To(BeEmpty())
	slots[1].ReceivedAt = at.Add(time.Second)
	g.Expect(newerSlotValues(slots, lastReceived)).To(Equal(slots[1:]))
	g.Expect(lastReceived).NotTo(HaveKey("entry-9"))
}

// TestLoadViewLeaving checks that an upstream whose load report says that it is
// leaving gets no new calls, neither from the daemon that polls it nor from a peer
// that receives the report in a digest.
func TestLoadViewLeaving(t *testing.T) {
	g := NewWithT(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"as_of_unix_ms":%d,"running":1,"leaving":true}`, time.Now().UnixMilli())
	}))
	defer s.Close()
	b := &bundle.Bundle{Pools: []bundle.Pool{{Name: "seals", Concurrency: 4, Upstreams: []bundle.Upstream{
		{Name: "seal-1", FailureDomain: "a", Address: s.Listener.Addr().String()},
		{Name: "seal-2", FailureDomain: "a", Address: "127.0.0.1:1"},
	}}}}
	hosts := []load.Host{{Name: "entry-1", FailureDomain: "a"}, {Name: "entry-2", FailureDomain: "b"}}
	views := make([]*loadView, len(hosts))
	for i, h := range hosts {
		r := route.New(route.Config{FailureDomain: h.FailureDomain})
		r.Apply(b)
		views[i] = newLoadView(&settings.Settings{Host: h.Name, FailureDomain: h.FailureDomain}, r, zap.NewNop(), time.Now)
		views[i].Apply(b)
	}
	picks := func(v *loadView) map[string]bool {
		picked := map[string]bool{}
		for range 30 {
			c, err := v.router.Pick(time.Now(), request.Query{Pool: "seals", Stage: "seal"}, nil)
			if err == nil {
				picked[c.Upstream] = true
				v.router.Done(time.Now(), request.Outcome{Choice: c, Stage: "seal"})
			}
		}
		return picked
	}
	g.Expect(picks(views[1])).To(HaveKey("seal-1"))

	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); views[0].Run(ctx) }()
	g.Eventually(func() int { return len(views[0].table.Reports()) }, "5s").Should(Equal(1))
	cancel()
	<-ended
	g.Expect(picks(views[0])).NotTo(HaveKey("seal-1"))
	g.Expect(views[1].MergeDigest(views[0].Digest())).To(Succeed())
	g.Expect(picks(views[1])).NotTo(HaveKey("seal-1"))
	g.Expect(views[1].MergeDigest([]byte{1})).NotTo(Succeed())
}
