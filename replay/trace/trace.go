// Package trace holds recorded traces: the requests that callers send at
// stated offsets and the faults that strike the upstreams meanwhile.
//
// A trace is a text of JSON lines (see docs/REPLAY.md). The first line is the
// Header; each later line is a Prefix, a Request or a Fault, told apart by its
// "type" member. A Trace is immutable once parsed.
package trace

import (
	"encoding/json"
	"time"
)

// FormatVersion is the version of the format that this package reads.
const FormatVersion = 1

// MaxRequests bounds the requests of one trace.
const MaxRequests = 200_000

// MaxOffset bounds the offsets of a trace.
const MaxOffset = time.Hour

// AutoKey asks for an idempotency key made when the request is sent: a UUIDv7,
// which carries the time of sending.
const AutoKey = "auto"

// lineType is the "type" member of a line.
type lineType string

// The types of line.
const (
	typeTrace   lineType = "trace"
	typePrefix  lineType = "prefix"
	typeRequest lineType = "request"
	typeFault   lineType = "fault"
)

// Expectation is what the maker of a trace expects of a request.
type Expectation string

// The expectations.
const (
	// ExpectAny accepts an answer or an honest refusal.
	ExpectAny Expectation = "any"
	// ExpectAnswer accepts a whole answer within the deadline only.
	ExpectAnswer Expectation = "answer"
	// ExpectRefusal accepts a refusal only.
	ExpectRefusal Expectation = "refusal"
)

// RetryWhen says when a caller's retry is sent.
type RetryWhen string

// The conditions of a caller's retry.
const (
	// RetryUnlessAnswered sends the retry if no earlier try of the same
	// request has been answered whole when its time comes. The default.
	RetryUnlessAnswered RetryWhen = "unless_answered"
	// RetryAlways sends the retry whatever became of the earlier tries.
	RetryAlways RetryWhen = "always"
)

// Header is the first line: what the trace is and how it was made.
type Header struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	// Program is the command that made the trace, seed included.
	Program string `json:"program,omitempty"`
	Seed    uint64 `json:"seed"`
	// Note says in one sentence what the trace stands for.
	Note string `json:"note,omitempty"`
}

// Prefix is a prompt prefix that requests share by its name.
type Prefix struct {
	Name string `json:"name"`
	Text string `json:"text"`
	// Repeat repeats Text so often; 0 and 1 leave it as it is.
	Repeat int `json:"repeat,omitempty"`
}

// Request is one request of one caller, or a caller's retry of an earlier one.
type Request struct {
	// ID names the request within the trace.
	ID string `json:"id"`
	// AtMS is the arrival offset from the start, in milliseconds.
	AtMS int64 `json:"at_ms"`
	// RetryOf names the earlier request that this one repeats: it takes over
	// all of its members but its id and offset, and goes to another host.
	RetryOf string    `json:"retry_of,omitempty"`
	When    RetryWhen `json:"when,omitempty"`

	Customer   string `json:"customer,omitempty"`
	Pipeline   string `json:"pipeline,omitempty"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	// Key is the idempotency key, AutoKey, or empty for none.
	Key    string `json:"key,omitempty"`
	Stream bool   `json:"stream,omitempty"`
	// Prefix names the shared prefix of the prompt.
	Prefix string `json:"prefix,omitempty"`
	Prompt string `json:"prompt,omitempty"`
	// PromptRepeat repeats Prompt so often; 0 and 1 leave it as it is.
	PromptRepeat int         `json:"prompt_repeat,omitempty"`
	Expect       Expectation `json:"expect,omitempty"`
}

// Fault is a message to the control interface of stand-ins.
type Fault struct {
	AtMS int64 `json:"at_ms"`
	// Pool and Replicas name the stand-ins: the pool's upstreams by their
	// index in the bundle, all of them when Replicas is empty.
	Pool     string `json:"pool"`
	Replicas []int  `json:"replicas,omitempty"`
	// Body is posted to /control/faults as it is.
	Body json.RawMessage `json:"body"`
}

// Trace is a parsed trace, requests and faults in the order of their offsets.
type Trace struct {
	Header   Header
	Prefixes []Prefix
	Requests []Request
	Faults   []Fault
}

// At returns the arrival offset.
func (r Request) At() time.Duration { return time.Duration(r.AtMS) * time.Millisecond }

// Deadline returns the time that the caller gives the request.
func (r Request) Deadline() time.Duration {
	return time.Duration(r.DeadlineMS) * time.Millisecond
}

// At returns the offset of the fault.
func (f Fault) At() time.Duration { return time.Duration(f.AtMS) * time.Millisecond }

// Duration returns the last offset of the trace.
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
