package soak

import (
	"fmt"
	"slices"
	"strings"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// streamFault is a way in which the events of a stream can be wrong, over all attempts of its
// caller.
type streamFault string

// The faults of streams.
const (
	// missingEvents: an event is followed by one that is not the next one.
	missingEvents streamFault = "missing"
	// repeatedEvents: an event comes again, or after a later one.
	repeatedEvents streamFault = "repeated"
	// joinedStream: the events are of several software versions.
	joinedStream streamFault = "joined"
	// endedEarly: an attempt ended as a whole successful answer before the last event.
	endedEarly streamFault = "ended early"
	// foreignEvents: an event was written for another attempt than the one that brought it.
	foreignEvents streamFault = "foreign"
	// malformedEvents: an event is not as a replica writes it.
	malformedEvents streamFault = "malformed"
)

// streamFaults lists all faults.
var streamFaults = []streamFault{joinedStream, missingEvents, repeatedEvents, endedEarly, foreignEvents, malformedEvents}

// streamFinding is a fault of a stream, found in one of its attempts.
type streamFinding struct {
	fault   streamFault
	attempt attempt
	detail  string
}

// findings returns the faults of the stream, each at its first place in each attempt. It reads
// everything that the caller received, of attempts that broke off too.
func (s callerStream) findings() []streamFinding {
	var out []streamFinding
	var versions []string
	next := 1 // ID of the event that the caller needs next
	for _, att := range s {
		events, rest := site.ParseEvents(att.events())
		report := func(fault streamFault, format string, args ...any) {
			if !slices.ContainsFunc(out, func(f streamFinding) bool { return f.fault == fault && f.attempt.call.ID == att.call.ID }) {
				out = append(out, streamFinding{fault, att, fmt.Sprintf(format, args...)})
			}
		}
		for i, e := range events {
			switch {
			case e.Malformed:
				report(malformedEvents, "event %d of the attempt", i+1)
				continue
			case e.Request != att.call.ID:
				report(foreignEvents, "event %d of %s", e.ID, e.Request)
			case e.ID < next:
				report(repeatedEvents, "event %d, want %d", e.ID, next)
			case e.ID > next:
				report(missingEvents, "event %d, want %d", e.ID, next)
			}
			next = max(next, e.ID+1)
		}
		for _, v := range receivedVersions(att.events()) {
			if len(versions) > 0 && !slices.Contains(versions, v) {
				report(joinedStream, "events of version %s after those of %s", v, strings.Join(versions, ","))
			}
			if !slices.Contains(versions, v) {
				versions = append(versions, v)
			}
		}
		if att.complete() && (next <= eventsPerStream || rest != "") {
			report(endedEarly, "before event %d, %d bytes of it received", next, len(rest))
		}
	}
	return out
}

// receivedVersions returns the versions that wrote the events of a body, those of an event that
// broke off after its version too.
func receivedVersions(body string) []string {
	return site.EventVersions(body[:strings.LastIndexByte(body, '\n')+1])
}

// checkEvents checks the events of all streams, resumable or not, complete or not.
func (r *runner) checkEvents() {
	for _, s := range r.allStreams() {
		for _, f := range s.findings() {
			r.recordViolation("order: %s: %s of %s: %s; the stream: %s", f.fault, f.attempt.call.ID, f.attempt.daemon.name, f.detail, s)
		}
	}
}

// allStreams returns all streams. Those that are not resumable have one attempt each.
func (r *runner) allStreams() []callerStream {
	streams := r.callerStreams()
	for _, att := range r.attempts {
		if att.call.Streams() && !att.call.Resumable() {
			streams = append(streams, callerStream{att})
		}
	}
	return streams
}
