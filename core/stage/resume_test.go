package stage

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a job that another planner started", func() {
	chain := []Stage{{Service: "a", Pieces: 2, ResultBytes: 100}, {Service: "b", Pieces: 1}}

	// startedJob returns a harness in which the results of the first stage exist, and the
	// job as its owner hands it over.
	startedJob := func(service func() *harness) (*harness, Job) {
		h := service()
		j := h.newChain("j", chain...)
		for i, handle := range []string{"old/1", "old/2"} {
			j.Completed = append(j.Completed, CompletedPiece{Stage: 0, Index: i, Handle: handle, Replica: "a1"})
			h.results[handle] = Piece{Job: "j", Stage: 0, Index: i}
		}
		return h, j
	}
	plain := func() *harness { return newHarness(pieceParams(20, 0), "x") }

	It("continues with the completed pieces", func() {
		h, j := startedJob(plain)
		runs := h.submit(j)
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Service).To(Equal("b"))
		Expect(runs[0].Pieces[0].Inputs).To(Equal([]string{"old/1", "old/2"}))
		h.answer(runs[0].Call)
		Expect(h.ready).To(HaveKey("j"))
		Expect(h.results).To(HaveLen(1), "the earlier planner's results are released once they are read")
	})

	It("executes only the missing pieces", func() {
		h, j := startedJob(plain)
		j.Completed = j.Completed[:1]
		runs := h.submit(j)
		Expect(runs[0].Pieces).To(HaveLen(1))
		Expect(runs[0].Pieces[0].Index).To(Equal(1))
	})

	It("executes pieces again whose results are not usable", func() {
		h, j := startedJob(plain)
		j.Completed = []CompletedPiece{
			{Stage: 0, Index: 0, Handle: "old/1", Replica: "gone"}, {Stage: 0, Index: 1, Handle: "old/2", Replica: "b1"},
			{Stage: 7, Index: 0, Handle: "x", Replica: "a1"}, {Stage: 0, Index: 2, Handle: "x", Replica: "a1"}, {Stage: -1, Handle: "x", Replica: "a1"},
		}
		Expect(h.submit(j)[0].Pieces).To(HaveLen(2))
	})

	It("has its results counted in the memory of their replicas", func() {
		h, j := startedJob(func() *harness { return newHarness(pieceParams(20, 250), "x") })
		h.submit(j)
		Expect(h.submit(h.newChain("k", Stage{Service: "a", Pieces: 1, ResultBytes: 100}))).To(BeEmpty())
	})

	It("has its results released when it is refused", func() {
		h, j := startedJob(plain)
		j.Due, j.Deadline = h.now, h.now
		h.submit(j)
		Expect(h.refused).To(HaveKey("j"))
		Expect(h.results).To(BeEmpty())
	})

	It("keeps the results reported to its owner if another planner may continue it", func() {
		h := plain()
		first := h.submit(h.newTransferableChain("j", chain...))[0]
		h.answer(first.Call)
		h.sendProgress("j", h.existingResults("j")...)
		h.endJob("j", Cancelled{Job: "j", HandedOver: true})
		Expect(h.results).To(HaveLen(2))
	})

	It("has the results not reported to its owner released if another planner may continue it", func() {
		h := plain()
		first := h.submit(h.newTransferableChain("j", chain...))[0]
		h.answer(first.Call)
		results := h.existingResults("j")
		h.sendProgress("j", results[0])
		h.endJob("j", Cancelled{Job: "j", HandedOver: true})
		Expect(h.results).To(HaveLen(1))
		Expect(h.results).To(HaveKey(results[0].Handle))
	})

	It("does not have results released again that had been read", func() {
		h, j := startedJob(plain)
		j.Stages = append(j.Stages, Stage{Service: "c", DependsOn: []int{1}, Pieces: 1})
		j.Completed = append(j.Completed, CompletedPiece{Stage: 1, Index: 0, Handle: "old/3", Replica: "b1"})
		delete(h.results, "old/1") // the earlier planner released them, as stage 1 is complete
		delete(h.results, "old/2")
		h.results["old/3"] = Piece{Job: "j", Stage: 1}
		runs := h.submit(j)
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Service).To(Equal("c"))
		h.answerAll()
		Expect(h.ready).To(HaveKey("j"))
	})

	It("is reported piece by piece", func() {
		h := plain()
		run := h.submit(h.newChain("j", chain...))[0]
		var reported []Progress
		for _, a := range h.m.Step(h.now, CallEnded{Call: run.Call, Results: []Result{{Handle: "h1"}, {Handle: "h2"}}}) {
			if p, ok := a.(Progress); ok {
				reported = append(reported, p)
			}
		}
		Expect(reported).To(Equal([]Progress{
			{Job: "j", Piece: CompletedPiece{Stage: 0, Index: 0, Handle: "h1", Replica: "a1"}},
			{Job: "j", Piece: CompletedPiece{Stage: 0, Index: 1, Handle: "h2", Replica: "a1"}},
		}))
	})
})

var _ = Describe("memory that another planner's results take", func() {
	// endOutOfMemory ends a call in which there was memory only for the first pieces.
	endOutOfMemory := func(h *harness, run Run, fitting int) []Run {
		h.removeCall(run.Call)
		e := CallEnded{Call: run.Call}
		for i, p := range run.Pieces {
			if i >= fitting {
				e.Results = append(e.Results, Result{Kind: PieceOutOfMemory})
				continue
			}
			handle := string(rune('A' + i))
			h.results[handle] = p
			e.Results = append(e.Results, Result{Handle: handle})
		}
		return h.step(e)
	}

	It("is not used, and becomes available as those results expire", func() {
		service := pieceParams(10, 1000)
		service.StageProfile.ResultTTL = 4 * time.Second
		h := newHarness(service, "x")
		h.submit(h.newChain("first", Stage{Service: "a", Pieces: 1, ResultBytes: 100}))
		for i := range 10 {
			h.submit(h.newChain(fmt.Sprint("j", i), Stage{Service: "a", Pieces: 1, ResultBytes: 100}))
		}
		run := h.answer(h.running[0].Call)[0]
		Expect(run.Pieces).To(HaveLen(9), "one result is present")
		Expect(endOutOfMemory(h, run, 1)).To(BeEmpty(), "800 of 1000 bytes are taken by others")
		Expect(h.advance(400*time.Millisecond)).To(BeEmpty(), "80 bytes may be free")
		retried := h.advance(200 * time.Millisecond)
		Expect(retried).To(HaveLen(1))
		Expect(retried[0].Pieces).To(HaveLen(1), "120 bytes may be free")
	})

	It("is all available once those results have expired", func() {
		h := newHarness(pieceParams(10, 1000), "x")
		run := h.submit(h.newChain("j", Stage{Service: "a", Pieces: 10, ResultBytes: 100}))[0]
		endOutOfMemory(h, run, 0)
		h.now = h.now.Add(defaultResultLifetime)
		Expect(h.step(Tick{})[0].Pieces).To(HaveLen(10))
	})
})
