package stage

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a chain of stages", func() {
	It("passes each stage all results of the one before and releases them once they are read", func() {
		h := newHarness(pieceParams(20, 0), "x")
		h.submit(h.newChain("j", Stage{Service: "a", Pieces: 2}, Stage{Service: "b", Pieces: 3}, Stage{Service: "c", Pieces: 1}))
		h.answer(1)
		Expect(h.results).To(HaveLen(2))
		h.answer(2)
		Expect(h.results).To(HaveLen(3), "the first stage's results are released")
		h.answer(3)
		Expect(h.ready).To(HaveKey("j"))
		Expect(h.ready["j"].Handles).To(HaveLen(1))
		Expect(h.results).To(HaveLen(1))
		h.endJob("j", Cancelled{Job: "j"})
		Expect(h.results).To(BeEmpty())
	})

	It("leaves out stages without pieces", func() {
		h := newHarness(pieceParams(20, 0), "x")
		h.submit(h.newChain("j", Stage{Service: "a"}, Stage{Service: "b", Pieces: 1, DependsOn: []int{}}, Stage{Service: "c", Pieces: 1}))
		h.answerAll()
		Expect(h.ready["j"].Handles).To(HaveLen(1))
	})

	It("runs independent stages concurrently", func() {
		h := newHarness(pieceParams(20, 0), "x")
		runs := h.submit(h.newChain("j", Stage{Service: "a", Pieces: 1}, Stage{Service: "b", Pieces: 1, DependsOn: []int{}}))
		Expect(runs).To(HaveLen(2))
		h.answerAll()
		Expect(h.ready["j"].Handles).To(HaveLen(2))
	})

	It("reports the domain of the results and the timing of the stages", func() {
		h := newHarness(pieceParams(20, 0), "x", "y")
		h.submit(h.newChain("j", Stage{Service: "a", Pieces: 2, ResultBytes: 10}))
		h.now = h.now.Add(250 * time.Millisecond)
		h.answer(1)
		r := h.ready["j"]
		Expect(r.DomainBytes).To(Equal(int64(20)))
		Expect(r.Domain).NotTo(BeEmpty())
		Expect(r.Timings).To(Equal([]Timing{{Stage: 0, Execution: 250 * time.Millisecond}}))
	})

	It("refuses a job that needs a service without replicas", func() {
		h := newHarness(pieceParams(20, 0))
		h.submit(h.newChain("j", Stage{Service: "a", Pieces: 1}))
		Expect(h.refused["j"].Reason).To(Equal(ReasonNoReplica))
		h.submit(h.newChain("k", Stage{Service: "unknown", Pieces: 1}))
		Expect(h.refused["k"].Reason).To(Equal(ReasonNoReplica))
		Expect(h.refused["k"].RetryAfter).To(BeNumerically(">", 0))
	})
})

var _ = Describe("calls", func() {
	It("hold pieces of many jobs, and all of one stage of a job", func() {
		h := newHarness(pieceParams(10, 0), "x")
		h.submit(h.newChain("first", Stage{Service: "a", Pieces: 4}))
		for i := range 3 {
			h.submit(h.newChain(fmt.Sprint("j", i), Stage{Service: "a", Pieces: 4}))
		}
		Expect(h.running).To(HaveLen(1), "the replica runs one call at a time")
		runs := h.answer(1)
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Pieces).To(HaveLen(8), "a third group of four does not fit a call of ten")
	})

	It("split a stage that is larger than a call", func() {
		h := newHarness(pieceParams(4, 0), "x")
		h.submit(h.newChain("j", Stage{Service: "a", Pieces: 6}))
		h.answerAll()
		Expect(h.ready["j"].Handles).To(HaveLen(6))
	})

	It("are not made for cancelled jobs, and the results of jobs cancelled later are released", func() {
		h := newHarness(pieceParams(4, 0), "x")
		h.submit(h.newChain("runs", Stage{Service: "a", Pieces: 4}))
		h.submit(h.newChain("waits", Stage{Service: "a", Pieces: 4}))
		h.endJob("waits", Cancelled{Job: "waits"})
		h.endJob("runs", Cancelled{Job: "runs"})
		Expect(h.answer(1)).To(BeEmpty())
		Expect(h.released).To(Equal(4))
		Expect(h.results).To(BeEmpty())
	})

	It("go to another replica if one is unreachable, and are retried later if it refuses", func() {
		h := newHarness(pieceParams(4, 0), "x", "x")
		run := h.submit(h.newChain("j", Stage{Service: "a", Pieces: 1}))[0]
		retried := h.end(run.Call, CallUnreachable)
		Expect(retried).To(HaveLen(1))
		Expect(retried[0].Replica).NotTo(Equal(run.Replica))
		Expect(h.end(retried[0].Call, CallNotExecuted)).To(BeEmpty())
		Expect(h.advance(100 * time.Millisecond)).To(HaveLen(1))
	})

	It("wait longer for a replica after each refusal", func() {
		h := newHarness(pieceParams(4, 0), "x")
		run := h.submit(h.newChain("j", Stage{Service: "a", Pieces: 1}))[0]
		h.end(run.Call, CallNotExecuted)
		run = h.advance(41 * time.Millisecond)[0]
		h.end(run.Call, CallNotExecuted)
		Expect(h.advance(41 * time.Millisecond)).To(BeEmpty())
		Expect(h.advance(41 * time.Millisecond)).To(HaveLen(1))
	})

	It("are not retried after MaxAttempts failures, and the job is refused", func() {
		h := newHarness(pieceParams(4, 0), "x", "x", "x", "x", "x", "x")
		h.submit(h.newChain("j", Stage{Service: "a", Pieces: 1}))
		for len(h.running) > 0 {
			h.end(h.running[0].Call, CallFailed)
		}
		Expect(h.refused["j"].Reason).To(Equal(ReasonFailed))
		Expect(h.results).To(BeEmpty())
	})

	It("are hedged at another replica when they are overdue; the first result is used", func() {
		h := newHarness(pieceParams(4, 0), "x", "x")
		slowCall := h.submit(h.newChain("j", Stage{Service: "a", Pieces: 2}))[0]
		Expect(h.advance(300 * time.Millisecond)).To(BeEmpty())
		second := h.advance(400 * time.Millisecond)
		Expect(second).To(HaveLen(1))
		Expect(second[0].Replica).NotTo(Equal(slowCall.Replica))
		h.answer(second[0].Call)
		Expect(h.ready).To(HaveKey("j"))
		h.answer(slowCall.Call)
		Expect(h.results).To(HaveLen(2), "the late results are released")
		h.endJob("j", Cancelled{Job: "j"})
		Expect(h.results).To(BeEmpty())
	})

	It("avoid a slow replica for a while and then use it again", func() {
		h := newHarness(pieceParams(4, 0), "x", "x", "x")
		slow := h.submit(h.newChain("first", Stage{Service: "a", Pieces: 1}))[0]
		h.now = h.now.Add(1500 * time.Millisecond)
		h.answer(slow.Call)
		h.answerAll()
		for i := range 6 {
			for _, r := range h.submit(h.newChain(fmt.Sprint("j", i), Stage{Service: "a", Pieces: 4})) {
				Expect(r.Replica).NotTo(Equal(slow.Replica))
			}
		}
		h.answerAll()
		h.advance(10 * time.Second)
		var used []string
		for i := range 3 {
			for _, r := range h.submit(h.newChain(fmt.Sprint("k", i), Stage{Service: "a", Pieces: 4})) {
				used = append(used, r.Replica)
			}
		}
		Expect(used).To(ContainElement(slow.Replica))
	})

	It("recompute inputs that are gone", func() {
		h := newHarness(pieceParams(4, 0), "x")
		h.submit(h.newChain("j", Stage{Service: "a", Pieces: 1}, Stage{Service: "b", Pieces: 2}))
		run := h.answer(1)[0]
		for handle := range h.results {
			delete(h.results, handle) // the replica that held it has ended
		}
		h.removeCall(run.Call)
		h.m.released = map[*replica][]string{}
		gone := []Result{{Kind: PieceInputMissing}, {Kind: PieceInputMissing}}
		var runs []Run
		for _, a := range h.m.Step(h.now, CallEnded{Call: run.Call, Results: gone}) {
			if r, ok := a.(Run); ok {
				runs = append(runs, r)
				h.running = append(h.running, r)
			}
		}
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Service).To(Equal("a"))
		h.answerAll()
		Expect(h.ready["j"].Handles).To(HaveLen(2))
	})

	It("are not made to unlisted replicas", func() {
		h := newHarness(pieceParams(4, 0), "x")
		e := Configured{Services: nil, Replicas: nil}
		h.step(e)
		h.submit(h.newChain("j", Stage{Service: "a", Pieces: 1}))
		Expect(h.refused["j"].Reason).To(Equal(ReasonNoReplica))
	})
})

var _ = Describe("order", func() {
	It("prefers the more urgent customer", func() {
		h := newHarness(pieceParams(4, 0), "x")
		h.submit(h.newChain("runs", Stage{Service: "a", Pieces: 4}))
		lesser := h.newChain("lesser", Stage{Service: "a", Pieces: 4})
		lesser.Rank.Customer = 2
		urgent := h.newChain("urgent", Stage{Service: "a", Pieces: 4})
		urgent.Due = urgent.Due.Add(time.Second)
		h.submit(lesser)
		h.submit(urgent)
		Expect(h.answer(h.running[0].Call)[0].Pieces[0].Job).To(Equal("urgent"))
	})
})

var _ = Describe("result memory", func() {
	It("bounds the results that a replica holds", func() {
		h := newHarness(pieceParams(10, 1000), "x")
		for i := range 4 {
			h.submit(h.newChain(fmt.Sprint("j", i), Stage{Service: "a", Pieces: 3, ResultBytes: 100}))
		}
		h.answerAll()
		Expect(h.ready).To(HaveLen(3), "nine results of 100 bytes fit into 1000")
		h.endJob("j0", Cancelled{Job: "j0"})
		h.answerAll()
		Expect(h.ready).To(HaveLen(4))
	})
})

var _ = Describe("failure domains", func() {
	heavy := Stage{Service: "a", Pieces: 1, ResultBytes: 800_000}

	It("waits for the job's preferred domain while there is time", func() {
		h := newHarness(pieceParams(1, 0), "x", "y")
		first, second := h.newChain("first", heavy), h.newChain("second", heavy)
		first.Domain, second.Domain = "x", "x"
		Expect(h.submit(first)[0].Replica).To(Equal("a1"))
		Expect(h.submit(second)).To(BeEmpty(), "y would be idle")
		Expect(h.answer(1)[0].Replica).To(Equal("a1"))
	})

	It("uses another domain if the job would be late or the preferred one has no replica", func() {
		h := newHarness(pieceParams(1, 0), "x", "y")
		first, second, third := h.newChain("first", heavy), h.newChain("second", heavy), h.newChain("third", heavy)
		first.Domain, second.Domain, third.Domain = "x", "x", "z"
		second.Due = h.now.Add(500 * time.Millisecond)
		h.submit(first)
		Expect(h.submit(second)[0].Replica).To(Equal("a2"))
		Expect(h.answer(1)).To(BeEmpty())
		Expect(h.submit(third)).To(HaveLen(1))
	})

	It("executes pieces in the domain whose readers have the least work", func() {
		h := newHarness(pieceParams(10, 0), "x", "y")
		chain := []Stage{{Service: "a", Pieces: 1, ResultBytes: 60_000}, {Service: "b", Pieces: 6}}
		one := h.submit(h.newChain("one", chain...))[0]
		two := h.submit(h.newChain("two", chain...))[0]
		Expect(two.Replica).NotTo(Equal(one.Replica))
		reader := h.answer(one.Call)[0]
		Expect(reader.Replica[1:]).To(Equal(one.Replica[1:]), "the reader runs in the domain of its input")
	})
})

var _ = Describe("admission", func() {
	It("refuses jobs that could not be ready in time, with a retry delay", func() {
		h := newHarness(pieceParams(4, 0), "x")
		admitted := 0
		for i := range 40 {
			j := h.newChain(fmt.Sprint("j", i), Stage{Service: "a", Pieces: 4})
			j.Due = h.now.Add(time.Second)
			h.submit(j)
			if _, ok := h.refused[j.ID]; !ok {
				admitted++
			}
		}
		Expect(admitted).To(And(BeNumerically(">=", 2), BeNumerically("<=", 5)))
		for _, r := range h.refused {
			Expect(r.Reason).To(Equal(ReasonOverload))
			Expect(r.RetryAfter).To(BeNumerically(">", 0))
			Expect(r.Predicted).To(BeNumerically(">", time.Second))
		}
	})

	It("does not count less urgent jobs against a more urgent one", func() {
		h := newHarness(pieceParams(4, 0), "x")
		for i := range 10 {
			j := h.newChain(fmt.Sprint("low", i), Stage{Service: "a", Pieces: 4})
			j.Rank.Customer = 2
			h.submit(j)
		}
		urgent := h.newChain("urgent", Stage{Service: "a", Pieces: 4})
		urgent.Due = h.now.Add(time.Second)
		h.submit(urgent)
		Expect(h.refused).NotTo(HaveKey("urgent"))
	})

	It("admits a job that is tight on an idle fleet, unless it would queue or is already due", func() {
		h := newHarness(pieceParams(4, 0), "x")
		work := Stage{Service: "a", Pieces: 4} // 280 ms
		tight := h.newChain("tight", work)
		tight.Due = h.now.Add(100 * time.Millisecond)
		h.submit(tight)
		Expect(h.refused).NotTo(HaveKey("tight"))
		queued := h.newChain("queued", work)
		queued.Due = h.now.Add(110 * time.Millisecond)
		h.submit(queued)
		Expect(h.refused).To(HaveKey("queued"))
		over := newHarness(pieceParams(4, 0), "x")
		past := over.newChain("past", work)
		past.Due = over.now
		over.submit(past)
		Expect(over.refused).To(HaveKey("past"))
	})

	It("executes a job that may still be on time before those that cannot", func() {
		h := newHarness(pieceParams(4, 0), "x")
		work := Stage{Service: "a", Pieces: 4} // 280 ms
		first := h.submit(h.newChain("first", work))[0]
		mayBe, cannot := h.newChain("may-be", work), h.newChain("cannot", work)
		mayBe.Due, mayBe.Latest = h.now.Add(600*time.Millisecond), h.now.Add(time.Second)
		cannot.Due = h.now.Add(590 * time.Millisecond)
		h.submit(cannot)
		h.submit(mayBe)
		h.now = h.now.Add(500 * time.Millisecond)
		Expect(h.answer(first.Call)[0].Pieces[0].Job).To(Equal("may-be"), "cannot is due first, but can no longer be on time")
	})

	It("refuses a job that still needs calls LateGrace after its due time", func() {
		h := newHarness(pieceParams(4, 0), "x")
		first := h.submit(h.newChain("first", Stage{Service: "a", Pieces: 4}))[0]
		starved := h.newChain("starved", Stage{Service: "a", Pieces: 4})
		starved.Due = h.now.Add(600 * time.Millisecond)
		h.submit(starved)
		next, ok := h.m.NextTick(starved.Due)
		Expect(ok).To(BeTrue())
		Expect(next.After(starved.Due.Add(h.m.cfg.LateGrace))).To(BeFalse())
		h.now = starved.Due.Add(h.m.cfg.LateGrace - time.Millisecond)
		h.step(Tick{})
		Expect(h.refused).To(BeEmpty())
		h.advance(time.Millisecond)
		Expect(h.refused["starved"].Reason).To(Equal(ReasonOverload))
		Expect(h.refused["starved"].RetryAfter).To(BeNumerically(">", 0))
		Expect(h.answer(first.Call)).To(BeEmpty(), "no call is made for it any more")
	})

	It("refuses a job at its deadline", func() {
		h := newHarness(pieceParams(4, 0), "x")
		j := h.newChain("j", Stage{Service: "a", Pieces: 1})
		j.Deadline = h.now.Add(time.Second)
		h.submit(j)
		next, ok := h.m.NextTick(h.now)
		Expect(ok).To(BeTrue())
		Expect(next.After(j.Deadline)).To(BeFalse())
		h.advance(time.Second)
		Expect(h.refused["j"].Reason).To(Equal(ReasonExpired))
	})

	It("needs no tick without jobs", func() {
		h := newHarness(pieceParams(4, 0), "x")
		_, ok := h.m.NextTick(h.now)
		Expect(ok).To(BeFalse())
	})
})
