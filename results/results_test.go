package results

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

func TestResults(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "results")
}

var startTime = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// fakeNetwork delivers calls between services in one process.
type fakeNetwork struct {
	services map[string]*Service
	down     map[string]bool
	now      time.Time
}

func (n *fakeNetwork) Call(ctx context.Context, host, _ string, req, resp proto.Message) error {
	if n.down[host] {
		return errors.New("unreachable")
	}
	var answer proto.Message
	var err error
	switch r := req.(type) {
	case *wire.KeepRequest:
		answer, err = n.services[host].serveKeep(ctx, peer.Sender{}, r)
	case *wire.FetchRequest:
		answer, err = n.services[host].serveFetch(ctx, peer.Sender{}, r)
	}
	if err != nil {
		return err
	}
	proto.Merge(resp, answer)
	return nil
}

func newFakeNetwork() *fakeNetwork {
	n := &fakeNetwork{services: make(map[string]*Service), down: make(map[string]bool), now: startTime}
	for i := range 3 {
		name := fmt.Sprintf("h%d", i)
		n.services[name] = NewService(Config{
			Host: name, Caller: n, Store: NewStore(1 << 20), Now: func() time.Time { return n.now },
			HostsFor: func(string, string) []string { return []string{"h0", "h1", "h2"} },
		}, peer.NewMux())
	}
	return n
}

var _ = Describe("Service", func() {
	request := Request{Customer: "c", Key: "k", Digest: Digest{1}}
	ctx := context.Background()
	var n *fakeNetwork

	BeforeEach(func() {
		n = newFakeNetwork()
		kept, err := n.services["h0"].Keep(ctx, request, "generate", []byte("draft"), startTime.Add(time.Minute))
		Expect(err).NotTo(HaveOccurred())
		Expect(kept).To(Equal(2))
	})

	It("fetches a result although the host that stored it and another one are down", func() {
		n.down["h0"], n.down["h1"] = true, true
		Expect(n.services["h2"].Fetch(ctx, request)).To(HaveKeyWithValue("generate", []byte("draft")))
	})

	DescribeTable("never returns a result for a different request", func(other Request) {
		for _, s := range n.services {
			Expect(s.Fetch(ctx, other)).To(BeEmpty())
		}
	},
		Entry("of another customer", Request{Customer: "d", Key: "k", Digest: Digest{1}}),
		Entry("with another key", Request{Customer: "c", Key: "l", Digest: Digest{1}}),
		Entry("for another input or stages", Request{Customer: "c", Key: "k", Digest: Digest{2}}),
	)

	It("drops results once they have expired", func() {
		n.now = startTime.Add(time.Minute)
		Expect(n.services["h1"].Fetch(ctx, request)).To(BeEmpty())
		n.services["h1"].cfg.Store.Expire(n.now)
		Expect(n.services["h1"].cfg.Store.Stats()).To(Equal(Stats{}))
	})

	It("reports an error for a host that it could not reach", func() {
		n.down["h1"] = true
		kept, err := n.services["h0"].Keep(ctx, request, "x", []byte("y"), startTime.Add(time.Minute))
		Expect(kept).To(Equal(1))
		Expect(err).To(HaveOccurred())
	})

	It("rejects a result that is too large, and stays within its memory bound", func() {
		_, err := n.services["h0"].Keep(ctx, request, "x", make([]byte, MaxResultBytes+1), startTime.Add(time.Minute))
		Expect(err).To(MatchError(ErrTooLarge))
		store := NewStore(shardCount * 1400) // fits one result of 500 bytes, not two
		Expect(store.Put(startTime, request, "a", make([]byte, 500), startTime.Add(time.Second))).To(BeTrue())
		Expect(store.Put(startTime, request, "b", make([]byte, 500), startTime.Add(time.Second))).To(BeFalse())
		Expect(store.Put(startTime.Add(2*time.Second), request, "b", make([]byte, 500), startTime.Add(3*time.Second))).To(BeTrue())
		Expect(store.Stats().Rejected).To(BeEquivalentTo(1))
	})
})

func BenchmarkPutGet(b *testing.B) {
	store := NewStore(64 << 20)
	result := make([]byte, 2<<10)
	for i := range b.N {
		r := Request{Customer: "c", Key: fmt.Sprint(i % 4096), Digest: Digest{1}}
		store.Put(startTime, r, "generate", result, startTime.Add(time.Minute))
		store.Get(startTime, r)
	}
}
