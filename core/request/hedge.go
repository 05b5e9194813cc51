package request

import (
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/record"
)

// armHedge sets the timer after which a repeatable attempt counts as slow.
func (m *Machine) armHedge(now time.Time, a *attempt) {
	policy := m.spec.Bundle.Hedge
	s := m.current()
	if s.NonRepeatable || a.hedge || policy.BudgetRatio <= 0 || policy.Quantile <= 0 {
		return
	}
	delay, ok := m.hedgeDelay(s, policy.Quantile)
	if !ok {
		return
	}
	at := now.Add(delay)
	if worth := hedgeFrom(m.spec.Bundle.Objective, a.ticket); worth.After(at) {
		at = worth
	}
	m.do(SetTimer{Timer: TimerHedge, Attempt: a.number, At: at})
}

// hedgeReach is with how much slack before its deadline a slow call is hedged,
// as a multiple of the time that the request still needs, when attainment and
// cost weigh the same.
const hedgeReach = 4.0

// hedgeFrom returns from when on a hedge is worth its cost: a hedge saves a
// request only if little slack is left, so the more cost weighs, the longer a
// slow call is waited for. The zero time says that it always is.
func hedgeFrom(o bundle.Objective, t Ticket) time.Time {
	if o.CostByStage <= 0 {
		return time.Time{}
	}
	reach := hedgeReach * o.Attainment / o.CostByStage
	return t.StartBy().Add(-time.Duration(reach * float64(t.Expected+t.After)))
}

// skipHedge takes a hedge out of the queue that it would have to wait in: it
// would come late and displace calls that are not answered twice. It does not
// count as an attempt.
func (m *Machine) skipHedge(now time.Time, a *attempt) {
	m.note(now, "hedge", a.number, "no: no slot is free")
	m.cancel(now, a)
	m.attempts = m.attempts[:len(m.attempts)-1]
}

// hedgeDelay is measured on the first token of a generation, since its whole
// length differs by request, and on the whole answer of all else.
func (m *Machine) hedgeDelay(s bundle.Stage, quantile float64) (time.Duration, bool) {
	if s.Kind == bundle.StageGenerate {
		return m.deps.Router.ExpectFirstByte(s.Pool, s.Name, quantile)
	}
	return m.deps.Router.Expect(s.Pool, s.Name, quantile)
}

// hedge sends a second attempt beside one that is slower than usual.
func (m *Machine) hedge(now time.Time, number int) {
	a := m.find(number)
	if a == nil || a.stage != m.stage || m.phase != phaseRunning || m.winner != 0 || m.running() > 1 {
		return
	}
	left := m.spec.Deadline.Sub(now) - m.expectedAfter()
	if left < m.expected(m.current()) {
		m.note(now, "hedge", number, "no: too little time left")
		return
	}
	if !m.deps.Hedges.Withdraw(now) {
		m.note(now, "hedge", number, "no: hedge budget used up")
		return
	}
	m.note(now, "hedge", number, "yes", record.Field{Key: "after", Value: now.Sub(a.sent).String()})
	m.launch(now, true)
}
