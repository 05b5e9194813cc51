package stage

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/intake"
)

var _ = Describe("replicas that name a limit", func() {
	bound := func(b *harness, replica string, p intake.Part) {
		b.m.cfg.Gates.SetParts(intake.Named, map[string]intake.Part{replica: p})
	}

	It("get this host's part of the calls, and the others make the rest", func() {
		b := newHarness(pieceParams(4, 0), "x", "y")
		bound(b, "a1", intake.Part{Calls: 1, Window: 4 * time.Second})
		calls, began := map[string]int{}, b.now
		for i := 0; b.now.Sub(began) < 4*time.Second; i++ {
			for _, r := range b.submit(b.newChain(string(rune('a'+i)), Stage{Service: "a", Pieces: 4})) {
				calls[r.Replica]++
			}
			b.now = b.now.Add(300 * time.Millisecond)
			for len(b.running) > 0 {
				b.answer(b.running[0].Call)
			}
		}
		Expect(calls).To(HaveKeyWithValue("a1", 1))
		Expect(calls["a2"]).To(BeNumerically(">", 10))
		Expect(b.refused).To(BeEmpty())
	})

	It("are waited for where no other is, and no longer", func() {
		b := newHarness(pieceParams(4, 0), "x")
		bound(b, "a1", intake.Part{Calls: 1, Window: time.Second})
		Expect(b.submit(b.newChain("j", Stage{Service: "a", Pieces: 4}))).To(HaveLen(1))
		b.answerAll()
		Expect(b.submit(b.newChain("k", Stage{Service: "a", Pieces: 4}))).To(BeEmpty())
		for at := b.now; b.now.Sub(at) < time.Second && len(b.running) == 0; {
			next, due := b.m.NextTick(b.now)
			Expect(due).To(BeTrue())
			b.advance(next.Sub(b.now))
		}
		Expect(b.running).To(HaveLen(1))
		Expect(b.now.Sub(time.Unix(1000, 0))).To(BeNumerically("~", time.Second, 50*time.Millisecond))
	})

	It("of which this host has no part count for nothing: a job is refused with the time until they take calls", func() {
		b := newHarness(pieceParams(4, 0), "x")
		bound(b, "a1", intake.Part{Window: 4 * time.Second})
		b.submit(b.newChain("j", Stage{Service: "a", Pieces: 1}))
		Expect(b.refused["j"].Reason).To(Equal(ReasonNoReplica))
		Expect(b.refused["j"].RetryAfter).To(Equal(4 * time.Second))
	})

	It("slow the prediction down by what they take", func() {
		b := newHarness(pieceParams(4, 0), "x")
		bound(b, "a1", intake.Part{Calls: 1, Window: 2 * time.Second})
		for _, id := range []string{"before", "j"} {
			j := b.newChain(id, Stage{Service: "a", Pieces: 8})
			j.Due = b.now.Add(3 * time.Second)
			b.submit(j)
		}
		Expect(b.refused).NotTo(HaveKey("before"))
		Expect(b.refused["j"].Reason).To(Equal(ReasonOverload), "behind two calls at two seconds each")
	})
})

var _ = Describe("replicas that say they leave", func() {
	It("get no call more; those under way bring their results", func() {
		b := newHarness(pieceParams(4, 0), "x", "y")
		under := b.submit(b.newChain("j", Stage{Service: "a", Pieces: 4}))
		Expect(under).To(HaveLen(1))
		leaver := under[0].Replica
		b.m.cfg.Gates.SetParts(intake.Leaving, map[string]intake.Part{leaver: {}})
		for i := range 6 {
			for _, r := range b.submit(b.newChain(string(rune('k'+i)), Stage{Service: "a", Pieces: 4})) {
				Expect(r.Replica).NotTo(Equal(leaver))
			}
		}
		b.answerAll()
		Expect(b.ready).To(HaveLen(7))
	})

	It("are no replicas to wait for", func() {
		b := newHarness(pieceParams(4, 0), "x")
		b.m.cfg.Gates.SetParts(intake.Leaving, map[string]intake.Part{"a1": {}})
		b.submit(b.newChain("j", Stage{Service: "a", Pieces: 1}))
		Expect(b.refused["j"].Reason).To(Equal(ReasonNoReplica))
	})
})

var _ = Describe("replicas that ask for rest", func() {
	It("are called again when it is over, and others meanwhile", func() {
		b := newHarness(pieceParams(4, 0), "x", "y")
		b.m.cfg.Gates.SetParts(intake.Resting, map[string]intake.Part{"a1": {Until: b.now.Add(3 * time.Second)}})
		began, back := b.now, false
		for i := 0; b.now.Sub(began) < 5*time.Second; i++ {
			for _, r := range b.submit(b.newChain(string(rune('a'+i)), Stage{Service: "a", Pieces: 8})) {
				if r.Replica == "a1" {
					Expect(b.now.Sub(began)).To(BeNumerically(">=", 3*time.Second))
					back = true
				}
			}
			b.answerAll()
		}
		Expect(back).To(BeTrue())
		Expect(b.refused).To(BeEmpty())
	})

	It("are waited for when they are the last, if that is over soon", func() {
		b := newHarness(pieceParams(4, 0), "x")
		b.m.cfg.Gates.SetParts(intake.Resting, map[string]intake.Part{"a1": {Until: b.now.Add(200 * time.Millisecond)}})
		Expect(b.submit(b.newChain("j", Stage{Service: "a", Pieces: 1}))).To(BeEmpty())
		Expect(b.refused).To(BeEmpty())
		Expect(b.advance(200 * time.Millisecond)).To(HaveLen(1))

		b.m.cfg.Gates.SetParts(intake.Resting, map[string]intake.Part{"a1": {Until: b.now.Add(3 * time.Second)}})
		b.submit(b.newChain("k", Stage{Service: "a", Pieces: 1}))
		Expect(b.refused["k"].RetryAfter).To(Equal(3 * time.Second))
	})
})
