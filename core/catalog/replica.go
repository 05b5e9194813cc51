package catalog

import "time"

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

// Registry holds the replicas as listed by the store. It is not safe for concurrent use.
type Registry struct {
	replicas   *ReplicaSet
	lastUpdate time.Time
	// storeReturned is the time of the first response of the store after its last outage.
	storeReturned time.Time
	// lapsed are the IDs of replicas that are kept although the store does not list them.
	lapsed map[string]bool
}

// Replicas returns all replicas that may be in service; nil until they are first known.
func (g *Registry) Replicas() *ReplicaSet { return g.replicas }

// RetainsLapsed reports whether some of the replicas are not listed by the store and may be
// gone, because this host lost contact with the store or the store was unavailable a moment
// ago.
func (g *Registry) RetainsLapsed() bool { return len(g.lapsed) > 0 }

// ReplaceFromPeer replaces the replicas by those of another host as of the given time.
func (g *Registry) ReplaceFromPeer(asOf time.Time, replicas *ReplicaSet) {
	if asOf.After(g.lastUpdate) {
		g.lastUpdate = asOf
	}
	g.replicas, g.lapsed = replicas, nil
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
		if !isListed[r.ID] {
			removed = append(removed, r.ID)
		}
	}
	g.lapsed = nil
	g.ApplyChanges(now, listed, removed)
}

// ApplyChanges applies the store's changes since the last update: replicas that were
// written, and the IDs of those whose entries were removed. Of the latter, those that
// lapsed while the store was unavailable are kept until lapsedRetention after its return.
func (g *Registry) ApplyChanges(now time.Time, written []Replica, removed []string) {
	if !g.lastUpdate.IsZero() && now.Sub(g.lastUpdate) > storeOutageThreshold {
		g.storeReturned = now
	}
	g.lastUpdate = now
	for i := range written {
		delete(g.lapsed, written[i].ID)
	}
	for id := range g.lapsed {
		removed = append(removed, id)
	}
	g.lapsed = nil
	next, _ := g.replicas.With(written, removed)
	if now.Sub(g.storeReturned) < lapsedRetention && len(removed) > 0 {
		next = g.retainLapsed(next, removed)
	}
	g.replicas = next
}

// retainLapsed adds removed replicas to the next set unless another replica, or a new start
// of the same one, has the address of a removed one, which is then gone.
func (g *Registry) retainLapsed(next *ReplicaSet, removed []string) *ReplicaSet {
	listedAddresses := make(map[string]bool, next.Len())
	for r := range next.All() {
		listedAddresses[r.Address] = true
	}
	var retained []Replica
	for _, id := range removed {
		if r := g.replicas.Find(id); r != nil && !next.Has(id) && !listedAddresses[r.Address] {
			retained = append(retained, *r)
			if g.lapsed == nil {
				g.lapsed = map[string]bool{}
			}
			g.lapsed[id] = true
		}
	}
	next, _ = next.With(retained, nil)
	return next
}
