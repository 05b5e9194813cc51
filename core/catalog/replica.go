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
	replicas   map[string]Replica
	lastUpdate time.Time
	// storeReturned is the time of the first response of the store after its last outage.
	storeReturned time.Time
	// retainsLapsed says that replicas are kept which the store does not list.
	retainsLapsed bool
}

// Replicas returns all replicas that may be in service, by ID.
func (g *Registry) Replicas() map[string]Replica { return g.replicas }

// RetainsLapsed reports whether some of the replicas are not listed by the store and may be
// gone, because this host lost contact with the store or the store was unavailable a moment
// ago.
func (g *Registry) RetainsLapsed() bool { return g.retainsLapsed }

// ReplaceFromPeer replaces the replicas by those of another host as of the given time. If
// replicas is nil, the other host has the same replicas.
func (g *Registry) ReplaceFromPeer(asOf time.Time, replicas []Replica) {
	if asOf.After(g.lastUpdate) {
		g.lastUpdate = asOf
	}
	g.retainsLapsed = false
	if replicas == nil {
		return
	}
	g.replicas = make(map[string]Replica, len(replicas))
	for _, r := range replicas {
		g.replicas[r.ID] = r
	}
}

// Update replaces the replicas by the store's full list. Replicas whose entries lapsed
// while the store was unavailable are kept until lapsedRetention after its return.
func (g *Registry) Update(now time.Time, listed []Replica) {
	if !g.lastUpdate.IsZero() && now.Sub(g.lastUpdate) > storeOutageThreshold {
		g.storeReturned = now
	}
	g.lastUpdate, g.retainsLapsed = now, false
	next := make(map[string]Replica, len(listed))
	for _, r := range listed {
		next[r.ID] = r
	}
	if now.Sub(g.storeReturned) < lapsedRetention {
		listedAddresses := make(map[string]bool, len(listed))
		for _, r := range listed {
			listedAddresses[r.Address] = true
		}
		for id, r := range g.replicas {
			// If another replica, or a new start of this one, has the address, this one is
			// gone.
			if _, ok := next[id]; !ok && !listedAddresses[r.Address] {
				next[id], g.retainsLapsed = r, true
			}
		}
	}
	g.replicas = next
}
