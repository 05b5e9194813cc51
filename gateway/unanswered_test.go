package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/gateway"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// ampleRetryBudget allows a retry for each request.
func ampleRetryBudget(s *gateway.Settings) { s.Budget.Ratio, s.Budget.Slack = 1, 500 }

// Guards against callers waiting until their deadline for streams that have not begun: an
// engine that accepted the connection and then answered nothing was monitored only from the
// head of its answer on. The run must be replaced like one whose engine falls silent,
// before callers disconnect.
func TestUnansweredStreamsMoveElsewhere(t *testing.T) {
	for kind, change := range map[string]func(*http.Request){"": withLongDeadline, " with stages": withLongDeadlineAndStage} {
		t.Run("an engine that hangs"+kind, func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			f.replicas["e1"].SetBehaviour(site.Behaviour{Hang: true})
			g := f.startWith(zap.NewNop(), ampleRetryBudget).ready()
			const streams = 12 // engines are chosen at random
			began := time.Now()
			answers := make(chan string, streams)
			for range streams {
				go func() {
					a, id := g.sendLong(change, func() {})
					if a.err != nil || a.body != streamEvents(id, 1, 5) {
						answers <- fmt.Sprintf("status %d, error %v, body %q", a.status, a.err, a.body)
						return
					}
					answers <- ""
				}()
			}
			for range streams {
				f.Expect(<-answers).To(BeEmpty())
			}
			took := time.Since(began)
			t.Logf("all complete after %s", took.Round(time.Millisecond))
			f.Expect(took).To(BeNumerically("<", resumeTimeout))
			f.Expect(f.ledger.Violations()).To(BeEmpty())
		})
	}
}

// An engine that takes long until the head of its answer, and reports that it is working,
// must not be replaced.
func TestStreamsThatStartLateComplete(t *testing.T) {
	f := newFixtureOf(t)
	f.behave("llm", site.Behaviour{ServiceTime: enginePause})
	a, id := f.start().ready().sendLong(withLongDeadline, func() {})
	f.Expect(a.err).NotTo(HaveOccurred())
	f.Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
	f.Expect(f.ledger.Runs(id)).To(HaveLen(1))
}

// singleRetry leaves a gateway a single retry in its budget.
func singleRetry(s *gateway.Settings) { s.Budget.Ratio, s.Budget.Slack = 0, 18 }

// A run is cancelled in favour of another engine, which supports no reservations and
// refuses it after all. The stream must continue at a third one, although the budget allows
// no further retry.
func TestMovedStreamsSurviveARefusal(t *testing.T) {
	const trials, maxRounds = 8, 6 // the second engine is chosen at random
	var refused atomic.Int32
	for round := 0; round < maxRounds && refused.Load() == 0; round++ {
		t.Run(fmt.Sprint("round ", round), func(t *testing.T) {
			for n := range trials {
				t.Run(fmt.Sprint(n), func(t *testing.T) {
					t.Parallel()
					if streamMovesPastRefusal(t) {
						refused.Add(1)
					}
				})
			}
		})
	}
	NewWithT(t).Expect(refused.Load()).To(BeNumerically(">", 0), "no trial reached the refusing engine")
}

// streamMovesPastRefusal checks that a stream completes after its engine froze, although one of
// the two other engines refuses it. It reports whether that engine was asked.
func streamMovesPastRefusal(t *testing.T) bool {
	f := newFixtureOf(t)
	f.removeReplicas("e2")
	f.replicas["e1"].SetBehaviour(site.Behaviour{PauseAfterEvents: 2, Stall: site.ProcessFrozen})
	g := f.startWith(zap.NewNop(), singleRetry).ready()
	a, id := g.sendLong(withLongDeadline, func() {
		f.add("e3", "llm", site.Engine).SetBehaviour(site.Behaviour{Shed: true, NoEngineCalls: true})
		f.add("e4", "llm", site.Engine)
	})
	f.Expect(a.err).NotTo(HaveOccurred())
	f.Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
	return len(g.metricLines(`wheatseam_attempts_total{service="llm",end="not_executed"}`)) > 0
}

// The inputs of a further run must be produced once capacity is reserved for it, not again
// and again while no other engine has any.
func TestStagesAreNotRerunWhileNoEngineHasCapacity(t *testing.T) {
	f := newFixtureOf(t)
	f.removeReplicas("e2")
	f.replicas["e1"].SetBehaviour(site.Behaviour{PauseAfterEvents: 2, Stall: site.RunStalled})
	a, id := f.start().ready().sendLong(withLongDeadlineAndStage, func() {
		f.add("e3", "llm", site.Engine).SetBehaviour(site.Behaviour{NoReservations: true})
	})
	f.Expect(a.err).To(HaveOccurred(), "the daemon waits for the stream until its deadline")
	f.Expect(f.ledger.Runs(id)).To(HaveLen(1))
	produced, _, _ := f.ledger.Results()
	f.Expect(produced).To(Equal(2), "only the pieces of the first run")
}
