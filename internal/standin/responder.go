package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
)

// Responder writes complete responses and applies the faults that affect them.
// Its methods are safe for concurrent use.
type Responder struct {
	faults *Injector

	mu       sync.Mutex
	previous []byte
}

// NewResponder returns a Responder that applies the faults of i.
func NewResponder(i *Injector) *Responder { return &Responder{faults: i} }

// Respond writes v as JSON with status 200, after applying the faults that occur
// between execution and response.
func (rs *Responder) Respond(w http.ResponseWriter, r *http.Request, v any) {
	rs.faults.ApplyResponseFaults(r.Context())
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	f := rs.faults.Get()
	body = rs.selectBody(body, f.WrongResponse)
	if f.DuplicateResponse {
		writeTwice(w, body)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// selectBody stores body for the next call. It returns the body of the previous
// call if wrong is set and there was one, and body otherwise.
func (rs *Responder) selectBody(body []byte, wrong bool) []byte {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	previous := rs.previous
	rs.previous = body
	if wrong && previous != nil {
		return previous
	}
	return body
}

// writeTwice writes the complete response twice to the connection and closes it.
func writeTwice(w http.ResponseWriter, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		AbortConnection()
	}
	defer conn.Close()
	var b bytes.Buffer
	for range 2 {
		fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
		b.Write(body)
	}
	_, _ = conn.Write(b.Bytes())
}
