package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/problem"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// streamBuffer is the read buffer of a stream: several events.
	streamBuffer = 4 << 10
)

// errEventTooLarge says that an event is over maxEventBytes.
var errEventTooLarge = errors.New("event too large")

// passEvents passes the events of a stream on as they come.
func (t *try) passEvents(resp *http.Response) (attemptEnd, *problem.Error) {
	x, w := t.x, t.watch
	w.begun()
	events := newEventReader(resp.Body)
	for {
		event, err := events.next()
		if err == io.EOF {
			return t.endStream(resp, events)
		}
		if err != nil {
			return t.broken(err)
		}
		if !w.arrived() {
			return t.broken(context.Cause(t.ctx))
		}
		t.events++
		if t.first.IsZero() {
			t.firstEvent()
		}
		if !x.seen(event.id) {
			if err := x.send(resp, event); err != nil {
				return abandoned, problem.New(problem.CallerGone, "the caller does not read: %v", err)
			}
		}
		w.passed(progress{committed: x.committed, lastEvent: x.lastEvent, events: t.arrivedEvents(), begun: true})
	}
}

// firstEvent notes the time to the first event and gives the inputs up: the
// replica has read them.
func (t *try) firstEvent() {
	x := t.x
	t.first = clock.Now()
	if x.firstAt.IsZero() {
		x.firstAt = t.first
	}
	x.g.router.FirstByte(t.choice)
	x.g.streams.observe(x.service, x.route.Name, x.ownTokens(), t.first.Sub(t.began))
	if len(x.inputs) > 0 {
		x.g.inputs.read()
	}
	x.releaseInputs()
}

// endStream ends the answer after the replica's last event.
func (t *try) endStream(resp *http.Response, events *eventReader) (attemptEnd, *problem.Error) {
	x := t.x
	if events.partial() {
		return t.broken(io.ErrUnexpectedEOF)
	}
	if !x.committed {
		x.commit(resp)
	}
	x.status, x.outcome = resp.StatusCode, "answered"
	return answered, nil
}

// commit sends the head of the answer.
func (x *exchange) commit(resp *http.Response) {
	x.committed = true
	platform.CopyResponseHeaders(x.w.Header(), resp.Header)
	x.w.Header().Del("Content-Length")
	x.w.WriteHeader(resp.StatusCode)
	// Bounds the writing to a caller that does not read.
	_ = http.NewResponseController(x.w).SetWriteDeadline(clock.Steady(x.deadline))
}

// send passes one event on.
func (x *exchange) send(resp *http.Response, e event) error {
	if !x.committed {
		x.commit(resp)
	}
	if _, err := x.w.Write(e.raw); err != nil {
		return err
	}
	now := clock.Now()
	if x.events > 0 {
		x.pause = max(x.pause, now.Sub(x.sentAt))
	}
	x.sentAt = now
	x.events++
	if e.id != "" {
		x.lastEvent = e.id
	}
	return http.NewResponseController(x.w).Flush()
}

// seen says whether an event of a resumed stream was passed on before.
func (x *exchange) seen(id string) bool {
	if id == "" || x.lastEvent == "" {
		return false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	last, lastErr := strconv.ParseUint(x.lastEvent, 10, 64)
	return err == nil && lastErr == nil && n <= last
}

// event is one event of a stream, with its blank line. raw is valid until the
// next event is read.
type event struct {
	raw []byte
	id  string
}

// eventReader splits a text/event-stream into events.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, streamBuffer)}
}

var idField = []byte("id:")

// next returns the next whole event. At the end of the stream it returns
// io.EOF; see partial.
func (e *eventReader) next() (event, error) {
	e.buf = e.buf[:0]
	var id string
	for {
		start := len(e.buf)
		if err := e.line(); err != nil {
			return event{}, err
		}
		line := bytes.TrimRight(e.buf[start:], "\r\n")
		if len(line) == 0 {
			return event{raw: e.buf, id: id}, nil
		}
		if v, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
}

// line appends the next line to the buffer.
func (e *eventReader) line() error {
	for {
		part, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, part...)
		if len(e.buf) > maxEventBytes {
			return errEventTooLarge
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// partial says whether the stream ended inside an event.
func (e *eventReader) partial() bool { return len(e.buf) > 0 }
