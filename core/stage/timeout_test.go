package stage

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLateCallIsAcceptedBeforeJobDeadline: the results of a replica that is suspended and
// resumes are used for as long as a job of the call can be answered.
func TestLateCallIsAcceptedBeforeJobDeadline(t *testing.T) {
	RegisterTestingT(t)
	h := newHarness(pieceParams(4, 0), "x")
	j := h.newChain("j", Stage{Service: "a", Pieces: 2})
	run := h.submit(j)[0]
	Expect(run.Timeout).To(BeNumerically(">=", j.Deadline.Sub(h.now)))
	h.advance(2 * time.Second)
	h.answer(run.Call)
	Expect(h.ready).To(HaveKey("j"))
}

// newTimedOutCall returns a harness with one call that has timed out, and that call. Job j
// still needs it.
func newTimedOutCall(batch int, domains ...string) (*harness, Run) {
	h := newHarness(pieceParams(batch, 0), domains...)
	run := h.submit(h.newChain("j", Stage{Service: "a", Pieces: 2, ResultBytes: 10}))[0]
	h.advance(1600 * time.Millisecond)
	Expect(h.running).To(ContainElement(HaveField("Call", run.Call)), "it is not abandoned")
	return h, run
}

// TestTimedOutCallHoldsNoSlot: the pieces of a call that never ends are sent again, to the
// same replica if there is no other one, and the call is abandoned once no job needs it.
func TestTimedOutCallHoldsNoSlot(t *testing.T) {
	RegisterTestingT(t)
	h, hung := newTimedOutCall(4, "x")
	retried := h.advance(time.Second)
	Expect(retried).To(HaveLen(1))
	Expect(retried[0].Replica).To(Equal(hung.Replica))
	Expect(retried[0].Pieces).To(HaveLen(2))
	h.answer(retried[0].Call)
	Expect(h.ready).To(HaveKey("j"))
	h.advance(timedOutCheckInterval)
	Expect(h.running).To(BeEmpty(), "the hung call is abandoned")
	h.endJob("j", Cancelled{Job: "j"})
	Expect(h.results).To(BeEmpty())
	Expect(h.m.replicas[hung.Replica].usedBytes).To(BeZero())
}

// TestTimedOutCallThatMayBeExecutingIsNotAbandoned: a replica finishes the call that it is
// executing, so the call is not abandoned although no job needs it, and its results are
// released.
func TestTimedOutCallThatMayBeExecutingIsNotAbandoned(t *testing.T) {
	RegisterTestingT(t)
	h, paused := newTimedOutCall(4, "x", "x")
	retried := h.running[1]
	Expect(retried.Replica).NotTo(Equal(paused.Replica))
	h.answer(retried.Call)
	Expect(h.ready).To(HaveKey("j"))
	h.expectOnlyAwaits(paused, 4*timedOutCheckInterval)
}

// expectOnlyAwaits cancels the job and checks that all calls are abandoned except the one
// that the suspended replica may be executing, and that the results of that one are
// released.
func (h *harness) expectOnlyAwaits(paused Run, after time.Duration) {
	h.endJob("j", Cancelled{Job: "j"})
	h.advance(after)
	Expect(h.running).To(ConsistOf(HaveField("Call", paused.Call)))
	h.answer(paused.Call)
	Expect(h.results).To(BeEmpty())
	Expect(h.m.calls).To(BeEmpty())
	Expect(h.m.replicas[paused.Replica].usedBytes).To(BeZero())
}

// TestTimedOutCallThatIsQueuedIsAbandoned: of the calls at a suspended replica, those that
// are not yet executing are abandoned when no job needs them, as the replica then drops
// them.
func TestTimedOutCallThatIsQueuedIsAbandoned(t *testing.T) {
	RegisterTestingT(t)
	h, paused := newTimedOutCall(4, "x")
	Expect(h.advance(time.Second)).To(HaveLen(1))
	h.advance(1600 * time.Millisecond)
	Expect(h.running).To(HaveLen(2))
	h.expectOnlyAwaits(paused, timedOutCheckInterval)
}

// TestResultsOfTimedOutCallAreAccepted: late results are used, and those of the second call
// are released.
func TestResultsOfTimedOutCallAreAccepted(t *testing.T) {
	RegisterTestingT(t)
	h, slow := newTimedOutCall(4, "x")
	retried := h.advance(time.Second)[0]
	h.answer(slow.Call)
	Expect(h.ready).To(HaveKey("j"))
	Expect(h.results).To(HaveLen(2))
	h.answer(retried.Call)
	Expect(h.results).To(HaveLen(2), "the second results are released")
	h.endJob("j", Cancelled{Job: "j"})
	Expect(h.results).To(BeEmpty())
	Expect(h.m.replicas[slow.Replica].usedBytes).To(BeZero())
	Expect(h.m.calls).To(BeEmpty())
}

// failOthers fails all calls but one until no others are made.
func (h *harness) failOthers(except Run) {
	for range 10 {
		for _, r := range slices.Clone(h.running) {
			if r.Call != except.Call {
				h.end(r.Call, CallFailed)
			}
		}
		h.advance(400 * time.Millisecond)
	}
}

// TestJobWaitsForTimedOutCalls: a job whose attempts are used up is refused only when no
// timed-out call for the piece may still return.
func TestJobWaitsForTimedOutCalls(t *testing.T) {
	RegisterTestingT(t)
	h, slow := newTimedOutCall(4, "x", "x", "x", "x", "x")
	h.failOthers(slow)
	Expect(h.running).To(HaveLen(1))
	Expect(h.refused).To(BeEmpty())
	h.answer(slow.Call)
	Expect(h.ready).To(HaveKey("j"))

	h, slow = newTimedOutCall(4, "x", "x", "x", "x", "x")
	h.failOthers(slow)
	h.end(slow.Call, CallFailed)
	Expect(h.refused["j"].Reason).To(Equal(ReasonFailed))
}
