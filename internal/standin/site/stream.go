package site

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// EventText returns event n of the stream for a request.
func EventText(request string, n int) string { return string(appendEvent(nil, request, n)) }

// appendEvent appends EventText(request, n) to b.
func appendEvent(b []byte, request string, n int) []byte {
	b = strconv.AppendInt(append(b, "id: "...), int64(n), 10)
	b = strconv.AppendInt(append(b, "\ndata: token "...), int64(n), 10)
	b = append(append(b, " of "...), request...)
	return append(b, "\n\n"...)
}

// versionField is the field of an event that names the software version which wrote it.
const versionField = "version: "

// eventText returns event n of the stream for a request, with the replica's version if it has
// one.
func (r *Replica) eventText(request string, n int) string {
	text := EventText(request, n)
	if r.Version == "" {
		return text
	}
	return strings.TrimSuffix(text, "\n") + versionField + r.Version + "\n\n"
}

// EventVersions returns the versions that wrote the events of a body, each once, in the order
// of their first events.
func EventVersions(body string) []string {
	var versions []string
	for line := range strings.Lines(body) {
		if v, ok := strings.CutPrefix(line, versionField); ok && !slices.Contains(versions, strings.TrimSpace(v)) {
			versions = append(versions, strings.TrimSpace(v))
		}
	}
	return versions
}

// withoutVersions removes the versions from the events of a body.
func withoutVersions(body string) string {
	var b strings.Builder
	for line := range strings.Lines(body) {
		if !strings.HasPrefix(line, versionField) {
			b.WriteString(line)
		}
	}
	return b.String()
}

// CompleteEvents returns the number of complete events of a body.
func CompleteEvents(body string) int { return strings.Count(body, eventEnd) }

// eventEnd ends each event.
const eventEnd = "\n\n"

// Event is a complete event of a stream.
type Event struct {
	// ID is the number of the event in its stream, from 1.
	ID int
	// Request is the ID of the attempt for which a replica wrote the event, and Version the
	// version of its software; "" for none.
	Request, Version string
	// Malformed reports that no replica writes such an event; the other fields are not set.
	Malformed bool
}

// ParseEvents returns the complete events of a body, in order, and what follows the last one.
func ParseEvents(body string) (events []Event, rest string) {
	for {
		text, after, complete := strings.Cut(body, eventEnd)
		if !complete {
			return events, body
		}
		events = append(events, parseEvent(text+eventEnd))
		body = after
	}
}

// parseEvent parses what eventText returned.
func parseEvent(text string) Event {
	first, rest, _ := strings.Cut(text, "\n")
	data, rest, _ := strings.Cut(rest, "\n")
	id, err := strconv.Atoi(strings.TrimPrefix(first, "id: "))
	request, ok := strings.CutPrefix(data, "data: token "+strconv.Itoa(id)+" of ")
	versionLine, _, _ := strings.Cut(rest, "\n")
	version, _ := strings.CutPrefix(versionLine, versionField)
	e := Event{ID: id, Request: request, Version: version}
	if err != nil || !ok || (&Replica{Version: version}).eventText(request, id) != text {
		return Event{Malformed: true}
	}
	return e
}

// defaultEventInterval is the default interval between events.
const defaultEventInterval = 2 * time.Millisecond

// stream responds with the events of a run.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request, e *execution, b Behaviour) {
	ctx := req.Context()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush() // the client may have disconnected
	interval := defaultEventInterval
	if b.EventInterval > 0 {
		interval = b.EventInterval
	}
	for i, n := range eventNumbers(e.lastEventID, r.EventsPerStream, b.EventFault) {
		if i == b.PauseAfterEvents && !r.applyStall(ctx, e, b, interval) {
			return
		}
		if r.isFrozen() {
			e.stall(ctx)
			return
		}
		text := withEventID(r.eventText(e.run.RequestID, n), n, b.idsOf(e))
		if b.AbortAfterEvents > 0 && i >= b.AbortAfterEvents {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		e.recordEvent()
		if _, err := io.WriteString(w, text); err != nil {
			e.cancel()
			return
		}
		_ = flusher.Flush()
		if !e.wait(ctx, interval) {
			return
		}
	}
	e.complete()
}

// idsOf returns how the events of a run are identified.
func (b Behaviour) idsOf(e *execution) EventIDs {
	if b.EventFault == ResumedWithoutIDs && e.lastEventID > 0 {
		return WithoutIDs
	}
	return b.EventIDs
}

// applyStall applies the pause and the permanent stall of the behaviour. It reports
// whether the stream continues.
func (r *Replica) applyStall(ctx context.Context, e *execution, b Behaviour, interval time.Duration) bool {
	if b.Pause > 0 && !e.wait(ctx, b.Pause) {
		return false
	}
	switch b.Stall {
	case NoStall:
		return true
	case RunStalled:
		e.stall(ctx)
	case OutputStalled:
		e.completeUnsent(ctx, interval)
	case ConnectionSilent:
		e.completeUnsent(context.Background(), interval)
	case ProcessFrozen:
		r.Freeze()
		e.stall(ctx)
	case ProcessUnreachable:
		r.FreezeUnreachable()
		e.stall(ctx)
	}
	return false
}

// stall waits until the connection closes, without generating events.
func (e *execution) stall(ctx context.Context) {
	<-ctx.Done()
	e.cancel()
}

// completeUnsent generates the remaining events without sending them, and keeps the
// connection open until ctx is done, if it ever is.
func (e *execution) completeUnsent(ctx context.Context, interval time.Duration) {
	for n := e.lastEventID + len(e.eventTimes) + 1; n <= e.replica.EventsPerStream && !e.ended(); n++ {
		e.recordEvent()
		if !e.wait(ctx, interval) {
			return
		}
	}
	e.complete()
	if ctx.Done() != nil {
		<-ctx.Done()
	}
}
