package request

import (
	"encoding/json"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/problem"
)

// Action is something that the caller of Step must carry out.
type Action interface{ isAction() }

// Call sends one attempt at a stage to an upstream.
type Call struct {
	Attempt int
	Stage   bundle.Stage
	Choice  Choice
	Input   json.RawMessage
	// NotAfter is the request's deadline. The call must not be sent later:
	// the sender checks its clock right before the first byte.
	NotAfter time.Time
	// StartBy is the last time at which a start is expected to meet the
	// deadline, the later stages counted in. Calls that wait at an upstream
	// are best served in its order.
	StartBy time.Time
	// Key is the idempotency key of a non-repeatable stage; else empty.
	Key string
}

// Cancel gives up a running call. It is still answered by CallEnded.
type Cancel struct{ Attempt int }

// Claim asks the claim holders for the sole right to run a stage.
type Claim struct {
	Key   ClaimKey
	Stage bundle.Stage
}

// Release gives a claim back under which nothing was sent, and voids all
// attempts at the key that arrived before.
type Release struct{ Key ClaimKey }

// Record stores the result of a claimed stage at the holders.
type Record struct {
	Key    ClaimKey
	Result json.RawMessage
}

// LookUp asks the upstreams of a pool what became of a call whose answer was
// lost, until one has its result or the deadline comes.
type LookUp struct {
	Pool string
	Key  string
}

// Keep stores a stage's result at fellow daemons until the deadline.
type Keep struct {
	Stage  string
	Result json.RawMessage
}

// Forward passes the stream of an attempt on to the caller.
type Forward struct{ Attempt int }

// Reset tells a streaming caller to discard the text received so far.
type Reset struct{}

// SetTimer asks for a TimerFired event at a time.
type SetTimer struct {
	Timer   Timer
	Attempt int
	At      time.Time
}

// Notify carries a grant to the request that waits for it.
type Notify struct{ Grant Grant }

// Finish answers the caller. Exactly one of Answer and Err is set.
type Finish struct {
	Answer *Answer
	Err    *problem.Error
	// Settle says what must be done with Key before an Err that says NotRun is
	// told. If it fails, the caller is told MayHaveRun instead.
	Settle Settle
	Key    ClaimKey
}

// Settle is what makes a NotRun answer true for a request with a key.
type Settle uint8

// The ways to settle.
const (
	// SettleNone needs nothing.
	SettleNone Settle = iota
	// SettleRelease releases a claim under which nothing was sent.
	SettleRelease
	// SettleVoid voids the attempts at a key that was not claimed yet.
	SettleVoid
)

func (Call) isAction()     {}
func (Cancel) isAction()   {}
func (Claim) isAction()    {}
func (Release) isAction()  {}
func (Record) isAction()   {}
func (LookUp) isAction()   {}
func (Keep) isAction()     {}
func (Forward) isAction()  {}
func (Reset) isAction()    {}
func (SetTimer) isAction() {}
func (Notify) isAction()   {}
func (Finish) isAction()   {}

// ClaimKey identifies a stage that may run once.
type ClaimKey struct {
	Customer string
	// Key is the caller's Idempotency-Key, a UUIDv7.
	Key   string
	Stage string
}

// Answer is the whole answer to a request.
type Answer struct {
	RequestID     string          `json:"request_id"`
	Pipeline      string          `json:"pipeline"`
	BundleVersion uint64          `json:"bundle_version"`
	Stages        []StageReport   `json:"stages"`
	Result        json.RawMessage `json:"result"`
}

// StageReport says how a stage went.
type StageReport struct {
	Name     string `json:"name"`
	Attempts int    `json:"attempts"`
	// Millis is the time from the stage's begin to its end.
	Millis int64 `json:"ms"`
	// Reused is set when the result was kept or recorded earlier.
	Reused bool `json:"reused,omitempty"`
}
