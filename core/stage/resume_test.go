package stage

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a job that another planner began", func() {
	chain := []Stage{{Service: "a", Pieces: 2, ResultBytes: 100}, {Service: "b", Pieces: 1}}

	// begun returns a bench where the results of the first stage exist, and the
	// job as its owner hands it over.
	begun := func(service func() *harness) (*harness, Job) {
		b := service()
		j := b.newChain("j", chain...)
		for i, h := range []string{"old/1", "old/2"} {
			j.Made = append(j.Made, MadePiece{Stage: 0, Index: i, Handle: h, Replica: "a1"})
			b.results[h] = Piece{Job: "j", Stage: 0, Index: i}
		}
		return b, j
	}
	plain := func() *harness { return newHarness(pieceParams(20, 0), "x") }

	It("goes on with what is made", func() {
		b, j := begun(plain)
		runs := b.submit(j)
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Service).To(Equal("b"))
		Expect(runs[0].Pieces[0].Inputs).To(Equal([]string{"old/1", "old/2"}))
		b.answer(runs[0].Call)
		Expect(b.ready).To(HaveKey("j"))
		Expect(b.results).To(HaveLen(1), "what the earlier planner made is freed once it is read")
	})

	It("makes only what is missing", func() {
		b, j := begun(plain)
		j.Made = j.Made[:1]
		runs := b.submit(j)
		Expect(runs[0].Pieces).To(HaveLen(1))
		Expect(runs[0].Pieces[0].Index).To(Equal(1))
	})

	It("makes again what cannot be relied on", func() {
		b, j := begun(plain)
		j.Made = []MadePiece{
			{Stage: 0, Index: 0, Handle: "old/1", Replica: "gone"}, {Stage: 0, Index: 1, Handle: "old/2", Replica: "b1"},
			{Stage: 7, Index: 0, Handle: "x", Replica: "a1"}, {Stage: 0, Index: 2, Handle: "x", Replica: "a1"}, {Stage: -1, Handle: "x", Replica: "a1"},
		}
		Expect(b.submit(j)[0].Pieces).To(HaveLen(2))
	})

	It("counts its results as held", func() {
		b, j := begun(func() *harness { return newHarness(pieceParams(20, 250), "x") })
		b.submit(j)
		Expect(b.submit(b.newChain("k", Stage{Service: "a", Pieces: 1, ResultBytes: 100}))).To(BeEmpty())
	})

	It("has its results freed when it is refused", func() {
		b, j := begun(plain)
		j.Due, j.Deadline = b.now, b.now
		b.submit(j)
		Expect(b.refused).To(HaveKey("j"))
		Expect(b.results).To(BeEmpty())
	})

	It("keeps the results that its owner was told of where another planner may go on with it", func() {
		b := plain()
		first := b.submit(b.newTransferableChain("j", chain...))[0]
		b.answer(first.Call)
		b.sendProgress("j", b.existingResults("j")...)
		b.endJob("j", Cancelled{Job: "j", Moved: true})
		Expect(b.results).To(HaveLen(2))
	})

	It("gives up the results of which nobody else can know where another planner may go on with it", func() {
		b := plain()
		first := b.submit(b.newTransferableChain("j", chain...))[0]
		b.answer(first.Call)
		results := b.existingResults("j")
		b.sendProgress("j", results[0])
		b.endJob("j", Cancelled{Job: "j", Moved: true})
		Expect(b.results).To(HaveLen(1))
		Expect(b.results).To(HaveKey(results[0].Handle))
	})

	It("is not given up twice where its results had been read", func() {
		b, j := begun(plain)
		j.Stages = append(j.Stages, Stage{Service: "c", After: []int{1}, Pieces: 1})
		j.Made = append(j.Made, MadePiece{Stage: 1, Index: 0, Handle: "old/3", Replica: "b1"})
		delete(b.results, "old/1") // the earlier planner gave them up, as stage 1 is complete
		delete(b.results, "old/2")
		b.results["old/3"] = Piece{Job: "j", Stage: 1}
		runs := b.submit(j)
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Service).To(Equal("c"))
		b.answerAll()
		Expect(b.ready).To(HaveKey("j"))
	})

	It("is told of piece by piece", func() {
		b := plain()
		run := b.submit(b.newChain("j", chain...))[0]
		var told []Progress
		for _, a := range b.m.Step(b.now, CallEnded{Call: run.Call, Results: []Result{{Handle: "h1"}, {Handle: "h2"}}}) {
			if p, ok := a.(Progress); ok {
				told = append(told, p)
			}
		}
		Expect(told).To(Equal([]Progress{
			{Job: "j", Piece: MadePiece{Stage: 0, Index: 0, Handle: "h1", Replica: "a1"}},
			{Job: "j", Piece: MadePiece{Stage: 0, Index: 1, Handle: "h2", Replica: "a1"}},
		}))
	})
})

var _ = Describe("room that results of another planner take", func() {
	// noRoom ends a call of which only the first pieces found room.
	noRoom := func(b *harness, run Run, made int) []Run {
		b.removeCall(run.Call)
		e := CallEnded{Call: run.Call}
		for i, p := range run.Pieces {
			if i >= made {
				e.Results = append(e.Results, Result{Kind: NoRoom})
				continue
			}
			handle := string(rune('A' + i))
			b.results[handle] = p
			e.Results = append(e.Results, Result{Handle: handle})
		}
		return b.step(e)
	}

	It("is not asked for, and comes back as those results go", func() {
		service := pieceParams(10, 1000)
		service.Pieces.ResultLife = 4 * time.Second
		b := newHarness(service, "x")
		b.submit(b.newChain("first", Stage{Service: "a", Pieces: 1, ResultBytes: 100}))
		for i := range 10 {
			b.submit(b.newChain(fmt.Sprint("j", i), Stage{Service: "a", Pieces: 1, ResultBytes: 100}))
		}
		run := b.answer(b.running[0].Call)[0]
		Expect(run.Pieces).To(HaveLen(9), "one result is held")
		Expect(noRoom(b, run, 1)).To(BeEmpty(), "800 of 1000 bytes are others'")
		Expect(b.advance(400*time.Millisecond)).To(BeEmpty(), "80 bytes may have come free")
		again := b.advance(200 * time.Millisecond)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Pieces).To(HaveLen(1), "120 bytes may have come free")
	})

	It("is all there once they have outlived their time", func() {
		b := newHarness(pieceParams(10, 1000), "x")
		run := b.submit(b.newChain("j", Stage{Service: "a", Pieces: 10, ResultBytes: 100}))[0]
		noRoom(b, run, 0)
		b.now = b.now.Add(defaultResultLifetime)
		Expect(b.step(Tick{})[0].Pieces).To(HaveLen(10))
	})
})
