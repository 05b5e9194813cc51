package replay

import (
	"encoding/json"
	"time"

	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/replay/trace"
)

// Outcome is the result of a call as the caller observed it.
type Outcome string

const (
	// Answered means that a complete answer arrived, within the deadline or late.
	Answered Outcome = "answered"
	// Refused means that a problem document arrived.
	Refused Outcome = "refused"
	// Unanswered means that neither arrived: the connection broke, the stream
	// was truncated, the response was malformed, or there was no response until
	// the deadline and the grace period had passed.
	Unanswered Outcome = "unanswered"
	// Skipped is a retry that was not sent because an earlier try was answered.
	Skipped Outcome = "skipped"
	// NotSent is a request that the load generator did not send because of its
	// own limits.
	NotSent Outcome = "not_sent"
)

// StageReport is the part of an answer that describes one stage.
type StageReport struct {
	Name     string  `json:"name"`
	Attempts int     `json:"attempts"`
	MS       float64 `json:"ms"`
}

// Answer is a complete answer of the callers' API.
type Answer struct {
	RequestID     string          `json:"request_id"`
	Pipeline      string          `json:"pipeline"`
	BundleVersion uint64          `json:"bundle_version"`
	Stages        []StageReport   `json:"stages"`
	Result        json.RawMessage `json:"result"`
}

// Refusal is a problem document of the callers' API.
type Refusal struct {
	Status    int               `json:"status"`
	Kind      problem.Kind      `json:"kind"`
	Execution problem.Execution `json:"execution"`
	Detail    string            `json:"detail"`
	RequestID string            `json:"request_id"`
}

// Call is one try of a request with its outcome.
type Call struct {
	Request trace.Request
	// FirstTryID is the id of the first try in the trace: the call's own id
	// unless it is a retry.
	FirstTryID string
	// Host is the ip:port that the request was sent to.
	Host string
	// Key is the idempotency key that was sent; empty for none.
	Key string
	// CorrelationToken is the token in the prompt that shows which request an
	// answer belongs to.
	CorrelationToken string
	// SendLag is the delay between the offset and the time of sending.
	SendLag time.Duration
	// SentAt and EndedAt are the wall-clock times of sending and of the last byte.
	SentAt, EndedAt time.Time
	// Latency is the time from the offset to the last byte.
	Latency time.Duration
	// FirstToken is the time from the offset to the first token; 0 without tokens.
	FirstToken time.Duration
	// InterTokenGaps are the times between consecutive tokens.
	InterTokenGaps []time.Duration
	// StreamedTextDiffers is set if the streamed tokens do not form the text of
	// the final event.
	StreamedTextDiffers bool
	Outcome             Outcome
	Answer              Answer
	Refusal             Refusal
	// Problem is the reason why the call is Unanswered or NotSent.
	Problem string
}

// Attained reports whether the complete answer arrived within the deadline.
func (c *Call) Attained() bool {
	return c.Outcome == Answered && c.Latency <= c.Request.Deadline()
}

// Sent reports whether the request was sent.
func (c *Call) Sent() bool { return c.Outcome != Skipped && c.Outcome != NotSent }

// RequestID returns the id that the fleet assigned to the request; empty if unknown.
func (c *Call) RequestID() string {
	switch c.Outcome {
	case Answered:
		return c.Answer.RequestID
	case Refused:
		return c.Refusal.RequestID
	default:
		return ""
	}
}

// Expected reports whether the outcome satisfies the expectation in the trace.
func (c *Call) Expected() bool {
	switch c.Request.Expect {
	case trace.ExpectAnswer:
		return c.Attained()
	case trace.ExpectRefusal:
		return c.Outcome == Refused
	default:
		return c.Outcome == Answered || c.Outcome == Refused
	}
}
