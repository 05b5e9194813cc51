package stage

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a job whose announced pieces take more memory than the host has.
func TestJobOfTooManyPiecesIsRefusedBeforeItsPiecesAreAllocated(t *testing.T) {
	RegisterTestingT(t)
	h := newHarness(pieceParams(20, 0), "x")
	for _, pieces := range []int{MaxStagePieces + 1, 1_000_000, 1 << 40} {
		id := fmt.Sprint(pieces)
		j := h.newChain(id, Stage{Service: "a", Pieces: pieces})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		h.submit(j)
		runtime.ReadMemStats(&after)
		Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", 1<<20), "bytes")
		Expect(h.refused[id].Reason).To(Equal(ReasonTooLarge))
		Expect(h.refused[id].RetryAfter).To(BeZero())
	}
	h.submit(h.newChain("j", Stage{Service: "a", Pieces: 2}))
	h.answerAll()
	Expect(h.ready).To(HaveKey("j"))
}

// Guards against jobs that together have more pieces than the host has memory for, and against
// pieces that count after their job has ended.
func TestPiecesOfAllJobsAreBounded(t *testing.T) {
	RegisterTestingT(t)
	h := newHarness(pieceParams(20, 0), "x")
	h.m.cfg.MaxPieces = 10
	h.submit(h.newChain("j", Stage{Service: "a", Pieces: 6}))
	h.submit(h.newChain("k", Stage{Service: "a", Pieces: 6}))
	Expect(h.refused["k"].Reason).To(Equal(ReasonOverload))
	Expect(h.refused["k"].RetryAfter).To(BeNumerically(">", 0))
	h.answerAll()
	h.endJob("j", Cancelled{Job: "j"})
	Expect(h.m.PieceCount()).To(BeZero())
	h.submit(h.newChain("l", Stage{Service: "a", Pieces: 6}))
	h.answerAll()
	Expect(h.ready).To(HaveKey("l"))
}
