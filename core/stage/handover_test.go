package stage

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a job whose owner may hand it to another planner", func() {
	stages := []Stage{{Service: "a", Pieces: 2, ResultBytes: 100}, {Service: "b", Pieces: 1, ResultBytes: 100}, {Service: "c", Pieces: 1}}
	plain := func() *harness { return newHarness(pieceParams(20, 0), "x") }
	// began returns a bench with the first stage made and the second running.
	began := func() *harness {
		b := plain()
		b.submit(b.newTransferableChain("j", stages...))
		b.answer(b.running[0].Call)
		return b
	}
	next := func(b *harness) { b.answer(b.running[0].Call) }

	It("has results given up as they are read while its owner was not told of them", func() {
		b := began()
		next(b)
		Expect(b.results).To(HaveLen(1))
		Expect(b.ownerNotices).To(BeEmpty())
	})

	It("has results that its owner was told of given up once it has heard that they were read", func() {
		b := began()
		first := b.progress["j"]
		b.sendProgress("j", first...)
		next(b)
		Expect(b.results).To(HaveLen(3), "it may have named them to another planner")
		Expect(b.ownerNotices["j"]).To(Equal(1))
		b.sendProgress("j", b.progress["j"][2])
		Expect(b.results).To(HaveLen(3), "it may not have heard")
		b.ackProgress("j", first...)
		Expect(b.results).To(HaveLen(3), "they were not read by then")
		b.ackProgress("j", b.progress["j"][2])
		Expect(b.results).To(HaveLen(1))
		b.answerAll()
		b.endJob("j", Cancelled{Job: "j"})
		Expect(b.results).To(BeEmpty())
	})

	It("has them all given up when its owner gives it up", func() {
		b := began()
		b.sendProgress("j", b.progress["j"]...)
		next(b)
		b.endJob("j", Cancelled{Job: "j"})
		b.answerAll()
		Expect(b.results).To(BeEmpty())
	})

	It("has results kept that its owner was told of when it is refused, until it says that it heard", func() {
		b := began()
		b.sendProgress("j", b.progress["j"][0])
		b.advance(20 * time.Second)
		Expect(b.refused["j"].Held).To(BeTrue())
		Expect(b.results).To(HaveLen(1))
		Expect(b.results).To(HaveKey(b.progress["j"][0].Handle))
		b.endJob("j", Cancelled{Job: "j"})
		b.answerAll()
		Expect(b.results).To(BeEmpty())
		Expect(b.m.refused).To(BeEmpty())
	})

	It("is refused with nothing left where its owner was told of nothing", func() {
		b := began()
		b.advance(20 * time.Second)
		Expect(b.refused["j"].Held).To(BeFalse())
		Expect(b.results).To(BeEmpty())
		Expect(b.m.refused).To(BeEmpty())
	})

	It("keeps what another planner had made when it is refused at once", func() {
		b := plain()
		j := b.newTransferableChain("j", stages...)
		j.Due, j.Deadline = b.now, b.now // one that may still end in time goes on
		j.Made = []MadePiece{{Stage: 0, Index: 0, Handle: "old/1", Replica: "a1"}}
		b.results["old/1"] = Piece{Job: "j"}
		b.submit(j)
		Expect(b.refused["j"].Held).To(BeTrue())
		Expect(b.results).To(HaveLen(1))
		b.submit(j) // the word of the refusal was lost
		b.endJob("j", Cancelled{Job: "j"})
		Expect(b.results).To(BeEmpty())
	})

	It("leaves inputs to their time when one of them is gone", func() {
		b := began()
		b.sendProgress("j", b.progress["j"]...)
		run := b.removeCall(b.running[0].Call)
		clear(b.results) // a replica of the first stage is gone
		b.step(CallEnded{Call: run.Call, Results: []Result{{Kind: InputGone}}})
		Expect(b.running).To(HaveLen(1))
		b.answerAll()
		Expect(b.ready).To(HaveKey("j"))
	})

	// handed is the job as its owner hands it on, with the results that it knows of.
	handed := func(b *harness, made ...MadePiece) Job {
		j := b.newTransferableChain("j", stages...)
		for _, p := range made {
			j.Made = append(j.Made, p)
			b.results[p.Handle] = Piece{Job: "j", Stage: p.Stage, Index: p.Index}
		}
		return j
	}
	one := MadePiece{Stage: 0, Index: 0, Handle: "old/1", Replica: "a1"}
	two := MadePiece{Stage: 0, Index: 1, Handle: "old/2", Replica: "a1"}
	read := MadePiece{Stage: 1, Index: 0, Handle: "old/3", Replica: "b1"}

	It("has results that were read left alone by the next planner, also those that their readers outlived", func() {
		b := plain()
		j := handed(b, two, read)
		delete(b.results, "old/2") // the earlier planner gave them up
		runs := b.submit(j)
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Service).To(Equal("c"))
		b.answerAll()
		b.endJob("j", Cancelled{Job: "j"})
		Expect(b.results).To(BeEmpty())
	})

	It("has results made again that were read by what is not there any more", func() {
		b := plain()
		lost := read
		lost.Replica = "gone"
		j := handed(b, one, two, lost)
		clear(b.results) // the earlier planner gave them up, and the reader's replica is gone
		runs := b.submit(j)
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Service).To(Equal("a"))
		b.answerAll()
		Expect(b.ready).To(HaveKey("j"))
		b.endJob("j", Cancelled{Job: "j"})
		Expect(b.results).To(BeEmpty())
	})
})
