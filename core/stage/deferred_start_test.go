package stage

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Some jobs have a stage with large results that no other stage reads, beside a chain of
// small stages. Executed first, the large results would take up the memory of the replicas
// for as long as the chain takes.
var _ = Describe("a stage that no other stage reads", func() {
	// withIndependentStage returns a job with such a stage, number 0, beside a chain of
	// three.
	withIndependentStage := func(h *harness, id string) Job {
		j := h.newChain(id, Stage{Service: "a", Pieces: 2, ResultBytes: 10}, Stage{Service: "a", Pieces: 1, DependsOn: []int{}},
			Stage{Service: "b", Pieces: 1}, Stage{Service: "c", Pieces: 1})
		return j
	}
	stagesOf := func(runs []Run) []int {
		var out []int
		for _, r := range runs {
			for _, p := range r.Pieces {
				out = append(out, p.Stage)
			}
		}
		return out
	}

	It("starts when the rest of the job is nearly complete", func() {
		h := newHarness(pieceParams(20, 0), "x", "x")
		Expect(stagesOf(h.submit(withIndependentStage(h, "j")))).To(ConsistOf(1))
		h.now = h.now.Add(250 * time.Millisecond)
		Expect(stagesOf(h.answer(1))).To(ConsistOf(0, 0, 2), "two of the chain's three calls remain")
		h.answerAll()
		Expect(h.ready["j"].Handles).To(HaveLen(3))
	})

	It("starts at once beside a short chain", func() {
		h := newHarness(pieceParams(20, 0), "x", "x")
		j := h.newChain("j", Stage{Service: "a", Pieces: 2}, Stage{Service: "b", Pieces: 1, DependsOn: []int{}}, Stage{Service: "c", Pieces: 1})
		Expect(stagesOf(h.submit(j))).To(ConsistOf(0, 0, 1))
	})

	It("starts when a failed call of the chain beside it has been retried", func() {
		h := newHarness(pieceParams(20, 0), "x", "x")
		runs := h.submit(withIndependentStage(h, "j"))
		h.end(runs[0].Call, CallUnreachable)
		h.answerAll()
		Expect(h.ready).To(HaveKey("j"))
	})

	It("leaves the memory to results that are needed first", func() {
		// There is memory for four results of ten bytes; six jobs at once need twelve
		// results.
		h := newHarness(pieceParams(20, 40), "x")
		for i := range 6 {
			h.submit(withIndependentStage(h, fmt.Sprint("j", i)))
		}
		urgent := h.newChain("urgent", Stage{Service: "a", Pieces: 3, ResultBytes: 10})
		urgent.Due = h.now.Add(time.Second)
		h.submit(urgent)
		rounds := 0
		for ; h.ready["urgent"].Job == ""; rounds++ {
			Expect(h.running).NotTo(BeEmpty(), "no call is running")
			h.now = h.now.Add(250 * time.Millisecond)
			for _, run := range slices.Clone(h.running) {
				h.answer(run.Call)
			}
		}
		Expect(rounds).To(Equal(2), "its pieces fit into the next call")
	})
})
