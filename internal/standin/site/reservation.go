package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// reservation is a slot that an engine reserves for a request.
type reservation struct {
	until time.Time
	state string
}

// The states of reservations.
const (
	reservationHeld     = "held"
	reservationUsed     = "used"
	reservationReleased = "released"
)

// ReservationCounts counts reservations by outcome. Reservations that were granted but
// neither used nor released are still held or have expired.
type ReservationCounts struct{ Granted, Used, Released, Refused int }

// Reservations returns the counts of reservations of all replicas.
func (l *Ledger) Reservations() ReservationCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reservations
}

// countReservations updates the counts of reservations.
func (l *Ledger) countReservations(change func(*ReservationCounts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.reservations)
}

// reservePath is the path of the call that reserves a slot.
const reservePath = "/-/hold-take"

// holdsReservation reports whether a reservation is held and has not expired.
func (r *Replica) holdsReservation(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := r.reservations[name]
	return res != nil && res.state == reservationHeld && time.Now().Before(res.until)
}

// grantReservation makes a reservation, unless the behaviour refuses it.
func (r *Replica) grantReservation(w http.ResponseWriter, req *http.Request, b Behaviour) {
	var call struct {
		Tokens int `json:"token_count"`
		TTL    int `json:"ttl_ms"`
	}
	if err := json.NewDecoder(req.Body).Decode(&call); err != nil || call.Tokens < 0 || call.TTL <= 0 {
		r.ledger.recordViolation("%s: invalid reservation of %d tokens for %d ms: %v", r.ID, call.Tokens, call.TTL, err)
		refuse(w, http.StatusBadRequest)
		return
	}
	if b.NoReservations || b.Shed || b.ShedWithFreeSlots {
		r.ledger.countReservations(func(counts *ReservationCounts) { counts.Refused++ })
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	name := fmt.Sprintf("%s-hold-%d", r.ID, len(r.reservations)+1)
	r.reservations[name] = &reservation{until: time.Now().Add(time.Duration(call.TTL) * time.Millisecond), state: reservationHeld}
	r.mu.Unlock()
	r.ledger.countReservations(func(counts *ReservationCounts) { counts.Granted++ })
	select {
	case <-time.After(b.ReservationDelay):
	case <-req.Context().Done():
	}
	writeJSON(w, map[string]any{"hold": name})
}

// releaseReservation releases a reservation that was not used.
func (r *Replica) releaseReservation(w http.ResponseWriter, name string) {
	r.mu.Lock()
	res := r.reservations[name]
	held := res != nil && res.state == reservationHeld
	if held {
		res.state = reservationReleased
	}
	r.mu.Unlock()
	if !held {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	r.ledger.countReservations(func(counts *ReservationCounts) { counts.Released++ })
	w.WriteHeader(http.StatusOK)
}

// useReservation marks the reservation in the Kv-Hold header of a request as used. It
// reports whether the reservation was held and has not expired.
func (r *Replica) useReservation(req *http.Request) bool {
	name := req.Header.Get("Kv-Hold")
	if name == "" || name == ForgedValue {
		return false // serve records forged values
	}
	r.mu.Lock()
	res := r.reservations[name]
	state := "never granted"
	if res != nil {
		state = res.state
	}
	if state == reservationHeld {
		res.state = reservationUsed
	}
	r.mu.Unlock()
	if state != reservationHeld {
		r.ledger.recordViolation("%s: request %s uses reservation %s, which was %s", r.ID, req.Header.Get("Attempt-Id"), name, state)
		return false
	}
	r.ledger.countReservations(func(counts *ReservationCounts) { counts.Used++ })
	return time.Now().Before(res.until)
}
