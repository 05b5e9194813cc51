package intake

import (
	"maps"
	"slices"
	"time"
)

// Leaver is a replica that announced that it is leaving, as known to one host.
type Leaver struct {
	Replica string
	// At is when the announcement was first observed.
	At time.Time
}

// Leavers holds the replicas that announced that they are leaving. An announcement is
// final, since it concerns one start of a replica: after a restart the replica has another
// ID. The zero value is ready to use.
type Leavers struct {
	entries map[string]*leavingEntry
}

type leavingEntry struct {
	announcedAt time.Time
	// lastListed is when the replica was last listed, or when its announcement was first
	// observed.
	lastListed time.Time
}

// Hear processes a response, and reports whether it is the first one that announces that
// its replica is leaving.
func (l *Leavers) Hear(now time.Time, response Answer) (Leaver, bool) {
	if !response.Notice.Leaving {
		return Leaver{}, false
	}
	heard := Leaver{Replica: response.Replica, At: now}
	return heard, l.add(now, heard)
}

// Learn merges the reports of a peer, and returns those that are new here. It modifies the
// slice.
func (l *Leavers) Learn(now time.Time, reports []Leaver) []Leaver {
	return slices.DeleteFunc(reports, func(report Leaver) bool { return !l.add(now, report) })
}

// add inserts a replica; it returns false if the replica is known already or the table is
// full.
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

// Forget removes replicas that have been unlisted for longer than unlistedRetention, and
// reports whether there were any.
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

// All returns all leaving replicas, ordered by ID.
func (l *Leavers) All() []Leaver { return l.Since(time.Time{}) }

// Since returns the replicas whose announcement was first observed after a time, ordered by
// ID.
func (l *Leavers) Since(after time.Time) []Leaver {
	var out []Leaver
	for _, replica := range slices.Sorted(maps.Keys(l.entries)) {
		if at := l.entries[replica].announcedAt; at.After(after) {
			out = append(out, Leaver{Replica: replica, At: at})
		}
	}
	return out
}
