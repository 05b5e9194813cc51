package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Names of the server-sent events.
const (
	eventToken = "token"
	// eventReset tells the caller to discard the text received so far.
	eventReset = "reset"
	// eventDone is the last event of a whole answer.
	eventDone = "done"
	// eventError is the last event of a refused request.
	eventError = "error"
)

type tokenData struct {
	Text string `json:"text"`
}

// eventSink writes server-sent events. The headers go out with the first
// event, so that a refusal before it is a plain problem document.
type eventSink struct {
	w       http.ResponseWriter
	started bool
}

// Token implements Sink.
func (s *eventSink) Token(text string) { s.event(eventToken, tokenData{Text: text}) }

// Reset implements Sink.
func (s *eventSink) Reset() { s.event(eventReset, struct{}{}) }

func (s *eventSink) event(name string, v any) {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	}
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	// A failed write shows as the end of the request's context.
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
		sink.event(eventDone, answer)
	case sink.started:
		sink.event(eventError, newDocument(sub.RequestID, err))
	default:
		writeProblem(w, sub.RequestID, err)
	}
}

var _ Sink = (*eventSink)(nil)
