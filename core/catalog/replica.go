package catalog

import (
	"maps"
	"slices"
	"time"
)

// Replica is one registered process of a service.
type Replica struct {
	// ID identifies one start of the process. After a restart the process has a new ID and
	// no state of the previous one.
	ID      string
	Service string
	// Address is ip:port.
	Address string
	// FailureDomain is the failure domain that the replica runs in.
	FailureDomain string
	// Concurrency is the number of requests that the replica runs concurrently.
	Concurrency int
	// Version is the version of the replica's software; "" if it reports none. Versions are
	// only compared for equality.
	Version string
	// Draining replicas get no new work.
	Draining bool
	// Cold replicas have just started, or are treated as if they had, and can serve only
	// few requests per second; see Service.ColdRate.
	Cold bool
}

// lapsedRetention is how long unlisted replicas are kept after the store is reachable
// again. Live replicas are required to register again within about two seconds.
const lapsedRetention = 2 * time.Second

// storeOutageThreshold is the time without a response from the store after which its next
// response counts as its return from an outage. It is longer than the interval between
// reads, and shorter than the three heartbeats after which an entry lapses.
const storeOutageThreshold = 2500 * time.Millisecond

// The times for which a Registry goes by what it knew before the store came back from a copy.
// Replicas that were removed less than removalMemory before stay removed for removedRetention:
// by then the entries of those that are gone have lapsed. Draining ones stay so for
// drainRetention.
const (
	removalMemory    = 15 * time.Second
	removedRetention = 5 * time.Second
	drainRetention   = 15 * time.Second
)

// Registry holds the replicas as listed by the store. It is not safe for concurrent use.
type Registry struct {
	replicas   *ReplicaSet
	lastUpdate time.Time
	// storeReturned is the time of the first response of the store after its last outage.
	storeReturned time.Time
	// lapsed are the replicas that are kept although the store does not list them, by ID, each with
	// the time until which it is kept.
	lapsed map[string]time.Time
	// removedAt is when replicas were last removed, by ID, within removalMemory.
	removedAt map[string]time.Time
	// restoredAt is when the store was first read after it came back from a copy, and withheld
	// says that entries of the copy have been left out since.
	restoredAt time.Time
	withheld   bool
}

// Replicas returns all replicas that may be in service; nil until they are first known.
func (g *Registry) Replicas() *ReplicaSet { return g.replicas }

// RetainsLapsed reports whether some of the replicas are not listed by the store and may be
// gone, because this host lost contact with the store or the store was unavailable a moment
// ago.
func (g *Registry) RetainsLapsed() bool { return len(g.lapsed) > 0 }

// StoreRestored records that the next update is of a store that has come back from a copy:
// entries may be missing that live replicas write again, and others may be older than what is
// known.
func (g *Registry) StoreRestored(now time.Time) { g.restoredAt, g.storeReturned = now, now }

// NeedsList reports whether the replicas have to be listed, since entries were left out that
// may be used by now.
func (g *Registry) NeedsList(now time.Time) bool {
	return g.withheld && now.Sub(g.restoredAt) >= removedRetention
}

// ReplaceFromPeer replaces the replicas by those of another host as of the given time, but for what
// is known from before the store came back from a copy: the other host may have started since. It
// reports whether there is something of that kind.
func (g *Registry) ReplaceFromPeer(asOf time.Time, replicas *ReplicaSet) (keptKnown bool) {
	if asOf.After(g.lastUpdate) {
		g.lastUpdate = asOf
	}
	next := replicas
	if !g.restoredAt.IsZero() && asOf.Sub(g.restoredAt) < drainRetention {
		next = g.replicasWithKnown(asOf, replicas)
	}
	// What the copy lacks was not removed before the restore, of which this host may have heard
	// later than the other one has read the copy.
	removed := asOf
	if removed.Before(g.restoredAt) {
		removed = g.restoredAt
	}
	g.noteRemoved(removed, next)
	g.replicas, g.lapsed = next, nil
	return next != replicas
}

// replicasWithKnown applies withKnown to the entries of another host that differ from the known
// ones.
func (g *Registry) replicasWithKnown(now time.Time, replicas *ReplicaSet) *ReplicaSet {
	var written []Replica
	for _, c := range g.replicas.Diff(replicas) {
		if c.New != nil {
			written = append(written, *c.New)
		}
	}
	known := g.withKnown(now, written)
	if slices.Equal(known, written) {
		return replicas
	}
	var left []string
	for _, r := range written {
		if !g.replicas.Has(r.ID) {
			left = append(left, r.ID)
		}
	}
	next, _ := replicas.With(nil, left)
	next, _ = next.With(known, nil)
	return next
}

// noteRemoved records which replicas are not in the next set.
func (g *Registry) noteRemoved(now time.Time, next *ReplicaSet) {
	maps.DeleteFunc(g.removedAt, func(_ string, at time.Time) bool { return now.Sub(at) > removalMemory })
	for _, c := range g.replicas.Diff(next) {
		if c.New != nil {
			delete(g.removedAt, c.New.ID)
			continue
		}
		if g.removedAt == nil {
			g.removedAt = map[string]time.Time{}
		}
		g.removedAt[c.Old.ID] = now
	}
}

// withKnown returns the entries of a store that came back from a copy a short time ago without
// replicas that were removed before, and with those as draining that drained.
func (g *Registry) withKnown(now time.Time, written []Replica) []Replica {
	since := now.Sub(g.restoredAt)
	if g.restoredAt.IsZero() || since >= drainRetention {
		return written
	}
	out := make([]Replica, 0, len(written))
	for _, r := range written {
		if at, removed := g.removedAt[r.ID]; removed && since < removedRetention && at.Before(g.restoredAt) {
			g.withheld = true
			continue
		}
		if known := g.replicas.Find(r.ID); known != nil && known.Draining {
			r.Draining = true
		}
		out = append(out, r)
	}
	return out
}

// Update replaces the replicas by the store's full list. Replicas whose entries lapsed
// while the store was unavailable are kept until lapsedRetention after its return.
func (g *Registry) Update(now time.Time, listed []Replica) {
	isListed := make(map[string]bool, len(listed))
	for i := range listed {
		isListed[listed[i].ID] = true
	}
	var removed []string
	for r := range g.replicas.All() {
		if _, lapsed := g.lapsed[r.ID]; !isListed[r.ID] && !lapsed {
			removed = append(removed, r.ID)
		}
	}
	g.withheld = false
	g.ApplyChanges(now, listed, removed)
}

// ApplyChanges applies the store's changes since the last update: replicas that were
// written, and the IDs of those whose entries were removed. Of the latter, those that
// lapsed while the store was unavailable are kept until lapsedRetention after its return.
func (g *Registry) ApplyChanges(now time.Time, written []Replica, removed []string) {
	if !g.lastUpdate.IsZero() && now.Sub(g.lastUpdate) > storeOutageThreshold {
		g.storeReturned = now
		for id := range g.lapsed {
			g.lapsed[id] = now.Add(lapsedRetention) // it could not write meanwhile
		}
	}
	g.lastUpdate = now
	written = g.withKnown(now, written)
	for i := range written {
		delete(g.lapsed, written[i].ID)
	}
	for id := range g.lapsed {
		removed = append(removed, id)
	}
	next, _ := g.replicas.With(written, removed)
	next = g.retainLapsed(now, next, removed)
	g.noteRemoved(now, next)
	g.replicas = next
}

// retainLapsed adds removed replicas to the next set until lapsedRetention after the return of the
// store that was the first not to list them: another copy that lacks them, too, is no reason to
// keep them longer. It leaves out those whose address another replica, or a new start of the same
// one, has.
func (g *Registry) retainLapsed(now time.Time, next *ReplicaSet, removed []string) *ReplicaSet {
	before := g.lapsed
	g.lapsed = nil
	var retained []Replica
	var listedAddresses map[string]bool
	for _, id := range removed {
		until, lapsed := before[id]
		if !lapsed {
			until = g.storeReturned.Add(lapsedRetention)
		}
		r := g.replicas.Find(id)
		if !now.Before(until) || r == nil || next.Has(id) {
			continue
		}
		if listedAddresses == nil {
			listedAddresses = addressesOf(next)
		}
		if listedAddresses[r.Address] {
			continue
		}
		retained = append(retained, *r)
		if g.lapsed == nil {
			g.lapsed = map[string]time.Time{}
		}
		g.lapsed[id] = until
	}
	next, _ = next.With(retained, nil)
	return next
}

// addressesOf returns the addresses of a set of replicas.
func addressesOf(s *ReplicaSet) map[string]bool {
	addresses := make(map[string]bool, s.Len())
	for r := range s.All() {
		addresses[r.Address] = true
	}
	return addresses
}
