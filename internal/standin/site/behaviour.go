package site

import "time"

// Behaviour is what a replica does to the requests that it gets. The zero value
// serves well.
type Behaviour struct {
	// Work is how long a request, or a call for pieces, takes.
	ServiceTime time.Duration
	// ReadToken is how long an engine reads one token of the prompt.
	PrefillPerToken time.Duration
	// Status is answered in place of 200, after the run.
	Status int
	// Shed refuses requests with a word that they were not run.
	Shed bool
	// ShedFree refuses likewise, and tells that it has free places.
	ShedWithFreeSlots bool
	// RetryAfter is what a refusal says of when to come back; "" for nothing.
	RetryAfter string
	// ShedSilently answers 503 without that word, after the run.
	UnavailableAfterRun bool
	// CutBefore closes the connection after the run and before any answer.
	AbortBeforeResponse bool
	// CutAfterEvents closes the connection inside the event after so many; 0
	// never does.
	AbortAfterEvents int
	// Truncate breaks the body of an answer off.
	Truncate bool
	// Unframed sends no length.
	NoContentLength bool
	// Extra sends a second answer after the first.
	ExtraResponse bool
	// Unsigned leaves the signature out.
	Unsigned bool
	// Hang answers nothing until the connection closes.
	Hang bool
	// Early answers before the body was read.
	Early bool
	// EventEvery is the time from one event of an engine's stream to the next;
	// 0 is eventEvery.
	EventInterval time.Duration
	// PauseAfterEvents is the number of events after which an engine's stream falls
	// silent; 0 is before the first, with the head of the answer sent.
	PauseAfterEvents int
	// Pause is for how long it is silent before it goes on.
	Pause time.Duration
	// Silence is how it is silent for good, after Pause.
	Stall Stall
	// HoldWork is how long an engine takes to answer with a hold that it keeps already.
	ReservationDelay time.Duration
	// HangReports answers nothing to asks for the report.
	HangReports bool
	// NoHolds refuses to hold a place.
	NoReservations bool
	// NoOrders answers 404 to asks for the report and for holds, as an engine that
	// does not know them.
	NoEngineCalls bool
}

// Silence is how a stream falls silent for good.
type Stall uint8

// The ways to fall silent for good.
const (
	// Speaking goes on.
	Speaking Stall = iota
	// StandsStill makes no more events in this run; the process answers other calls.
	RunStalled
	// Muted makes the events and ends the run, but nothing arrives any more; the
	// connection stays open.
	OutputStalled
	// Frozen stops the process: all its streams are silent, and it takes connections
	// on which nothing is answered.
	ProcessFrozen
	// Vanished is as Frozen, but the port takes no connections.
	ProcessUnreachable
)

// Poison is a body under which a replica's process ends.
type PoisonRequest struct {
	// Body is "" for none.
	Body string
	// After is how long it runs until the process ends, with all its connections,
	// and Down how long until it starts again under its id; 0 leaves it down.
	CrashDelay, Downtime time.Duration
	// Crashed is told of each crash under the body; nil for nobody.
	OnCrash func(body string)
}
