package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"

	"github.com/wheatseam/wheatseam/core/holdings"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/problem"
)

const (
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 1 << 20
	// streamBuffer is the size of a stream's read buffer in bytes, enough for several
	// events.
	streamBuffer = 4 << 10
)

const (
	// maxStreamBytes limits the events that one attempt relays.
	maxStreamBytes = 64 << 20
	// An event has one token at least. maxEventsPerToken and extraEvents leave room for events
	// that carry none.
	maxEventsPerToken = 2
	extraEvents       = 64
)

// Errors of streams that are larger than any valid one.
var (
	// errEventTooLarge says that an event exceeds maxEventBytes.
	errEventTooLarge = errors.New("event too large")
	// errStreamTooLarge says that a stream exceeds maxStreamBytes, or the number of events that
	// its caller can have asked for.
	errStreamTooLarge = errors.New("stream too large")
)

// streamLimits is what is left of a stream that an attempt may relay.
type streamLimits struct{ bytes, events int }

// newStreamLimits returns the limits of a stream. Without a number of tokens only its bytes are
// limited.
func newStreamLimits(outputTokens int) streamLimits {
	l := streamLimits{bytes: maxStreamBytes, events: math.MaxInt}
	if outputTokens > 0 && outputTokens < maxStreamBytes {
		l.events = maxEventsPerToken*outputTokens + extraEvents
	}
	return l
}

// take takes an event from the limits.
func (l *streamLimits) take(e event) error {
	l.bytes -= len(e.raw)
	l.events--
	if l.bytes < 0 || l.events < 0 {
		return errStreamTooLarge
	}
	return nil
}

// relayEvents relays the events of a stream as they arrive.
func (t *attempt) relayEvents(resp *http.Response) (attemptEnd, *problem.Error) {
	x, w := t.x, t.watch
	w.answerStarted()
	events := newEventReader(resp.Body)
	memory := x.newBuffer(holdings.Event)
	events.memory = memory
	defer events.releaseMemory()
	order := &runOrder{attempt: t}
	defer order.end()
	limits := newStreamLimits(x.req.OutputTokens)
	for {
		event, err := events.next()
		if err == io.EOF {
			return t.finishStream(resp, events, order)
		}
		if err != nil {
			t.insideMessage = events.partial()
			x.logMemory(memory, memory.held, err)
			return t.callFailed(err)
		}
		if err := limits.take(event); err != nil {
			// The caller has events that no other replica can continue.
			x.unresumable = true
			return t.callFailed(err)
		}
		t.heardAt = clock.Now()
		if !w.eventArrived() {
			return t.callFailed(context.Cause(t.ctx))
		}
		if t.eventsReceived == 0 && !t.versionHolds() {
			return failed, problem.New(problem.UpstreamFailed, "a process of another version runs at the address of the replica")
		}
		t.eventsReceived++
		t.pauses.arrived()
		if t.firstAt.IsZero() {
			t.recordFirstEvent()
		}
		t.partsSurvived(false)
		if err := order.relay(resp, event); err != nil {
			return t.relayFailed(err)
		}
		t.pauses.relayed()
		w.eventRelayed(progress{committed: x.committed, lastEvent: x.resumableEvent(), events: t.totalEvents(), started: true, waitsSince: x.waitsSince()})
	}
}

// versionHolds reports whether the newest view lists no process of another version at the
// replica's address. The process that runs the request may be a later one than the view listed
// when the replica was picked.
func (t *attempt) versionHolds() bool {
	v := t.x.g.discovery.View()
	if r := v.Replicas.Find(t.choice.Upstream); r != nil {
		return r.Version == t.choice.Version
	}
	if !t.x.g.paths.addresses.of(v).contains(t.choice.Address) {
		return true
	}
	for r := range v.Replicas.All() {
		if r.Address == t.choice.Address && r.Version != t.choice.Version {
			return false
		}
	}
	return true
}

// fixVersion records the version that wrote an event before the event is sent to the caller, if
// it is the first one.
func (x *exchange) fixVersion(version string) {
	if x.eventsSent > 0 {
		return
	}
	if x.origin.Load() == nil {
		x.origin.Store(&version)
	}
	x.recordOrigin(version)
}

// recordFirstEvent records the time to the first event and releases the inputs: the replica
// has read them.
func (t *attempt) recordFirstEvent() {
	x := t.x
	t.firstAt = clock.Now()
	if x.firstEventAt.IsZero() {
		x.firstEventAt = t.firstAt
	}
	x.g.router.FirstByte(t.choice)
	x.g.streamTimes.observeFirstEvent(x.service, x.route.Name, x.unsharedTokens(), t.firstAt.Sub(t.began))
	if len(x.inputs) > 0 {
		x.g.inputRetention.shorten()
	}
	x.releaseInputs()
}

// relayFailed ends an attempt an event of which was not relayed.
func (t *attempt) relayFailed(err error) (attemptEnd, *problem.Error) {
	var refused *refusedEventError
	switch {
	case errors.As(err, &refused):
		return failed, problem.New(problem.UpstreamFailed, "the replica's events are out of order: %v", err)
	case errors.Is(err, httpbody.ErrNoMemory):
		return t.callFailed(err)
	}
	return abandoned, problem.New(problem.CallerGone, "writing to the caller failed: %v", err)
}

// finishStream ends the answer after the replica's last event.
func (t *attempt) finishStream(resp *http.Response, events *eventReader, order *runOrder) (attemptEnd, *problem.Error) {
	x := t.x
	if events.partial() || t.endedByCrash(resp) {
		return t.callFailed(io.ErrUnexpectedEOF)
	}
	if rest := events.comments(); len(rest.raw) > 0 {
		if err := order.relay(resp, rest); err != nil {
			return t.relayFailed(err)
		}
	}
	if err := order.finish(resp); err != nil {
		return t.relayFailed(err)
	}
	if !x.committed {
		x.sendHead(resp)
	}
	x.status, x.outcome = resp.StatusCode, "answered"
	x.forgetOrigin()
	return answered, nil
}

// sendHead sends the head of the answer.
func (x *exchange) sendHead(resp *http.Response) {
	x.committed = true
	platform.CopyResponseHeaders(x.w.Header(), resp.Header)
	x.w.Header().Del("Content-Length")
	x.w.WriteHeader(resp.StatusCode)
	// Limits the time for writing to a caller that does not read.
	_ = http.NewResponseController(x.w).SetWriteDeadline(clock.ToMonotonic(x.deadline))
}

// sendEvent sends one event to the caller.
func (x *exchange) sendEvent(resp *http.Response, e event) error {
	if !x.committed {
		x.sendHead(resp)
	}
	if _, err := x.w.Write(e.raw); err != nil {
		return err
	}
	now := clock.Now()
	if x.eventsSent > 0 {
		x.longestPause = max(x.longestPause, now.Sub(x.lastSentAt))
	}
	x.lastSentAt = now
	x.eventsSent++
	if e.id != "" {
		x.lastEvent = e.id
	}
	return http.NewResponseController(x.w).Flush()
}

// event is one event of a stream, including its blank line. raw is valid until the next
// event is read.
type event struct {
	raw []byte
	id  string
	// hasData is false for blocks that are no events, such as comments.
	hasData bool
}

// eventReader splits a text/event-stream into events.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
	// memory limits buf; nil for no limit. taken is what buf has taken of it.
	memory httpbody.Memory
	taken  int64
	// afterCR says that the last line ended with a carriage return, which a line feed may follow.
	afterCR bool
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, streamBuffer)}
}

// Fields of events; a data field may have no value.
var (
	idField   = []byte("id:")
	dataField = []byte("data")
)

// next returns the next complete event. At the end of the stream it returns io.EOF; see
// partial.
func (e *eventReader) next() (event, error) {
	e.buf = e.buf[:0]
	next := event{}
	for {
		start := len(e.buf)
		if err := e.readLine(); err != nil {
			return event{}, err
		}
		line := bytes.Trim(e.buf[start:], "\r\n")
		if len(line) == 0 {
			next.raw = e.buf
			return next, nil
		}
		if v, ok := bytes.CutPrefix(line, idField); ok {
			next.id = string(bytes.TrimSpace(v))
		}
		next.hasData = next.hasData || bytes.HasPrefix(line, dataField)
	}
}

// readLine appends the next line to the buffer.
func (e *eventReader) readLine() error {
	for {
		part, ended, err := e.readPart()
		if err != nil {
			return err
		}
		if err := e.takeMemory(int64(len(e.buf) + len(part))); err != nil {
			return err
		}
		e.buf = append(e.buf, part...)
		if len(e.buf) > maxEventBytes {
			return errEventTooLarge
		}
		if ended {
			return nil
		}
	}
}

// readPart returns the rest of a line, or as much of it as has been received; it is valid until the
// next call. A line ends with a line feed, a carriage return or both. A line feed that has not been
// received yet is not waited for: it is passed on with the next line.
func (e *eventReader) readPart() (part []byte, ended bool, err error) {
	if _, err := e.r.Peek(1); err != nil {
		return nil, false, err
	}
	part, _ = e.r.Peek(e.r.Buffered()) // they are buffered
	switch i := bytes.IndexAny(part, "\r\n"); {
	case e.afterCR && i == 0 && part[0] == '\n':
		part, e.afterCR = part[:1], false
	case i < 0:
		e.afterCR = false
	case bytes.HasPrefix(part[i:], []byte("\r\n")):
		part, ended, e.afterCR = part[:i+2], true, false
	default:
		e.afterCR = part[i] == '\r' && i+1 == len(part)
		part, ended = part[:i+1], true
	}
	_, _ = e.r.Discard(len(part)) // they are buffered
	return part, ended, nil
}

// takeMemory takes the memory for a buffer of the given number of bytes.
func (e *eventReader) takeMemory(size int64) error {
	if e.memory == nil || size <= max(e.taken, httpbody.UncountedBytes) {
		return nil
	}
	if err := e.memory.Take(2*size - e.taken); err != nil {
		return err
	}
	e.taken = 2 * size
	return nil
}

// releaseMemory returns the memory of the buffer, which is not used again.
func (e *eventReader) releaseMemory() {
	if e.memory != nil {
		e.memory.Release(e.taken)
	}
}

// partial reports whether the stream ended inside an event. Comments after the last one are none.
func (e *eventReader) partial() bool {
	for line := range bytes.FieldsFuncSeq(e.buf, func(c rune) bool { return c == '\r' || c == '\n' }) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

// comments returns the comments after the last event of a stream that has ended.
func (e *eventReader) comments() event { return event{raw: e.buf} }
