package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// hold is a place that an engine keeps.
type hold struct {
	until time.Time
	state string
}

// The states of holds.
const (
	holdKept    = "kept"
	holdUsed    = "used"
	holdDropped = "dropped"
)

// Holds counts what became of holds. What is neither used nor dropped is kept or
// has lapsed.
type ReservationCounts struct{ Granted, Used, Released, Refused int }

// Holds returns what became of holds, over all replicas.
func (l *Ledger) Reservations() ReservationCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holds
}

// counted changes the counts of holds.
func (l *Ledger) counted(change func(*ReservationCounts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.holds)
}

// takeHold keeps a place.
func (r *Replica) takeHold(w http.ResponseWriter, req *http.Request, b Behaviour) {
	var call struct {
		Tokens int `json:"token_count"`
		TTL    int `json:"ttl_ms"`
	}
	if err := json.NewDecoder(req.Body).Decode(&call); err != nil || call.Tokens < 0 || call.TTL <= 0 {
		r.ledger.fault("%s: hold of %d tokens for %d ms not understood: %v", r.ID, call.Tokens, call.TTL, err)
		refuse(w, http.StatusBadRequest)
		return
	}
	if b.NoReservations || b.Shed || b.ShedWithFreeSlots {
		r.ledger.counted(func(h *ReservationCounts) { h.Refused++ })
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	name := fmt.Sprintf("%s-hold-%d", r.ID, len(r.holds)+1)
	r.holds[name] = &hold{until: time.Now().Add(time.Duration(call.TTL) * time.Millisecond), state: holdKept}
	r.mu.Unlock()
	r.ledger.counted(func(h *ReservationCounts) { h.Granted++ })
	select {
	case <-time.After(b.ReservationDelay):
	case <-req.Context().Done():
	}
	writeJSON(w, map[string]any{"hold": name})
}

// dropHold gives a place up.
func (r *Replica) dropHold(w http.ResponseWriter, name string) {
	r.mu.Lock()
	h := r.holds[name]
	kept := h != nil && h.state == holdKept
	if kept {
		h.state = holdDropped
	}
	r.mu.Unlock()
	if !kept {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	r.ledger.counted(func(h *ReservationCounts) { h.Released++ })
	w.WriteHeader(http.StatusOK)
}

// useHold uses the place that a request names, and says whether it was kept.
func (r *Replica) useHold(req *http.Request) bool {
	name := req.Header.Get("Kv-Hold")
	if name == "" || name == ForgedValue {
		return false // serve notes a caller's
	}
	r.mu.Lock()
	h := r.holds[name]
	state := "never given"
	if h != nil {
		state = h.state
	}
	if state == holdKept {
		h.state = holdUsed
	}
	r.mu.Unlock()
	if state != holdKept {
		r.ledger.fault("%s: request %s has hold %s, which was %s", r.ID, req.Header.Get("Attempt-Id"), name, state)
		return false
	}
	r.ledger.counted(func(h *ReservationCounts) { h.Used++ })
	return time.Now().Before(h.until)
}
