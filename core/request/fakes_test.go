package request

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/record"
)

var epoch = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// fakeRouter returns the upstreams u1, u2, ... and counts the calls in flight.
type fakeRouter struct {
	picked      int
	inFlight    int
	queries     []Query
	outcomes    []Outcome
	latency     time.Duration
	noUpstreams bool
}

func (r *fakeRouter) Pick(_ time.Time, q Query, _ record.Recorder) (Choice, *problem.Error) {
	if r.noUpstreams {
		return Choice{}, problem.New(problem.NoUpstream, "none")
	}
	r.queries = append(r.queries, q)
	r.picked++
	r.inFlight++
	name := fmt.Sprintf("u%d", r.picked)
	return Choice{Pool: q.Pool, Upstream: name, FailureDomain: "d-" + name}, nil
}

func (r *fakeRouter) Done(_ time.Time, o Outcome) {
	r.inFlight--
	r.outcomes = append(r.outcomes, o)
}

func (r *fakeRouter) ExpectedLatency(string, string, float64) (time.Duration, bool) {
	return r.latency, r.latency > 0
}

func (r *fakeRouter) ExpectedFirstByte(string, string, float64) (time.Duration, bool) {
	return r.latency, r.latency > 0
}

// fakeAdmitter grants up to slots tickets and queues the rest.
type fakeAdmitter struct {
	slots      int
	slotsInUse int
	queue      []Ticket
	admitted   int
	refusal    *problem.Error
}

func (a *fakeAdmitter) Admit(time.Time, Plan, record.Recorder) *problem.Error {
	if a.refusal == nil {
		a.admitted++
	}
	return a.refusal
}

func (a *fakeAdmitter) Finish(time.Time, Plan, bool) { a.admitted-- }

func (a *fakeAdmitter) Acquire(_ time.Time, t Ticket, _ record.Recorder) (AcquireResult, *problem.Error) {
	if a.slotsInUse < a.slots {
		a.slotsInUse++
		return Granted, nil
	}
	a.queue = append(a.queue, t)
	return Queued, nil
}

func (a *fakeAdmitter) Abandon(_ time.Time, t Ticket) {
	for i := range a.queue {
		if a.queue[i].Attempt == t.Attempt {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return
		}
	}
}

func (a *fakeAdmitter) Release(time.Time, Ticket, CallResult, time.Duration) []Grant {
	a.slotsInUse--
	if len(a.queue) == 0 {
		return nil
	}
	t := a.queue[0]
	a.queue = a.queue[1:]
	a.slotsInUse++
	return []Grant{{Ticket: t}}
}

func (a *fakeAdmitter) Tick(time.Time) []Grant { return nil }

type fakeBudget struct{ remaining int }

func (b *fakeBudget) Deposit(time.Time) {}

func (b *fakeBudget) Withdraw(time.Time) bool {
	b.remaining--
	return b.remaining >= 0
}

// fakeHealth refuses requests if failing names a pool, and counts the reported results.
type fakeHealth struct {
	failing           string
	succeeded, failed int
}

func (h *fakeHealth) Allow(time.Time, []string) (string, bool) { return h.failing, h.failing == "" }
func (h *fakeHealth) Succeeded(string)                         { h.succeeded++ }
func (h *fakeHealth) Failed(time.Time, string)                 { h.failed++ }

type fakeRecorder struct{ entries []record.Entry }

func (r *fakeRecorder) Add(e record.Entry) { r.entries = append(r.entries, e) }

// harness drives one machine.
type harness struct {
	now       time.Time
	router    *fakeRouter
	admitter  *fakeAdmitter
	retries   *fakeBudget
	health    *fakeHealth
	recorder  *fakeRecorder
	machine   *Machine
	actionLog []Action
}

func testBundle(nonRepeatable bool) *bundle.Bundle {
	last := bundle.Stage{Name: "last", Kind: bundle.StageGenerate, Pool: "lm", Expected: 100 * time.Millisecond}
	if nonRepeatable {
		last = bundle.Stage{
			Name: "last", Kind: bundle.StageCall, Pool: "seals",
			NonRepeatable: true, Expected: 100 * time.Millisecond,
		}
	}
	return &bundle.Bundle{
		Version: 7,
		Retry:   bundle.RetryPolicy{BudgetRatio: 0.1, MaxAttempts: 3},
		Hedge:   bundle.HedgePolicy{BudgetRatio: 0.1, Quantile: 0.95},
		Pools:   []bundle.Pool{{Name: "encoders"}, {Name: "lm"}, {Name: "seals"}},
		Pipelines: []bundle.Pipeline{{
			Name: "p", Deadline: time.Second,
			Stages: []bundle.Stage{
				{Name: "first", Kind: bundle.StageEncode, Pool: "encoders", Expected: 10 * time.Millisecond, KeepResult: true},
				last,
			},
		}},
	}
}

func newHarness(nonRepeatable bool, change ...func(*Spec)) *harness {
	b := testBundle(nonRepeatable)
	spec := Spec{
		ID: "r1", Customer: "c", Bundle: b, Pipeline: &b.Pipelines[0],
		Arrived: epoch, Deadline: epoch.Add(time.Second), Key: "k", Input: json.RawMessage(`{"text":"x"}`),
	}
	for _, f := range change {
		f(&spec)
	}
	h := &harness{
		now: epoch, router: &fakeRouter{}, admitter: &fakeAdmitter{slots: 10},
		retries: &fakeBudget{remaining: 5}, health: &fakeHealth{}, recorder: &fakeRecorder{},
	}
	deps := Deps{Router: h.router, Admitter: h.admitter, RetryBudget: h.retries, HedgeBudget: &fakeBudget{remaining: 5}, Health: h.health}
	h.machine = New(spec, deps, h.recorder)
	return h
}

// step advances the clock by a millisecond, delivers an event and returns the actions.
func (h *harness) step(ev Event) []Action {
	h.now = h.now.Add(time.Millisecond)
	out := h.machine.Step(h.now, ev)
	h.actionLog = append(h.actionLog, out...)
	return out
}

func (h *harness) succeed(attempt int) []Action {
	return h.step(CallEnded{Attempt: attempt, Result: CallOK, Output: json.RawMessage(`"out"`)})
}

// actions returns the actions of type T.
func actions[T Action](all []Action) []T {
	var found []T
	for _, a := range all {
		if t, ok := a.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

func (h *harness) finishAction() *Finish {
	all := actions[Finish](h.actionLog)
	if len(all) != 1 {
		return nil
	}
	return &all[0]
}
