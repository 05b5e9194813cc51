// Package report calculates the metrics of a run from its calls and the ledgers:
// attainment, latency, refusals, cost by stage and violations.
package report

import (
	"time"

	"github.com/wheatseam/wheatseam/replay"
	"github.com/wheatseam/wheatseam/replay/audit"
	"github.com/wheatseam/wheatseam/replay/ledger"
)

// maxExamples limits the violations that a report lists individually.
const maxExamples = 50

// Share is the share of items that meet a condition.
type Share struct {
	Met int `json:"met"`
	Of  int `json:"of"`
	// Share is Met divided by Of; 0 if Of is 0.
	Share float64 `json:"share"`
}

func (s *Share) count(met bool) {
	s.Of++
	if met {
		s.Met++
	}
	s.Share = float64(s.Met) / float64(s.Of)
}

// Group holds the metrics of a set of requests: all of them, those of one pipeline or
// those of one customer.
type Group struct {
	// Attainment counts requests. A request is met if any of its tries received
	// a complete answer within the deadline of that try.
	Attainment Share `json:"attainment"`
	// Tries counts each sent try separately.
	Tries Share `json:"tries"`
	// The outcomes of the tries. Answered includes Late.
	Answered   int `json:"answered"`
	Late       int `json:"late"`
	Refused    int `json:"refused"`
	Unanswered int `json:"unanswered"`
	// Unexpected counts the tries whose outcome is not the one that the trace
	// expects.
	Unexpected int `json:"unexpected"`
	// Latency is the latency of answers, from the offset, in milliseconds.
	Latency Quantiles `json:"latency_ms"`
	// FirstToken is the time from the offset to the first token of streamed
	// answers, BetweenTokens the time between consecutive tokens; both in
	// milliseconds.
	FirstToken    Quantiles `json:"first_token_ms"`
	BetweenTokens Quantiles `json:"between_tokens_ms"`
	// Refusal is the time from the offset to a refusal, in milliseconds.
	Refusal Quantiles `json:"refusal_ms"`
}

// Refusal holds the metrics of one kind of refusal. After is the time from the offset
// to the refusal, in milliseconds.
type Refusal struct {
	Kind      string    `json:"kind"`
	Execution string    `json:"execution"`
	Count     int       `json:"count"`
	After     Quantiles `json:"after_ms"`
}

// Second counts the outcomes of the tries that were due in one second of the run.
type Second struct {
	At       int `json:"at_s"`
	Sent     int `json:"sent"`
	Attained int `json:"attained"`
	Refused  int `json:"refused"`
}

// Violations counts the violations by kind and lists the first maxExamples of them.
type Violations struct {
	Total       int                `json:"total"`
	ByKind      map[audit.Kind]int `json:"by_kind"`
	Undelivered int                `json:"undelivered"`
	Examples    []audit.Violation  `json:"examples,omitempty"`
}

// Fault is one fault of the trace; Error says why it was not injected.
type Fault struct {
	AtMS  int64  `json:"at_ms"`
	Pool  string `json:"pool"`
	Body  string `json:"body"`
	Error string `json:"error,omitempty"`
}

// Report holds all metrics of one run. Its JSON form is documented in docs/REPLAY.md.
type Report struct {
	// Label names the measured configuration, such as a policy.
	Label string `json:"label"`
	Trace string `json:"trace"`
	// Program and Seed are the command and seed that generated the trace.
	Program string    `json:"program,omitempty"`
	Seed    uint64    `json:"seed"`
	Speed   float64   `json:"speed"`
	Started time.Time `json:"started"`
	// SpanSeconds is the last offset of a sent request, at the speed of the run.
	SpanSeconds float64 `json:"span_seconds"`
	// Goodput is the number of attained requests per second of the span.
	Goodput    float64          `json:"goodput"`
	All        Group            `json:"all"`
	Pipelines  map[string]Group `json:"pipelines"`
	Customers  map[string]Group `json:"customers"`
	Refusals   []Refusal        `json:"refusals"`
	Stages     []StageCost      `json:"stages"`
	Violations Violations       `json:"violations"`
	Timeline   []Second         `json:"timeline"`
	Faults     []Fault          `json:"faults,omitempty"`
	// Skipped counts retries that were not needed. NotSent counts requests that
	// the load generator did not send because of its own limits; a run with such
	// requests is invalid.
	Skipped int `json:"skipped"`
	NotSent int `json:"not_sent"`
	// SendLag is the delay between the offset and the time of sending.
	SendLag Quantiles `json:"send_lag_ms"`
}

// New calculates the report of a run that was replayed at speed. entries are the ledger
// entries of all stand-ins, f is the result of the audit.
func New(label string, speed float64, run *replay.Result, entries []ledger.Entry, f audit.Finding) *Report {
	r := &Report{
		Label: label, Trace: run.Trace.Name, Program: run.Trace.Program, Seed: run.Trace.Seed,
		Speed: speed, Started: run.Started,
	}
	r.countCalls(run.Calls, speed)
	r.Refusals = refusals(run.Calls)
	r.Stages = stageCosts(run.Calls, entries)
	r.Violations = violations(f)
	for _, fault := range run.Faults {
		line := Fault{AtMS: fault.Fault.AtMS, Pool: fault.Fault.Pool, Body: string(fault.Fault.Body)}
		if fault.Err != nil {
			line.Error = fault.Err.Error()
		}
		r.Faults = append(r.Faults, line)
	}
	return r
}

func violations(f audit.Finding) Violations {
	v := Violations{ByKind: map[audit.Kind]int{}, Undelivered: f.Undelivered, Total: len(f.Violations)}
	for _, k := range audit.Kinds {
		v.ByKind[k] = 0
	}
	for _, one := range f.Violations {
		v.ByKind[one.Kind]++
	}
	v.Examples = f.Violations[:min(len(f.Violations), maxExamples)]
	return v
}
