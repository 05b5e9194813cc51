package request

import (
	"encoding/json"
	"time"

	"github.com/wheatseam/wheatseam/problem"
)

// Event is something that happened to a request.
type Event interface{ isEvent() }

// Start begins the request.
type Start struct{}

// SlotGranted ends the wait of an attempt for a slot of its pool.
type SlotGranted struct{ Grant Grant }

// ClaimDecided answers a Claim action. Exactly one of the fields is set.
type ClaimDecided struct {
	// Won means that this request alone may run the stage.
	Won bool
	// Result is the recorded result of an earlier request with the same key.
	Result json.RawMessage
	// Err says why the stage may not run.
	Err *problem.Error
}

// FirstToken reports that an attempt has delivered the first part of a stream.
type FirstToken struct{ Attempt int }

// CallEnded answers a Call action.
type CallEnded struct {
	Attempt int
	Result  CallResult
	// NotExecuted is set when the upstream is known not to have executed the
	// call: it was never reached, or refused and said so.
	NotExecuted bool
	// Rejected is set when the upstream found the call itself invalid (4xx):
	// another upstream would say the same.
	Rejected  bool
	Output    json.RawMessage
	FirstByte time.Duration
	Tokens    int
	Detail    string
}

// StatusAnswered answers a LookUp action.
type StatusAnswered struct {
	// Known is set when the upstream has run the call; Output is its result.
	Known  bool
	Output json.RawMessage
}

// Recorded answers a Record action. Err is nil when a majority of the holders
// has the result.
type Recorded struct{ Err error }

// TimerFired reports a timer that SetTimer asked for.
type TimerFired struct {
	Timer   Timer
	Attempt int
}

// CallerGone reports that nobody waits for the answer any more.
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

// Timer names a timer of a request.
type Timer uint8

// The timers.
const (
	// TimerDeadline fires at the request's deadline.
	TimerDeadline Timer = iota
	// TimerHedge fires when an attempt is slower than usual.
	TimerHedge
)
