package stage

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("room that others' results take", func() {
	const room = 1000
	// work is a job with results of half of a replica's room.
	work := Stage{Service: "a", Pieces: 1, ResultBytes: room / 2}
	asked := func(b *harness, e Event) int {
		n := 0
		for _, a := range b.m.Step(b.now, e) {
			if _, ok := a.(Inspect); ok {
				n++
			}
		}
		return n
	}
	tell := func(b *harness, free int64) []Run {
		return b.step(Inspected{Replica: "a1", Asked: b.now, Room: Room{free, free}})
	}

	It("is asked for when the first job comes, once", func() {
		b := newHarness(pieceParams(20, room), "x", "x")
		b.jobs["j"] = b.newChain("j", work)
		Expect(asked(b, Submitted{b.jobs["j"]})).To(Equal(6), "of all replicas")
		b.jobs["k"] = b.newChain("k", work)
		Expect(asked(b, Submitted{b.jobs["k"]})).To(BeZero())
	})

	It("is left to them, asked for again until they are gone, and then used", func() {
		b := newHarness(pieceParams(20, room), "x")
		b.submit(b.newChain("first", work))
		b.answer(1)
		b.now = b.now.Add(time.Second)
		tell(b, 0)
		Expect(b.submit(b.newChain("waits", work))).To(BeEmpty(), "half is this planner's, half others'")
		b.now = b.now.Add(memoryQueryInterval)
		Expect(asked(b, Tick{})).To(Equal(1))
		runs := tell(b, room/2)
		Expect(runs).To(HaveLen(1), "the others' results are gone")
		b.now = b.now.Add(10 * memoryQueryInterval)
		Expect(asked(b, Tick{})).To(BeZero())
	})

	// The pattern: a host that is cut off plans for itself, beside a planner whose
	// results fill the rooms all the time.
	It("is asked for no more often than calls are made", func() {
		b := newHarness(pieceParams(20, room), "x")
		b.submit(b.newChain("only", work))
		b.answer(1)
		questions := 0
		for range 40 {
			b.now = b.now.Add(memoryQueryInterval)
			n := asked(b, Tick{})
			questions += n
			if n > 0 || questions == 0 {
				tell(b, 0)
			}
		}
		Expect(questions).To(Equal(memoryQueriesPerCall), "in ten seconds, with one call made")
	})

	It("is not seen where a call began a moment ago", func() {
		b := newHarness(pieceParams(20, room), "x")
		b.submit(b.newChain("runs", work))
		tell(b, room)
		b.answer(1)
		Expect(b.submit(b.newChain("next", work))).To(HaveLen(1), "the report was older than the call")
	})

	It("is asked for when a result found none", func() {
		b := newHarness(pieceParams(20, room), "x")
		run := b.submit(b.newChain("j", work))[0]
		tell(b, room) // asked since the job is the first
		b.removeCall(run.Call)
		Expect(asked(b, CallEnded{Call: run.Call, Results: []Result{{Kind: NoRoom}}})).To(Equal(1))
		Expect(tell(b, room)).To(HaveLen(1), "at once, as there is room again")
	})

	It("is believed within the bounds of a report, and a report that leaves too much open is not", func() {
		b := newHarness(pieceParams(20, room), "x")
		b.submit(b.newChain("first", work))
		b.answer(1)
		b.now = b.now.Add(time.Second)
		r := b.m.replicas["a1"]
		tellBounds := func(least, most int64) int64 {
			b.step(Inspected{Replica: "a1", Asked: b.now, Room: Room{least, most}})
			return r.currentForeignBytes(b.now)
		}
		Expect(tellBounds(0, 200)).To(Equal(int64(300)), "at least: 1000 less 200 and the 500 that are known")
		Expect(tellBounds(0, 290)).To(Equal(int64(300)), "what was believed lies between")
		Expect(tellBounds(400, 500)).To(Equal(int64(100)), "at most")
		Expect(tellBounds(450, 550)).To(BeZero(), "too little to look for")
		Expect(tellBounds(0, 600)).To(BeZero(), "more than a third is open")
	})

	It("is asked for again when no answer comes", func() {
		b := newHarness(pieceParams(20, room), "x")
		run := b.submit(b.newChain("j", work))[0]
		tell(b, room) // asked since the job is the first
		b.removeCall(run.Call)
		Expect(asked(b, CallEnded{Call: run.Call, Results: []Result{{Kind: NoRoom}}})).To(Equal(1))
		b.now = b.now.Add(memoryQueryTimeout / 2)
		b.m.replicas["a1"].noteOutOfMemory(b.now)
		b.m.nextMemoryQuery.schedule(b.now)
		Expect(asked(b, Tick{})).To(BeZero())
		b.now = b.now.Add(memoryQueryTimeout)
		Expect(asked(b, Tick{})).To(Equal(1))
	})
})
