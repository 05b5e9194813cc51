package request

import (
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/record"
)

// scheduleHedge sets the timer that hedges a repeatable attempt if it is slow.
func (m *Machine) scheduleHedge(now time.Time, a *attempt) {
	policy := m.spec.Bundle.Hedge
	s := m.currentStage()
	if s.NonRepeatable || a.isHedge || policy.BudgetRatio <= 0 || policy.Quantile <= 0 {
		return
	}
	delay, ok := m.hedgeDelay(s, policy.Quantile)
	if !ok {
		return
	}
	at := now.Add(delay)
	if earliest := earliestHedge(m.spec.Bundle.Objective, a.ticket); earliest.After(at) {
		at = earliest
	}
	m.emit(SetTimer{Timer: TimerHedge, Attempt: a.number, At: at})
}

// hedgeSlackFactor limits hedging to requests that have little slack: if attainment
// and cost have equal weights, a slow call is hedged once its slack before the
// deadline is at most this multiple of the time that the request still needs.
const hedgeSlackFactor = 4.0

// earliestHedge returns the earliest time at which a hedge is worth its cost. A hedge
// makes a difference only if the request has little slack left, so a higher weight
// of cost delays the hedge. The zero time means that a hedge is always worth it.
func earliestHedge(o bundle.Objective, t Ticket) time.Time {
	if o.CostByStage <= 0 {
		return time.Time{}
	}
	slackFactor := hedgeSlackFactor * o.Attainment / o.CostByStage
	return t.LatestStart().Add(-time.Duration(slackFactor * float64(t.Expected+t.ExpectedAfter)))
}

// cancelQueuedHedge removes a hedge that would have to wait for a slot. It would
// start late and delay calls that have no other attempt running. It does not
// count as an attempt.
func (m *Machine) cancelQueuedHedge(now time.Time, a *attempt) {
	m.recordDecision(now, "hedge", a.number, "no: no slot is free")
	m.cancel(now, a)
	m.attempts = m.attempts[:len(m.attempts)-1]
}

// hedgeDelay returns the time after which a call counts as slow. For a generation
// stage it is a quantile of the time to the first token, since the total duration
// depends on the length of the output; for other stages, of the total latency.
func (m *Machine) hedgeDelay(s bundle.Stage, quantile float64) (time.Duration, bool) {
	if s.Kind == bundle.StageGenerate {
		return m.deps.Router.ExpectedFirstByte(s.Pool, s.Name, quantile)
	}
	return m.deps.Router.ExpectedLatency(s.Pool, s.Name, quantile)
}

// startHedge starts a second attempt in parallel with a slow one.
func (m *Machine) startHedge(now time.Time, number int) {
	a := m.findActiveAttempt(number)
	if a == nil || a.stageIndex != m.stageIndex || m.phase != phaseRunning || m.selectedAttempt != 0 || m.pendingAttemptCount() > 1 {
		return
	}
	remaining := m.spec.Deadline.Sub(now) - m.expectedTimeAfter()
	if remaining < m.expectedServiceTime(m.currentStage()) {
		m.recordDecision(now, "hedge", number, "no: too little time left")
		return
	}
	if !m.deps.HedgeBudget.Withdraw(now) {
		m.recordDecision(now, "hedge", number, "no: hedge budget used up")
		return
	}
	m.recordDecision(now, "hedge", number, "yes", record.Field{Key: "after", Value: now.Sub(a.sentAt).String()})
	m.startAttempt(now, true)
}
