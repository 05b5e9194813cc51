package stage

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestCallIsWaitedForWhileItsJobWaits: a replica that pauses and goes on is still
// heard, for as long as a job of the call can be answered.
func TestLateCallIsAcceptedBeforeJobDeadline(t *testing.T) {
	RegisterTestingT(t)
	b := newHarness(pieceParams(4, 0), "x")
	j := b.newChain("j", Stage{Service: "a", Pieces: 2})
	run := b.submit(j)[0]
	Expect(run.Timeout).To(BeNumerically(">=", j.Deadline.Sub(b.now)))
	b.advance(2 * time.Second)
	b.answer(run.Call)
	Expect(b.ready).To(HaveKey("j"))
}

// lapsedCall is a bench with one call, and the job that waits for it, after the call
// has lapsed.
func newTimedOutCall(batch int, domains ...string) (*harness, Run) {
	b := newHarness(pieceParams(batch, 0), domains...)
	run := b.submit(b.newChain("j", Stage{Service: "a", Pieces: 2, ResultBytes: 10}))[0]
	b.advance(1600 * time.Millisecond)
	Expect(b.running).To(ContainElement(HaveField("Call", run.Call)), "it is not given up")
	return b, run
}

// TestLapsedCallHoldsNoPlace: the pieces of a call that hangs for good are asked for
// again, at the same replica where there is no other one, and it is given up once
// nobody waits for it.
func TestTimedOutCallHoldsNoSlot(t *testing.T) {
	RegisterTestingT(t)
	b, hung := newTimedOutCall(4, "x")
	again := b.advance(time.Second)
	Expect(again).To(HaveLen(1))
	Expect(again[0].Replica).To(Equal(hung.Replica))
	Expect(again[0].Pieces).To(HaveLen(2))
	b.answer(again[0].Call)
	Expect(b.ready).To(HaveKey("j"))
	b.advance(timedOutCheckInterval)
	Expect(b.running).To(BeEmpty(), "the hung call is given up")
	b.endJob("j", Cancelled{Job: "j"})
	Expect(b.results).To(BeEmpty())
	Expect(b.m.replicas[hung.Replica].usedBytes).To(BeZero())
}

// TestLapsedCallAtWorkIsHeard: a replica goes on with the call that it works on, so that
// this one is heard though nobody waits for it any more, and what it brings is freed.
func TestTimedOutCallThatMayBeExecutingIsNotAbandoned(t *testing.T) {
	RegisterTestingT(t)
	b, paused := newTimedOutCall(4, "x", "x")
	again := b.running[1]
	Expect(again.Replica).NotTo(Equal(paused.Replica))
	b.answer(again.Call)
	Expect(b.ready).To(HaveKey("j"))
	b.expectOnlyAwaits(paused, 4*timedOutCheckInterval)
}

// hearsOut gives the job up, and holds the machine to hearing the call that a replica is
// at work on, and no other, and to keeping nothing of what it brings.
func (b *harness) expectOnlyAwaits(paused Run, after time.Duration) {
	b.endJob("j", Cancelled{Job: "j"})
	b.advance(after)
	Expect(b.running).To(ConsistOf(HaveField("Call", paused.Call)))
	b.answer(paused.Call)
	Expect(b.results).To(BeEmpty())
	Expect(b.m.calls).To(BeEmpty())
	Expect(b.m.replicas[paused.Replica].usedBytes).To(BeZero())
}

// TestLapsedCallThatWaitsIsGivenUp: of the calls at a replica that pauses all but those
// that it works on are given up when nobody waits for them, as it then drops them.
func TestTimedOutCallThatIsQueuedIsAbandoned(t *testing.T) {
	RegisterTestingT(t)
	b, paused := newTimedOutCall(4, "x")
	Expect(b.advance(time.Second)).To(HaveLen(1))
	b.advance(1600 * time.Millisecond)
	Expect(b.running).To(HaveLen(2))
	b.expectOnlyAwaits(paused, timedOutCheckInterval)
}

// TestLapsedCallStillCounts: what comes late is taken, and what was made a second time
// is freed.
func TestResultsOfTimedOutCallAreAccepted(t *testing.T) {
	RegisterTestingT(t)
	b, slow := newTimedOutCall(4, "x")
	again := b.advance(time.Second)[0]
	b.answer(slow.Call)
	Expect(b.ready).To(HaveKey("j"))
	Expect(b.results).To(HaveLen(2))
	b.answer(again.Call)
	Expect(b.results).To(HaveLen(2), "the second results are freed")
	b.endJob("j", Cancelled{Job: "j"})
	Expect(b.results).To(BeEmpty())
	Expect(b.m.replicas[slow.Replica].usedBytes).To(BeZero())
	Expect(b.m.calls).To(BeEmpty())
}

// failOthers has all calls fail but one, as long as others are made.
func (b *harness) failOthers(but Run) {
	for range 10 {
		for _, r := range slices.Clone(b.running) {
			if r.Call != but.Call {
				b.end(r.Call, CallFailed)
			}
		}
		b.advance(400 * time.Millisecond)
	}
}

// TestJobWaitsForLapsedCalls: tries that are used up end a job only when no call for
// its piece is heard any more.
func TestJobWaitsForTimedOutCalls(t *testing.T) {
	RegisterTestingT(t)
	b, slow := newTimedOutCall(4, "x", "x", "x", "x", "x")
	b.failOthers(slow)
	Expect(b.running).To(HaveLen(1))
	Expect(b.refused).To(BeEmpty())
	b.answer(slow.Call)
	Expect(b.ready).To(HaveKey("j"))

	b, slow = newTimedOutCall(4, "x", "x", "x", "x", "x")
	b.failOthers(slow)
	b.end(slow.Call, CallFailed)
	Expect(b.refused["j"].Reason).To(Equal(ReasonFailed))
}
