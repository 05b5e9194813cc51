package gateway

import (
	"maps"
	"slices"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/discovery"
)

// routerPools converts a view for the router: one pool per service, with the replicas that
// take new work. version numbers the views.
func routerPools(v *discovery.View, version uint64, regions []Region) *bundle.Bundle {
	b := &bundle.Bundle{Version: version, Policy: bundle.PolicyAdaptive}
	for _, r := range regions {
		b.FailureDomains = append(b.FailureDomains, bundle.FailureDomain{Name: r.FailureDomain, Region: r.Region})
	}
	byService := map[string][]bundle.Upstream{}
	concurrency := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(v.Replicas)) {
		r := v.Replicas[id]
		concurrency[r.Service] = max(concurrency[r.Service], r.Concurrency)
		if v.RefusesNewWork(r) {
			continue
		}
		byService[r.Service] = append(byService[r.Service], bundle.Upstream{
			Name: r.ID, FailureDomain: r.FailureDomain, Address: r.Address,
		})
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
	for _, r := range v.Replicas {
		if s := v.Config.Services[r.Service]; s != nil && s.StageProfile != nil {
			r.Draining = v.RefusesNewWork(r)
			out = append(out, r)
		}
	}
	return out
}
