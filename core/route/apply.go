package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/load"
)

// snapshot is one immutable list of pools.
type snapshot struct {
	region string
	pools  map[string]*poolView
	// byUpstream lists the places of each upstream's name.
	byUpstream map[string][]memberRef
}

// place is where an upstream stands.
type memberRef struct {
	pool  *poolView
	state *memberState
}

// Apply puts the pools and the policy of b in force. Upstreams of the same
// pool, name and address keep their counts and measurements.
func (r *Router) Apply(b *bundle.Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	regions := make(map[string]string, len(b.FailureDomains))
	for _, d := range b.FailureDomains {
		regions[d.Name] = d.Region
	}
	old := r.current.Load()
	next := &snapshot{
		region:     regions[r.config.FailureDomain],
		pools:      make(map[string]*poolView, len(b.Pools)),
		byUpstream: map[string][]memberRef{},
	}
	for i := range b.Pools {
		p := r.buildPool(old, &b.Pools[i], b, regions)
		p.expectedLatency = expectedDuration(b, p.name)
		next.pools[p.name] = p
		next.indexPool(p)
	}
	// A pool that the bundle dropped serves on for one more bundle, since
	// requests that were admitted before may still need it; then it stays,
	// without upstreams to pick, while it has calls in flight: a later bundle
	// may bring it back.
	for name, p := range old.pools {
		switch {
		case next.pools[name] != nil:
		case !p.dropped:
			next.pools[name] = p.droppedCopy()
			next.indexPool(next.pools[name])
		case p.shard.inFlight() > 0:
			next.pools[name] = &poolView{name: name, steps: p.steps, shard: p.shard, dropped: true}
		}
	}
	r.current.Store(next)
	if r.ownsGates {
		r.config.Gates.Keep(func(name string) bool { return len(next.byUpstream[name]) > 0 })
	}
}

// place notes where the upstreams of a pool stand.
func (s *snapshot) indexPool(p *poolView) {
	for k := range p.members {
		name := p.members[k].name
		s.byUpstream[name] = append(s.byUpstream[name], memberRef{p, p.members[k].state})
	}
}

// asDropped is the view of a pool that the bundle in force no longer has.
func (p *poolView) droppedCopy() *poolView {
	kept := *p
	kept.dropped = true
	return &kept
}

// poolOf builds the view of a pool and carries its states over.
func (r *Router) buildPool(old *snapshot, b *bundle.Pool, of *bundle.Bundle, regions map[string]string) *poolView {
	p := &poolView{
		name:            b.Name,
		concurrency:     float64(max(1, b.Concurrency)),
		saturationLimit: math.Ceil(r.config.SaturationFactor * float64(max(1, b.Concurrency))),
	}
	policy, pack := of.Policy, packWeight(of.Objective)
	if policy == "" {
		policy = bundle.PolicyAdaptive
	}
	if was := old.pools[b.Name]; was != nil {
		p.shard, p.steps = was.shard, was.steps
	} else {
		p.shard = newShard(r.config.Seed, xxhash.Sum64String(b.Name))
	}
	if p.steps == nil || p.steps.policy != policy || p.steps.packWeight != pack {
		p.steps = newPolicySteps(policy, pack, r.config)
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	kept := make(map[upstreamKey]*memberState, len(b.Upstreams))
	for _, u := range b.Upstreams {
		key := upstreamKey{u.Name, u.Address}
		st := p.shard.states[key]
		if st == nil {
			st = &memberState{}
		}
		// Gates of upstreams that were not listed meanwhile are others.
		st.gate = r.config.Gates.Of(u.Name)
		st.markedLeaving = r.markedLeaving[u.Name]
		kept[key] = st
		p.members = append(p.members, member{
			name: u.Name, address: u.Address, domain: u.FailureDomain,
			region: regions[u.FailureDomain], hash: xxhash.Sum64String(u.Name), state: st,
		})
	}
	for key, st := range p.shard.states {
		if kept[key] == nil && st.ownCalls > 0 {
			kept[key] = st
		}
	}
	p.shard.states = kept
	return p
}

// expectedOf returns the longest expected duration of the stages that use pool.
func expectedDuration(b *bundle.Bundle, pool string) time.Duration {
	var longest time.Duration
	for i := range b.Pipelines {
		for _, s := range b.Pipelines[i].Stages {
			if s.Pool == pool {
				longest = max(longest, s.Expected)
			}
		}
	}
	return longest
}

// inFlight returns the number of own calls in flight.
func (s *shard) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, st := range s.states {
		n += st.ownCalls
	}
	return n
}

// SetLeaving says which upstreams, by name, the host list marks as leaving; it
// replaces what was said before. They get no new work; calls in flight go on.
func (r *Router) SetLeaving(names []string, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markedLeaving = make(map[string]bool, len(names))
	for _, n := range names {
		r.markedLeaving[n] = true
	}
	for name, places := range r.current.Load().byUpstream {
		for _, pl := range places {
			pl.pool.shard.mu.Lock()
			pl.state.markedLeaving = r.markedLeaving[name]
			pl.pool.shard.mu.Unlock()
		}
	}
}

// Observe takes load reports, in any order; of an upstream the newest counts.
func (r *Router) Observe(reports ...load.Report) {
	snap := r.current.Load()
	for _, rep := range reports {
		for _, pl := range snap.byUpstream[rep.Upstream] {
			pl.pool.shard.mu.Lock()
			pl.state.observeReport(rep)
			pl.pool.shard.mu.Unlock()
		}
	}
}
