package request

import (
	"encoding/json"
	"time"

	"github.com/wheatseam/wheatseam/problem"
)

// Event is an input of the state machine of a request.
type Event interface{ isEvent() }

// Start starts the request.
type Start struct{}

// SlotGranted ends an attempt's wait for a slot: the slot is granted, or refused
// if Grant.Err is set.
type SlotGranted struct{ Grant Grant }

// ClaimDecided answers an AcquireClaim action. Exactly one of the fields is set.
type ClaimDecided struct {
	// Won means that this request has the exclusive right to run the stage.
	Won bool
	// Result is the recorded result of an earlier request with the same key.
	Result json.RawMessage
	// Err is the reason why the stage must not run.
	Err *problem.Error
}

// FirstToken reports that an attempt has delivered the first part of a stream.
type FirstToken struct{ Attempt int }

// CallEnded answers a Call action.
type CallEnded struct {
	Attempt int
	Result  CallResult
	// NotExecuted is set when the upstream is known not to have executed the
	// call: it was not reached, or it refused the call and reported that it did
	// not execute it.
	NotExecuted bool
	// Rejected is set when the upstream rejected the call as invalid (4xx).
	// Other upstreams would reject it too.
	Rejected  bool
	Output    json.RawMessage
	FirstByte time.Duration
	Tokens    int
	Detail    string
}

// StatusAnswered answers a LookUpStatus action.
type StatusAnswered struct {
	// Known is set when an upstream has executed the call; Output is the result.
	Known  bool
	Output json.RawMessage
}

// Recorded answers a RecordResult action. Err is nil if a majority of the claim holders
// stored the result.
type Recorded struct{ Err error }

// TimerFired reports that a timer set by SetTimer has fired.
type TimerFired struct {
	Timer   Timer
	Attempt int
}

// CallerGone reports that the caller has disconnected.
type CallerGone struct{}

func (Start) isEvent()          {}
func (SlotGranted) isEvent()    {}
func (ClaimDecided) isEvent()   {}
func (FirstToken) isEvent()     {}
func (CallEnded) isEvent()      {}
func (StatusAnswered) isEvent() {}
func (Recorded) isEvent()       {}
func (TimerFired) isEvent()     {}
func (CallerGone) isEvent()     {}

// Timer identifies a timer of a request.
type Timer uint8

// Timers of a request.
const (
	// TimerDeadline fires at the request's deadline.
	TimerDeadline Timer = iota
	// TimerHedge fires when an attempt takes longer than the hedge delay.
	TimerHedge
)
