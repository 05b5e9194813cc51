package stage

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The pattern: jobs with a large result that only the end needs, beside a chain
// of small stages. Made first, the large results fill the rooms of the replicas
// for as long as the chains take.
var _ = Describe("a stage that no other one reads", func() {
	// beside is a job with such a stage, number 0, beside a chain of three.
	beside := func(b *harness, id string) Job {
		j := b.newChain(id, Stage{Service: "a", Pieces: 2, ResultBytes: 10}, Stage{Service: "a", Pieces: 1, After: []int{}},
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

	It("starts when the rest is nearly ready", func() {
		b := newHarness(pieceParams(20, 0), "x", "x")
		Expect(stagesOf(b.submit(beside(b, "j")))).To(ConsistOf(1))
		b.now = b.now.Add(250 * time.Millisecond)
		Expect(stagesOf(b.answer(1))).To(ConsistOf(0, 0, 2), "two of three calls of the chain are left")
		b.answerAll()
		Expect(b.ready["j"].Handles).To(HaveLen(3))
	})

	It("starts at once beside a chain that is as short", func() {
		b := newHarness(pieceParams(20, 0), "x", "x")
		j := b.newChain("j", Stage{Service: "a", Pieces: 2}, Stage{Service: "b", Pieces: 1, After: []int{}}, Stage{Service: "c", Pieces: 1})
		Expect(stagesOf(b.submit(j))).To(ConsistOf(0, 0, 1))
	})

	It("starts when the chain beside it has failed and is made again", func() {
		b := newHarness(pieceParams(20, 0), "x", "x")
		runs := b.submit(beside(b, "j"))
		b.end(runs[0].Call, CallUnreachable)
		b.answerAll()
		Expect(b.ready).To(HaveKey("j"))
	})

	It("leaves the rooms to results that are waited for", func() {
		// Room for four results of ten bytes; six jobs at once hold twelve.
		b := newHarness(pieceParams(20, 40), "x")
		for i := range 6 {
			b.submit(beside(b, fmt.Sprint("j", i)))
		}
		urgent := b.newChain("urgent", Stage{Service: "a", Pieces: 3, ResultBytes: 10})
		urgent.Due = b.now.Add(time.Second)
		b.submit(urgent)
		rounds := 0
		for ; b.ready["urgent"].Job == ""; rounds++ {
			Expect(b.running).NotTo(BeEmpty(), "no call runs any more")
			b.now = b.now.Add(250 * time.Millisecond)
			for _, run := range slices.Clone(b.running) {
				b.answer(run.Call)
			}
		}
		Expect(rounds).To(Equal(2), "its pieces find room in the next call")
	})
})
