package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Names of the server-sent events of a stream.
const (
	eventToken = "token"
	// eventReset tells the caller to discard the text received so far.
	eventReset = "reset"
	// eventDone is the last event of a successful request and holds its answer.
	eventDone = "done"
	// eventError is the last event of a failed request and holds its problem
	// document.
	eventError = "error"
)

type tokenData struct {
	Text string `json:"text"`
}

// eventSink writes server-sent events. It sets the response headers with the
// first event, so that a request that fails before that gets an ordinary problem
// document with its own HTTP status.
type eventSink struct {
	w       http.ResponseWriter
	started bool
}

// Token implements Sink.
func (s *eventSink) Token(text string) { s.writeEvent(eventToken, tokenData{Text: text}) }

// Reset implements Sink.
func (s *eventSink) Reset() { s.writeEvent(eventReset, struct{}{}) }

func (s *eventSink) writeEvent(name string, v any) {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	}
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	// A failed write is ignored: the request's context is cancelled when the
	// connection is lost.
	_, _ = fmt.Fprintf(s.w, "event: %s\ndata: %s\n\n", name, data)
}

// Flush implements Sink.
func (s *eventSink) Flush() {
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, sub Submission) {
	sink := &eventSink{w: w}
	answer, err := s.cfg.Backend.Serve(r.Context(), sub, sink)
	switch {
	case err == nil:
		sink.writeEvent(eventDone, answer)
	case sink.started:
		sink.writeEvent(eventError, newProblemDocument(sub.RequestID, err))
	default:
		writeProblem(w, sub.RequestID, err)
	}
}

var _ Sink = (*eventSink)(nil)
