package request

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/problem"
)

// hedgedRequest is a request whose first attempt runs with a hedge beside it.
func hedgedRequest(g *WithT) *harness {
	h := newHarness(false)
	h.router.latency = 20 * time.Millisecond
	h.step(Start{})
	h.now = h.now.Add(20 * time.Millisecond)
	h.step(TimerFired{Timer: TimerHedge, Attempt: 1})
	g.Expect(actions[Call](h.log)).To(HaveLen(2))
	return h
}

// TestRejectedBesideAnother: an upstream that rejects an attempt says nothing of the
// one that is under way elsewhere.
func TestRejectedBesideAnother(t *testing.T) {
	g := NewWithT(t)
	h := hedgedRequest(g)
	h.step(CallEnded{Attempt: 2, Result: CallFailed, NotExecuted: true, Rejected: true})
	g.Expect(actions[Cancel](h.log)).To(BeEmpty())
	g.Expect(h.finish()).To(BeNil())
	h.ok(1)
	h.ok(3)
	g.Expect(h.finish()).NotTo(BeNil())
	g.Expect(h.finish().Answer).NotTo(BeNil())
	g.Expect(h.m.Idle()).To(BeTrue())
}

// TestRejectedAndTheOtherFails: once nothing is under way any more, a rejection is not
// tried again.
func TestRejectedAndTheOtherFails(t *testing.T) {
	g := NewWithT(t)
	h := hedgedRequest(g)
	h.step(CallEnded{Attempt: 2, Result: CallFailed, Rejected: true})
	h.step(CallEnded{Attempt: 1, Result: CallFailed})
	g.Expect(h.finish()).NotTo(BeNil())
	g.Expect(h.finish().Err.Kind).To(Equal(problem.UpstreamRefused))
	g.Expect(actions[Call](h.log)).To(HaveLen(2))
	g.Expect(h.retries.left).To(Equal(5), "no retry is drawn")
}
