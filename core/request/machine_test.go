package request

import (
	"encoding/json"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/problem"
)

var errNoMajority = errors.New("no majority")

var _ = Describe("Machine", func() {
	var h *harness

	// settled checks what must hold after every request.
	settled := func() {
		GinkgoHelper()
		Expect(h.finish()).NotTo(BeNil())
		Expect(h.m.Finished()).To(BeTrue())
		Expect(h.m.Idle()).To(BeTrue())
		Expect(h.router.inFlight).To(BeZero())
		Expect(h.admit.held).To(BeZero())
		Expect(h.admit.admitted).To(BeZero())
	}

	It("walks the stages and answers", func() {
		h = newHarness(false)
		h.step(Start{})
		h.ok(1)
		h.ok(2)
		settled()
		Expect(h.finish().Answer.Stages).To(HaveLen(2))
		Expect(h.finish().Answer.BundleVersion).To(BeEquivalentTo(7))
		Expect(actions[Keep](h.log)).To(HaveLen(1))
	})

	It("tells each call by when it must start for the later stages to fit", func() {
		h = newHarness(false)
		h.step(Start{})
		h.ok(1)
		calls := actions[Call](h.log)
		// Of one second, the first stage takes 10 ms and the last 100 ms.
		Expect(calls[0].StartBy).To(Equal(epoch.Add(890 * time.Millisecond)))
		Expect(calls[1].StartBy).To(Equal(epoch.Add(900 * time.Millisecond)))
	})

	It("refuses without a call when admission refuses", func() {
		h = newHarness(false)
		h.admit.refuse = problem.New(problem.Overloaded, "full")
		h.step(Start{})
		settled()
		Expect(h.finish().Err.Execution).To(Equal(problem.NotRun))
		Expect(actions[Call](h.log)).To(BeEmpty())
	})

	It("refuses without a call when a later pool fails as a whole", func() {
		h = newHarness(false)
		h.health.failing = "lm"
		h.step(Start{})
		settled()
		Expect(h.finish().Err.Kind).To(Equal(problem.NoUpstream))
		Expect(h.finish().Err.Execution).To(Equal(problem.NotRun))
	})

	It("tells which calls failed, and not those that it cancelled itself", func() {
		h = newHarness(false)
		h.step(Start{})
		h.step(CallEnded{Attempt: 1, Result: CallFailed})
		h.ok(2)
		h.step(CallerGone{})
		h.step(CallEnded{Attempt: 3, Result: CallFailed})
		settled()
		Expect(h.health.failed).To(Equal(1))
		Expect(h.health.succeeded).To(Equal(1))
	})

	It("voids the key before it says not_run about a claimable request", func() {
		h = newHarness(true)
		h.admit.refuse = problem.New(problem.Overloaded, "full")
		h.step(Start{})
		Expect(h.finish().Settle).To(Equal(SettleVoid))
		Expect(h.finish().Key).To(Equal(ClaimKey{Customer: "c", Key: "k", Stage: "last"}))
	})

	It("retries a failed repeatable stage elsewhere", func() {
		h = newHarness(false)
		h.step(Start{})
		h.step(CallEnded{Attempt: 1, Result: CallFailed})
		Expect(h.router.queries[1].Tried).To(Equal([]string{"u1"}))
		Expect(h.router.queries[1].TriedDomains).To(Equal([]string{"d-u1"}))
		h.ok(2)
		h.ok(3)
		settled()
		Expect(h.finish().Answer).NotTo(BeNil())
	})

	It("stops retrying when the budget is used up", func() {
		h = newHarness(false)
		h.retries.left = 0
		h.step(Start{})
		h.step(CallEnded{Attempt: 1, Result: CallFailed})
		settled()
		Expect(h.finish().Err.Kind).To(Equal(problem.UpstreamFailed))
		Expect(h.finish().Err.Execution).To(Equal(problem.MayHaveRun))
	})

	It("does not retry a call that the upstream found invalid", func() {
		h = newHarness(false)
		h.step(Start{})
		h.step(CallEnded{Attempt: 1, Result: CallFailed, Rejected: true})
		settled()
		Expect(h.finish().Err.Kind).To(Equal(problem.UpstreamRefused))
	})

	It("says not_run when every call was refused unexecuted", func() {
		h = newHarness(false)
		h.retries.left = 1
		h.step(Start{})
		h.step(CallEnded{Attempt: 1, Result: CallRefused, NotExecuted: true})
		h.step(CallEnded{Attempt: 2, Result: CallRefused, NotExecuted: true})
		settled()
		Expect(h.finish().Err.Execution).To(Equal(problem.NotRun))
	})

	It("answers at the deadline and cancels what runs", func() {
		h = newHarness(false)
		h.step(Start{})
		h.now = epoch.Add(time.Second)
		h.step(TimerFired{Timer: TimerDeadline})
		Expect(h.finish().Err.Kind).To(Equal(problem.DeadlineExceeded))
		Expect(h.finish().Err.Execution).To(Equal(problem.MayHaveRun))
		Expect(actions[Cancel](h.log)).To(HaveLen(1))
		h.step(CallEnded{Attempt: 1, Result: CallCancelled})
		settled()
	})

	It("drops an answer that comes twice or for an unknown attempt", func() {
		h = newHarness(false)
		h.step(Start{})
		h.ok(1)
		Expect(h.ok(1)).To(BeEmpty())
		Expect(h.ok(9)).To(BeEmpty())
		h.ok(2)
		settled()
		Expect(h.m.Dropped()).To(Equal(2))
	})

	It("resumes from a kept result", func() {
		h = newHarness(false, func(s *Spec) { s.Kept = map[string]json.RawMessage{"first": json.RawMessage(`"kept"`)} })
		h.step(Start{})
		Expect(actions[Call](h.log)[0].Stage.Name).To(Equal("last"))
		h.ok(1)
		settled()
		Expect(h.finish().Answer.Stages[0].Reused).To(BeTrue())
	})

	Describe("waiting for a slot", func() {
		BeforeEach(func() {
			h = newHarness(false)
			h.admit.slots = 0
			h.step(Start{})
			Expect(h.admit.queue).To(HaveLen(1))
		})

		grant := func(err *problem.Error) SlotGranted {
			t := h.admit.queue[0]
			h.admit.queue = nil
			if err == nil {
				h.admit.held++
			}
			return SlotGranted{Grant: Grant{Ticket: t, Err: err}}
		}

		It("goes on when the slot is granted", func() {
			h.admit.slots = 1
			h.step(grant(nil))
			h.ok(1)
			h.ok(2)
			settled()
		})

		It("refuses at once when the wait cannot succeed", func() {
			h.step(grant(problem.New(problem.Overloaded, "too late")))
			settled()
			Expect(h.finish().Err.Execution).To(Equal(problem.NotRun))
		})

		It("returns a slot that was granted to an attempt that gave up", func() {
			g := grant(nil)
			h.step(CallerGone{})
			h.step(g)
			settled()
		})
	})

	Describe("hedging", func() {
		hedged := func() {
			h = newHarness(false)
			h.router.latency = 20 * time.Millisecond
			h.step(Start{})
			h.now = h.now.Add(20 * time.Millisecond)
			h.step(TimerFired{Timer: TimerHedge, Attempt: 1})
			Expect(actions[Call](h.log)).To(HaveLen(2))
		}

		It("takes the first answer and cancels the other", func() {
			hedged()
			h.ok(2)
			Expect(actions[Cancel](h.log)).To(Equal([]Cancel{{Attempt: 1}}))
			h.step(CallEnded{Attempt: 1, Result: CallOK})
			h.ok(3)
			settled()
			Expect(h.finish().Answer).NotTo(BeNil())
		})

		DescribeTable("waits with a hedge the longer, the more cost weighs",
			func(o bundle.Objective, want time.Duration) {
				h = newHarness(false)
				h.m.spec.Bundle.Objective = o
				h.router.latency = 20 * time.Millisecond
				h.step(Start{})
				// Sent after 1 ms; the two stages need 40 ms of one second.
				timers := actions[SetTimer](h.log)
				Expect(timers[len(timers)-1].At).To(Equal(epoch.Add(want)))
			},
			Entry("attainment alone: at the measured delay", bundle.Objective{Attainment: 1}, 21*time.Millisecond),
			Entry("attainment first: with ample slack", bundle.Objective{Attainment: 1, CostByStage: 0.1}, 21*time.Millisecond),
			Entry("cost first: with slack for 1.6 times the need", bundle.Objective{Attainment: 0.4, CostByStage: 1}, 896*time.Millisecond),
			Entry("cost alone: only while it can still make it", bundle.Objective{CostByStage: 1}, 960*time.Millisecond),
		)

		It("does not queue a hedge for a slot", func() {
			h = newHarness(false)
			h.admit.slots = 1
			h.router.latency = 20 * time.Millisecond
			h.step(Start{})
			h.now = h.now.Add(20 * time.Millisecond)
			h.step(TimerFired{Timer: TimerHedge, Attempt: 1})
			Expect(h.admit.queue).To(BeEmpty())
			h.ok(1)
			h.ok(3)
			settled()
			Expect(h.finish().Answer.Stages[0].Attempts).To(Equal(1))
		})

		It("waits for the other attempt when one fails", func() {
			hedged()
			h.step(CallEnded{Attempt: 1, Result: CallFailed})
			Expect(h.finish()).To(BeNil())
			h.ok(2)
			h.ok(3)
			settled()
		})
	})

	Describe("streaming", func() {
		It("forwards the winner and resets when it is cut", func() {
			h = newHarness(false, func(s *Spec) { s.Stream = true })
			h.step(Start{})
			h.ok(1)
			h.step(FirstToken{Attempt: 2})
			Expect(actions[Forward](h.log)).To(Equal([]Forward{{Attempt: 2}}))
			h.step(CallEnded{Attempt: 2, Result: CallFailed})
			Expect(actions[Reset](h.log)).To(HaveLen(1))
			h.step(FirstToken{Attempt: 3})
			h.ok(3)
			settled()
		})
	})

	Describe("a non-repeatable stage", func() {
		claimed := func() {
			h = newHarness(true)
			h.step(Start{})
			h.ok(1)
			Expect(actions[Claim](h.log)).To(HaveLen(1))
			Expect(actions[Call](h.log)).To(HaveLen(1))
		}

		It("is sent only after the claim is won and recorded before the answer", func() {
			claimed()
			h.step(ClaimDecided{Won: true})
			h.ok(2)
			Expect(h.finish()).To(BeNil())
			h.step(Recorded{})
			settled()
			Expect(h.finish().Answer).NotTo(BeNil())
		})

		It("gives the recorded result of an earlier request", func() {
			claimed()
			h.step(ClaimDecided{Result: json.RawMessage(`"sealed"`)})
			settled()
			Expect(h.finish().Answer.Result).To(BeEquivalentTo(`"sealed"`))
		})

		It("is never sent again when the answer is lost", func() {
			claimed()
			h.step(ClaimDecided{Won: true})
			h.step(CallEnded{Attempt: 2, Result: CallFailed})
			settled()
			Expect(h.finish().Err.Kind).To(Equal(problem.OutcomeUnknown))
			Expect(h.finish().Err.Execution).To(Equal(problem.MayHaveRun))
		})

		It("is looked up when its answer is lost or its owner is gone", func() {
			withStatus := func(s *Spec) { s.Bundle.Pools[2].Supports.StatusLookup = true }
			h = newHarness(true, withStatus)
			h.step(Start{})
			h.ok(1)
			h.step(ClaimDecided{Won: true})
			h.step(CallEnded{Attempt: 2, Result: CallFailed})
			Expect(actions[LookUp](h.log)).To(HaveLen(1))
			h.step(StatusAnswered{Known: true, Output: json.RawMessage(`"found"`)})
			Expect(actions[Record](h.log)).To(HaveLen(1))
			h.step(Recorded{})
			settled()
			Expect(h.finish().Answer.Result).To(BeEquivalentTo(`"found"`))

			h = newHarness(true, withStatus)
			h.step(Start{})
			h.ok(1)
			gone := problem.New(problem.OutcomeUnknown, "claimed")
			gone.Execution = problem.MayHaveRun
			h.step(ClaimDecided{Err: gone})
			h.step(StatusAnswered{Known: true, Output: json.RawMessage(`"found"`)})
			settled()
			Expect(actions[Record](h.log)).To(BeEmpty())
			Expect(h.finish().Answer.Result).To(BeEquivalentTo(`"found"`))

			h = newHarness(true, withStatus)
			h.step(Start{})
			h.ok(1)
			h.step(ClaimDecided{Err: gone})
			h.step(StatusAnswered{})
			settled()
			Expect(h.finish().Err.Kind).To(Equal(problem.OutcomeUnknown))
			Expect(h.finish().Err.Execution).To(Equal(problem.MayHaveRun))
		})

		It("is sent elsewhere when it was not executed", func() {
			claimed()
			h.step(ClaimDecided{Won: true})
			h.step(CallEnded{Attempt: 2, Result: CallRefused, NotExecuted: true})
			h.ok(3)
			h.step(Recorded{Err: errNoMajority})
			settled()
			Expect(h.finish().Answer).NotTo(BeNil())
		})

		It("is seen through and recorded after the deadline", func() {
			claimed()
			h.step(ClaimDecided{Won: true})
			h.now = epoch.Add(time.Second)
			h.step(TimerFired{Timer: TimerDeadline})
			Expect(h.finish().Err.Execution).To(Equal(problem.MayHaveRun))
			Expect(actions[Cancel](h.log)).To(BeEmpty())
			Expect(h.m.Idle()).To(BeFalse())
			h.ok(2)
			Expect(actions[Record](h.log)).To(HaveLen(1))
			h.step(Recorded{})
			settled()
		})

		It("is not sent after a pause past the deadline, and its claim is released", func() {
			claimed()
			h.now = epoch.Add(2 * time.Second)
			h.step(ClaimDecided{Won: true})
			Expect(actions[Call](h.log)).To(HaveLen(1))
			Expect(h.finish().Settle).To(Equal(SettleRelease))
			settled()
		})

		It("releases a claim that is won after the request was given up", func() {
			claimed()
			h.step(CallerGone{})
			h.step(ClaimDecided{Won: true})
			Expect(actions[Release](h.log)).To(HaveLen(1))
			Expect(actions[Call](h.log)).To(HaveLen(1))
		})
	})
})
