package stage

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/intake"
)

// failCalls submits a job for each outcome, whose first call ends with it.
func failCalls(h *harness, outcomes ...CallOutcome) {
	for i, o := range outcomes {
		h.advance(1100 * time.Millisecond)
		id := fmt.Sprint("failing", i)
		h.submit(h.newChain(id, Stage{Service: "a", Pieces: 1}))
		Expect(h.running).To(HaveLen(1))
		h.end(h.running[0].Call, o)
		h.endJob(id, Cancelled{Job: id})
	}
}

// Guards against jobs that are refused while the only usable replica of a service was silent for a
// moment, although they could wait for it.
func TestJobsWaitForTheOnlyReplicaWhileItIsSuspected(t *testing.T) {
	RegisterTestingT(t)
	h := newHarness(pieceParams(4, 0), "x")
	first := h.submit(h.newChain("j", Stage{Service: "a", Pieces: 1}))
	for h.m.replicas["a1"].failures == 0 {
		h.advance(50 * time.Millisecond)
	}
	Expect(h.submit(h.newChain("k", Stage{Service: "a", Pieces: 1}))).To(BeEmpty())
	Expect(h.refused).To(BeEmpty())
	h.advance(50 * time.Millisecond)
	h.answer(first[0].Call)
	h.answerAll()
	Expect(h.ready).To(HaveLen(2))

	h.submit(h.newChain("l", Stage{Service: "a", Pieces: 1}))
	h.end(h.running[0].Call, CallFailed)
	Expect(h.submit(h.newChain("m", Stage{Service: "a", Pieces: 1}))).To(BeEmpty())
	h.advance(600 * time.Millisecond)
	h.answerAll()
	Expect(h.ready).To(HaveLen(4))
}

// Guards against jobs that are refused since the only replica without a limit was silent for a
// moment, although they could wait for it as they do if it is the only one, and against jobs that
// wait for it after it has crashed, or has failed for long.
func TestJobsWaitForASuspectedReplicaBesideALimitedOne(t *testing.T) {
	for _, c := range []struct {
		outcomes []CallOutcome
		admitted bool
	}{
		{nil, true},
		{[]CallOutcome{CallFailed}, true},
		{[]CallOutcome{CallUnreachable}, false},
		{[]CallOutcome{CallFailed, CallFailed, CallFailed}, false},
	} {
		RegisterTestingT(t)
		h := newHarness(pieceParams(4, 0), "x", "x")
		h.m.cfg.Limiters.SetQuotas(intake.AnnouncedLimit, map[string]intake.Quota{"a1": {BlockedUntil: h.now.Add(time.Hour)}})
		failCalls(h, c.outcomes...)
		h.m.cfg.Limiters.SetQuotas(intake.AnnouncedLimit, map[string]intake.Quota{"a1": {Calls: 1, Window: 2 * time.Second}})
		var due []string
		for i := range 4 {
			due = append(due, fmt.Sprint("job", i))
			j := h.newChain(due[i], Stage{Service: "a", Pieces: 4})
			j.Due = h.now.Add(3 * time.Second)
			h.submit(j)
		}
		if !c.admitted {
			Expect(h.refused).NotTo(BeEmpty(), "%v", c.outcomes)
			continue
		}
		Expect(h.refused).To(BeEmpty(), "%v", c.outcomes)
		for began := h.now; h.now.Sub(began) < 3*time.Second; {
			h.advance(50 * time.Millisecond)
			for _, r := range h.running {
				if h.now.Sub(h.m.calls[r.Call].started) >= 280*time.Millisecond {
					h.answer(r.Call)
					break
				}
			}
		}
		Expect(h.ready).To(And(HaveKey(due[0]), HaveKey(due[1]), HaveKey(due[2]), HaveKey(due[3])))
	}
}

// Guards against jobs that wait for replicas that have crashed, or have failed for long.
func TestJobsAreRefusedWhileNoReplicaIsExpected(t *testing.T) {
	for _, c := range []struct {
		outcomes []CallOutcome
		refused  bool
	}{
		{[]CallOutcome{CallFailed}, false},
		{[]CallOutcome{CallUnreachable}, true},
		{[]CallOutcome{CallFailed, CallFailed, CallFailed}, true},
	} {
		RegisterTestingT(t)
		h := newHarness(pieceParams(4, 0), "x")
		failCalls(h, c.outcomes...)
		h.submit(h.newChain("k", Stage{Service: "a", Pieces: 1}))
		if c.refused {
			Expect(h.refused["k"].Reason).To(Equal(ReasonNoReplica), "%v", c.outcomes)
		} else {
			Expect(h.refused).NotTo(HaveKey("k"), "%v", c.outcomes)
		}
	}
}
