package stage

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/intake"
)

var _ = Describe("replicas with a call limit", func() {
	setLimit := func(h *harness, replica string, p intake.Quota) {
		h.m.cfg.Limiters.SetQuotas(intake.AnnouncedLimit, map[string]intake.Quota{replica: p})
	}

	It("get only this host's share of the calls; other replicas get the rest", func() {
		h := newHarness(pieceParams(4, 0), "x", "y")
		setLimit(h, "a1", intake.Quota{Calls: 1, Window: 4 * time.Second})
		calls, start := map[string]int{}, h.now
		for i := 0; h.now.Sub(start) < 4*time.Second; i++ {
			for _, r := range h.submit(h.newChain(string(rune('a'+i)), Stage{Service: "a", Pieces: 4})) {
				calls[r.Replica]++
			}
			h.now = h.now.Add(300 * time.Millisecond)
			for len(h.running) > 0 {
				h.answer(h.running[0].Call)
			}
		}
		Expect(calls).To(HaveKeyWithValue("a1", 1))
		Expect(calls["a2"]).To(BeNumerically(">", 10))
		Expect(h.refused).To(BeEmpty())
	})

	It("are waited for if there is no other replica, until the limit allows a call", func() {
		h := newHarness(pieceParams(4, 0), "x")
		setLimit(h, "a1", intake.Quota{Calls: 1, Window: time.Second})
		Expect(h.submit(h.newChain("j", Stage{Service: "a", Pieces: 4}))).To(HaveLen(1))
		h.answerAll()
		Expect(h.submit(h.newChain("k", Stage{Service: "a", Pieces: 4}))).To(BeEmpty())
		for at := h.now; h.now.Sub(at) < time.Second && len(h.running) == 0; {
			next, due := h.m.NextTick(h.now)
			Expect(due).To(BeTrue())
			h.advance(next.Sub(h.now))
		}
		Expect(h.running).To(HaveLen(1))
		Expect(h.now.Sub(time.Unix(1000, 0))).To(BeNumerically("~", time.Second, 50*time.Millisecond))
	})

	It("with a share of 0 for this host are not usable; refusals return the time until they accept calls", func() {
		h := newHarness(pieceParams(4, 0), "x")
		setLimit(h, "a1", intake.Quota{Window: 4 * time.Second})
		h.submit(h.newChain("j", Stage{Service: "a", Pieces: 1}))
		Expect(h.refused["j"].Reason).To(Equal(ReasonNoReplica))
		Expect(h.refused["j"].RetryAfter).To(Equal(4 * time.Second))
	})

	It("are predicted at the limited rate", func() {
		h := newHarness(pieceParams(4, 0), "x")
		setLimit(h, "a1", intake.Quota{Calls: 1, Window: 2 * time.Second})
		for _, id := range []string{"before", "j"} {
			j := h.newChain(id, Stage{Service: "a", Pieces: 8})
			j.Due = h.now.Add(3 * time.Second)
			h.submit(j)
		}
		Expect(h.refused).NotTo(HaveKey("before"))
		Expect(h.refused["j"].Reason).To(Equal(ReasonOverload), "queued behind two calls of two seconds each")
	})
})

var _ = Describe("replicas that announce that they are leaving", func() {
	It("get no further calls, and running calls return their results", func() {
		h := newHarness(pieceParams(4, 0), "x", "y")
		runs := h.submit(h.newChain("j", Stage{Service: "a", Pieces: 4}))
		Expect(runs).To(HaveLen(1))
		leaving := runs[0].Replica
		h.m.cfg.Limiters.SetQuotas(intake.Leaving, map[string]intake.Quota{leaving: {}})
		for i := range 6 {
			for _, r := range h.submit(h.newChain(string(rune('k'+i)), Stage{Service: "a", Pieces: 4})) {
				Expect(r.Replica).NotTo(Equal(leaving))
			}
		}
		h.answerAll()
		Expect(h.ready).To(HaveLen(7))
	})

	It("are not waited for", func() {
		h := newHarness(pieceParams(4, 0), "x")
		h.m.cfg.Limiters.SetQuotas(intake.Leaving, map[string]intake.Quota{"a1": {}})
		h.submit(h.newChain("j", Stage{Service: "a", Pieces: 1}))
		Expect(h.refused["j"].Reason).To(Equal(ReasonNoReplica))
	})
})

var _ = Describe("replicas that ask for a backoff", func() {
	It("are called again when the backoff is over; others are called meanwhile", func() {
		h := newHarness(pieceParams(4, 0), "x", "y")
		h.m.cfg.Limiters.SetQuotas(intake.BackingOff, map[string]intake.Quota{"a1": {BlockedUntil: h.now.Add(3 * time.Second)}})
		start, calledAgain := h.now, false
		for i := 0; h.now.Sub(start) < 5*time.Second; i++ {
			for _, r := range h.submit(h.newChain(string(rune('a'+i)), Stage{Service: "a", Pieces: 8})) {
				if r.Replica == "a1" {
					Expect(h.now.Sub(start)).To(BeNumerically(">=", 3*time.Second))
					calledAgain = true
				}
			}
			h.answerAll()
		}
		Expect(calledAgain).To(BeTrue())
		Expect(h.refused).To(BeEmpty())
	})

	It("are waited for if there is no other and the backoff ends soon", func() {
		h := newHarness(pieceParams(4, 0), "x")
		h.m.cfg.Limiters.SetQuotas(intake.BackingOff, map[string]intake.Quota{"a1": {BlockedUntil: h.now.Add(200 * time.Millisecond)}})
		Expect(h.submit(h.newChain("j", Stage{Service: "a", Pieces: 1}))).To(BeEmpty())
		Expect(h.refused).To(BeEmpty())
		Expect(h.advance(200 * time.Millisecond)).To(HaveLen(1))

		h.m.cfg.Limiters.SetQuotas(intake.BackingOff, map[string]intake.Quota{"a1": {BlockedUntil: h.now.Add(3 * time.Second)}})
		h.submit(h.newChain("k", Stage{Service: "a", Pieces: 1}))
		Expect(h.refused["k"].RetryAfter).To(Equal(3 * time.Second))
	})
})
