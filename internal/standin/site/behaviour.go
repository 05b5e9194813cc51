package site

import "time"

// Behaviour determines how a replica handles requests. A replica with the zero value
// is healthy.
type Behaviour struct {
	// Work is the service time of a request or a piece call.
	Work time.Duration
	// ReadToken is the prefill time of an engine for each prompt token.
	ReadToken time.Duration
	// Status replaces the response status 200 after the run, unless 0.
	Status int
	// Shed refuses requests and marks the refusal as not executed.
	Shed bool
	// ShedFree refuses like Shed and reports a load with free slots.
	ShedFree bool
	// RetryAfter is the Retry-After header of refusals; "" for none.
	RetryAfter string
	// ShedSilently responds with 503 after the run, without marking the response
	// as not executed.
	ShedSilently bool
	// CutBefore closes the connection after the run, before any response.
	CutBefore bool
	// CutAfterEvents closes the connection in the middle of the event after this
	// many events; 0 means never.
	CutAfterEvents int
	// Truncate closes the connection in the middle of the response body.
	Truncate bool
	// Unframed omits the Content-Length.
	Unframed bool
	// Extra sends a second response after the first on the same connection.
	Extra bool
	// Unsigned omits the response signature.
	Unsigned bool
	// Hang sends no response until the connection closes.
	Hang bool
	// RespondBeforeBody responds with 400 before reading the request body.
	RespondBeforeBody bool
	// EventEvery is the interval between the events of an engine's stream; 0
	// means defaultEventInterval.
	EventEvery time.Duration
	// PauseAfterEvents is the number of events after which an engine's stream
	// pauses; 0 means after the response headers, before the first event.
	PauseAfterEvents int
	// Pause is the duration of that pause.
	Pause time.Duration
	// Silence is how the stream stalls permanently after Pause.
	Silence Silence
	// HoldWork is the delay of the response to a reservation call, after the engine
	// has made the reservation.
	HoldWork time.Duration
	// HangReports sends no response to engine report calls.
	HangReports bool
	// NoHolds refuses all reservations.
	NoHolds bool
	// NoOrders responds with 404 to engine report and reservation calls, like an
	// engine that does not support them.
	NoOrders bool
}

// Silence is how a stream stalls permanently.
type Silence uint8

// The kinds of permanent stalls.
const (
	// NoStall means that the stream continues.
	NoStall Silence = iota
	// StandsStill stops generating events in this run. The process still serves
	// other calls.
	StandsStill
	// Muted generates the remaining events and ends the run, but sends nothing.
	// The connection stays open.
	Muted
	// Frozen freezes the process: all its streams stall, and it accepts connections
	// but sends no responses.
	Frozen
	// Vanished is like Frozen, but the port refuses connections.
	Vanished
)

// Poison is a request body that crashes a replica's process.
type Poison struct {
	// Body is the request body that causes the crash; "" for none.
	Body string
	// After is the time from the start of the run until the process ends and all
	// its connections close. Down is the time until the process restarts with the
	// same id; 0 means that it does not restart.
	After, Down time.Duration
	// Crashed, if not nil, is called after each crash caused by the body.
	Crashed func(body string)
}
