package intake

import (
	"maps"
	"slices"
	"time"
)

// Rest is a replica that wants nothing from this host for a while.
type Rest struct {
	// Replica is the start that was asked. The one at the address that wants rest may be a
	// later one, of which the list has not told yet.
	Replica, Address string
	// Since is when it first said so, Until when that is over.
	Since, Until time.Time
}

// Rests are the replicas that want nothing from this host. The zero value is ready.
type Rests struct {
	entries map[string]*Rest
}

// Hear takes an answer, and says whether it begins a rest or makes one longer. No rest
// lasts longer than most from the answer that asks for it; what was asked for before is
// not taken back.
func (r *Rests) Hear(now time.Time, answer Answer, maxRest time.Duration) (rest Rest, began, changed bool) {
	if answer.Notice.Rest <= 0 {
		return Rest{}, false, false
	}
	until := now.Add(min(answer.Notice.Rest, maxRest))
	known := r.entries[answer.Replica]
	if known == nil || !now.Before(known.Until) {
		if known == nil && len(r.entries) >= maxReplicas {
			return Rest{}, false, false
		}
		if r.entries == nil {
			r.entries = map[string]*Rest{}
		}
		known = &Rest{Replica: answer.Replica, Address: answer.Address, Since: now, Until: until}
		r.entries[answer.Replica] = known
		return *known, true, true
	}
	changed = until.After(known.Until)
	if changed {
		known.Until = until
	}
	return *known, false, changed
}

// End drops the rests that are over, and says whether there were any.
func (r *Rests) End(now time.Time) bool {
	before := len(r.entries)
	maps.DeleteFunc(r.entries, func(_ string, k *Rest) bool { return !now.Before(k.Until) })
	return len(r.entries) < before
}

// All returns the rests that were heard of and not dropped, by replica.
func (r *Rests) All() []Rest {
	out := make([]Rest, 0, len(r.entries))
	for _, replica := range slices.Sorted(maps.Keys(r.entries)) {
		out = append(out, *r.entries[replica])
	}
	return out
}
