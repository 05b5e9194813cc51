package request

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/problem"
)

// TestDeadlineBlamesNobody: a call ends with its request's deadline, and that end may be
// heard of before the deadline itself. It is the caller's time that was over.
func TestDeadlineBlamesNobody(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(false)
	h.step(Start{})
	h.now = epoch.Add(time.Second - time.Millisecond)
	h.step(CallEnded{Attempt: 1, Result: CallFailed, Detail: "context deadline exceeded"})
	g.Expect(h.finish()).NotTo(BeNil())
	g.Expect(h.finish().Err.Kind).To(Equal(problem.DeadlineExceeded))
	g.Expect(h.finish().Err.Execution).To(Equal(problem.MayHaveRun))
	g.Expect(h.router.outcomes[0].Result).To(Equal(CallCancelled))
	g.Expect(h.health.failed).To(BeZero())
	g.Expect(h.step(TimerFired{Timer: TimerDeadline})).To(BeEmpty())
	g.Expect(h.m.Idle()).To(BeTrue())
}
