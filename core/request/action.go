package request

import (
	"encoding/json"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/problem"
)

// Action is a side effect that the caller of Machine.Step must carry out.
type Action interface{ isAction() }

// Call sends one attempt of a stage to an upstream.
type Call struct {
	Attempt int
	Stage   bundle.Stage
	Choice  Choice
	Input   json.RawMessage
	// NotAfter is the request's deadline. The call must not be sent after it;
	// the sender checks its clock right before it writes the first byte.
	NotAfter time.Time
	// LatestStart is the latest time at which the call can start and still meet
	// the deadline, given the expected time of this stage and the later ones.
	// An upstream should serve its waiting calls in order of LatestStart.
	LatestStart time.Time
	// Key is the idempotency key if the stage is non-repeatable, else empty.
	Key string
}

// Cancel cancels a running call. The call is still answered by CallEnded.
type Cancel struct{ Attempt int }

// AcquireClaim asks the claim holders for the exclusive right to run a stage.
type AcquireClaim struct {
	Key   ClaimKey
	Stage bundle.Stage
}

// ReleaseClaim releases a claim under which no call was sent. The holders then refuse
// all attempts at the key that arrived before the release.
type ReleaseClaim struct{ Key ClaimKey }

// RecordResult stores the result of a claimed stage at the claim holders.
type RecordResult struct {
	Key    ClaimKey
	Result json.RawMessage
}

// LookUpStatus asks the upstreams of a pool for the outcome of a call whose response
// was lost, until one of them returns the result or the deadline passes.
type LookUpStatus struct {
	Pool string
	Key  string
}

// StoreResult stores a stage's result at other daemons until the deadline, so that a
// later request with the same key can reuse it.
type StoreResult struct {
	Stage  string
	Result json.RawMessage
}

// Forward forwards the stream of an attempt to the caller.
type Forward struct{ Attempt int }

// ResetStream tells a streaming caller to discard the text it has received so far.
type ResetStream struct{}

// SetTimer requests a TimerFired event at the time At.
type SetTimer struct {
	Timer   Timer
	Attempt int
	At      time.Time
}

// DeliverGrant delivers a grant to the request that waits for it.
type DeliverGrant struct{ Grant Grant }

// Finish answers the caller. Exactly one of Answer and Err is set.
type Finish struct {
	Answer *Answer
	Err    *problem.Error
	// ClaimCleanup says what must be done with Key before the caller gets an Err whose
	// Execution is NotRun. If that fails, the caller gets MayHaveRun instead.
	ClaimCleanup ClaimCleanup
	Key          ClaimKey
}

// ClaimCleanup is the operation on a key that guarantees that the request of a NotRun
// response has not run and will not run.
type ClaimCleanup uint8

// Operations on the key of a refused request.
const (
	// ClaimCleanupNone does nothing.
	ClaimCleanupNone ClaimCleanup = iota
	// ClaimCleanupRelease releases a claim under which no call was sent.
	ClaimCleanupRelease
	// ClaimCleanupVoid voids all attempts at a key that has not been claimed yet.
	ClaimCleanupVoid
)

func (Call) isAction()         {}
func (Cancel) isAction()       {}
func (AcquireClaim) isAction() {}
func (ReleaseClaim) isAction() {}
func (RecordResult) isAction() {}
func (LookUpStatus) isAction() {}
func (StoreResult) isAction()  {}
func (Forward) isAction()      {}
func (ResetStream) isAction()  {}
func (SetTimer) isAction()     {}
func (DeliverGrant) isAction() {}
func (Finish) isAction()       {}

// ClaimKey identifies a stage that may run at most once.
type ClaimKey struct {
	Customer string
	// Key is the caller's Idempotency-Key, a UUIDv7.
	Key   string
	Stage string
}

// Answer is the response to a successful request.
type Answer struct {
	RequestID     string          `json:"request_id"`
	Pipeline      string          `json:"pipeline"`
	BundleVersion uint64          `json:"bundle_version"`
	Stages        []StageReport   `json:"stages"`
	Result        json.RawMessage `json:"result"`
}

// StageReport describes the execution of a stage.
type StageReport struct {
	Name     string `json:"name"`
	Attempts int    `json:"attempts"`
	// Millis is the duration of the stage in milliseconds.
	Millis int64 `json:"ms"`
	// Reused is set if the result was kept or recorded by an earlier request.
	Reused bool `json:"reused,omitempty"`
}
