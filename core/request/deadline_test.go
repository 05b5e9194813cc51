package request

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/problem"
)

// TestDeadlineIsNotUpstreamFailure guards against counting a call that ran into its
// request's deadline as an upstream failure. The call is cancelled at the deadline, and its
// CallEnded event can arrive before the deadline timer fires.
func TestDeadlineIsNotUpstreamFailure(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(false)
	h.step(Start{})
	h.now = epoch.Add(time.Second - time.Millisecond)
	h.step(CallEnded{Attempt: 1, Result: CallFailed, Detail: "context deadline exceeded"})
	g.Expect(h.finishAction()).NotTo(BeNil())
	g.Expect(h.finishAction().Err.Kind).To(Equal(problem.DeadlineExceeded))
	g.Expect(h.finishAction().Err.Execution).To(Equal(problem.MayHaveRun))
	g.Expect(h.router.outcomes[0].Result).To(Equal(CallCancelled))
	g.Expect(h.health.failed).To(BeZero())
	g.Expect(h.step(TimerFired{Timer: TimerDeadline})).To(BeEmpty())
	g.Expect(h.machine.Idle()).To(BeTrue())
}
