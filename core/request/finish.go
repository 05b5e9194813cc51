package request

import (
	"encoding/json"
	"time"

	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/record"
)

// defaultRetryAfter is told to callers when nothing better is known.
const defaultRetryAfter = time.Second

func (m *Machine) problem(kind problem.Kind, format string, args ...any) *problem.Error {
	e := problem.New(kind, format, args...)
	if problem.Lookup(kind).Retry {
		e.RetryAfter = defaultRetryAfter
	}
	return e
}

// nonRepeatableFailed handles a claimed call that brought no result. It is
// tried elsewhere only if the upstream is known not to have executed it.
func (m *Machine) nonRepeatableFailed(now time.Time, a *attempt, e CallEnded) {
	if e.NotExecuted || e.Rejected {
		m.claim.sent = false
		m.unknown = false
		err := m.problem(problem.UpstreamFailed, "%s: %s", a.choice.Upstream, e.Detail)
		if e.Rejected {
			err = m.problem(problem.UpstreamRefused, "%s refused: %s", a.choice.Upstream, e.Detail)
		}
		m.attemptLost(now, a, err)
		return
	}
	unknown := m.problem(problem.OutcomeUnknown, "%s: %s", a.choice.Upstream, e.Detail)
	if m.poolSupportsStatus() {
		m.lookUp(now, a.number, unknown)
		return
	}
	m.fail(now, unknown)
}

// mayHaveResult says whether a refused claim leaves open that an upstream has
// the result: another request claimed the key and did not record one.
func mayHaveResult(e *problem.Error) bool {
	return e.Execution != problem.NotRun && (e.Kind == problem.OutcomeUnknown || e.Kind == problem.InProgress)
}

// lookUp asks the pool's upstreams what became of the call with the request's
// key; otherwise is the refusal when they do not know.
func (m *Machine) lookUp(now time.Time, attempt int, otherwise *problem.Error) {
	m.phase = phaseLookingUp
	m.lookUpErr = otherwise
	m.note(now, "status", attempt, "asked")
	m.do(LookUp{Pool: m.current().Pool, Key: m.spec.Key})
}

func (m *Machine) poolSupportsStatus() bool {
	for _, p := range m.spec.Bundle.Pools {
		if p.Name == m.current().Pool {
			return p.Supports.StatusLookup
		}
	}
	return false
}

func (m *Machine) statusAnswered(now time.Time, e StatusAnswered) {
	if m.phase != phaseLookingUp {
		m.dropped++
		return
	}
	if !e.Known {
		m.note(now, "status", 0, "unknown")
		m.fail(now, m.lookUpErr)
		return
	}
	m.note(now, "status", 0, "done")
	m.ran = true
	if !m.claim.held {
		// Only the owner of the claim may record.
		m.stageDone(now, e.Output, true)
		return
	}
	m.record(now, e.Output)
}

// record stores the result of a claimed stage before anything builds on it.
func (m *Machine) record(now time.Time, output json.RawMessage) {
	m.phase = phaseRecording
	m.unknown = false
	m.input = output
	m.do(Record{Key: m.claim.key, Result: output})
}

// recorded goes on with the request. A result that could not be recorded is
// still the caller's: a retry is then told that it may have run.
func (m *Machine) recorded(now time.Time, e Recorded) {
	if m.detached {
		m.detached = false
		m.note(now, "record", 0, "after the answer")
		return
	}
	if m.phase != phaseRecording {
		m.dropped++
		return
	}
	outcome := "majority"
	if e.Err != nil {
		outcome = "no majority"
	}
	m.note(now, "record", 0, outcome)
	m.stageDone(now, m.input, false)
}

// giveUp answers the caller at once. A non-repeatable call that is already
// sent is seen through and recorded; all else is cancelled.
func (m *Machine) giveUp(now time.Time, kind problem.Kind, detail string) {
	sent := m.claim.sent && (m.phase == phaseRunning || m.phase == phaseRecording)
	m.fail(now, m.problem(kind, "%s", detail))
	m.detached = sent
}

func (m *Machine) detachedEnded(now time.Time, e CallEnded) {
	if e.Result == CallOK {
		m.note(now, "answer", e.Attempt, "ok after the answer to the caller")
		m.do(Record{Key: m.claim.key, Result: e.Output})
		return
	}
	m.detached = false
}

// fail refuses the request. Its execution is worked out from what was sent.
func (m *Machine) fail(now time.Time, err *problem.Error) {
	out := *err
	out.Execution = m.execution()
	out.StagesRun = append([]string(nil), m.stagesRun...)
	m.note(now, "finish", 0, string(out.Kind),
		record.Field{Key: "execution", Value: string(out.Execution)},
		record.Field{Key: "detail", Value: out.Detail})
	f := Finish{Err: &out}
	f.Settle, f.Key = m.settlement(out.Execution)
	m.end(now, f, false)
}

// settlement says what must be done so that a refusal of a request with a key
// may say that it has not run.
func (m *Machine) settlement(x problem.Execution) (Settle, ClaimKey) {
	if m.claim.held && !m.claim.sent {
		return SettleRelease, m.claim.key
	}
	if x != problem.NotRun || m.claim.refused || m.claim.held {
		return SettleNone, ClaimKey{}
	}
	s, ok := m.spec.Pipeline.FirstNonRepeatable()
	if !ok || m.spec.Key == "" {
		return SettleNone, ClaimKey{}
	}
	return SettleVoid, ClaimKey{Customer: m.spec.Customer, Key: m.spec.Key, Stage: s.Name}
}

// execution says what a refusal may claim: NotRun only if no call can have
// been executed.
func (m *Machine) execution() problem.Execution {
	switch {
	case m.ran:
		return problem.Ran
	case m.unknown || m.anySent() || len(m.stagesRun) > 0:
		return problem.MayHaveRun
	default:
		return problem.NotRun
	}
}

func (m *Machine) anySent() bool {
	for _, a := range m.attempts {
		if a.state == attemptSent {
			return true
		}
	}
	return false
}

func (m *Machine) succeed(now time.Time, output json.RawMessage) {
	if !now.Before(m.spec.Deadline) {
		m.giveUp(now, problem.DeadlineExceeded, "the answer came after the deadline")
		return
	}
	m.note(now, "finish", 0, "answered")
	m.end(now, Finish{Answer: &Answer{
		RequestID: m.spec.ID, Pipeline: m.spec.Pipeline.Name,
		BundleVersion: m.spec.Bundle.Version, Stages: m.reports, Result: output,
	}}, true)
}

func (m *Machine) end(now time.Time, f Finish, attained bool) {
	m.phase = phaseFinished
	for _, a := range m.attempts {
		if a.state == attemptSent && m.spec.Pipeline.Stages[a.stage].NonRepeatable {
			continue
		}
		m.cancel(now, a)
	}
	if m.admitted {
		m.deps.Admitter.Leave(now, m.plan, attained)
	}
	m.do(f)
}
