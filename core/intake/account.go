package intake

import (
	"maps"
	"slices"
	"time"
)

// Limited is a replica's limit as one host knows it.
type Limited struct {
	Replica string
	Limit   Limit
	// Since is when the limit was first heard, and At when it was last named, or
	// found to be lifted.
	Since, At time.Time
}

// Account is what one host knows of the limits that replicas name. The zero value is
// ready.
type Account struct {
	limits map[string]*Limited
}

// Hear takes an answer, and returns the replica's limit if the answer changed it. A
// limit holds until a run that was sent after it was last named is answered without:
// heads of answers may overtake each other.
func (a *Account) Hear(now time.Time, answer Answer) (Limited, bool) {
	known := a.limits[answer.Replica]
	said := answer.Notice.Limit
	switch {
	case said.Named && known == nil:
		known = &Limited{Replica: answer.Replica, Limit: said, Since: now, At: now}
		if a.limits == nil {
			a.limits = map[string]*Limited{}
		}
		a.limits[answer.Replica] = known
		return *known, true
	case said.Named:
		changed := known.Limit != said
		if !known.Limit.Named {
			known.Since = now
		}
		known.Limit, known.At = said, now
		return *known, changed
	case known == nil || !known.Limit.Named || !answer.Served || !answer.Sent.After(known.At):
		return Limited{}, false
	}
	known.Limit, known.At = Limit{}, now
	return *known, true
}

// Forget drops what is known of replicas that are not listed.
func (a *Account) Forget(listed func(replica string) bool) {
	maps.DeleteFunc(a.limits, func(replica string, _ *Limited) bool { return !listed(replica) })
}

// Limits returns the limits in force, by replica.
func (a *Account) Limits() []Limited {
	var out []Limited
	for _, id := range slices.Sorted(maps.Keys(a.limits)) {
		if l := a.limits[id]; l.Limit.Named {
			out = append(out, *l)
		}
	}
	return out
}
