package stage

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestCallIsWaitedForWhileItsJobWaits: a replica that pauses and goes on is still
// heard, for as long as a job of the call can be answered.
func TestCallIsWaitedForWhileItsJobWaits(t *testing.T) {
	RegisterTestingT(t)
	b := newBench(figures(4, 0), "x")
	j := b.chain("j", Stage{Service: "a", Pieces: 2})
	run := b.submit(j)[0]
	Expect(run.Timeout).To(BeNumerically(">=", j.Deadline.Sub(b.now)))
	b.pass(2 * time.Second)
	b.answer(run.Call)
	Expect(b.ready).To(HaveKey("j"))
}

// lapsedCall is a bench with one call, and the job that waits for it, after the call
// has lapsed.
func lapsedCall(batch int, domains ...string) (*bench, Run) {
	b := newBench(figures(batch, 0), domains...)
	run := b.submit(b.chain("j", Stage{Service: "a", Pieces: 2, ResultBytes: 10}))[0]
	b.pass(1600 * time.Millisecond)
	Expect(b.running).To(ContainElement(HaveField("Call", run.Call)), "it is not given up")
	return b, run
}

// TestLapsedCallHoldsNoPlace: the pieces of a call that hangs for good are asked for
// again, at the same replica where there is no other one, and it is given up once
// nobody waits for it.
func TestLapsedCallHoldsNoPlace(t *testing.T) {
	RegisterTestingT(t)
	b, hung := lapsedCall(4, "x")
	again := b.pass(time.Second)
	Expect(again).To(HaveLen(1))
	Expect(again[0].Replica).To(Equal(hung.Replica))
	Expect(again[0].Pieces).To(HaveLen(2))
	b.answer(again[0].Call)
	Expect(b.ready).To(HaveKey("j"))
	b.pass(lapsedEvery)
	Expect(b.running).To(BeEmpty(), "the hung call is given up")
	b.giveUp("j", Cancelled{Job: "j"})
	Expect(b.held).To(BeEmpty())
	Expect(b.m.replicas[hung.Replica].used).To(BeZero())
}

// TestLapsedCallAtWorkIsHeard: a replica goes on with the call that it works on, so that
// this one is heard though nobody waits for it any more, and what it brings is freed.
func TestLapsedCallAtWorkIsHeard(t *testing.T) {
	RegisterTestingT(t)
	b, paused := lapsedCall(4, "x", "x")
	again := b.running[1]
	Expect(again.Replica).NotTo(Equal(paused.Replica))
	b.answer(again.Call)
	Expect(b.ready).To(HaveKey("j"))
	b.hearsOut(paused, 4*lapsedEvery)
}

// hearsOut gives the job up, and holds the machine to hearing the call that a replica is
// at work on, and no other, and to keeping nothing of what it brings.
func (b *bench) hearsOut(paused Run, after time.Duration) {
	b.giveUp("j", Cancelled{Job: "j"})
	b.pass(after)
	Expect(b.running).To(ConsistOf(HaveField("Call", paused.Call)))
	b.answer(paused.Call)
	Expect(b.held).To(BeEmpty())
	Expect(b.m.calls).To(BeEmpty())
	Expect(b.m.replicas[paused.Replica].used).To(BeZero())
}

// TestLapsedCallThatWaitsIsGivenUp: of the calls at a replica that pauses all but those
// that it works on are given up when nobody waits for them, as it then drops them.
func TestLapsedCallThatWaitsIsGivenUp(t *testing.T) {
	RegisterTestingT(t)
	b, paused := lapsedCall(4, "x")
	Expect(b.pass(time.Second)).To(HaveLen(1))
	b.pass(1600 * time.Millisecond)
	Expect(b.running).To(HaveLen(2))
	b.hearsOut(paused, lapsedEvery)
}

// TestLapsedCallStillCounts: what comes late is taken, and what was made a second time
// is freed.
func TestLapsedCallStillCounts(t *testing.T) {
	RegisterTestingT(t)
	b, slow := lapsedCall(4, "x")
	again := b.pass(time.Second)[0]
	b.answer(slow.Call)
	Expect(b.ready).To(HaveKey("j"))
	Expect(b.held).To(HaveLen(2))
	b.answer(again.Call)
	Expect(b.held).To(HaveLen(2), "the second results are freed")
	b.giveUp("j", Cancelled{Job: "j"})
	Expect(b.held).To(BeEmpty())
	Expect(b.m.replicas[slow.Replica].used).To(BeZero())
	Expect(b.m.calls).To(BeEmpty())
}

// failOthers has all calls fail but one, as long as others are made.
func (b *bench) failOthers(but Run) {
	for range 10 {
		for _, r := range slices.Clone(b.running) {
			if r.Call != but.Call {
				b.end(r.Call, CallFailed)
			}
		}
		b.pass(400 * time.Millisecond)
	}
}

// TestJobWaitsForLapsedCalls: tries that are used up end a job only when no call for
// its piece is heard any more.
func TestJobWaitsForLapsedCalls(t *testing.T) {
	RegisterTestingT(t)
	b, slow := lapsedCall(4, "x", "x", "x", "x", "x")
	b.failOthers(slow)
	Expect(b.running).To(HaveLen(1))
	Expect(b.refused).To(BeEmpty())
	b.answer(slow.Call)
	Expect(b.ready).To(HaveKey("j"))

	b, slow = lapsedCall(4, "x", "x", "x", "x", "x")
	b.failOthers(slow)
	b.end(slow.Call, CallFailed)
	Expect(b.refused["j"].Reason).To(Equal(ReasonFailed))
}
