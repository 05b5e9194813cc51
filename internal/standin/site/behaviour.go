package site

import "time"

// Behaviour determines how a replica handles requests. A replica with the zero value
// is healthy.
type Behaviour struct {
	// ServiceTime is the service time of a request or a piece call.
	ServiceTime time.Duration
	// PrefillPerToken is the prefill time of an engine for each prompt token.
	PrefillPerToken time.Duration
	// Status replaces the response status 200 after the run, unless 0.
	Status int
	// Shed refuses requests and marks the refusal as not executed.
	Shed bool
	// ShedWithFreeSlots refuses like Shed and reports a load with free slots.
	ShedWithFreeSlots bool
	// RetryAfter is the Retry-After header of refusals; "" for none.
	RetryAfter string
	// UnavailableAfterRun responds with 503 after the run, without marking the response
	// as not executed.
	UnavailableAfterRun bool
	// AbortBeforeResponse closes the connection after the run, before any response.
	AbortBeforeResponse bool
	// AbortAfterEvents closes the connection in the middle of the event after this
	// many events; 0 means never.
	AbortAfterEvents int
	// Truncate closes the connection in the middle of the response body.
	Truncate bool
	// NoContentLength omits the Content-Length.
	NoContentLength bool
	// Unframed sends all responses, those of streams and status calls too, with neither a
	// length nor chunks; they end with their connections.
	Unframed bool
	// CrashClosesUnframed makes a crash close the connections of such responses in order, as the
	// kernel does for a process that was killed, so that they end like complete ones. Otherwise it
	// resets them.
	CrashClosesUnframed bool
	// ExtraResponse sends a second response after the first on the same connection.
	ExtraResponse bool
	// Endless sends endless bytes in response to all requests and calls, those to status calls
	// and reservations too. A request is run before, pieces are not.
	Endless Endless
	// EndlessInterval is the pause between two writes of endless bytes; 0 for none.
	EndlessInterval time.Duration
	// Raw replaces the responses to requests and calls for pieces; nil for none. They don't run.
	Raw *RawResponse
	// OtherRequest names another request in responses to requests.
	OtherRequest bool
	// Unsigned omits the response signature.
	Unsigned bool
	// Hang sends no response until the connection closes.
	Hang bool
	// RespondBeforeBody responds with 400 before reading the request body.
	RespondBeforeBody bool
	// EventInterval is the interval between the events of an engine's stream; 0
	// means defaultEventInterval.
	EventInterval time.Duration
	// PauseAfterEvents is the number of events after which an engine's stream
	// pauses; 0 means after the response headers, before the first event.
	PauseAfterEvents int
	// Pause is the duration of that pause, and of one in the middle of the body of a plain
	// replica's response.
	Pause time.Duration
	// Stall is how the stream stalls permanently after Pause.
	Stall Stall
	// EventFault is a fault in the order of the events of an engine's streams, and EventIDs how
	// they are identified.
	EventFault EventFault
	EventIDs   EventIDs
	// ReservationDelay is the delay of the response to a reservation call, after the
	// engine has made the reservation.
	ReservationDelay time.Duration
	// HangReports sends no response to engine report calls.
	HangReports bool
	// ListDelay delays the list of cached parts.
	ListDelay time.Duration
	// NoMoves responds with 404 to calls that move a run, NoRoomForMoves with 503: the run has
	// stopped, and is not copied.
	NoMoves, NoRoomForMoves bool
	// NoReservations refuses all reservations.
	NoReservations bool
	// NoEngineCalls responds with 404 to engine report and reservation calls, like an
	// engine that does not support them.
	NoEngineCalls bool
}

// Stall is how a stream stalls permanently.
type Stall uint8

// The kinds of permanent stalls.
const (
	// NoStall means that the stream continues.
	NoStall Stall = iota
	// RunStalled stops generating events in this run. The process still serves
	// other calls.
	RunStalled
	// OutputStalled generates the remaining events and completes the run, but sends
	// nothing. The connection stays open.
	OutputStalled
	// ConnectionSilent generates the remaining events and completes the run, but nothing passes
	// over its connection any more, neither events nor a close.
	ConnectionSilent
	// ProcessFrozen freezes the process: all its streams stall, and it accepts
	// connections but sends no responses.
	ProcessFrozen
	// ProcessUnreachable is like ProcessFrozen, but the port refuses connections.
	ProcessUnreachable
)

// PoisonRequest is a request body, or a part of prompts, that crashes a replica's process.
type PoisonRequest struct {
	// Body is the request body that causes the crash; "" for none.
	Body string
	// Part is the ID of the part of a prompt that causes the crash, as the process begins to
	// write an answer, unless it is the last part; "" for none.
	Part string
	// CrashDelay is the time from the start of the run, or of writing, until the process
	// crashes and all its connections close. Downtime is the time until the process restarts with
	// the same id; 0 means that it does not restart.
	CrashDelay, Downtime time.Duration
	// OnCrash, if not nil, is called after each crash, with the body or the part.
	OnCrash func(cause string)
}
