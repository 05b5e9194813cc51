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
	// Round counts the changes that led here, so that what is told late is known for
	// old: hosts agree on no time.
	Round uint64
	// Since is when the limit was first heard, and At when it was last named, or
	// found to be lifted.
	Since, At time.Time
}

const (
	// freshBy is how much younger a fellow's word must be to count as the replica's
	// own again: what it takes to tell is not known.
	refreshThreshold = time.Second
	// liftedLife is how long it is remembered that a limit was lifted, so that fellows
	// which know it as named are told.
	liftedRetention = 10 * time.Second
	// unlistedLife is how long what a replica has said is remembered though it is not
	// listed: the list may lose it and have it again.
	unlistedRetention = time.Minute
	// maxReplicas bounds the replicas that are remembered for one word of theirs.
	maxReplicas = 1 << 14
)

// Account is what one host knows of the limits that replicas name. The zero value is
// ready.
type Account struct {
	entries map[string]*limitEntry
}

type limitEntry struct {
	Limited
	// listed is when the replica was last listed, or first heard of.
	lastListed time.Time
}

// Hear takes an answer, and returns the replica's limit if the answer changed it. A
// limit holds until a run that was sent after it was last named is answered without:
// heads of answers may overtake each other.
func (a *Account) Hear(now time.Time, answer Answer) (Limited, bool) {
	known := a.entries[answer.Replica]
	limit := answer.Notice.Limit
	switch {
	case limit.Named && known == nil:
		l := Limited{Replica: answer.Replica, Limit: limit, Round: 1, Since: now, At: now}
		return l, a.add(now, l)
	case limit.Named:
		known.At = now
		if known.Limit == limit {
			return known.Limited, false
		}
		if !known.Limit.Named {
			known.Since = now
		}
		known.Limit, known.Round = limit, known.Round+1
		return known.Limited, true
	case known == nil || !known.Limit.Named || !answer.Served || !answer.Sent.After(known.At):
		return Limited{}, false
	}
	known.Limit, known.Round, known.At = Limit{}, known.Round+1, now
	return known.Limited, true
}

// supersedes says whether a word replaces another one. Of two that hosts heard beside
// each other the stricter holds: the next answer of a run tells.
func (l *Limited) supersedes(o *Limited) bool {
	switch {
	case l.Round != o.Round:
		return l.Round > o.Round
	case l.Limit.Named != o.Limit.Named:
		return l.Limit.Named
	}
	return l.Limit.PerSecond < o.Limit.PerSecond
}

// add takes a replica that was not known; it says whether there is room.
func (a *Account) add(now time.Time, l Limited) bool {
	if len(a.entries) >= maxReplicas {
		return false
	}
	if a.entries == nil {
		a.entries = map[string]*limitEntry{}
	}
	a.entries[l.Replica] = &limitEntry{l, now}
	return true
}

// Learn takes what a fellow knows. It returns what that changes here, and what the fellow
// is to be told since it knows something older.
func (a *Account) Learn(now time.Time, reports []Limited) (changed, newer []Limited) {
	for _, l := range reports {
		known := a.entries[l.Replica]
		switch {
		case known == nil:
			if l.Limit.Named && a.add(now, l) {
				changed = append(changed, l)
			}
		case known.Limit == l.Limit:
			known.Round = max(known.Round, l.Round)
			if l.At.Sub(known.At) > refreshThreshold {
				known.At = l.At
			}
		case l.supersedes(&known.Limited):
			known.Limited = l
			changed = append(changed, l)
		default:
			newer = append(newer, known.Limited)
		}
	}
	return changed, newer
}

// News returns what was heard, here or by a fellow, after a time.
func (a *Account) News(after time.Time) []Limited {
	return a.filter(func(l *limitEntry) bool { return l.At.After(after) })
}

// Forget drops what is known of replicas that have not been listed for long, or whose
// limit was lifted long ago.
func (a *Account) Forget(now time.Time, listed func(replica string) bool) {
	maps.DeleteFunc(a.entries, func(replica string, l *limitEntry) bool {
		if listed(replica) {
			l.lastListed = now
		}
		return now.Sub(l.lastListed) > unlistedRetention || !l.Limit.Named && now.Sub(l.At) > liftedRetention
	})
}

// Limits returns the limits in force, by replica.
func (a *Account) Limits() []Limited {
	return a.filter(func(l *limitEntry) bool { return l.Limit.Named })
}

// which returns what is known of some replicas, by replica.
func (a *Account) filter(include func(*limitEntry) bool) []Limited {
	var out []Limited
	for _, id := range slices.Sorted(maps.Keys(a.entries)) {
		if l := a.entries[id]; include(l) {
			out = append(out, l.Limited)
		}
	}
	return out
}
