package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/gateway"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// endless sets the behaviour of some replicas.
func (f *fixture) endless(b site.Behaviour, ids ...string) {
	for _, id := range ids {
		f.replicas[id].SetBehaviour(b)
	}
}

// Guards against requests that hold their callers, run again, or are said not to have run, while
// replicas send endless bytes.
func TestEndlessAnswersFailRequestsThatMayHaveRun(t *testing.T) {
	for _, kind := range site.EndlessKinds() {
		for speed, interval := range map[string]time.Duration{"fast": 0, "slow": 10 * time.Millisecond} {
			t.Run(kind.String()+", "+speed, func(t *testing.T) {
				t.Parallel()
				f := newFixtureOf(t)
				f.endless(site.Behaviour{Endless: kind, EndlessInterval: interval}, "p1", "p2")
				g := f.start().ready()
				start := time.Now()
				a, id := g.send(http.MethodPost, sealPath, "x", func(r *http.Request) { r.Header.Set("Deadline-Ms", "1000") })
				f.Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
				f.Expect(a.err).NotTo(HaveOccurred())
				switch {
				case kind == site.EndlessAfterResponse:
					f.Expect(a.status).To(Equal(http.StatusOK))
					f.Expect(a.body).To(Equal("{}"))
				default:
					f.Expect(a.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout))
					f.Expect(a.header).NotTo(HaveKey("Response-Signature"))
				}
				f.Expect(f.ledger.Runs(id)).To(HaveLen(1))
				for _, replica := range []string{"p1", "p2"} {
					if len(f.ledger.Runs(id)) > 0 && f.ledger.Runs(id)[0].Replica == replica {
						f.Eventually(f.replicas[replica].Cancelled, "3s").Should(Equal(1), "the connection is closed")
					}
				}
			})
		}
	}
}

// Guards against endless answers that no metric shows, or that look like others.
func TestOversizedAnswersAreCounted(t *testing.T) {
	for _, kind := range []site.Endless{
		site.EndlessStatusLine, site.EndlessHead, site.EndlessInterim, site.EndlessBody, site.EndlessChunks, site.EndlessEvents, site.EndlessLength,
	} {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			f.endless(site.Behaviour{Endless: kind}, "p1", "p2")
			g := f.start().ready()
			g.send(http.MethodPost, sealPath, "x", func(r *http.Request) { r.Header.Set("Deadline-Ms", "5000") })
			f.Eventually(g.metricLines).WithArguments(`wheatseam_attempts_total{service="plain",end="oversized"}`).Should(HaveLen(1))
		})
	}
}

// Guards against a replica that sends a few bytes of each answer at a time, until the deadline, and
// is sent requests as before: the end of each is this host's doing.
func TestReplicaOfEndlessAnswersIsEjected(t *testing.T) {
	for name, b := range map[string]site.Behaviour{
		"fast": {Endless: site.EndlessBody},
		"slow": {Endless: site.EndlessBody, EndlessInterval: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			f.endless(b, "p1")
			g := f.start().ready()
			f.Eventually(func() []string {
				g.send(http.MethodPost, sealPath, "x", func(r *http.Request) { r.Header.Set("Deadline-Ms", "700") })
				return g.metricLines("wheatseam_ejections_total")
			}, "20s").Should(ConsistOf("wheatseam_ejections_total 1"))
		})
	}
}

// Guards against a stream with more events than the caller asked for that goes on to its deadline,
// looks complete, or is resumed from an event that no other replica has.
func TestEndlessEventsBreakTheStreamOff(t *testing.T) {
	for _, path := range []string{streamPath, resumePath} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			f.endless(site.Behaviour{Endless: site.EndlessEvents}, "e1", "e2")
			g := f.start().ready()
			start := time.Now()
			a, id := g.send(http.MethodPost, path, "x", func(r *http.Request) {
				r.Header.Set("Token-Usage", "10,5")
				r.Header.Set("Prefix-Hash", "a:10")
				if path == resumePath {
					withStages(r)
				}
			})
			f.Expect(time.Since(start)).To(BeNumerically("<", 1500*time.Millisecond))
			f.Expect(a.err).To(HaveOccurred())
			f.Expect(strings.Count(a.body, "\n\n")).To(BeNumerically("<", 100))
			f.Expect(f.ledger.Runs(id)).To(HaveLen(1))
			f.Eventually(g.metricLines).WithArguments(`wheatseam_attempts_total{service="llm",end="oversized"}`).Should(HaveLen(1))
		})
	}
}

// Guards against an event without end that ends a stream which another replica can continue.
func TestStreamWithEndlessEventIsContinuedElsewhere(t *testing.T) {
	for speed, interval := range map[string]time.Duration{"fast": 0, "slow": 10 * time.Millisecond} {
		t.Run(speed, func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			f.endless(site.Behaviour{Endless: site.EndlessBody, EndlessInterval: interval}, "e1")
			g := f.start().ready()
			for range 6 {
				a, id := g.send(http.MethodPost, resumePath, "x", func(r *http.Request) {
					withStages(r)
					r.Header.Set("Deadline-Ms", "5000")
				})
				f.Expect(a.err).NotTo(HaveOccurred())
				f.Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
			}
		})
	}
}

// Guards against stages that are not run, and results that are not released, beside a stage replica
// that sends endless bytes, and against engines that do so in response to reports and reservations.
func TestCallsBesideEndlessReplicasAreServed(t *testing.T) {
	for _, cut := range []bool{false, true} {
		name := map[bool]string{false: "direct", true: "through a peer"}[cut]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			fleet, _ := f.startFleet(2)
			g := fleet[1]
			if cut {
				g.gateway.SimulateCut(time.Minute, false)
				f.Eventually(func() int {
					a, _ := g.send(http.MethodPost, safePath, "x", nil)
					return a.status
				}, "5s").Should(Equal(http.StatusOK))
			}
			served := 0
			for _, kind := range site.EndlessKinds() {
				f.endless(site.Behaviour{Endless: kind}, "p1", "e1", "s1")
				for range 2 {
					a, id := g.send(http.MethodPost, resumePath, "x", func(r *http.Request) {
						withStages(r)
						r.Header.Set("Deadline-Ms", "5000")
					})
					if a.err == nil && a.status == http.StatusOK && kind != site.EndlessEvents && kind != site.EndlessAfterResponse {
						f.Expect(a.body).To(Equal(streamEvents(id, 1, 5)), kind.String())
						served++
					}
				}
			}
			f.Expect(served).To(BeNumerically(">=", len(site.EndlessKinds())), "half of the requests")
			f.endless(site.Behaviour{}, "p1", "e1", "s1")
			f.Eventually(func() int {
				a, _ := g.send(http.MethodPost, resumePath, "x", withStages)
				return a.status
			}, "5s").Should(Equal(http.StatusOK))
			for _, h := range fleet {
				f.Eventually(h.metricLines, "8s").WithArguments("wheatseam_tunnels_open").Should(ConsistOf("wheatseam_tunnels_open 0"))
			}
			f.Expect(f.ledger.Violations()).To(BeEmpty())
		})
	}
}

// Guards against answers without end that take the memory of the host together, although each is
// below its limit, and against small answers that fail for it.
func TestIncompleteAnswersShareALimitOfMemory(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	f.endless(site.Behaviour{Endless: site.EndlessBody}, "p1", "p2", "e1", "e2")
	g := f.startWith(zap.NewNop(), func(s *gateway.Settings) { s.Limits.MemoryMB = 1 }).ready()
	a, id := g.send(http.MethodPost, sealPath, "x", nil)
	f.Expect(a.status).To(Equal(http.StatusBadGateway))
	f.Expect(f.ledger.Runs(id)).To(HaveLen(1))
	a, _ = g.send(http.MethodPost, streamPath, "x", nil)
	f.Expect(a.status).To(Equal(http.StatusBadGateway))
	for _, service := range []string{"plain", "llm"} {
		f.Eventually(g.metricLines).WithArguments(`wheatseam_attempts_total{service="` + service + `",end="no_memory"}`).Should(HaveLen(1))
	}
	f.endless(site.Behaviour{}, "p1", "p2", "e1", "e2")
	g.sendEach()
}
