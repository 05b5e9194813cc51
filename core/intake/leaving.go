package intake

import (
	"maps"
	"slices"
	"time"
)

// LeavingReplica is a replica that announced that it is leaving, as known to one host.
type LeavingReplica struct {
	Replica string
	// AnnouncedAt is when the announcement was first observed.
	AnnouncedAt time.Time
}

// LeavingReplicas holds the replicas that announced that they are leaving. An announcement
// is final, since it concerns one start of a replica: after a restart the replica has
// another ID. The zero value is ready to use.
type LeavingReplicas struct {
	entries map[string]*leavingEntry
}

type leavingEntry struct {
	announcedAt time.Time
	// lastListed is when the replica was last listed, or when its announcement was first
	// observed.
	lastListed time.Time
}

// Observe processes a response, and reports whether it is the first one to announce that
// its replica is leaving.
func (l *LeavingReplicas) Observe(now time.Time, response ReplicaResponse) (LeavingReplica, bool) {
	if !response.Notice.Leaving {
		return LeavingReplica{}, false
	}
	observed := LeavingReplica{Replica: response.Replica, AnnouncedAt: now}
	return observed, l.add(now, observed)
}

// Merge merges the reports of a peer, and returns those that are new here. It modifies the
// slice.
func (l *LeavingReplicas) Merge(now time.Time, reports []LeavingReplica) []LeavingReplica {
	return slices.DeleteFunc(reports, func(report LeavingReplica) bool { return !l.add(now, report) })
}

// add inserts a replica; it returns false if the replica is known already or the table is
// full.
func (l *LeavingReplicas) add(now time.Time, report LeavingReplica) bool {
	if l.entries[report.Replica] != nil || len(l.entries) >= maxReplicas {
		return false
	}
	if l.entries == nil {
		l.entries = map[string]*leavingEntry{}
	}
	l.entries[report.Replica] = &leavingEntry{announcedAt: report.AnnouncedAt, lastListed: now}
	return true
}

// RemoveExpired removes replicas that have been unlisted for longer than unlistedRetention,
// and reports whether there were any.
func (l *LeavingReplicas) RemoveExpired(now time.Time, listed func(replica string) bool) bool {
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
func (l *LeavingReplicas) All() []LeavingReplica { return l.ObservedAfter(time.Time{}) }

// ObservedAfter returns the replicas whose announcement was first observed after a time,
// ordered by ID.
func (l *LeavingReplicas) ObservedAfter(after time.Time) []LeavingReplica {
	var out []LeavingReplica
	for _, replica := range slices.Sorted(maps.Keys(l.entries)) {
		if at := l.entries[replica].announcedAt; at.After(after) {
			out = append(out, LeavingReplica{Replica: replica, AnnouncedAt: at})
		}
	}
	return out
}
