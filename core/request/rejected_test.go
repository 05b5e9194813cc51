package request

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/problem"
)

// newHedgedHarness returns a harness whose first attempt is running together with a hedge.
func newHedgedHarness(g *WithT) *harness {
	h := newHarness(false)
	h.router.latency = 20 * time.Millisecond
	h.step(Start{})
	h.now = h.now.Add(20 * time.Millisecond)
	h.step(TimerFired{Timer: TimerHedge, Attempt: 1})
	g.Expect(actions[Call](h.actionLog)).To(HaveLen(2))
	return h
}

// TestRejectedHedgeKeepsFirstAttempt checks that the first attempt continues, and can still
// succeed, when another upstream rejects the hedge as invalid.
func TestRejectedHedgeKeepsFirstAttempt(t *testing.T) {
	g := NewWithT(t)
	h := newHedgedHarness(g)
	h.step(CallEnded{Attempt: 2, Result: CallFailed, NotExecuted: true, Rejected: true})
	g.Expect(actions[Cancel](h.actionLog)).To(BeEmpty())
	g.Expect(h.finishAction()).To(BeNil())
	h.succeed(1)
	h.succeed(3)
	g.Expect(h.finishAction()).NotTo(BeNil())
	g.Expect(h.finishAction().Answer).NotTo(BeNil())
	g.Expect(h.machine.Idle()).To(BeTrue())
}

// TestRejectedRequestIsNotRetried checks that a request with a rejected attempt is refused
// without a retry once its other attempt has failed too.
func TestRejectedRequestIsNotRetried(t *testing.T) {
	g := NewWithT(t)
	h := newHedgedHarness(g)
	h.step(CallEnded{Attempt: 2, Result: CallFailed, Rejected: true})
	h.step(CallEnded{Attempt: 1, Result: CallFailed})
	g.Expect(h.finishAction()).NotTo(BeNil())
	g.Expect(h.finishAction().Err.Kind).To(Equal(problem.UpstreamRefused))
	g.Expect(actions[Call](h.actionLog)).To(HaveLen(2))
	g.Expect(h.retries.remaining).To(Equal(5), "no retry is taken from the budget")
}
