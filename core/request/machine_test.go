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

	// expectCompleted checks that the request is finished and holds no resources.
	expectCompleted := func() {
		GinkgoHelper()
		Expect(h.finishAction()).NotTo(BeNil())
		Expect(h.machine.Finished()).To(BeTrue())
		Expect(h.machine.Idle()).To(BeTrue())
		Expect(h.router.inFlight).To(BeZero())
		Expect(h.admitter.slotsInUse).To(BeZero())
		Expect(h.admitter.admitted).To(BeZero())
	}

	It("runs all stages and returns the result", func() {
		h = newHarness(false)
		h.step(Start{})
		h.succeed(1)
		h.succeed(2)
		expectCompleted()
		Expect(h.finishAction().Answer.Stages).To(HaveLen(2))
		Expect(h.finishAction().Answer.BundleVersion).To(BeEquivalentTo(7))
		Expect(actions[StoreResult](h.actionLog)).To(HaveLen(1))
	})

	It("sets the latest start of each call so that the later stages meet the deadline", func() {
		h = newHarness(false)
		h.step(Start{})
		h.succeed(1)
		calls := actions[Call](h.actionLog)
		// The deadline is 1 s. The stages are expected to take 10 ms and 100 ms.
		Expect(calls[0].LatestStart).To(Equal(epoch.Add(890 * time.Millisecond)))
		Expect(calls[1].LatestStart).To(Equal(epoch.Add(900 * time.Millisecond)))
	})

	It("refuses without sending a call when admission refuses", func() {
		h = newHarness(false)
		h.admitter.refusal = problem.New(problem.Overloaded, "full")
		h.step(Start{})
		expectCompleted()
		Expect(h.finishAction().Err.Execution).To(Equal(problem.NotRun))
		Expect(actions[Call](h.actionLog)).To(BeEmpty())
	})

	It("refuses as not_run when the pool of a later stage fails as a whole", func() {
		h = newHarness(false)
		h.health.failing = "lm"
		h.step(Start{})
		expectCompleted()
		Expect(h.finishAction().Err.Kind).To(Equal(problem.NoUpstream))
		Expect(h.finishAction().Err.Execution).To(Equal(problem.NotRun))
	})

	It("reports failed calls to the pool health, but not calls that it cancelled", func() {
		h = newHarness(false)
		h.step(Start{})
		h.step(CallEnded{Attempt: 1, Result: CallFailed})
		h.succeed(2)
		h.step(CallerGone{})
		h.step(CallEnded{Attempt: 3, Result: CallFailed})
		expectCompleted()
		Expect(h.health.failed).To(Equal(1))
		Expect(h.health.succeeded).To(Equal(1))
	})

	It("asks to void the key when it refuses a request with a key as not_run", func() {
		h = newHarness(true)
		h.admitter.refusal = problem.New(problem.Overloaded, "full")
		h.step(Start{})
		Expect(h.finishAction().ClaimCleanup).To(Equal(ClaimCleanupVoid))
		Expect(h.finishAction().Key).To(Equal(ClaimKey{Customer: "c", Key: "k", Stage: "last"}))
	})

	It("retries a failed repeatable stage on another upstream", func() {
		h = newHarness(false)
		h.step(Start{})
		h.step(CallEnded{Attempt: 1, Result: CallFailed})
		Expect(h.router.queries[1].TriedUpstreams).To(Equal([]string{"u1"}))
		Expect(h.router.queries[1].TriedFailureDomains).To(Equal([]string{"d-u1"}))
		h.succeed(2)
		h.succeed(3)
		expectCompleted()
		Expect(h.finishAction().Answer).NotTo(BeNil())
	})

	It("does not retry when the retry budget is used up", func() {
		h = newHarness(false)
		h.retries.remaining = 0
		h.step(Start{})
		h.step(CallEnded{Attempt: 1, Result: CallFailed})
		expectCompleted()
		Expect(h.finishAction().Err.Kind).To(Equal(problem.UpstreamFailed))
		Expect(h.finishAction().Err.Execution).To(Equal(problem.MayHaveRun))
	})

	It("does not retry a call that the upstream rejected as invalid", func() {
		h = newHarness(false)
		h.step(Start{})
		h.step(CallEnded{Attempt: 1, Result: CallFailed, Rejected: true})
		expectCompleted()
		Expect(h.finishAction().Err.Kind).To(Equal(problem.UpstreamRefused))
	})

	It("reports not_run when every call was refused without being executed", func() {
		h = newHarness(false)
		h.retries.remaining = 1
		h.step(Start{})
		h.step(CallEnded{Attempt: 1, Result: CallRefused, NotExecuted: true})
		h.step(CallEnded{Attempt: 2, Result: CallRefused, NotExecuted: true})
		expectCompleted()
		Expect(h.finishAction().Err.Execution).To(Equal(problem.NotRun))
	})

	It("answers at the deadline and cancels the running call", func() {
		h = newHarness(false)
		h.step(Start{})
		h.now = epoch.Add(time.Second)
		h.step(TimerFired{Timer: TimerDeadline})
		Expect(h.finishAction().Err.Kind).To(Equal(problem.DeadlineExceeded))
		Expect(h.finishAction().Err.Execution).To(Equal(problem.MayHaveRun))
		Expect(actions[Cancel](h.actionLog)).To(HaveLen(1))
		h.step(CallEnded{Attempt: 1, Result: CallCancelled})
		expectCompleted()
	})

	It("drops a duplicate response and a response to an unknown attempt", func() {
		h = newHarness(false)
		h.step(Start{})
		h.succeed(1)
		Expect(h.succeed(1)).To(BeEmpty())
		Expect(h.succeed(9)).To(BeEmpty())
		h.succeed(2)
		expectCompleted()
		Expect(h.machine.Dropped()).To(Equal(2))
	})

	It("reuses the kept result of a stage", func() {
		h = newHarness(false, func(s *Spec) { s.StoredResults = map[string]json.RawMessage{"first": json.RawMessage(`"kept"`)} })
		h.step(Start{})
		Expect(actions[Call](h.actionLog)[0].Stage.Name).To(Equal("last"))
		h.succeed(1)
		expectCompleted()
		Expect(h.finishAction().Answer.Stages[0].Reused).To(BeTrue())
	})

	Describe("waiting for a slot", func() {
		BeforeEach(func() {
			h = newHarness(false)
			h.admitter.slots = 0
			h.step(Start{})
			Expect(h.admitter.queue).To(HaveLen(1))
		})

		endWait := func(err *problem.Error) SlotGranted {
			t := h.admitter.queue[0]
			h.admitter.queue = nil
			if err == nil {
				h.admitter.slotsInUse++
			}
			return SlotGranted{Grant: Grant{Ticket: t, Err: err}}
		}

		It("sends the call when the slot is granted", func() {
			h.admitter.slots = 1
			h.step(endWait(nil))
			h.succeed(1)
			h.succeed(2)
			expectCompleted()
		})

		It("refuses the request when its ticket is refused", func() {
			h.step(endWait(problem.New(problem.Overloaded, "too late")))
			expectCompleted()
			Expect(h.finishAction().Err.Execution).To(Equal(problem.NotRun))
		})

		It("releases a slot that is granted after the request was aborted", func() {
			g := endWait(nil)
			h.step(CallerGone{})
			h.step(g)
			expectCompleted()
		})
	})

	Describe("hedging", func() {
		startHedged := func() {
			h = newHarness(false)
			h.router.latency = 20 * time.Millisecond
			h.step(Start{})
			h.now = h.now.Add(20 * time.Millisecond)
			h.step(TimerFired{Timer: TimerHedge, Attempt: 1})
			Expect(actions[Call](h.actionLog)).To(HaveLen(2))
		}

		It("uses the first response and cancels the other attempt", func() {
			startHedged()
			h.succeed(2)
			Expect(actions[Cancel](h.actionLog)).To(Equal([]Cancel{{Attempt: 1}}))
			h.step(CallEnded{Attempt: 1, Result: CallOK})
			h.succeed(3)
			expectCompleted()
			Expect(h.finishAction().Answer).NotTo(BeNil())
		})

		DescribeTable("delays the hedge more if cost has more weight",
			func(o bundle.Objective, want time.Duration) {
				h = newHarness(false)
				h.machine.spec.Bundle.Objective = o
				h.router.latency = 20 * time.Millisecond
				h.step(Start{})
				// The call is sent after 1 ms. The two stages need 40 ms, and the deadline
				// is 1 s.
				timers := actions[SetTimer](h.actionLog)
				Expect(timers[len(timers)-1].At).To(Equal(epoch.Add(want)))
			},
			Entry("attainment only: at the measured latency quantile", bundle.Objective{Attainment: 1}, 21*time.Millisecond),
			Entry("mostly attainment: at the measured latency quantile, despite ample slack", bundle.Objective{Attainment: 1, CostByStage: 0.1}, 21*time.Millisecond),
			Entry("mostly cost: when the slack is 1.6 times the remaining service time", bundle.Objective{Attainment: 0.4, CostByStage: 1}, 896*time.Millisecond),
			Entry("cost only: at the latest start that meets the deadline", bundle.Objective{CostByStage: 1}, 960*time.Millisecond),
		)

		It("does not queue a hedge for a slot", func() {
			h = newHarness(false)
			h.admitter.slots = 1
			h.router.latency = 20 * time.Millisecond
			h.step(Start{})
			h.now = h.now.Add(20 * time.Millisecond)
			h.step(TimerFired{Timer: TimerHedge, Attempt: 1})
			Expect(h.admitter.queue).To(BeEmpty())
			h.succeed(1)
			h.succeed(3)
			expectCompleted()
			Expect(h.finishAction().Answer.Stages[0].Attempts).To(Equal(1))
		})

		It("waits for the other attempt when one attempt fails", func() {
			startHedged()
			h.step(CallEnded{Attempt: 1, Result: CallFailed})
			Expect(h.finishAction()).To(BeNil())
			h.succeed(2)
			h.succeed(3)
			expectCompleted()
		})
	})

	Describe("streaming", func() {
		It("forwards the stream of an attempt once it delivers a token, and tells the caller to discard the text when it fails", func() {
			h = newHarness(false, func(s *Spec) { s.Stream = true })
			h.step(Start{})
			h.succeed(1)
			h.step(FirstToken{Attempt: 2})
			Expect(actions[Forward](h.actionLog)).To(Equal([]Forward{{Attempt: 2}}))
			h.step(CallEnded{Attempt: 2, Result: CallFailed})
			Expect(actions[ResetStream](h.actionLog)).To(HaveLen(1))
			h.step(FirstToken{Attempt: 3})
			h.succeed(3)
			expectCompleted()
		})
	})

	Describe("a non-repeatable stage", func() {
		startClaiming := func() {
			h = newHarness(true)
			h.step(Start{})
			h.succeed(1)
			Expect(actions[AcquireClaim](h.actionLog)).To(HaveLen(1))
			Expect(actions[Call](h.actionLog)).To(HaveLen(1))
		}

		It("is sent only after the claim is won, and its result is recorded before the caller is answered", func() {
			startClaiming()
			h.step(ClaimDecided{Won: true})
			h.succeed(2)
			Expect(h.finishAction()).To(BeNil())
			h.step(Recorded{})
			expectCompleted()
			Expect(h.finishAction().Answer).NotTo(BeNil())
		})

		It("returns the recorded result of an earlier request", func() {
			startClaiming()
			h.step(ClaimDecided{Result: json.RawMessage(`"sealed"`)})
			expectCompleted()
			Expect(h.finishAction().Answer.Result).To(BeEquivalentTo(`"sealed"`))
		})

		It("is not sent again when the response is lost", func() {
			startClaiming()
			h.step(ClaimDecided{Won: true})
			h.step(CallEnded{Attempt: 2, Result: CallFailed})
			expectCompleted()
			Expect(h.finishAction().Err.Kind).To(Equal(problem.OutcomeUnknown))
			Expect(h.finishAction().Err.Execution).To(Equal(problem.MayHaveRun))
		})

		It("is looked up when the response is lost or the request that claimed it has recorded no result", func() {
			withStatus := func(s *Spec) { s.Bundle.Pools[2].Supports.StatusLookup = true }
			h = newHarness(true, withStatus)
			h.step(Start{})
			h.succeed(1)
			h.step(ClaimDecided{Won: true})
			h.step(CallEnded{Attempt: 2, Result: CallFailed})
			Expect(actions[LookUpStatus](h.actionLog)).To(HaveLen(1))
			h.step(StatusAnswered{Known: true, Output: json.RawMessage(`"found"`)})
			Expect(actions[RecordResult](h.actionLog)).To(HaveLen(1))
			h.step(Recorded{})
			expectCompleted()
			Expect(h.finishAction().Answer.Result).To(BeEquivalentTo(`"found"`))

			h = newHarness(true, withStatus)
			h.step(Start{})
			h.succeed(1)
			outcomeUnknown := problem.New(problem.OutcomeUnknown, "claimed")
			outcomeUnknown.Execution = problem.MayHaveRun
			h.step(ClaimDecided{Err: outcomeUnknown})
			h.step(StatusAnswered{Known: true, Output: json.RawMessage(`"found"`)})
			expectCompleted()
			Expect(actions[RecordResult](h.actionLog)).To(BeEmpty())
			Expect(h.finishAction().Answer.Result).To(BeEquivalentTo(`"found"`))

			h = newHarness(true, withStatus)
			h.step(Start{})
			h.succeed(1)
			h.step(ClaimDecided{Err: outcomeUnknown})
			h.step(StatusAnswered{})
			expectCompleted()
			Expect(h.finishAction().Err.Kind).To(Equal(problem.OutcomeUnknown))
			Expect(h.finishAction().Err.Execution).To(Equal(problem.MayHaveRun))
		})

		It("is sent again when it was not executed, and the caller is answered even if the result cannot be recorded", func() {
			startClaiming()
			h.step(ClaimDecided{Won: true})
			h.step(CallEnded{Attempt: 2, Result: CallRefused, NotExecuted: true})
			h.succeed(3)
			h.step(Recorded{Err: errNoMajority})
			expectCompleted()
			Expect(h.finishAction().Answer).NotTo(BeNil())
		})

		It("runs to its end after the deadline and its result is recorded", func() {
			startClaiming()
			h.step(ClaimDecided{Won: true})
			h.now = epoch.Add(time.Second)
			h.step(TimerFired{Timer: TimerDeadline})
			Expect(h.finishAction().Err.Execution).To(Equal(problem.MayHaveRun))
			Expect(actions[Cancel](h.actionLog)).To(BeEmpty())
			Expect(h.machine.Idle()).To(BeFalse())
			h.succeed(2)
			Expect(actions[RecordResult](h.actionLog)).To(HaveLen(1))
			h.step(Recorded{})
			expectCompleted()
		})

		It("is not sent, and its claim is released, when the claim is decided after the deadline", func() {
			startClaiming()
			h.now = epoch.Add(2 * time.Second)
			h.step(ClaimDecided{Won: true})
			Expect(actions[Call](h.actionLog)).To(HaveLen(1))
			Expect(h.finishAction().ClaimCleanup).To(Equal(ClaimCleanupRelease))
			expectCompleted()
		})

		It("releases a claim that is won after the request was aborted", func() {
			startClaiming()
			h.step(CallerGone{})
			h.step(ClaimDecided{Won: true})
			Expect(actions[ReleaseClaim](h.actionLog)).To(HaveLen(1))
			Expect(actions[Call](h.actionLog)).To(HaveLen(1))
		})
	})
})
