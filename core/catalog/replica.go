package catalog

import "time"

// Replica is one registered process of a service.
type Replica struct {
	// ID names one start of the process: started again, it has another, and holds
	// and knows nothing of before.
	ID      string
	Service string
	// Address is ip:port.
	Address string
	// FailureDomain is where it stands.
	FailureDomain string
	// Concurrency is the number of requests that it runs at a time.
	Concurrency int
	// Draining replicas get no new work.
	Draining bool
	// Cold replicas have started a moment ago, or as good as that, and bear only few
	// requests a second; see Service.ColdRate.
	Cold bool
}

// lapseGrace is how long after the store's return a replica that the store no
// longer lists is kept: the users' letter gives live replicas about two seconds
// to register again.
const lapsedRetention = 2 * time.Second

// storeSilence is the time without an answer from the store after which its
// next answer counts as a return. It is over the interval between reads, and
// under the three heartbeats after which an entry lapses.
const storeOutageThreshold = 2500 * time.Millisecond

// Registry keeps the replicas as the store lists them. It is not safe for
// concurrent use.
type Registry struct {
	replicas   map[string]Replica
	lastUpdate time.Time
	// returned is when the store last answered after a silence.
	storeReturned time.Time
	// uncertain says that replicas are kept which the store does not list.
	retainsLapsed bool
}

// Replicas returns all replicas that may be in service.
func (g *Registry) Replicas() map[string]Replica { return g.replicas }

// Uncertain says that some of the replicas are not listed and may be gone: this
// host, or the store, was away a moment ago.
func (g *Registry) Uncertain() bool { return g.retainsLapsed }

// Adopt takes the replicas that another host keeps, as of that time; nil says
// that they are those already known.
func (g *Registry) Adopt(asOf time.Time, replicas []Replica) {
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

// Update takes the store's full list. Replicas that lapsed while the store was
// away stay until lapseGrace after its return.
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
			// Where another start, or another replica, has the address, this one is gone.
			if _, ok := next[id]; !ok && !listedAddresses[r.Address] {
				next[id], g.retainsLapsed = r, true
			}
		}
	}
	g.replicas = next
}
