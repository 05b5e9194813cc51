package stage

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestTransferredJobIsNotRefusedAsLate: a job that an earlier planner admitted and started
// is continued by the next one, also after its due time, as it would have been at the
// earlier one.
func TestTransferredJobIsNotRefusedAsLate(t *testing.T) {
	RegisterTestingT(t)
	h := newHarness(pieceParams(4, 0), "x")
	j := h.newChain("j", Stage{Service: "a", Pieces: 1}, Stage{Service: "b", Pieces: 1})
	j.Completed = []CompletedPiece{{Stage: 0, Index: 0, Handle: "old/1", Replica: "a1"}}
	j.Due = h.now.Add(-100 * time.Millisecond)
	h.results["old/1"] = Piece{Job: "j"}
	h.submit(j)
	Expect(h.refused).To(BeEmpty())
	h.answerAll()
	Expect(h.ready).To(HaveKey("j"))
}

// TestLateJobIsNotRefusedWhileAllPiecesAreInCalls: refusing a job that needs no further
// calls would shorten no queue, and its caller still waits.
func TestLateJobIsNotRefusedWhileAllPiecesAreInCalls(t *testing.T) {
	RegisterTestingT(t)
	h := newHarness(pieceParams(4, 0), "x", "x")
	j := h.newChain("j", Stage{Service: "a", Pieces: 1})
	j.Due = h.now.Add(500 * time.Millisecond)
	first := h.submit(j)[0]
	h.now = h.now.Add(3400 * time.Millisecond)
	Expect(h.end(first.Call, CallUnreachable)).To(HaveLen(1))
	h.advance(200 * time.Millisecond)
	Expect(h.refused).To(BeEmpty())
	h.answer(h.running[0].Call)
	Expect(h.ready).To(HaveKey("j"))
}

// TestLateJobIsRefusedOnceAPieceIsRequeued: it would queue behind jobs that can be on time.
func TestLateJobIsRefusedOnceAPieceIsRequeued(t *testing.T) {
	RegisterTestingT(t)
	h := newHarness(pieceParams(4, 0), "x", "x")
	j := h.newChain("j", Stage{Service: "a", Pieces: 1})
	j.Due = h.now.Add(500 * time.Millisecond)
	first := h.submit(j)[0]
	h.now = h.now.Add(3400 * time.Millisecond)
	second := h.end(first.Call, CallUnreachable)[0]
	h.advance(200 * time.Millisecond)
	h.end(second.Call, CallUnreachable)
	h.advance(200 * time.Millisecond)
	Expect(h.refused["j"].Reason).To(Equal(ReasonOverload))
}

// TestLateJobExpiresAtItsDeadline: it does so even if all its pieces are in calls.
func TestLateJobExpiresAtItsDeadline(t *testing.T) {
	RegisterTestingT(t)
	h := newHarness(pieceParams(4, 0), "x", "x")
	j := h.newChain("j", Stage{Service: "a", Pieces: 1})
	j.Due, j.Deadline = h.now.Add(500*time.Millisecond), h.now.Add(3700*time.Millisecond)
	first := h.submit(j)[0]
	h.now = h.now.Add(3400 * time.Millisecond)
	h.end(first.Call, CallUnreachable)
	h.advance(300 * time.Millisecond)
	Expect(h.refused["j"].Reason).To(Equal(ReasonExpired))
}
