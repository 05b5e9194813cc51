// Package trace defines recorded traces: requests that callers send at given offsets
// and faults that are injected into the upstreams at given offsets.
//
// A trace is stored as JSON lines (see docs/REPLAY.md). The first line is the Header;
// each later line is a Prefix, a Request or a Fault, as its "type" member states. A
// Trace must not be modified after it has been parsed.
package trace

import (
	"encoding/json"
	"time"
)

// FormatVersion is the only format version that this package supports.
const FormatVersion = 1

// MaxRequests is the largest number of requests in a trace.
const MaxRequests = 200_000

// MaxOffset is the largest offset in a trace.
const MaxOffset = time.Hour

// AutoKey, as the key of a request, requests an idempotency key that is generated when
// the request is sent: a UUIDv7, which contains the time of sending.
const AutoKey = "auto"

// lineType is the "type" member of a line.
type lineType string

// Types of lines.
const (
	typeTrace   lineType = "trace"
	typePrefix  lineType = "prefix"
	typeRequest lineType = "request"
	typeFault   lineType = "fault"
)

// Expectation is the outcome that the author of a trace expects of a request.
type Expectation string

const (
	// ExpectAny accepts an answer, in time or late, or a refusal.
	ExpectAny Expectation = "any"
	// ExpectAnswer accepts only a complete answer within the deadline.
	ExpectAnswer Expectation = "answer"
	// ExpectRefusal accepts only a refusal.
	ExpectRefusal Expectation = "refusal"
)

// RetryWhen is the condition under which a caller's retry is sent.
type RetryWhen string

const (
	// RetryUnlessAnswered sends the retry if no earlier try of the request has
	// been answered by the offset of the retry. This is the default.
	RetryUnlessAnswered RetryWhen = "unless_answered"
	// RetryAlways sends the retry regardless of the outcome of earlier tries.
	RetryAlways RetryWhen = "always"
)

// Header is the first line of a trace. It describes the trace and how it was
// generated.
type Header struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	// Program is the command that generated the trace, including the seed.
	Program string `json:"program,omitempty"`
	Seed    uint64 `json:"seed"`
	// Note describes in one sentence what the trace represents.
	Note string `json:"note,omitempty"`
}

// Prefix is a prompt prefix that several requests can refer to by its name.
type Prefix struct {
	Name string `json:"name"`
	Text string `json:"text"`
	// Repeat is how many times Text is repeated; 0 and 1 both mean once.
	Repeat int `json:"repeat,omitempty"`
}

// Request is one request of one caller, or a caller's retry of an earlier one.
type Request struct {
	// ID is unique within the trace.
	ID string `json:"id"`
	// AtMS is the arrival offset from the start, in milliseconds.
	AtMS int64 `json:"at_ms"`
	// RetryOf is the id of the earlier request that this one repeats. The retry
	// inherits all members except its id and offset and is sent to another host.
	RetryOf string    `json:"retry_of,omitempty"`
	When    RetryWhen `json:"when,omitempty"`

	Customer   string `json:"customer,omitempty"`
	Pipeline   string `json:"pipeline,omitempty"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	// Key is the idempotency key: a UUID, AutoKey, or empty for none.
	Key    string `json:"key,omitempty"`
	Stream bool   `json:"stream,omitempty"`
	// Prefix is the name of the shared prefix of the prompt.
	Prefix string `json:"prefix,omitempty"`
	Prompt string `json:"prompt,omitempty"`
	// PromptRepeat is how many times Prompt is repeated; 0 and 1 both mean once.
	PromptRepeat int         `json:"prompt_repeat,omitempty"`
	Expect       Expectation `json:"expect,omitempty"`
}

// Fault is a fault that is injected through the control interface of stand-ins.
type Fault struct {
	AtMS int64 `json:"at_ms"`
	// Pool and Replicas select the stand-ins. Replicas are the indexes of the
	// pool's upstreams in the bundle; empty selects all of them.
	Pool     string `json:"pool"`
	Replicas []int  `json:"replicas,omitempty"`
	// Body is the JSON object that is posted to /control/faults.
	Body json.RawMessage `json:"body"`
}

// Trace is a parsed trace. Requests and faults are sorted by offset.
type Trace struct {
	Header   Header
	Prefixes []Prefix
	Requests []Request
	Faults   []Fault
}

// At returns the arrival offset.
func (r Request) At() time.Duration { return time.Duration(r.AtMS) * time.Millisecond }

// Deadline returns the caller's time limit for the answer, counted from the arrival.
func (r Request) Deadline() time.Duration {
	return time.Duration(r.DeadlineMS) * time.Millisecond
}

// At returns the offset of the fault.
func (f Fault) At() time.Duration { return time.Duration(f.AtMS) * time.Millisecond }

// Duration returns the largest offset of the trace.
func (t *Trace) Duration() time.Duration {
	var last time.Duration
	for _, r := range t.Requests {
		last = max(last, r.At())
	}
	for _, f := range t.Faults {
		last = max(last, f.At())
	}
	return last
}
