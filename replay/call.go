package replay

import (
	"encoding/json"
	"time"

	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/replay/trace"
)

// Outcome says what a caller heard.
type Outcome string

// The outcomes.
const (
	// Answered is a whole answer, in time or late.
	Answered Outcome = "answered"
	// Refused is a problem document.
	Refused Outcome = "refused"
	// Unanswered is neither: a broken connection, a cut stream, a malformed
	// answer, or silence until the deadline and the grace had passed.
	Unanswered Outcome = "unanswered"
	// Skipped is a caller's retry that was not needed.
	Skipped Outcome = "skipped"
	// NotSent is a request that the tool itself could not send in its bounds.
	NotSent Outcome = "not_sent"
)

// StageReport is what an answer tells of one stage.
type StageReport struct {
	Name     string  `json:"name"`
	Attempts int     `json:"attempts"`
	MS       float64 `json:"ms"`
}

// Answer is a whole answer of the callers' API.
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

// Call is one request as it was sent and what its caller heard.
type Call struct {
	Request trace.Request
	// Root is the id of the first try; its own id when it is no retry.
	FirstTryID string
	// Host is the address that the request was sent to.
	Host string
	// Key is the idempotency key that was sent; may be empty.
	Key string
	// Mark is the token in the prompt by which an answer shows its request.
	CorrelationToken string
	// Lag is how long after its offset the request was sent.
	SendLag time.Duration
	// SentAt and EndedAt are the wall clock at sending and at the last byte.
	SentAt, EndedAt time.Time
	// Latency counts from the offset to the last byte.
	Latency time.Duration
	// FirstToken counts from the offset to the first token; 0 without tokens.
	FirstToken time.Duration
	// Gaps are the times between tokens.
	InterTokenGaps []time.Duration
	// TextDiffers says that the streamed tokens are not the text of the
	// closing event.
	StreamedTextDiffers bool
	Outcome             Outcome
	Answer              Answer
	Refusal             Refusal
	// Problem says why the call is unanswered or was not sent.
	Problem string
}

// Attained says whether the caller had the whole answer within its deadline.
func (c *Call) Attained() bool {
	return c.Outcome == Answered && c.Latency <= c.Request.Deadline()
}

// Sent says whether the request was sent at all.
func (c *Call) Sent() bool { return c.Outcome != Skipped && c.Outcome != NotSent }

// RequestID returns the id that the fleet gave the request; empty if unknown.
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

// Expected says whether the outcome is the one that the trace expects.
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
