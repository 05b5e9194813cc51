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

// fakeRouter hands out upstreams u1, u2, ... and counts what is in flight.
type fakeRouter struct {
	picked   int
	inFlight int
	queries  []Query
	outcomes []Outcome
	latency  time.Duration
	empty    bool
}

func (r *fakeRouter) Pick(_ time.Time, q Query, _ record.Recorder) (Choice, *problem.Error) {
	if r.empty {
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

func (r *fakeRouter) Expect(string, string, float64) (time.Duration, bool) {
	return r.latency, r.latency > 0
}

func (r *fakeRouter) ExpectFirstByte(string, string, float64) (time.Duration, bool) {
	return r.latency, r.latency > 0
}

// fakeAdmitter grants up to slots and queues the rest.
type fakeAdmitter struct {
	slots    int
	held     int
	queue    []Ticket
	admitted int
	refuse   *problem.Error
}

func (a *fakeAdmitter) Arrive(time.Time, Plan, record.Recorder) *problem.Error {
	if a.refuse == nil {
		a.admitted++
	}
	return a.refuse
}

func (a *fakeAdmitter) Leave(time.Time, Plan, bool) { a.admitted-- }

func (a *fakeAdmitter) Acquire(_ time.Time, t Ticket, _ record.Recorder) (Verdict, *problem.Error) {
	if a.held < a.slots {
		a.held++
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
	a.held--
	if len(a.queue) == 0 {
		return nil
	}
	t := a.queue[0]
	a.queue = a.queue[1:]
	a.held++
	return []Grant{{Ticket: t}}
}

func (a *fakeAdmitter) Tick(time.Time) []Grant { return nil }

type fakeBudget struct{ left int }

func (b *fakeBudget) Deposit(time.Time) {}

func (b *fakeBudget) Withdraw(time.Time) bool {
	b.left--
	return b.left >= 0
}

// fakeHealth refuses when failing names a pool, and counts what it is told.
type fakeHealth struct {
	failing           string
	succeeded, failed int
}

func (h *fakeHealth) Allow(time.Time, []string) (string, bool) { return h.failing, h.failing == "" }
func (h *fakeHealth) Succeeded(string)                         { h.succeeded++ }
func (h *fakeHealth) Failed(time.Time, string)                 { h.failed++ }

type recorder struct{ entries []record.Entry }

func (r *recorder) Add(e record.Entry) { r.entries = append(r.entries, e) }

// harness drives one machine.
type harness struct {
	now     time.Time
	router  *fakeRouter
	admit   *fakeAdmitter
	retries *fakeBudget
	health  *fakeHealth
	rec     *recorder
	m       *Machine
	log     []Action
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
		now: epoch, router: &fakeRouter{}, admit: &fakeAdmitter{slots: 10},
		retries: &fakeBudget{left: 5}, health: &fakeHealth{}, rec: &recorder{},
	}
	deps := Deps{Router: h.router, Admitter: h.admit, Retries: h.retries, Hedges: &fakeBudget{left: 5}, Health: h.health}
	h.m = New(spec, deps, h.rec)
	return h
}

// step delivers an event after a millisecond and returns the actions.
func (h *harness) step(ev Event) []Action {
	h.now = h.now.Add(time.Millisecond)
	out := h.m.Step(h.now, ev)
	h.log = append(h.log, out...)
	return out
}

func (h *harness) ok(attempt int) []Action {
	return h.step(CallEnded{Attempt: attempt, Result: CallOK, Output: json.RawMessage(`"out"`)})
}

// actions returns those of the harness's log that have type T.
func actions[T Action](all []Action) []T {
	var found []T
	for _, a := range all {
		if t, ok := a.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

func (h *harness) finish() *Finish {
	all := actions[Finish](h.log)
	if len(all) != 1 {
		return nil
	}
	return &all[0]
}
