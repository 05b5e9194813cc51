package route

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/load"
)

// snapshot is an immutable set of pools.
type snapshot struct {
	region string
	// regions maps the failure domains to their regions.
	regions map[string]string
	pools   map[string]*poolView
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
		region:  regions[r.config.FailureDomain],
		regions: regions,
		pools:   make(map[string]*poolView, len(b.Pools)),
	}
	for i := range b.Pools {
		p := r.buildPool(old, &b.Pools[i], b, regions)
		p.expectedLatency = expectedDuration(b, p.name)
		next.pools[p.name] = p
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
		case p.shard.inFlight() > 0:
			next.pools[name] = &poolView{name: name, steps: p.steps, shard: p.shard, members: newMemberSet(nil), dropped: true}
		}
	}
	r.current.Store(next)
	if r.ownsLimiters {
		// Calls that hold the lock of a shard ask for limiters, so that RemoveAllUnlisted must not
		// wait for one.
		listed := next.listed()
		r.config.Limiters.RemoveAllUnlisted(func(upstream string) bool { return listed[upstream] })
	}
}

// listed returns the names of the upstreams of all pools.
func (s *snapshot) listed() map[string]bool {
	names := map[string]bool{}
	for _, p := range s.pools {
		p.shard.mu.Lock()
		for _, m := range p.members.all {
			names[m.name] = true
		}
		p.shard.mu.Unlock()
	}
	return names
}

// PoolChange is a change of the upstreams of one pool.
type PoolChange struct {
	Pool string
	// Removed are the names of upstreams that are removed. Added are upstreams that are
	// added, or replaced if the pool has one with the same name.
	Removed []string
	Added   []bundle.Upstream
}

// Update changes pools that the last applied bundle contains, at a cost that grows with the
// changes and not with the pools. Changes of other pools are ignored.
func (r *Router) Update(changes []PoolChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := r.current.Load()
	for i := range changes {
		if p := snap.pools[changes[i].Pool]; p != nil {
			r.updatePool(p, &changes[i], snap.regions)
		}
	}
}

func (r *Router) updatePool(p *poolView, change *PoolChange, regions map[string]string) {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	for _, name := range change.Removed {
		if m := p.members.find(name); m != nil {
			p.members.remove(m)
			p.shard.detach(m)
		}
	}
	for _, u := range change.Added {
		var replaced *member
		if m := p.members.find(u.Name); m != nil {
			p.members.remove(m)
			p.shard.detach(m)
			replaced = m
		}
		m := newMember(u, regions)
		m.keepBaseline(replaced)
		p.members.add(m)
		p.shard.attach(m, &r.config)
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
		leaving:         r.markedLeaving,
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
	members := make([]*member, 0, len(cfg.Upstreams))
	for _, u := range cfg.Upstreams {
		members = append(members, newMember(u, regions))
	}
	if previous := old.pools[cfg.Name]; previous != nil && p.shard.hasSlowdowns {
		for _, m := range members {
			m.keepBaseline(previous.members.find(m.name))
		}
	}
	if previous := old.pools[cfg.Name]; previous != nil {
		for _, m := range previous.members.all {
			p.shard.detach(m)
		}
	}
	p.members = newMemberSet(members)
	for _, m := range p.members.all {
		p.shard.attach(m, &r.config)
	}
	p.shard.removeUnlisted()
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
	for _, st := range s.used {
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
	next := *r.current.Load()
	next.pools = maps.Clone(next.pools)
	for name, p := range next.pools {
		changed := *p
		changed.leaving = r.markedLeaving
		next.pools[name] = &changed
	}
	r.current.Store(&next)
}

// Observe stores load reports. They may come in any order: of the reports about an
// upstream, the newest is kept.
func (r *Router) Observe(reports ...load.Report) {
	for _, p := range r.current.Load().pools {
		p.observe(reports, &r.config)
	}
}

func (p *poolView) observe(reports []load.Report, c *Config) {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	for _, rep := range reports {
		if m := p.members.find(rep.Upstream); m != nil {
			if st := p.shard.stateOf(m, rep.AsOf, c); st.observeReport(rep) {
				p.shard.noteReport(st)
			}
			p.shard.hasSlowdowns = p.shard.hasSlowdowns || m.state.reportedSlowdown.value > 0
		}
	}
}
