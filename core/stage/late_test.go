package stage

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestJobHandedOverIsNotRefusedAsLate: a job that an earlier planner admitted and began
// is gone on with by the next one, also once it is due: there it would have been too.
func TestTransferredJobIsNotRefusedAsLate(t *testing.T) {
	RegisterTestingT(t)
	b := newHarness(pieceParams(4, 0), "x")
	j := b.newChain("j", Stage{Service: "a", Pieces: 1}, Stage{Service: "b", Pieces: 1})
	j.Made = []MadePiece{{Stage: 0, Index: 0, Handle: "old/1", Replica: "a1"}}
	j.Due = b.now.Add(-100 * time.Millisecond)
	b.results["old/1"] = Piece{Job: "j"}
	b.submit(j)
	Expect(b.refused).To(BeEmpty())
	b.answerAll()
	Expect(b.ready).To(HaveKey("j"))
}

// TestLateJobIsNotRefusedWhileAllOfItIsUnderWay: to refuse a job of which nothing is
// left to be called frees no queue, and its caller still waits.
func TestLateJobIsNotRefusedWhileAllPiecesAreInCalls(t *testing.T) {
	RegisterTestingT(t)
	b := newHarness(pieceParams(4, 0), "x", "x")
	j := b.newChain("j", Stage{Service: "a", Pieces: 1})
	j.Due = b.now.Add(500 * time.Millisecond)
	first := b.submit(j)[0]
	b.now = b.now.Add(3400 * time.Millisecond)
	Expect(b.end(first.Call, CallUnreachable)).To(HaveLen(1))
	b.advance(200 * time.Millisecond)
	Expect(b.refused).To(BeEmpty())
	b.answer(b.running[0].Call)
	Expect(b.ready).To(HaveKey("j"))
}

// TestLateJobIsRefusedOnceACallIsWantedAgain: it would wait in a queue for jobs that
// can be on time.
func TestLateJobIsRefusedOnceAPieceIsRequeued(t *testing.T) {
	RegisterTestingT(t)
	b := newHarness(pieceParams(4, 0), "x", "x")
	j := b.newChain("j", Stage{Service: "a", Pieces: 1})
	j.Due = b.now.Add(500 * time.Millisecond)
	first := b.submit(j)[0]
	b.now = b.now.Add(3400 * time.Millisecond)
	second := b.end(first.Call, CallUnreachable)[0]
	b.advance(200 * time.Millisecond)
	b.end(second.Call, CallUnreachable)
	b.advance(200 * time.Millisecond)
	Expect(b.refused["j"].Reason).To(Equal(ReasonOverload))
}

// TestLateJobEndsWithItsDeadline: also with all of it under way.
func TestLateJobExpiresAtItsDeadline(t *testing.T) {
	RegisterTestingT(t)
	b := newHarness(pieceParams(4, 0), "x", "x")
	j := b.newChain("j", Stage{Service: "a", Pieces: 1})
	j.Due, j.Deadline = b.now.Add(500*time.Millisecond), b.now.Add(3700*time.Millisecond)
	first := b.submit(j)[0]
	b.now = b.now.Add(3400 * time.Millisecond)
	b.end(first.Call, CallUnreachable)
	b.advance(300 * time.Millisecond)
	Expect(b.refused["j"].Reason).To(Equal(ReasonExpired))
}
