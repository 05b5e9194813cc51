package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
)

// Answerer writes whole answers and applies the faults that concern them.
// Its methods are safe for concurrent use.
type Answerer struct {
	faults *Injector

	mu       sync.Mutex
	previous []byte
}

// NewAnswerer returns an Answerer under the faults of i.
func NewAnswerer(i *Injector) *Answerer { return &Answerer{faults: i} }

// Answer writes v with status 200, after the faults between execution and
// answer were applied.
func (a *Answerer) Answer(w http.ResponseWriter, r *http.Request, v any) {
	a.faults.Hold(r.Context())
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	f := a.faults.Get()
	body = a.swap(body, f.WrongResponse)
	if f.DuplicateResponse {
		writeTwice(w, body)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// swap remembers body and returns the one before it when wrong is set.
func (a *Answerer) swap(body []byte, wrong bool) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	previous := a.previous
	a.previous = body
	if wrong && previous != nil {
		return previous
	}
	return body
}

// writeTwice writes the whole answer twice to the connection and closes it.
func writeTwice(w http.ResponseWriter, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		Cut()
	}
	defer conn.Close()
	var b bytes.Buffer
	for range 2 {
		fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
		b.Write(body)
	}
	_, _ = conn.Write(b.Bytes())
}
