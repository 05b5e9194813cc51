// Package report turns a run and the ledgers into figures: attainment, latency,
// refusals, cost by stage and violations.
package report

import (
	"time"

	"github.com/wheatseam/wheatseam/replay"
	"github.com/wheatseam/wheatseam/replay/audit"
	"github.com/wheatseam/wheatseam/replay/ledger"
)

// maxExamples bounds the violations that are listed one by one.
const maxExamples = 50

// Share is a part of a whole.
type Share struct {
	Met int `json:"met"`
	Of  int `json:"of"`
	// Share is Met divided by Of; 0 of nothing.
	Share float64 `json:"share"`
}

func (s *Share) count(met bool) {
	s.Of++
	if met {
		s.Met++
	}
	s.Share = float64(s.Met) / float64(s.Of)
}

// Group holds the figures of a set of requests: all, those of a pipeline or
// those of a customer.
type Group struct {
	// Attainment counts requests with all of their tries: met is a whole
	// answer within the deadline of the try that brought it.
	Attainment Share `json:"attainment"`
	// Tries counts each request line that was sent by itself.
	Tries Share `json:"tries"`
	// The ends of the tries; Late ones are among the Answered.
	Answered   int `json:"answered"`
	Late       int `json:"late"`
	Refused    int `json:"refused"`
	Unanswered int `json:"unanswered"`
	// Unexpected counts the tries that ended otherwise than the trace expects.
	Unexpected int `json:"unexpected"`
	// Latency is that of whole answers, in milliseconds from the offset.
	Latency Quantiles `json:"latency_ms"`
	// FirstToken and BetweenTokens are those of streamed answers.
	FirstToken    Quantiles `json:"first_token_ms"`
	BetweenTokens Quantiles `json:"between_tokens_ms"`
	// Refusal is how soon the refused callers heard.
	Refusal Quantiles `json:"refusal_ms"`
}

// Refusal holds the figures of one kind of refusal.
type Refusal struct {
	Kind      string    `json:"kind"`
	Execution string    `json:"execution"`
	Count     int       `json:"count"`
	After     Quantiles `json:"after_ms"`
}

// Second holds what became of the requests that were due in one second.
type Second struct {
	At       int `json:"at_s"`
	Sent     int `json:"sent"`
	Attained int `json:"attained"`
	Refused  int `json:"refused"`
}

// Violations counts the violations by kind and lists some of them.
type Violations struct {
	Total       int                `json:"total"`
	ByKind      map[audit.Kind]int `json:"by_kind"`
	Undelivered int                `json:"undelivered"`
	Examples    []audit.Violation  `json:"examples,omitempty"`
}

// Fault is one fault as it was injected.
type Fault struct {
	AtMS  int64  `json:"at_ms"`
	Pool  string `json:"pool"`
	Body  string `json:"body"`
	Error string `json:"error,omitempty"`
}

// Report is everything measured in one run. Its JSON form is documented in
// docs/REPLAY.md.
type Report struct {
	// Label names what was measured, such as a policy.
	Label string `json:"label"`
	Trace string `json:"trace"`
	// Program and Seed say how the trace was made.
	Program string    `json:"program,omitempty"`
	Seed    uint64    `json:"seed"`
	Speed   float64   `json:"speed"`
	Started time.Time `json:"started"`
	// SpanSeconds is the time from the first offset to the last.
	SpanSeconds float64 `json:"span_seconds"`
	// Goodput is the answers in time per second of the span.
	Goodput    float64          `json:"goodput"`
	All        Group            `json:"all"`
	Pipelines  map[string]Group `json:"pipelines"`
	Customers  map[string]Group `json:"customers"`
	Refusals   []Refusal        `json:"refusals"`
	Stages     []StageCost      `json:"stages"`
	Violations Violations       `json:"violations"`
	Timeline   []Second         `json:"timeline"`
	Faults     []Fault          `json:"faults,omitempty"`
	// Skipped counts retries that were not needed, NotSent those requests
	// that the tool could not send in its bounds: the run is void then.
	Skipped int `json:"skipped"`
	NotSent int `json:"not_sent"`
	// SendLag is how late the tool itself sent.
	SendLag Quantiles `json:"send_lag_ms"`
}

// New works out the figures of a run at speed. The entries are those of all
// stand-ins, the finding that of the audit.
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
