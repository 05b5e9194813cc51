package intake

import (
	"maps"
	"slices"
	"time"
)

// Leaver is a replica that has said that it leaves, as one host knows it.
type Leaver struct {
	Replica string
	// At is when it was first heard to.
	At time.Time
}

// Leavers are the replicas that have said that they leave. It is the start of a replica
// that does, for good: another start has another name. The zero value is ready.
type Leavers struct {
	entries map[string]*leavingEntry
}

type leavingEntry struct {
	announcedAt time.Time
	// listed is when the replica was last listed, or first heard to leave.
	lastListed time.Time
}

// Hear takes an answer, and says whether it is the first in which its replica says that it
// leaves.
func (l *Leavers) Hear(now time.Time, answer Answer) (Leaver, bool) {
	if !answer.Notice.Leaving {
		return Leaver{}, false
	}
	heard := Leaver{Replica: answer.Replica, At: now}
	return heard, l.add(now, heard)
}

// Learn takes what a fellow knows, and returns what is new here.
func (l *Leavers) Learn(now time.Time, reports []Leaver) []Leaver {
	return slices.DeleteFunc(reports, func(report Leaver) bool { return !l.add(now, report) })
}

// add says whether a replica was not known to leave.
func (l *Leavers) add(now time.Time, report Leaver) bool {
	if l.entries[report.Replica] != nil || len(l.entries) >= maxReplicas {
		return false
	}
	if l.entries == nil {
		l.entries = map[string]*leavingEntry{}
	}
	l.entries[report.Replica] = &leavingEntry{announcedAt: report.At, lastListed: now}
	return true
}

// Forget drops what is known of replicas that have not been listed for long, and says
// whether it did.
func (l *Leavers) Forget(now time.Time, listed func(replica string) bool) bool {
	before := len(l.entries)
	maps.DeleteFunc(l.entries, func(replica string, k *leavingEntry) bool {
		if listed(replica) {
			k.lastListed = now
		}
		return now.Sub(k.lastListed) > unlistedRetention
	})
	return len(l.entries) < before
}

// All returns the replicas that have said that they leave, by name.
func (l *Leavers) All() []Leaver { return l.Since(time.Time{}) }

// Since returns the replicas that were first heard to leave after a time, by name.
func (l *Leavers) Since(after time.Time) []Leaver {
	var out []Leaver
	for _, replica := range slices.Sorted(maps.Keys(l.entries)) {
		if at := l.entries[replica].announcedAt; at.After(after) {
			out = append(out, Leaver{Replica: replica, At: at})
		}
	}
	return out
}
