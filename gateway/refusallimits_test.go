package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Guards against hosts that each find out by refusals how many a replica can take: those
// refusals together make it fail.
func TestLimitOnRefusalsIsToldAmongHosts(t *testing.T) {
	t.Parallel()
	const gauge = "wheatseam_replicas_refusal_limited"
	f := newFixtureOf(t)
	fleet, logs := f.startFleet(3)
	f.replicas["p1"].AnnounceRefusalLimit("6")
	f.Eventually(func() []string {
		fleet[0].send(http.MethodPost, safePath, "", nil)
		return fleet[0].metricLines(gauge)
	}, "5s").Should(ConsistOf(gauge + " 1"))
	f.Eventually(func() []string { return fleet[2].metricLines(gauge) }, "2s").Should(ConsistOf(gauge + " 1"))
	f.Expect(logs.FilterMessage("replica announced a limit on refusals").All()[0].ContextMap()).To(And(
		HaveKeyWithValue("replica", "p1"), HaveKeyWithValue("service", "plain"), HaveKeyWithValue("per_second", 6.0), HaveKeyWithValue("peer", Not(BeEmpty()))))

	f.replicas["p1"].AnnounceRefusalLimit("")
	f.Eventually(func() []string {
		fleet[0].send(http.MethodPost, safePath, "", nil)
		return fleet[2].metricLines(gauge)
	}, "8s").Should(ConsistOf(gauge + " 0"))
	f.Expect(loggedCount(logs, "replica lifted its limit on refusals")).To(Equal(1))
}

// Guards against replicas that fail because they have to refuse too many calls in a second, of
// requests as well as of stages: the refusals to all hosts in any second stay within the
// announced number. The replicas have the room that their entries tell, and none to wait.
func TestHostsKeepToLimitsOnRefusals(t *testing.T) {
	const perSecond, room = 6, 8
	for service, c := range map[string]struct {
		path   string
		change func(*http.Request)
	}{"plain": {safePath, nil}, "encode": {resumePath, withStages}} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			fleet, _ := f.startFleet(3)
			f.announceRefusalLimit(service, strconv.Itoa(perSecond))
			for _, g := range fleet {
				f.Eventually(func() []string {
					fleet[0].send(http.MethodPost, c.path, "", c.change)
					return g.metricLines("wheatseam_replicas_refusal_limited")
				}, "5s", "20ms").Should(ConsistOf("wheatseam_replicas_refusal_limited 2"))
			}
			f.behave(service, site.Behaviour{ServiceTime: 200 * time.Millisecond})
			for _, r := range f.replicas {
				r.SetRoom(room)
			}
			from := time.Now()
			var wg sync.WaitGroup
			for _, g := range fleet {
				for range 16 {
					wg.Go(func() {
						for time.Since(from) < 3*time.Second {
							g.send(http.MethodPost, c.path, "", c.change)
							time.Sleep(10 * time.Millisecond)
						}
					})
				}
			}
			wg.Wait()
			for _, r := range f.replicas {
				if r.Service == service {
					f.Expect(maxInWindow(r.Refusals(), from, time.Second)).To(BeNumerically("<=", perSecond), r.ID)
				}
			}
		})
	}
}

// announceRefusalLimit makes all replicas of a service announce a limit on refusals.
func (f *fixture) announceRefusalLimit(service, perSecond string) {
	for _, r := range f.replicas {
		if r.Service == service {
			r.AnnounceRefusalLimit(perSecond)
		}
	}
}

// Guards against values that no replica may announce, and against a limit of 0 that keeps all
// calls away.
func TestLimitOnRefusalsOfZeroOrInvalid(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	core, logs := observer.New(zapcore.InfoLevel)
	g := f.startLogged(zap.New(core)).ready()
	for _, value := range []string{"-1", "many", "1e9", "2.5"} {
		f.announceRefusalLimit("plain", value)
		g.send(http.MethodPost, safePath, "", nil)
	}
	f.Expect(loggedCount(logs, "replica announced a limit on refusals")).To(BeZero())
	f.announceRefusalLimit("plain", "0")
	for range 20 {
		a, _ := g.send(http.MethodPost, safePath, "", nil)
		f.Expect(a.status).To(Equal(http.StatusOK))
	}
	f.Expect(loggedCount(logs, "replica announced a limit on refusals")).To(Equal(2))
}
