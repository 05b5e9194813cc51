package site

import "time"

// Behaviour is what a replica does to the requests that it gets. The zero value
// serves well.
type Behaviour struct {
	// Work is how long a request, or a call for pieces, takes.
	Work time.Duration
	// ReadToken is how long an engine reads one token of the prompt.
	ReadToken time.Duration
	// Status is answered in place of 200, after the run.
	Status int
	// Shed refuses requests with a word that they were not run.
	Shed bool
	// ShedFree refuses likewise, and tells that it has free places.
	ShedFree bool
	// RetryAfter is what a refusal says of when to come back; "" for nothing.
	RetryAfter string
	// ShedSilently answers 503 without that word, after the run.
	ShedSilently bool
	// CutBefore closes the connection after the run and before any answer.
	CutBefore bool
	// CutAfterEvents closes the connection inside the event after so many; 0
	// never does.
	CutAfterEvents int
	// Truncate breaks the body of an answer off.
	Truncate bool
	// Unframed sends no length.
	Unframed bool
	// Extra sends a second answer after the first.
	Extra bool
	// Unsigned leaves the signature out.
	Unsigned bool
	// Hang answers nothing until the connection closes.
	Hang bool
	// Early answers before the body was read.
	RespondBeforeBody bool
	// EventEvery is the time from one event of an engine's stream to the next;
	// 0 is eventEvery.
	EventEvery time.Duration
	// PauseAfterEvents is the number of events after which an engine's stream falls
	// silent; 0 is before the first, with the head of the answer sent.
	PauseAfterEvents int
	// Pause is for how long it is silent before it goes on.
	Pause time.Duration
	// Silence is how it is silent for good, after Pause.
	Silence Silence
	// HoldWork is how long an engine takes to answer with a hold that it keeps already.
	HoldWork time.Duration
	// HangReports answers nothing to asks for the report.
	HangReports bool
	// NoHolds refuses to hold a place.
	NoHolds bool
	// NoOrders answers 404 to asks for the report and for holds, as an engine that
	// does not know them.
	NoOrders bool
}

// Silence is how a stream falls silent for good.
type Silence uint8

// The ways to fall silent for good.
const (
	// Speaking goes on.
	NoStall Silence = iota
	// StandsStill makes no more events in this run; the process answers other calls.
	StandsStill
	// Muted makes the events and ends the run, but nothing arrives any more; the
	// connection stays open.
	Muted
	// Frozen stops the process: all its streams are silent, and it takes connections
	// on which nothing is answered.
	Frozen
	// Vanished is as Frozen, but the port takes no connections.
	Vanished
)

// Poison is a body under which a replica's process ends.
type Poison struct {
	// Body is "" for none.
	Body string
	// After is how long it runs until the process ends, with all its connections,
	// and Down how long until it starts again under its id; 0 leaves it down.
	After, Down time.Duration
	// Crashed is told of each crash under the body; nil for nobody.
	Crashed func(body string)
}
