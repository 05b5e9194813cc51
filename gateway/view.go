package gateway

import (
	"slices"
	"strings"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/crash"
	"github.com/wheatseam/wheatseam/core/route"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// applyView passes a new view on to the components that decide by it. Unless the
// configuration or the evacuations have changed, its cost grows with the replicas that
// changed and not with all of them.
func (g *Gateway) applyView(v *discovery.View) {
	if !v.Ready() {
		return
	}
	previous := g.appliedView
	g.appliedView = v
	g.dropRefusalCounters(v)
	g.pruneNotices(v.Replicas)
	evacuated := evacuatedServices(v)
	g.evacuatedServices.Store(&evacuated)
	g.updateColdLimits(v)
	g.quarantine.ReplicasListed(g.listingIn(v))
	if previous == nil || previous.Config != v.Config {
		if moved := g.origins.routed.configChanged(clock.Now(), configOf(previous), v.Config); len(moved) > 0 {
			g.recordOpenStreams(moved)
		}
	}
	byChanges := g.applyPools(previous, v, g.settings.Load().Regions)
	g.slowdowns.applyView(clock.Now(), previous, v, byChanges)
	g.stages.Configure(v.Config.Services, func() []catalog.Replica { return stageReplicas(v) })
}

// configOf returns the configuration of a view; nil if there is none.
func configOf(v *discovery.View) *catalog.Config {
	if v == nil {
		return nil
	}
	return v.Config
}

// listingIn returns what a view lists about a replica. Another replica gets an address only
// after the process there has ended.
func (g *Gateway) listingIn(v *discovery.View) func(replica, address string) crash.Listing {
	return func(replica, address string) crash.Listing {
		switch r := v.Replicas.Find(replica); {
		case r != nil && r.Draining:
			return crash.Draining
		case r != nil:
			return crash.Listed
		case g.paths.addresses.of(v).contains(address):
			return crash.Replaced
		}
		return crash.Removed
	}
}

// applyPools passes a new view on to the router, and reports whether the changes since the
// previous view sufficed.
func (g *Gateway) applyPools(previous, v *discovery.View, regions []Region) (byChanges bool) {
	if changes, ok := g.poolChanges(previous, v); ok {
		g.router.Update(changes)
		return true
	}
	g.viewVersion++
	b := routerPools(v, g.viewVersion, regions)
	g.poolConcurrency = map[string]int{}
	for _, p := range b.Pools {
		g.poolConcurrency[p.Name] = p.Concurrency
	}
	g.router.Apply(b)
	return false
}

// poolChanges returns the changes of the router's pools from the previous view to a new
// one. ok is false if the pools have to be set up again.
func (g *Gateway) poolChanges(previous, v *discovery.View) (changes []route.PoolChange, ok bool) {
	if previous == nil || previous.Config != v.Config || !previous.Evacuations.SameDomains(v.Evacuations) {
		return nil, false
	}
	byPool := map[string]*route.PoolChange{}
	change := func(pool string) *route.PoolChange {
		if byPool[pool] == nil {
			byPool[pool] = &route.PoolChange{Pool: pool}
		}
		return byPool[pool]
	}
	for _, c := range previous.Replicas.Diff(v.Replicas) {
		if c.Old != nil && !v.RefusesNewWork(c.Old) {
			p := change(c.Old.Service)
			p.Removed = append(p.Removed, c.Old.ID)
		}
		if c.New == nil {
			continue
		}
		if limit, known := g.poolConcurrency[c.New.Service]; known && c.New.Concurrency > limit {
			return nil, false
		}
		if !v.RefusesNewWork(c.New) {
			p := change(c.New.Service)
			p.Added = append(p.Added, upstreamOf(c.New))
		}
	}
	for _, p := range byPool {
		changes = append(changes, *p)
	}
	slices.SortFunc(changes, func(a, b route.PoolChange) int { return strings.Compare(a.Pool, b.Pool) })
	return changes, true
}

func upstreamOf(r *catalog.Replica) bundle.Upstream {
	return bundle.Upstream{Name: r.ID, FailureDomain: r.FailureDomain, Address: r.Address, Version: r.Version}
}

// routerPools converts a view for the router: one pool per service, with the replicas that
// take new work. version numbers the views.
func routerPools(v *discovery.View, version uint64, regions []Region) *bundle.Bundle {
	b := &bundle.Bundle{Version: version, Policy: bundle.PolicyAdaptive}
	for _, r := range regions {
		b.FailureDomains = append(b.FailureDomains, bundle.FailureDomain{Name: r.FailureDomain, Region: r.Region})
	}
	byService := map[string][]bundle.Upstream{}
	concurrency := map[string]int{}
	for r := range v.Replicas.All() {
		concurrency[r.Service] = max(concurrency[r.Service], r.Concurrency)
		if !v.RefusesNewWork(r) {
			byService[r.Service] = append(byService[r.Service], upstreamOf(r))
		}
	}
	for name, s := range v.Config.Services {
		p := bundle.Pool{
			Name: name, Kind: bundle.PoolService, Concurrency: max(1, concurrency[name]),
			MaxConnections: s.MaxConnections, Upstreams: byService[name],
		}
		if s.Engine {
			p.Kind = bundle.PoolEngine
		}
		b.Pools = append(b.Pools, p)
	}
	return b
}

// stageReplicas are the replicas of services that run stages. Replicas in evacuated failure
// domains count as draining: the results that they hold are read, and no new ones are
// produced there.
func stageReplicas(v *discovery.View) []catalog.Replica {
	var out []catalog.Replica
	for r := range v.Replicas.All() {
		if s := v.Config.Services[r.Service]; s != nil && s.StageProfile != nil {
			replica := *r
			replica.Draining = v.RefusesNewWork(r)
			out = append(out, replica)
		}
	}
	return out
}
