package stage

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("memory that other planners' results take", func() {
	const capacity = 1000
	// work is a stage with a result of half of a replica's memory.
	work := Stage{Service: "a", Pieces: 1, ResultBytes: capacity / 2}
	countQueries := func(h *harness, e Event) int {
		n := 0
		for _, a := range h.m.Step(h.now, e) {
			if _, ok := a.(QueryMemory); ok {
				n++
			}
		}
		return n
	}
	reportFree := func(h *harness, free int64) []Run {
		return h.step(MemoryReported{Replica: "a1", QueriedAt: h.now, Free: FreeMemory{free, free}})
	}

	It("is queried once, when the first job is admitted", func() {
		h := newHarness(pieceParams(20, capacity), "x", "x")
		h.jobs["j"] = h.newChain("j", work)
		Expect(countQueries(h, Submitted{h.jobs["j"]})).To(Equal(6), "one for each replica")
		h.jobs["k"] = h.newChain("k", work)
		Expect(countQueries(h, Submitted{h.jobs["k"]})).To(BeZero())
	})

	It("is not used, and is queried until the results are gone", func() {
		h := newHarness(pieceParams(20, capacity), "x")
		h.submit(h.newChain("first", work))
		h.answer(1)
		h.now = h.now.Add(time.Second)
		reportFree(h, 0)
		Expect(h.submit(h.newChain("waits", work))).To(BeEmpty(), "half is taken by this planner, half by others")
		h.now = h.now.Add(memoryQueryInterval)
		Expect(countQueries(h, Tick{})).To(Equal(1))
		runs := reportFree(h, capacity/2)
		Expect(runs).To(HaveLen(1), "the other planners' results are gone")
		h.now = h.now.Add(10 * memoryQueryInterval)
		Expect(countQueries(h, Tick{})).To(BeZero())
	})

	// A host that is disconnected plans for itself, beside a planner whose results fill the
	// memory all the time.
	It("is not queried more often than memoryQueriesPerCall allows", func() {
		h := newHarness(pieceParams(20, capacity), "x")
		h.submit(h.newChain("only", work))
		h.answer(1)
		queries := 0
		for range 40 {
			h.now = h.now.Add(memoryQueryInterval)
			n := countQueries(h, Tick{})
			queries += n
			if n > 0 || queries == 0 {
				reportFree(h, 0)
			}
		}
		Expect(queries).To(Equal(memoryQueriesPerCall), "in ten seconds, with one call")
	})

	It("is not inferred from a report that is older than the last call", func() {
		h := newHarness(pieceParams(20, capacity), "x")
		h.submit(h.newChain("runs", work))
		reportFree(h, capacity)
		h.answer(1)
		Expect(h.submit(h.newChain("next", work))).To(HaveLen(1), "the report does not include the call")
	})

	It("is queried when there was no memory for a result", func() {
		h := newHarness(pieceParams(20, capacity), "x")
		run := h.submit(h.newChain("j", work))[0]
		reportFree(h, capacity) // answers the query on the first job
		h.removeCall(run.Call)
		Expect(countQueries(h, CallEnded{Call: run.Call, Results: []Result{{Kind: PieceOutOfMemory}}})).To(Equal(1))
		Expect(reportFree(h, capacity)).To(HaveLen(1), "at once, as there is free memory again")
	})

	It("is estimated within the bounds of a report, unless these are too far apart", func() {
		h := newHarness(pieceParams(20, capacity), "x")
		h.submit(h.newChain("first", work))
		h.answer(1)
		h.now = h.now.Add(time.Second)
		r := h.m.replicas["a1"]
		reportBounds := func(least, most int64) int64 {
			h.step(MemoryReported{Replica: "a1", QueriedAt: h.now, Free: FreeMemory{least, most}})
			return r.currentForeignBytes(h.now)
		}
		Expect(reportBounds(0, 200)).To(Equal(int64(300)), "lower bound: 1000 less 200 free and 500 of this planner")
		Expect(reportBounds(0, 290)).To(Equal(int64(300)), "the previous estimate lies within the bounds")
		Expect(reportBounds(400, 500)).To(Equal(int64(100)), "upper bound")
		Expect(reportBounds(450, 550)).To(BeZero(), "below minForeignShare")
		Expect(reportBounds(0, 600)).To(BeZero(), "spread above maxReportSpread")
	})

	It("is queried again when a query is not answered", func() {
		h := newHarness(pieceParams(20, capacity), "x")
		run := h.submit(h.newChain("j", work))[0]
		reportFree(h, capacity) // answers the query on the first job
		h.removeCall(run.Call)
		Expect(countQueries(h, CallEnded{Call: run.Call, Results: []Result{{Kind: PieceOutOfMemory}}})).To(Equal(1))
		h.now = h.now.Add(memoryQueryTimeout / 2)
		h.m.replicas["a1"].noteOutOfMemory(h.now)
		h.m.scheduleQuery(h.m.replicas["a1"], h.now)
		Expect(countQueries(h, Tick{})).To(BeZero())
		h.now = h.now.Add(memoryQueryTimeout)
		Expect(countQueries(h, Tick{})).To(Equal(1))
	})
})
