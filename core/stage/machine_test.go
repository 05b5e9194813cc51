package stage

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a chain of stages", func() {
	It("hands each stage all results of the one before and frees them once they are read", func() {
		b := newHarness(pieceParams(20, 0), "x")
		b.submit(b.newChain("j", Stage{Service: "a", Pieces: 2}, Stage{Service: "b", Pieces: 3}, Stage{Service: "c", Pieces: 1}))
		b.answer(1)
		Expect(b.results).To(HaveLen(2))
		b.answer(2)
		Expect(b.results).To(HaveLen(3), "the first stage's results are freed")
		b.answer(3)
		Expect(b.ready).To(HaveKey("j"))
		Expect(b.ready["j"].Handles).To(HaveLen(1))
		Expect(b.results).To(HaveLen(1))
		b.endJob("j", Cancelled{Job: "j"})
		Expect(b.results).To(BeEmpty())
	})

	It("leaves out stages without pieces", func() {
		b := newHarness(pieceParams(20, 0), "x")
		b.submit(b.newChain("j", Stage{Service: "a"}, Stage{Service: "b", Pieces: 1, After: []int{}}, Stage{Service: "c", Pieces: 1}))
		b.answerAll()
		Expect(b.ready["j"].Handles).To(HaveLen(1))
	})

	It("runs stages that do not depend on each other side by side", func() {
		b := newHarness(pieceParams(20, 0), "x")
		runs := b.submit(b.newChain("j", Stage{Service: "a", Pieces: 1}, Stage{Service: "b", Pieces: 1, After: []int{}}))
		Expect(runs).To(HaveLen(2))
		b.answerAll()
		Expect(b.ready["j"].Handles).To(HaveLen(2))
	})

	It("says where the results lie and where the time went", func() {
		b := newHarness(pieceParams(20, 0), "x", "y")
		b.submit(b.newChain("j", Stage{Service: "a", Pieces: 2, ResultBytes: 10}))
		b.now = b.now.Add(250 * time.Millisecond)
		b.answer(1)
		r := b.ready["j"]
		Expect(r.DomainBytes).To(Equal(int64(20)))
		Expect(r.Domain).NotTo(BeEmpty())
		Expect(r.Timings).To(Equal([]Timing{{Stage: 0, Work: 250 * time.Millisecond}}))
	})

	It("refuses a job that needs a service without replicas", func() {
		b := newHarness(pieceParams(20, 0))
		b.submit(b.newChain("j", Stage{Service: "a", Pieces: 1}))
		Expect(b.refused["j"].Reason).To(Equal(ReasonNoReplica))
		b.submit(b.newChain("k", Stage{Service: "unknown", Pieces: 1}))
		Expect(b.refused["k"].Reason).To(Equal(ReasonNoReplica))
		Expect(b.refused["k"].RetryAfter).To(BeNumerically(">", 0))
	})
})

var _ = Describe("calls", func() {
	It("hold pieces of many jobs, and all of one stage of a job", func() {
		b := newHarness(pieceParams(10, 0), "x")
		b.submit(b.newChain("first", Stage{Service: "a", Pieces: 4}))
		for i := range 3 {
			b.submit(b.newChain(fmt.Sprint("j", i), Stage{Service: "a", Pieces: 4}))
		}
		Expect(b.running).To(HaveLen(1), "the replica runs one call at a time")
		runs := b.answer(1)
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Pieces).To(HaveLen(8), "a third group of four does not fit a call of ten")
	})

	It("split a stage that is larger than a call", func() {
		b := newHarness(pieceParams(4, 0), "x")
		b.submit(b.newChain("j", Stage{Service: "a", Pieces: 6}))
		b.answerAll()
		Expect(b.ready["j"].Handles).To(HaveLen(6))
	})

	It("are not made for jobs that were cancelled before, and the results of others are freed", func() {
		b := newHarness(pieceParams(4, 0), "x")
		b.submit(b.newChain("runs", Stage{Service: "a", Pieces: 4}))
		b.submit(b.newChain("waits", Stage{Service: "a", Pieces: 4}))
		b.endJob("waits", Cancelled{Job: "waits"})
		b.endJob("runs", Cancelled{Job: "runs"})
		Expect(b.answer(1)).To(BeEmpty())
		Expect(b.released).To(Equal(4))
		Expect(b.results).To(BeEmpty())
	})

	It("go elsewhere when a replica cannot be reached, and a little later when it is busy", func() {
		b := newHarness(pieceParams(4, 0), "x", "x")
		run := b.submit(b.newChain("j", Stage{Service: "a", Pieces: 1}))[0]
		again := b.end(run.Call, CallUnreachable)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Replica).NotTo(Equal(run.Replica))
		Expect(b.end(again[0].Call, CallNotExecuted)).To(BeEmpty())
		Expect(b.advance(100 * time.Millisecond)).To(HaveLen(1))
	})

	It("wait longer for a replica each time that it is busy", func() {
		b := newHarness(pieceParams(4, 0), "x")
		run := b.submit(b.newChain("j", Stage{Service: "a", Pieces: 1}))[0]
		b.end(run.Call, CallNotExecuted)
		run = b.advance(41 * time.Millisecond)[0]
		b.end(run.Call, CallNotExecuted)
		Expect(b.advance(41 * time.Millisecond)).To(BeEmpty())
		Expect(b.advance(41 * time.Millisecond)).To(HaveLen(1))
	})

	It("are given up with the job after MaxTries failures", func() {
		b := newHarness(pieceParams(4, 0), "x", "x", "x", "x", "x", "x")
		b.submit(b.newChain("j", Stage{Service: "a", Pieces: 1}))
		for len(b.running) > 0 {
			b.end(b.running[0].Call, CallFailed)
		}
		Expect(b.refused["j"].Reason).To(Equal(ReasonFailed))
		Expect(b.results).To(BeEmpty())
	})

	It("are made elsewhere too when they are overdue; the first result counts", func() {
		b := newHarness(pieceParams(4, 0), "x", "x")
		slow := b.submit(b.newChain("j", Stage{Service: "a", Pieces: 2}))[0]
		Expect(b.advance(300 * time.Millisecond)).To(BeEmpty())
		second := b.advance(400 * time.Millisecond)
		Expect(second).To(HaveLen(1))
		Expect(second[0].Replica).NotTo(Equal(slow.Replica))
		b.answer(second[0].Call)
		Expect(b.ready).To(HaveKey("j"))
		b.answer(slow.Call)
		Expect(b.results).To(HaveLen(2), "the late results are freed")
		b.endJob("j", Cancelled{Job: "j"})
		Expect(b.results).To(BeEmpty())
	})

	It("leave a slow replica alone for a while, and then try it again", func() {
		b := newHarness(pieceParams(4, 0), "x", "x", "x")
		slow := b.submit(b.newChain("first", Stage{Service: "a", Pieces: 1}))[0]
		b.now = b.now.Add(1500 * time.Millisecond)
		b.answer(slow.Call)
		b.answerAll()
		for i := range 6 {
			for _, r := range b.submit(b.newChain(fmt.Sprint("j", i), Stage{Service: "a", Pieces: 4})) {
				Expect(r.Replica).NotTo(Equal(slow.Replica))
			}
		}
		b.answerAll()
		b.advance(10 * time.Second)
		var used []string
		for i := range 3 {
			for _, r := range b.submit(b.newChain(fmt.Sprint("k", i), Stage{Service: "a", Pieces: 4})) {
				used = append(used, r.Replica)
			}
		}
		Expect(used).To(ContainElement(slow.Replica))
	})

	It("make inputs again that are gone", func() {
		b := newHarness(pieceParams(4, 0), "x")
		b.submit(b.newChain("j", Stage{Service: "a", Pieces: 1}, Stage{Service: "b", Pieces: 2}))
		run := b.answer(1)[0]
		for h := range b.results {
			delete(b.results, h) // its holder has ended
		}
		b.removeCall(run.Call)
		b.m.released = map[*replica][]string{}
		gone := []Result{{Kind: InputGone}, {Kind: InputGone}}
		var runs []Run
		for _, a := range b.m.Step(b.now, CallEnded{Call: run.Call, Results: gone}) {
			if r, ok := a.(Run); ok {
				runs = append(runs, r)
				b.running = append(b.running, r)
			}
		}
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Service).To(Equal("a"))
		b.answerAll()
		Expect(b.ready["j"].Handles).To(HaveLen(2))
	})

	It("leave draining and unlisted replicas alone", func() {
		b := newHarness(pieceParams(4, 0), "x")
		e := Configured{Services: nil, Replicas: nil}
		b.step(e)
		b.submit(b.newChain("j", Stage{Service: "a", Pieces: 1}))
		Expect(b.refused["j"].Reason).To(Equal(ReasonNoReplica))
	})
})

var _ = Describe("order", func() {
	It("takes the more urgent first, and jobs that cannot be on time last", func() {
		b := newHarness(pieceParams(4, 0), "x")
		b.submit(b.newChain("runs", Stage{Service: "a", Pieces: 4}))
		lesser := b.newChain("lesser", Stage{Service: "a", Pieces: 4})
		lesser.Rank.Customer = 2
		urgent := b.newChain("urgent", Stage{Service: "a", Pieces: 4})
		urgent.Due = urgent.Due.Add(time.Second)
		b.submit(lesser)
		b.submit(urgent)
		Expect(b.answer(b.running[0].Call)[0].Pieces[0].Job).To(Equal("urgent"))
	})
})

var _ = Describe("room", func() {
	It("bounds the results that a replica holds", func() {
		b := newHarness(pieceParams(10, 1000), "x")
		for i := range 4 {
			b.submit(b.newChain(fmt.Sprint("j", i), Stage{Service: "a", Pieces: 3, ResultBytes: 100}))
		}
		b.answerAll()
		Expect(b.ready).To(HaveLen(3), "nine results of 100 bytes fit 1000")
		b.endJob("j0", Cancelled{Job: "j0"})
		b.answerAll()
		Expect(b.ready).To(HaveLen(4))
	})
})

var _ = Describe("failure domains", func() {
	heavy := Stage{Service: "a", Pieces: 1, ResultBytes: 800_000}

	It("waits for the job's own while there is time", func() {
		b := newHarness(pieceParams(1, 0), "x", "y")
		first, second := b.newChain("first", heavy), b.newChain("second", heavy)
		first.Domain, second.Domain = "x", "x"
		Expect(b.submit(first)[0].Replica).To(Equal("a1"))
		Expect(b.submit(second)).To(BeEmpty(), "y would be idle")
		Expect(b.answer(1)[0].Replica).To(Equal("a1"))
	})

	It("goes elsewhere when the job would be late, or its own has no replica", func() {
		b := newHarness(pieceParams(1, 0), "x", "y")
		first, second, third := b.newChain("first", heavy), b.newChain("second", heavy), b.newChain("third", heavy)
		first.Domain, second.Domain, third.Domain = "x", "x", "z"
		second.Due = b.now.Add(500 * time.Millisecond)
		b.submit(first)
		Expect(b.submit(second)[0].Replica).To(Equal("a2"))
		Expect(b.answer(1)).To(BeEmpty())
		Expect(b.submit(third)).To(HaveLen(1))
	})

	It("makes what many pieces read where their readers have least to do", func() {
		b := newHarness(pieceParams(10, 0), "x", "y")
		chain := []Stage{{Service: "a", Pieces: 1, ResultBytes: 60_000}, {Service: "b", Pieces: 6}}
		one := b.submit(b.newChain("one", chain...))[0]
		two := b.submit(b.newChain("two", chain...))[0]
		Expect(two.Replica).NotTo(Equal(one.Replica))
		reader := b.answer(one.Call)[0]
		Expect(reader.Replica[1:]).To(Equal(one.Replica[1:]), "the reader is made where its input lies")
	})
})

var _ = Describe("admission", func() {
	It("refuses what could not be ready in time, and says when to come back", func() {
		b := newHarness(pieceParams(4, 0), "x")
		admitted := 0
		for i := range 40 {
			j := b.newChain(fmt.Sprint("j", i), Stage{Service: "a", Pieces: 4})
			j.Due = b.now.Add(time.Second)
			b.submit(j)
			if _, ok := b.refused[j.ID]; !ok {
				admitted++
			}
		}
		Expect(admitted).To(And(BeNumerically(">=", 2), BeNumerically("<=", 5)))
		for _, r := range b.refused {
			Expect(r.Reason).To(Equal(ReasonOverload))
			Expect(r.RetryAfter).To(BeNumerically(">", 0))
			Expect(r.Predicted).To(BeNumerically(">", time.Second))
		}
	})

	It("lets the more urgent pass the less urgent", func() {
		b := newHarness(pieceParams(4, 0), "x")
		for i := range 10 {
			j := b.newChain(fmt.Sprint("low", i), Stage{Service: "a", Pieces: 4})
			j.Rank.Customer = 2
			b.submit(j)
		}
		urgent := b.newChain("urgent", Stage{Service: "a", Pieces: 4})
		urgent.Due = b.now.Add(time.Second)
		b.submit(urgent)
		Expect(b.refused).NotTo(HaveKey("urgent"))
	})

	It("admits what could hardly be on time if nothing else ran, unless it would wait or is due already", func() {
		b := newHarness(pieceParams(4, 0), "x")
		work := Stage{Service: "a", Pieces: 4} // 280 ms
		tight := b.newChain("tight", work)
		tight.Due = b.now.Add(100 * time.Millisecond)
		b.submit(tight)
		Expect(b.refused).NotTo(HaveKey("tight"))
		queued := b.newChain("queued", work)
		queued.Due = b.now.Add(110 * time.Millisecond)
		b.submit(queued)
		Expect(b.refused).To(HaveKey("queued"))
		over := newHarness(pieceParams(4, 0), "x")
		past := over.newChain("past", work)
		past.Due = over.now
		over.submit(past)
		Expect(over.refused).To(HaveKey("past"))
	})

	It("makes a job that may still be on time before those that cannot", func() {
		b := newHarness(pieceParams(4, 0), "x")
		work := Stage{Service: "a", Pieces: 4} // 280 ms
		first := b.submit(b.newChain("first", work))[0]
		mayBe, cannot := b.newChain("may-be", work), b.newChain("cannot", work)
		mayBe.Due, mayBe.Latest = b.now.Add(600*time.Millisecond), b.now.Add(time.Second)
		cannot.Due = b.now.Add(590 * time.Millisecond)
		b.submit(cannot)
		b.submit(mayBe)
		b.now = b.now.Add(500 * time.Millisecond)
		Expect(b.answer(first.Call)[0].Pieces[0].Job).To(Equal("may-be"), "cannot ranks first, and its time is over")
	})

	It("refuses a job that is still not ready some time after it can only be late", func() {
		b := newHarness(pieceParams(4, 0), "x")
		first := b.submit(b.newChain("first", Stage{Service: "a", Pieces: 4}))[0]
		starved := b.newChain("starved", Stage{Service: "a", Pieces: 4})
		starved.Due = b.now.Add(600 * time.Millisecond)
		b.submit(starved)
		next, ok := b.m.NextTick(starved.Due)
		Expect(ok).To(BeTrue())
		Expect(next.After(starved.Due.Add(b.m.cfg.LateGrace))).To(BeFalse())
		b.now = starved.Due.Add(b.m.cfg.LateGrace - time.Millisecond)
		b.step(Tick{})
		Expect(b.refused).To(BeEmpty())
		b.advance(time.Millisecond)
		Expect(b.refused["starved"].Reason).To(Equal(ReasonOverload))
		Expect(b.refused["starved"].RetryAfter).To(BeNumerically(">", 0))
		Expect(b.answer(first.Call)).To(BeEmpty(), "nothing is made for it any more")
	})

	It("ends a job at its deadline", func() {
		b := newHarness(pieceParams(4, 0), "x")
		j := b.newChain("j", Stage{Service: "a", Pieces: 1})
		j.Deadline = b.now.Add(time.Second)
		b.submit(j)
		next, ok := b.m.NextTick(b.now)
		Expect(ok).To(BeTrue())
		Expect(next.After(j.Deadline)).To(BeFalse())
		b.advance(time.Second)
		Expect(b.refused["j"].Reason).To(Equal(ReasonExpired))
	})

	It("needs no tick without jobs", func() {
		b := newHarness(pieceParams(4, 0), "x")
		_, ok := b.m.NextTick(b.now)
		Expect(ok).To(BeFalse())
	})
})
