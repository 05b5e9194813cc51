package request

import (
	"time"

	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/record"
)

// attemptState is the state of an attempt.
type attemptState uint8

const (
	attemptQueued attemptState = iota
	attemptSent
	attemptEnded
)

// attempt is one attempt to run a stage.
type attempt struct {
	number     int
	stageIndex int
	state      attemptState
	isHedge    bool
	ticket     Ticket
	choice     Choice
	sentAt     time.Time
	// cancelled is set when this daemon has cancelled the call.
	cancelled bool
}

func activeAttempts(all []*attempt) []*attempt {
	var active []*attempt
	for _, a := range all {
		if a.state != attemptEnded {
			active = append(active, a)
		}
	}
	return active
}

func (m *Machine) activeAttemptCount() int { return len(activeAttempts(m.attempts)) }

// pendingAttemptCount counts the attempts of the current stage that may still
// succeed.
func (m *Machine) pendingAttemptCount() int {
	n := 0
	for _, a := range m.attempts {
		if a.stageIndex == m.stageIndex && a.state != attemptEnded && !a.cancelled {
			n++
		}
	}
	return n
}

func (m *Machine) attemptCount(stage int) int {
	n := 0
	for _, a := range m.attempts {
		if a.stageIndex == stage {
			n++
		}
	}
	return n
}

func (m *Machine) findActiveAttempt(number int) *attempt {
	for _, a := range m.attempts {
		if a.number == number && a.state != attemptEnded {
			return a
		}
	}
	m.droppedEvents++
	return nil
}

// startAttempt requests a slot for a new attempt at the current stage.
func (m *Machine) startAttempt(now time.Time, hedge bool) {
	m.nextAttempt++
	s := m.currentStage()
	a := &attempt{number: m.nextAttempt, stageIndex: m.stageIndex, isHedge: hedge}
	a.ticket = Ticket{
		Request: m.spec.ID, Attempt: a.number, Stage: s.Name, Pool: s.Pool,
		Customer: m.spec.Customer, Deadline: m.spec.Deadline,
		Expected: m.expectedServiceTime(s), ExpectedAfter: m.expectedTimeAfter(),
	}
	m.attempts = append(m.attempts, a)
	result, err := m.deps.Admitter.Acquire(now, a.ticket, m.recorder)
	switch result {
	case Granted:
		m.send(now, a)
	case Refused:
		a.state = attemptEnded
		m.handleAttemptFailure(now, a, err)
	case Queued:
		if hedge {
			m.cancelQueuedHedge(now, a)
		}
	}
}

func (m *Machine) handleSlotGranted(now time.Time, e SlotGranted) {
	a := m.findActiveAttempt(e.Grant.Ticket.Attempt)
	if a == nil || a.state != attemptQueued {
		m.releaseUnneededSlot(now, e.Grant)
		return
	}
	if e.Grant.Err != nil {
		a.state = attemptEnded
		m.handleAttemptFailure(now, a, e.Grant.Err)
		return
	}
	m.send(now, a)
}

// releaseUnneededSlot releases a slot that was granted to an attempt that no
// longer waits for it.
func (m *Machine) releaseUnneededSlot(now time.Time, g Grant) {
	if g.Err == nil {
		m.deliverGrants(m.deps.Admitter.Release(now, g.Ticket, CallCancelled, 0))
	}
}

// send picks an upstream for an attempt that has a slot and calls it.
func (m *Machine) send(now time.Time, a *attempt) {
	if a.stageIndex != m.stageIndex || m.phase != phaseRunning || !now.Before(m.spec.Deadline) {
		m.discardUnsent(now, a)
		if m.phase == phaseRunning && a.stageIndex == m.stageIndex {
			m.abort(now, problem.DeadlineExceeded, "the deadline passed before the call was sent")
		}
		return
	}
	s := m.currentStage()
	choice, err := m.deps.Router.Pick(now, m.routerQuery(now, a), m.recorder)
	if err != nil {
		m.discardUnsent(now, a)
		m.handleAttemptFailure(now, a, err)
		return
	}
	a.state, a.choice, a.sentAt = attemptSent, choice, now
	key := ""
	if s.NonRepeatable {
		m.claim.callSent = true
		key = m.spec.Key
	}
	m.mayHaveRun = m.mayHaveRun || s.NonRepeatable
	m.recordDecision(now, "send", a.number, choice.Upstream, record.Field{Key: "budget", Value: m.spec.Deadline.Sub(now).String()})
	m.emit(Call{
		Attempt: a.number, Stage: s, Choice: choice, Input: m.input,
		NotAfter: m.spec.Deadline, LatestStart: a.ticket.LatestStart(), Key: key,
	})
	m.scheduleHedge(now, a)
}

func (m *Machine) routerQuery(now time.Time, a *attempt) Query {
	s := m.currentStage()
	q := Query{
		Request: m.spec.ID, Customer: m.spec.Customer, Pool: s.Pool, Stage: s.Name,
		Kind: s.Kind, Attempt: m.attemptCount(m.stageIndex), Prefix: m.spec.Prefix,
		Budget: m.spec.Deadline.Sub(now) - a.ticket.ExpectedAfter,
	}
	for _, other := range m.attempts {
		if other.stageIndex == m.stageIndex && other != a && other.choice.Upstream != "" {
			q.TriedUpstreams = append(q.TriedUpstreams, other.choice.Upstream)
			q.TriedFailureDomains = append(q.TriedFailureDomains, other.choice.FailureDomain)
		}
	}
	return q
}

// discardUnsent ends an attempt that got a slot but was not sent, and releases
// the slot.
func (m *Machine) discardUnsent(now time.Time, a *attempt) {
	a.state = attemptEnded
	m.deliverGrants(m.deps.Admitter.Release(now, a.ticket, CallCancelled, 0))
}

func (m *Machine) deliverGrants(grants []Grant) {
	for _, g := range grants {
		m.emit(DeliverGrant{Grant: g})
	}
}

func (m *Machine) handleFirstToken(now time.Time, e FirstToken) {
	a := m.findActiveAttempt(e.Attempt)
	if a == nil || a.cancelled || a.stageIndex != m.stageIndex || m.phase != phaseRunning || m.selectedAttempt != 0 {
		return
	}
	m.selectedAttempt = a.number
	m.deps.Health.Succeeded(a.choice.Pool)
	m.cancelOthers(now, a)
	if m.spec.Stream && m.stageIndex == len(m.spec.Pipeline.Stages)-1 {
		m.forwarded = true
		m.emit(Forward{Attempt: a.number})
	}
}

// cancelOthers cancels all attempts except selected.
func (m *Machine) cancelOthers(now time.Time, selected *attempt) {
	for _, a := range m.attempts {
		if a != selected {
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
		m.recordDecision(now, "cancel", a.number, a.choice.Upstream)
		m.emit(Cancel{Attempt: a.number})
	}
}

func (m *Machine) handleCallEnded(now time.Time, e CallEnded) {
	a := m.findActiveAttempt(e.Attempt)
	if a == nil || a.state != attemptSent {
		return
	}
	a.state = attemptEnded
	m.releaseAndReport(now, a, e)
	if m.detached {
		m.handleDetachedCallEnded(now, e)
		return
	}
	if m.phase == phaseFinished {
		return
	}
	if a.stageIndex != m.stageIndex || a.cancelled {
		m.handleUnusedCall(now, a, e)
		return
	}
	if e.Result == CallOK {
		m.handleCallSuccess(now, a, e)
		return
	}
	m.handleCallFailure(now, a, e)
}

// releaseAndReport releases the slot of an ended call and reports the outcome to
// the router, the admitter and the pool health.
func (m *Machine) releaseAndReport(now time.Time, a *attempt, e CallEnded) {
	latency := now.Sub(a.sentAt)
	result := e.Result
	if a.cancelled && result != CallOK || m.endedByDeadline(now, a, e) {
		result = CallCancelled
	}
	m.deps.Router.Done(now, Outcome{
		Choice: a.choice, Stage: a.ticket.Stage, Result: result,
		Latency: latency, FirstByte: e.FirstByte, Work: e.Tokens,
	})
	m.deliverGrants(m.deps.Admitter.Release(now, a.ticket, result, latency))
	switch {
	case result == CallOK || e.Rejected:
		m.deps.Health.Succeeded(a.choice.Pool)
	case result == CallFailed:
		m.deps.Health.Failed(now, a.choice.Pool)
	}
}

// endedByDeadline reports whether a call failed because of its request's deadline
// and not because of its upstream. Non-repeatable calls continue after the deadline.
func (m *Machine) endedByDeadline(now time.Time, a *attempt, e CallEnded) bool {
	outlivesDeadline := m.spec.Pipeline.Stages[a.stageIndex].NonRepeatable
	return e.Result == CallFailed && !outlivesDeadline && !now.Before(m.spec.Deadline)
}

func (m *Machine) handleUnusedCall(now time.Time, a *attempt, e CallEnded) {
	if !e.NotExecuted {
		m.mayHaveRun = true
	}
	if e.Result == CallOK {
		m.recordDecision(now, "late", a.number, "answer not used")
	}
}

func (m *Machine) handleCallSuccess(now time.Time, a *attempt, e CallEnded) {
	m.recordDecision(now, "answer", a.number, "ok",
		record.Field{Key: "latency", Value: now.Sub(a.sentAt).String()},
		record.Field{Key: "tokens", Value: itoa(e.Tokens)})
	m.cancelOthers(now, a)
	if m.currentStage().NonRepeatable {
		m.nonRepeatableRan = true
		m.recordResult(now, e.Output)
		return
	}
	m.completeStage(now, e.Output, false)
}

func (m *Machine) handleCallFailure(now time.Time, a *attempt, e CallEnded) {
	m.recordDecision(now, "answer", a.number, "failed",
		record.Field{Key: "detail", Value: e.Detail},
		record.Field{Key: "not_executed", Value: boolText(e.NotExecuted)})
	if m.selectedAttempt == a.number {
		m.selectedAttempt = 0
	}
	if m.currentStage().NonRepeatable {
		m.handleNonRepeatableFailure(now, a, e)
		return
	}
	if !e.NotExecuted {
		m.mayHaveRun = true
	}
	if m.endedByDeadline(now, a, e) {
		m.handleDeadline(now)
		return
	}
	if e.Rejected {
		m.rejection = m.newProblem(problem.UpstreamRefused, "%s refused: %s", a.choice.Upstream, e.Detail)
	}
	m.handleAttemptFailure(now, a, m.newProblem(problem.UpstreamFailed, "%s: %s", a.choice.Upstream, e.Detail))
}

// handleAttemptFailure decides what follows an attempt that ended without an
// answer: wait for another running attempt, retry, or refuse with err.
func (m *Machine) handleAttemptFailure(now time.Time, a *attempt, err *problem.Error) {
	if m.phase != phaseRunning || a.stageIndex != m.stageIndex {
		return
	}
	if m.pendingAttemptCount() > 0 {
		m.recordDecision(now, "retry", a.number, "another attempt is running")
		return
	}
	if m.rejection != nil {
		err = m.rejection
	}
	if obstacle := m.retryObstacle(now, err); obstacle != "" {
		m.recordDecision(now, "retry", a.number, "no: "+obstacle)
		m.fail(now, err)
		return
	}
	m.recordDecision(now, "retry", a.number, "yes")
	if m.forwarded {
		m.forwarded = false
		m.emit(ResetStream{})
	}
	m.startAttempt(now, false)
}

// retryObstacle returns the reason why the stage must not be retried, or "" if it
// may be. In the latter case it has withdrawn the retry from the budget.
func (m *Machine) retryObstacle(now time.Time, err *problem.Error) string {
	if err.Kind != problem.UpstreamFailed {
		return string(err.Kind)
	}
	if m.attemptCount(m.stageIndex) >= m.spec.Bundle.Retry.MaxAttempts {
		return "attempts used up"
	}
	remaining := m.spec.Deadline.Sub(now) - m.expectedTimeAfter()
	if remaining < m.expectedServiceTime(m.currentStage()) {
		return "too little time left"
	}
	if !m.deps.RetryBudget.Withdraw(now) {
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
