package stage

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a transferable job", func() {
	stages := []Stage{{Service: "a", Pieces: 2, ResultBytes: 100}, {Service: "b", Pieces: 1, ResultBytes: 100}, {Service: "c", Pieces: 1}}
	plain := func() *harness { return newHarness(pieceParams(20, 0), "x") }
	// startedJob returns a harness with the first stage completed and the second running.
	startedJob := func() *harness {
		h := plain()
		h.submit(h.newTransferableChain("j", stages...))
		h.answer(h.running[0].Call)
		return h
	}
	answerNext := func(h *harness) { h.answer(h.running[0].Call) }

	It("has results released once they are read if they were not reported to its owner", func() {
		h := startedJob()
		answerNext(h)
		Expect(h.results).To(HaveLen(1))
		Expect(h.ownerNotices).To(BeEmpty())
	})

	It("has results reported to its owner released once the owner has acknowledged that they were read", func() {
		h := startedJob()
		first := h.progress["j"]
		h.sendProgress("j", first...)
		answerNext(h)
		Expect(h.results).To(HaveLen(3), "the owner may have named them to another planner")
		Expect(h.ownerNotices["j"]).To(Equal(1))
		h.sendProgress("j", h.progress["j"][2])
		Expect(h.results).To(HaveLen(3), "the owner may not have received the message")
		h.ackProgress("j", first...)
		Expect(h.results).To(HaveLen(3), "they had not been read by then")
		h.ackProgress("j", h.progress["j"][2])
		Expect(h.results).To(HaveLen(1))
		h.answerAll()
		h.endJob("j", Cancelled{Job: "j"})
		Expect(h.results).To(BeEmpty())
	})

	It("has all results released when its owner cancels it", func() {
		h := startedJob()
		h.sendProgress("j", h.progress["j"]...)
		answerNext(h)
		h.endJob("j", Cancelled{Job: "j"})
		h.answerAll()
		Expect(h.results).To(BeEmpty())
	})

	It("when refused keeps the results reported to its owner until the owner acknowledges", func() {
		h := startedJob()
		h.sendProgress("j", h.progress["j"][0])
		h.advance(20 * time.Second)
		Expect(h.refused["j"].ResultsHeld).To(BeTrue())
		Expect(h.results).To(HaveLen(1))
		Expect(h.results).To(HaveKey(h.progress["j"][0].Handle))
		h.endJob("j", Cancelled{Job: "j"})
		h.answerAll()
		Expect(h.results).To(BeEmpty())
		Expect(h.m.refused).To(BeEmpty())
	})

	It("when refused keeps no results if none were reported to its owner", func() {
		h := startedJob()
		h.advance(20 * time.Second)
		Expect(h.refused["j"].ResultsHeld).To(BeFalse())
		Expect(h.results).To(BeEmpty())
		Expect(h.m.refused).To(BeEmpty())
	})

	It("when refused on arrival keeps the results of another planner", func() {
		h := plain()
		j := h.newTransferableChain("j", stages...)
		j.Due, j.Deadline = h.now, h.now // a job that may still be on time is continued
		j.Completed = []CompletedPiece{{Stage: 0, Index: 0, Handle: "old/1", Replica: "a1"}}
		h.results["old/1"] = Piece{Job: "j"}
		h.submit(j)
		Expect(h.refused["j"].ResultsHeld).To(BeTrue())
		Expect(h.results).To(HaveLen(1))
		h.submit(j) // the refusal message was lost
		h.endJob("j", Cancelled{Job: "j"})
		Expect(h.results).To(BeEmpty())
	})

	It("leaves its inputs to expire when one of them is gone", func() {
		h := startedJob()
		h.sendProgress("j", h.progress["j"]...)
		run := h.removeCall(h.running[0].Call)
		clear(h.results) // the replica of the first stage is gone
		h.step(CallEnded{Call: run.Call, Results: []Result{{Kind: PieceInputMissing}}})
		Expect(h.running).To(HaveLen(1))
		h.answerAll()
		Expect(h.ready).To(HaveKey("j"))
	})

	// handedOver returns the job as its owner hands it over, with the results that the
	// owner knows of.
	handedOver := func(h *harness, pieces ...CompletedPiece) Job {
		j := h.newTransferableChain("j", stages...)
		for _, p := range pieces {
			j.Completed = append(j.Completed, p)
			h.results[p.Handle] = Piece{Job: "j", Stage: p.Stage, Index: p.Index}
		}
		return j
	}
	one := CompletedPiece{Stage: 0, Index: 0, Handle: "old/1", Replica: "a1"}
	two := CompletedPiece{Stage: 0, Index: 1, Handle: "old/2", Replica: "a1"}
	read := CompletedPiece{Stage: 1, Index: 0, Handle: "old/3", Replica: "b1"}

	It("does not use or release results that were read under an earlier planner", func() {
		h := plain()
		j := handedOver(h, two, read)
		delete(h.results, "old/2") // the earlier planner released them
		runs := h.submit(j)
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Service).To(Equal("c"))
		h.answerAll()
		h.endJob("j", Cancelled{Job: "j"})
		Expect(h.results).To(BeEmpty())
	})

	It("has results recomputed whose reader's result is gone", func() {
		h := plain()
		lost := read
		lost.Replica = "gone"
		j := handedOver(h, one, two, lost)
		clear(h.results) // the earlier planner released them, and the reader's replica is gone
		runs := h.submit(j)
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Service).To(Equal("a"))
		h.answerAll()
		Expect(h.ready).To(HaveKey("j"))
		h.endJob("j", Cancelled{Job: "j"})
		Expect(h.results).To(BeEmpty())
	})
})
