// Package sequence decides which events of a stream are passed on to its caller. It sees events
// that step back or are missing within a run, and runs that go on at the wrong event. It is
// deterministic: it does no I/O, reads no clock and starts no goroutine.
//
// The IDs of a stream's events increase. By how much they increase is not specified, so that a gap
// is seen only against a step: the one of the stream itself, the usual one of its service (Steps), or
// one. A difference is taken for a gap if it is a multiple of the step. While the stream has not
// shown its step, an event that may follow a gap is held until the next one shows whether the run
// counts like that.
//
// What this cannot see: a gap in a service most replicas of which send IDs at varying steps; events
// that are missing before the first or after the last one of a stream; events without IDs, or whose
// IDs are no numbers; and events of another run that have the expected IDs.
package sequence
