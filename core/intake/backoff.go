package intake

import (
	"maps"
	"slices"
	"time"
)

// Backoff is a period in which a replica asked this host to send nothing.
type Backoff struct {
	// Replica is the ID of the replica's start that was called. The process at the address
	// that asked for the backoff may be a later start, which the list does not contain yet.
	Replica, Address string
	// Since is when the replica first asked, and Until when the backoff is over.
	Since, Until time.Time
}

// Backoffs holds the backoffs that replicas asked this host for. The zero value is ready to
// use.
type Backoffs struct {
	entries map[string]*Backoff
}

// Observe processes a response, and reports whether it begins a backoff (began), and
// whether it begins or extends one (changed). A backoff lasts at most maxBackoff from the
// response that asks for it; a later response never shortens it.
func (r *Backoffs) Observe(now time.Time, response ReplicaResponse, maxBackoff time.Duration) (backoff Backoff, began, changed bool) {
	if response.Notice.Backoff <= 0 {
		return Backoff{}, false, false
	}
	until := now.Add(min(response.Notice.Backoff, maxBackoff))
	known := r.entries[response.Replica]
	if known == nil || !now.Before(known.Until) {
		if known == nil && len(r.entries) >= maxReplicas {
			return Backoff{}, false, false
		}
		if r.entries == nil {
			r.entries = map[string]*Backoff{}
		}
		known = &Backoff{Replica: response.Replica, Address: response.Address, Since: now, Until: until}
		r.entries[response.Replica] = known
		return *known, true, true
	}
	changed = until.After(known.Until)
	if changed {
		known.Until = until
	}
	return *known, false, changed
}

// RemoveExpired removes the backoffs that are over, and reports whether there were any.
func (r *Backoffs) RemoveExpired(now time.Time) bool {
	before := len(r.entries)
	maps.DeleteFunc(r.entries, func(_ string, k *Backoff) bool { return !now.Before(k.Until) })
	return len(r.entries) < before
}

// All returns the backoffs that have not been removed, ordered by replica ID.
func (r *Backoffs) All() []Backoff {
	out := make([]Backoff, 0, len(r.entries))
	for _, replica := range slices.Sorted(maps.Keys(r.entries)) {
		out = append(out, *r.entries[replica])
	}
	return out
}
