package request

import (
	"time"

	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/record"
)

// attemptState follows an attempt from its queue to its end.
type attemptState uint8

const (
	attemptQueued attemptState = iota
	attemptSent
	attemptEnded
)

// attempt is one try at a stage.
type attempt struct {
	number int
	stage  int
	state  attemptState
	hedge  bool
	ticket Ticket
	choice Choice
	sent   time.Time
	// cancelled is set when this side has given the call up.
	cancelled bool
}

func liveOnly(all []*attempt) []*attempt {
	var live []*attempt
	for _, a := range all {
		if a.state != attemptEnded {
			live = append(live, a)
		}
	}
	return live
}

func (m *Machine) live() int { return len(liveOnly(m.attempts)) }

// running counts the attempts of the current stage that may still succeed.
func (m *Machine) running() int {
	n := 0
	for _, a := range m.attempts {
		if a.stage == m.stage && a.state != attemptEnded && !a.cancelled {
			n++
		}
	}
	return n
}

func (m *Machine) attemptsAt(stage int) int {
	n := 0
	for _, a := range m.attempts {
		if a.stage == stage {
			n++
		}
	}
	return n
}

func (m *Machine) find(number int) *attempt {
	for _, a := range m.attempts {
		if a.number == number && a.state != attemptEnded {
			return a
		}
	}
	m.dropped++
	return nil
}

// launch asks for a slot for a new attempt at the current stage.
func (m *Machine) launch(now time.Time, hedge bool) {
	m.nextAttempt++
	s := m.current()
	a := &attempt{number: m.nextAttempt, stage: m.stage, hedge: hedge}
	a.ticket = Ticket{
		Request: m.spec.ID, Attempt: a.number, Stage: s.Name, Pool: s.Pool,
		Customer: m.spec.Customer, Deadline: m.spec.Deadline,
		Expected: m.expected(s), After: m.expectedAfter(),
	}
	m.attempts = append(m.attempts, a)
	verdict, err := m.deps.Admitter.Acquire(now, a.ticket, m.rec)
	switch verdict {
	case Granted:
		m.send(now, a)
	case Refused:
		a.state = attemptEnded
		m.attemptLost(now, a, err)
	case Queued:
		if hedge {
			m.skipHedge(now, a)
		}
	}
}

func (m *Machine) slotGranted(now time.Time, e SlotGranted) {
	a := m.find(e.Grant.Ticket.Attempt)
	if a == nil || a.state != attemptQueued {
		m.returnSlot(now, e.Grant)
		return
	}
	if e.Grant.Err != nil {
		a.state = attemptEnded
		m.attemptLost(now, a, e.Grant.Err)
		return
	}
	m.send(now, a)
}

// returnSlot releases a slot that was granted to an attempt which had given up
// its wait meanwhile.
func (m *Machine) returnSlot(now time.Time, g Grant) {
	if g.Err == nil {
		m.notify(m.deps.Admitter.Release(now, g.Ticket, CallCancelled, 0))
	}
}

// send picks an upstream for an attempt that has its slot and calls it.
func (m *Machine) send(now time.Time, a *attempt) {
	if a.stage != m.stage || m.phase != phaseRunning || !now.Before(m.spec.Deadline) {
		m.drop(now, a)
		if m.phase == phaseRunning && a.stage == m.stage {
			m.giveUp(now, problem.DeadlineExceeded, "the deadline passed before the call was sent")
		}
		return
	}
	s := m.current()
	choice, err := m.deps.Router.Pick(now, m.query(now, a), m.rec)
	if err != nil {
		m.drop(now, a)
		m.attemptLost(now, a, err)
		return
	}
	a.state, a.choice, a.sent = attemptSent, choice, now
	key := ""
	if s.NonRepeatable {
		m.claim.sent = true
		key = m.spec.Key
	}
	m.unknown = m.unknown || s.NonRepeatable
	m.note(now, "send", a.number, choice.Upstream, record.Field{Key: "budget", Value: m.spec.Deadline.Sub(now).String()})
	m.do(Call{
		Attempt: a.number, Stage: s, Choice: choice, Input: m.input,
		NotAfter: m.spec.Deadline, StartBy: a.ticket.StartBy(), Key: key,
	})
	m.armHedge(now, a)
}

func (m *Machine) query(now time.Time, a *attempt) Query {
	s := m.current()
	q := Query{
		Request: m.spec.ID, Customer: m.spec.Customer, Pool: s.Pool, Stage: s.Name,
		Kind: s.Kind, Attempt: m.attemptsAt(m.stage), Prefix: m.spec.Prefix,
		Budget: m.spec.Deadline.Sub(now) - a.ticket.After,
	}
	for _, other := range m.attempts {
		if other.stage == m.stage && other != a && other.choice.Upstream != "" {
			q.Tried = append(q.Tried, other.choice.Upstream)
			q.TriedDomains = append(q.TriedDomains, other.choice.FailureDomain)
		}
	}
	return q
}

// drop returns the slot of an attempt that was granted but not sent.
func (m *Machine) drop(now time.Time, a *attempt) {
	a.state = attemptEnded
	m.notify(m.deps.Admitter.Release(now, a.ticket, CallCancelled, 0))
}

func (m *Machine) notify(grants []Grant) {
	for _, g := range grants {
		m.do(Notify{Grant: g})
	}
}

func (m *Machine) firstToken(now time.Time, e FirstToken) {
	a := m.find(e.Attempt)
	if a == nil || a.cancelled || a.stage != m.stage || m.phase != phaseRunning || m.winner != 0 {
		return
	}
	m.winner = a.number
	m.deps.Health.Succeeded(a.choice.Pool)
	m.cancelOthers(now, a)
	if m.spec.Stream && m.stage == len(m.spec.Pipeline.Stages)-1 {
		m.forwarded = true
		m.do(Forward{Attempt: a.number})
	}
}

// cancelOthers gives up every other attempt at the current stage.
func (m *Machine) cancelOthers(now time.Time, keep *attempt) {
	for _, a := range m.attempts {
		if a != keep {
			m.cancel(now, a)
		}
	}
}

func (m *Machine) cancel(now time.Time, a *attempt) {
	if a.cancelled {
		return
	}
	switch a.state {
	case attemptQueued:
		a.state = attemptEnded
		m.deps.Admitter.Abandon(now, a.ticket)
	case attemptSent:
		a.cancelled = true
		m.note(now, "cancel", a.number, a.choice.Upstream)
		m.do(Cancel{Attempt: a.number})
	}
}

func (m *Machine) callEnded(now time.Time, e CallEnded) {
	a := m.find(e.Attempt)
	if a == nil || a.state != attemptSent {
		return
	}
	a.state = attemptEnded
	m.settle(now, a, e)
	if m.detached {
		m.detachedEnded(now, e)
		return
	}
	if m.phase == phaseFinished {
		return
	}
	if a.stage != m.stage || a.cancelled {
		m.noteUnused(now, a, e)
		return
	}
	if e.Result == CallOK {
		m.callSucceeded(now, a, e)
		return
	}
	m.callFailed(now, a, e)
}

// settle returns the slot and tells the router how the call went.
func (m *Machine) settle(now time.Time, a *attempt, e CallEnded) {
	latency := now.Sub(a.sent)
	result := e.Result
	if a.cancelled && result != CallOK || m.outOfTime(now, a, e) {
		result = CallCancelled
	}
	m.deps.Router.Done(now, Outcome{
		Choice: a.choice, Stage: a.ticket.Stage, Result: result,
		Latency: latency, FirstByte: e.FirstByte, Work: e.Tokens,
	})
	m.notify(m.deps.Admitter.Release(now, a.ticket, result, latency))
	switch {
	case result == CallOK || e.Rejected:
		m.deps.Health.Succeeded(a.choice.Pool)
	case result == CallFailed:
		m.deps.Health.Failed(now, a.choice.Pool)
	}
}

// outOfTime says whether a call was ended by its request's deadline and not by its
// upstream. Calls that may not be repeated outlive the deadline.
func (m *Machine) outOfTime(now time.Time, a *attempt, e CallEnded) bool {
	lasting := m.spec.Pipeline.Stages[a.stage].NonRepeatable
	return e.Result == CallFailed && !lasting && !now.Before(m.spec.Deadline)
}

func (m *Machine) noteUnused(now time.Time, a *attempt, e CallEnded) {
	if !e.NotExecuted {
		m.unknown = true
	}
	if e.Result == CallOK {
		m.note(now, "late", a.number, "answer not used")
	}
}

func (m *Machine) callSucceeded(now time.Time, a *attempt, e CallEnded) {
	m.note(now, "answer", a.number, "ok",
		record.Field{Key: "latency", Value: now.Sub(a.sent).String()},
		record.Field{Key: "tokens", Value: itoa(e.Tokens)})
	m.cancelOthers(now, a)
	if m.current().NonRepeatable {
		m.ran = true
		m.record(now, e.Output)
		return
	}
	m.stageDone(now, e.Output, false)
}

func (m *Machine) callFailed(now time.Time, a *attempt, e CallEnded) {
	m.note(now, "answer", a.number, "failed",
		record.Field{Key: "detail", Value: e.Detail},
		record.Field{Key: "not_executed", Value: boolText(e.NotExecuted)})
	if m.winner == a.number {
		m.winner = 0
	}
	if m.current().NonRepeatable {
		m.nonRepeatableFailed(now, a, e)
		return
	}
	if !e.NotExecuted {
		m.unknown = true
	}
	if m.outOfTime(now, a, e) {
		m.deadlinePassed(now)
		return
	}
	if e.Rejected {
		m.rejected = m.problem(problem.UpstreamRefused, "%s refused: %s", a.choice.Upstream, e.Detail)
	}
	m.attemptLost(now, a, m.problem(problem.UpstreamFailed, "%s: %s", a.choice.Upstream, e.Detail))
}

// attemptLost decides what follows an attempt that ended without an answer:
// wait for another one, retry, or refuse with err.
func (m *Machine) attemptLost(now time.Time, a *attempt, err *problem.Error) {
	if m.phase != phaseRunning || a.stage != m.stage {
		return
	}
	if m.running() > 0 {
		m.note(now, "retry", a.number, "another attempt is running")
		return
	}
	if m.rejected != nil {
		err = m.rejected
	}
	if reason := m.mayRetry(now, err); reason != "" {
		m.note(now, "retry", a.number, "no: "+reason)
		m.fail(now, err)
		return
	}
	m.note(now, "retry", a.number, "yes")
	if m.forwarded {
		m.forwarded = false
		m.do(Reset{})
	}
	m.launch(now, false)
}

// mayRetry returns why the stage may not be tried again, or "".
func (m *Machine) mayRetry(now time.Time, err *problem.Error) string {
	if err.Kind != problem.UpstreamFailed {
		return string(err.Kind)
	}
	if m.attemptsAt(m.stage) >= m.spec.Bundle.Retry.MaxAttempts {
		return "attempts used up"
	}
	left := m.spec.Deadline.Sub(now) - m.expectedAfter()
	if left < m.expected(m.current()) {
		return "too little time left"
	}
	if !m.deps.Retries.Withdraw(now) {
		return "retry budget used up"
	}
	return ""
}

func boolText(b bool) string {
	if b {
		return "true"
	}
	return "false"
}
