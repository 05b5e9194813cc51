package intake

import (
	"maps"
	"slices"
	"time"
)

// ReplicaLimit is a replica's limit as known to one host.
type ReplicaLimit struct {
	Replica string
	Limit   Limit
	// Round counts the changes of the limit. It identifies outdated reports, since the
	// clocks of the hosts are not synchronized.
	Round uint64
	// Since is when the limit was first observed, and LastObserved when a response last
	// announced it or showed that it was lifted.
	Since, LastObserved time.Time
}

const (
	// refreshThreshold is how much newer a peer's report has to be to count as a new
	// response of the replica, since the time that the report took to arrive is unknown.
	refreshThreshold = time.Second
	// liftedRetention is how long a lifted limit is retained and reported again and again:
	// unlike one that is active, it is not observed again, and a host that may send nothing
	// to the replica learns of it from its peers only.
	liftedRetention = 15 * time.Second
	// unlistedRetention is how long the information about an unlisted replica is retained:
	// a replica may be missing from the list temporarily.
	unlistedRetention = time.Minute
	// maxReplicas is the maximum number of replicas that are retained per kind of
	// information.
	maxReplicas = 1 << 14
)

// LimitTable holds one host's knowledge of the limits that replicas announce. The zero
// value is ready to use.
type LimitTable struct {
	entries map[string]*limitEntry
}

type limitEntry struct {
	ReplicaLimit
	// lastListed is when the replica was last listed, or when its limit was first observed.
	lastListed time.Time
}

// Observe processes a response, and returns the replica's limit if the response changed it.
// A limit is active until a response with Served set omits it. The request of that
// response must have been sent after the limit was last announced here: the omission in
// responses to earlier requests is ignored, since responses may be reordered.
func (a *LimitTable) Observe(now time.Time, response ReplicaResponse) (ReplicaLimit, bool) {
	known := a.entries[response.Replica]
	limit := response.Notice.Limit
	switch {
	case limit.Announced && known == nil:
		l := ReplicaLimit{Replica: response.Replica, Limit: limit, Round: 1, Since: now, LastObserved: now}
		return l, a.add(now, l)
	case limit.Announced:
		known.LastObserved = now
		if known.Limit == limit {
			return known.ReplicaLimit, false
		}
		if !known.Limit.Announced {
			known.Since = now
		}
		known.Limit, known.Round = limit, known.Round+1
		return known.ReplicaLimit, true
	case known == nil || !known.Limit.Announced || !response.Served || !response.Sent.After(known.LastObserved):
		return ReplicaLimit{}, false
	}
	known.Limit, known.Round, known.LastObserved = Limit{}, known.Round+1, now
	return known.ReplicaLimit, true
}

// supersedes reports whether a report replaces another one. If two hosts observed different
// limits in the same round, the stricter one is used; the next response with Served set
// corrects it.
func (l *ReplicaLimit) supersedes(o *ReplicaLimit) bool {
	switch {
	case l.Round != o.Round:
		return l.Round > o.Round
	case l.Limit.Announced != o.Limit.Announced:
		return l.Limit.Announced
	}
	return l.Limit.PerSecond < o.Limit.PerSecond
}

// add inserts the limit of a new replica; it returns false if the table is full.
func (a *LimitTable) add(now time.Time, l ReplicaLimit) bool {
	if len(a.entries) >= maxReplicas {
		return false
	}
	if a.entries == nil {
		a.entries = map[string]*limitEntry{}
	}
	a.entries[l.Replica] = &limitEntry{l, now}
	return true
}

// Merge merges the reports of a peer. It returns the limits that changed here, and those
// that are newer here than in the peer's reports, to be sent to the peer.
func (a *LimitTable) Merge(now time.Time, reports []ReplicaLimit) (changed, newer []ReplicaLimit) {
	for _, l := range reports {
		known := a.entries[l.Replica]
		switch {
		case known == nil:
			if l.Limit.Announced && a.add(now, l) {
				changed = append(changed, l)
			}
		case known.Limit == l.Limit:
			known.Round = max(known.Round, l.Round)
			if l.LastObserved.Sub(known.LastObserved) > refreshThreshold {
				known.LastObserved = l.LastObserved
			}
		case l.supersedes(&known.ReplicaLimit):
			known.ReplicaLimit = l
			changed = append(changed, l)
		default:
			newer = append(newer, known.ReplicaLimit)
		}
	}
	return changed, newer
}

// Reports returns what is to be reported to peers that were last sent reports at the given
// time: the limits observed since, here or by a peer, and those that were lifted a short time
// ago.
func (a *LimitTable) Reports(lastSent time.Time) []ReplicaLimit {
	return a.filter(func(l *limitEntry) bool { return l.LastObserved.After(lastSent) || !l.Limit.Announced })
}

// RemoveExpired removes replicas that have been unlisted for longer than unlistedRetention,
// and limits that were lifted more than liftedRetention ago.
func (a *LimitTable) RemoveExpired(now time.Time, listed func(replica string) bool) {
	maps.DeleteFunc(a.entries, func(replica string, l *limitEntry) bool {
		if listed(replica) {
			l.lastListed = now
		}
		return now.Sub(l.lastListed) > unlistedRetention || !l.Limit.Announced && now.Sub(l.LastObserved) > liftedRetention
	})
}

// Limits returns the active limits, ordered by replica.
func (a *LimitTable) Limits() []ReplicaLimit {
	return a.filter(func(l *limitEntry) bool { return l.Limit.Announced })
}

// filter returns the entries that include selects, ordered by replica.
func (a *LimitTable) filter(include func(*limitEntry) bool) []ReplicaLimit {
	var out []ReplicaLimit
	for _, id := range slices.Sorted(maps.Keys(a.entries)) {
		if l := a.entries[id]; include(l) {
			out = append(out, l.ReplicaLimit)
		}
	}
	return out
}
