package request

import (
	"encoding/json"
	"time"

	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/record"
)

// defaultRetryAfter is the Retry-After value for retryable refusals without an
// estimate of their own.
const defaultRetryAfter = time.Second

func (m *Machine) newProblem(kind problem.Kind, format string, args ...any) *problem.Error {
	e := problem.New(kind, format, args...)
	if problem.Lookup(kind).Retryable {
		e.RetryAfter = defaultRetryAfter
	}
	return e
}

// handleNonRepeatableFailure handles a claimed call that returned no result. The
// call is retried only if the upstream is known not to have executed it.
func (m *Machine) handleNonRepeatableFailure(now time.Time, a *attempt, e CallEnded) {
	if e.NotExecuted || e.Rejected {
		m.claim.callSent = false
		m.mayHaveRun = false
		err := m.newProblem(problem.UpstreamFailed, "%s: %s", a.choice.Upstream, e.Detail)
		if e.Rejected {
			err = m.newProblem(problem.UpstreamRefused, "%s refused: %s", a.choice.Upstream, e.Detail)
		}
		m.handleAttemptFailure(now, a, err)
		return
	}
	unknown := m.newProblem(problem.OutcomeUnknown, "%s: %s", a.choice.Upstream, e.Detail)
	if m.poolSupportsStatus() {
		m.lookUpStatus(now, a.number, unknown)
		return
	}
	m.fail(now, unknown)
}

// upstreamMayHaveResult reports whether an upstream may have the result although
// the claim was refused: another request claimed the key and recorded no result.
func upstreamMayHaveResult(e *problem.Error) bool {
	return e.Execution != problem.NotRun && (e.Kind == problem.OutcomeUnknown || e.Kind == problem.InProgress)
}

// lookUpStatus asks the pool's upstreams for the outcome of the call with the
// request's key. If they do not know it, the request is refused with ifUnknown.
func (m *Machine) lookUpStatus(now time.Time, attempt int, ifUnknown *problem.Error) {
	m.phase = phaseLookingUp
	m.lookUpFailure = ifUnknown
	m.recordDecision(now, "status", attempt, "asked")
	m.emit(LookUpStatus{Pool: m.currentStage().Pool, Key: m.spec.Key})
}

func (m *Machine) poolSupportsStatus() bool {
	for _, p := range m.spec.Bundle.Pools {
		if p.Name == m.currentStage().Pool {
			return p.Supports.StatusLookup
		}
	}
	return false
}

func (m *Machine) handleStatusAnswered(now time.Time, e StatusAnswered) {
	if m.phase != phaseLookingUp {
		m.droppedEvents++
		return
	}
	if !e.Known {
		m.recordDecision(now, "status", 0, "unknown")
		m.fail(now, m.lookUpFailure)
		return
	}
	m.recordDecision(now, "status", 0, "done")
	m.nonRepeatableRan = true
	if !m.claim.held {
		// Only the request that holds the claim may record the result.
		m.completeStage(now, e.Output, true)
		return
	}
	m.recordResult(now, e.Output)
}

// recordResult stores the result of a claimed stage at the claim holders before
// the request uses it.
func (m *Machine) recordResult(now time.Time, output json.RawMessage) {
	m.phase = phaseRecording
	m.mayHaveRun = false
	m.input = output
	m.emit(RecordResult{Key: m.claim.key, Result: output})
}

// handleRecorded continues the request. The caller gets the result even if it could
// not be recorded; a retry with the same key then gets MayHaveRun.
func (m *Machine) handleRecorded(now time.Time, e Recorded) {
	if m.detached {
		m.detached = false
		m.recordDecision(now, "record", 0, "after the answer")
		return
	}
	if m.phase != phaseRecording {
		m.droppedEvents++
		return
	}
	outcome := "majority"
	if e.Err != nil {
		outcome = "no majority"
	}
	m.recordDecision(now, "record", 0, outcome)
	m.completeStage(now, m.input, false)
}

// abort answers the caller immediately with an error. A non-repeatable call that was
// already sent runs to its end and its result is recorded; all other attempts are
// cancelled.
func (m *Machine) abort(now time.Time, kind problem.Kind, detail string) {
	callContinues := m.claim.callSent && (m.phase == phaseRunning || m.phase == phaseRecording)
	m.fail(now, m.newProblem(kind, "%s", detail))
	m.detached = callContinues
}

func (m *Machine) handleDetachedCallEnded(now time.Time, e CallEnded) {
	if e.Result == CallOK {
		m.recordDecision(now, "answer", e.Attempt, "ok after the answer to the caller")
		m.emit(RecordResult{Key: m.claim.key, Result: e.Output})
		return
	}
	m.detached = false
}

// fail refuses the request. The Execution of the error follows from the calls
// that were sent.
func (m *Machine) fail(now time.Time, err *problem.Error) {
	out := *err
	out.Execution = m.execution()
	out.StagesRun = append([]string(nil), m.stagesRun...)
	m.recordDecision(now, "finish", 0, string(out.Kind),
		record.Field{Key: "execution", Value: string(out.Execution)},
		record.Field{Key: "detail", Value: out.Detail})
	f := Finish{Err: &out}
	f.ClaimCleanup, f.Key = m.claimCleanup(out.Execution)
	m.finish(now, f, false)
}

// claimCleanup returns the operation that must succeed before a refusal of a request
// with a key may say that the request has not run.
func (m *Machine) claimCleanup(x problem.Execution) (ClaimCleanup, ClaimKey) {
	if m.claim.held && !m.claim.callSent {
		return ClaimCleanupRelease, m.claim.key
	}
	if x != problem.NotRun || m.claim.refused || m.claim.held {
		return ClaimCleanupNone, ClaimKey{}
	}
	s, ok := m.spec.Pipeline.FirstNonRepeatable()
	if !ok || m.spec.Key == "" {
		return ClaimCleanupNone, ClaimKey{}
	}
	return ClaimCleanupVoid, ClaimKey{Customer: m.spec.Customer, Key: m.spec.Key, Stage: s.Name}
}

// execution returns the Execution of a refusal. It is NotRun only if no call can
// have been executed.
func (m *Machine) execution() problem.Execution {
	switch {
	case m.nonRepeatableRan:
		return problem.Ran
	case m.mayHaveRun || m.anyCallRunning() || len(m.stagesRun) > 0:
		return problem.MayHaveRun
	default:
		return problem.NotRun
	}
}

func (m *Machine) anyCallRunning() bool {
	for _, a := range m.attempts {
		if a.state == attemptSent {
			return true
		}
	}
	return false
}

func (m *Machine) succeed(now time.Time, output json.RawMessage) {
	if !now.Before(m.spec.Deadline) {
		m.abort(now, problem.DeadlineExceeded, "the answer came after the deadline")
		return
	}
	m.recordDecision(now, "finish", 0, "answered")
	m.finish(now, Finish{Answer: &Answer{
		RequestID: m.spec.ID, Pipeline: m.spec.Pipeline.Name,
		BundleVersion: m.spec.Bundle.Version, Stages: m.stageReports, Result: output,
	}}, true)
}

func (m *Machine) finish(now time.Time, f Finish, attained bool) {
	m.phase = phaseFinished
	for _, a := range m.attempts {
		if a.state == attemptSent && m.spec.Pipeline.Stages[a.stageIndex].NonRepeatable {
			continue
		}
		m.cancel(now, a)
	}
	if m.admitted {
		m.deps.Admitter.Finish(now, m.plan, attained)
	}
	m.emit(f)
}
