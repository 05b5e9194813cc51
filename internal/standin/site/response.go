package site

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// PlainBody returns the response body of a plain replica for a request.
func PlainBody(replica, request string) string {
	return "answer of " + replica + " to " + request + "\n"
}

// respond responds with a plain body. It reports false if the connection closed before its end.
func (r *Replica) respond(w http.ResponseWriter, req *http.Request, e *execution, b Behaviour) bool {
	body := PlainBody(r.ID, e.run.RequestID)
	status := http.StatusOK
	if b.Status != 0 {
		status = b.Status
	}
	if !b.NoContentLength && !b.ExtraResponse {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if b.ExtraResponse || b.NoContentLength {
		r.respondRaw(w, status, body, b)
		return true
	}
	w.WriteHeader(status)
	if b.Truncate {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	if b.Pause > 0 && r.Kind == Plain {
		return writeWithPause(w, req, e, body, b)
	}
	_, _ = io.WriteString(w, body)
	return true
}

// writeWithPause writes a body with a pause in its middle. It reports false if the connection closed
// before the end.
func writeWithPause(w http.ResponseWriter, req *http.Request, e *execution, body string, b Behaviour) bool {
	flusher := http.NewResponseController(w)
	first := body[:len(body)/2]
	_, _ = io.WriteString(w, first)
	_ = flusher.Flush() // the next write reports the error
	if !e.wait(req.Context(), b.Pause) {
		return false
	}
	_, _ = io.WriteString(w, body[len(first):])
	if err := flusher.Flush(); err != nil {
		e.cancel()
		return false
	}
	return true
}

// respondRaw writes a response directly to the connection: without a
// Content-Length, or followed by a second response.
func (r *Replica) respondRaw(w http.ResponseWriter, status int, body string, b Behaviour) {
	conn, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		r.ledger.recordViolation("%s: %v", r.ID, err)
		return
	}
	defer conn.Close()
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = w.Header().Write(&head)
	if b.ExtraResponse {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n" + body)
	if b.ExtraResponse {
		head.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
	}
	_, _ = buf.WriteString(head.String())
	_ = buf.Flush()
}
