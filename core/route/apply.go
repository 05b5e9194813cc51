package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/load"
)

// snapshot is an immutable set of pools.
type snapshot struct {
	region string
	pools  map[string]*poolView
	// byUpstream lists, for each upstream name, the pools that contain it.
	byUpstream map[string][]memberRef
}

// memberRef refers to an upstream in one pool.
type memberRef struct {
	pool  *poolView
	state *memberState
}

// Apply replaces the pools and the policy by those of b. Upstreams with the same pool,
// name and address keep their call counts and measurements.
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
	// A pool that is missing from b remains in use until the next bundle, because
	// requests that were admitted before may still need it. After that it is kept
	// without upstreams to pick from while it has calls in flight, so that their
	// counts are not lost if a later bundle contains the pool again.
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
	if r.ownsLimiters {
		r.config.Limiters.RemoveUnlisted(func(name string) bool { return len(next.byUpstream[name]) > 0 })
	}
}

// indexPool adds the upstreams of a pool to byUpstream.
func (s *snapshot) indexPool(p *poolView) {
	for k := range p.members {
		name := p.members[k].name
		s.byUpstream[name] = append(s.byUpstream[name], memberRef{p, p.members[k].state})
	}
}

// droppedCopy returns a copy of a pool that is marked as missing from the active bundle.
func (p *poolView) droppedCopy() *poolView {
	pool := *p
	pool.dropped = true
	return &pool
}

// buildPool builds the view of a pool of b. It takes over the state of the pool's
// upstreams from old.
func (r *Router) buildPool(old *snapshot, cfg *bundle.Pool, b *bundle.Bundle, regions map[string]string) *poolView {
	p := &poolView{
		name:            cfg.Name,
		concurrency:     float64(max(1, cfg.Concurrency)),
		saturationLimit: math.Ceil(r.config.SaturationFactor * float64(max(1, cfg.Concurrency))),
	}
	policy, pack := b.Policy, packWeight(b.Objective)
	if policy == "" {
		policy = bundle.PolicyAdaptive
	}
	if previous := old.pools[cfg.Name]; previous != nil {
		p.shard, p.steps = previous.shard, previous.steps
	} else {
		p.shard = newShard(r.config.Seed, xxhash.Sum64String(cfg.Name))
	}
	if p.steps == nil || p.steps.policy != policy || p.steps.packWeight != pack {
		p.steps = newPolicySteps(policy, pack, r.config)
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	kept := make(map[upstreamKey]*memberState, len(cfg.Upstreams))
	for _, u := range cfg.Upstreams {
		key := upstreamKey{u.Name, u.Address}
		st := p.shard.states[key]
		if st == nil {
			st = &memberState{}
		}
		// The upstream may have a new limiter if it was not listed in the meantime.
		st.limiter = r.config.Limiters.Get(u.Name)
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

// expectedDuration returns the longest expected duration of the stages that use pool.
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

// inFlight returns the number of this daemon's calls in flight in the pool.
func (s *shard) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, st := range s.states {
		n += st.ownCalls
	}
	return n
}

// SetLeaving sets the names of the upstreams that the host list marks as leaving. It
// replaces the previous set. These upstreams get no new calls; calls in flight
// continue.
func (r *Router) SetLeaving(names []string, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markedLeaving = make(map[string]bool, len(names))
	for _, n := range names {
		r.markedLeaving[n] = true
	}
	for name, refs := range r.current.Load().byUpstream {
		for _, ref := range refs {
			ref.pool.shard.mu.Lock()
			ref.state.markedLeaving = r.markedLeaving[name]
			ref.pool.shard.mu.Unlock()
		}
	}
}

// Observe stores load reports. They may come in any order: of the reports about an
// upstream, the newest is kept.
func (r *Router) Observe(reports ...load.Report) {
	snap := r.current.Load()
	for _, rep := range reports {
		for _, ref := range snap.byUpstream[rep.Upstream] {
			ref.pool.shard.mu.Lock()
			ref.state.observeReport(rep)
			ref.pool.shard.mu.Unlock()
		}
	}
}
