package route

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/record"
)

// Retry-After hints of a refusal. A cold upstream accepts calls again after a second.
const (
	saturatedRetryAfter   = time.Second
	unavailableRetryAfter = 5 * time.Second
)

// Router implements request.Router. It is safe for concurrent use.
type Router struct {
	config Config
	// ownsLimiters is set if the limiters are not shared with other components.
	ownsLimiters bool
	// mu serializes Apply and SetLeaving.
	mu            sync.Mutex
	markedLeaving map[string]bool
	current       atomic.Pointer[snapshot]
}

var _ request.Router = (*Router)(nil)

// New returns a Router without pools. Apply sets them.
func New(c Config) *Router {
	r := &Router{config: c.withDefaults(), ownsLimiters: c.Limiters == nil, markedLeaving: map[string]bool{}}
	r.current.Store(&snapshot{pools: map[string]*poolView{}})
	return r
}

// Pick implements request.Router. rec may be nil.
func (r *Router) Pick(now time.Time, q request.Query, rec record.Recorder) (request.Choice, *problem.Error) {
	snap := r.current.Load()
	p := snap.pools[q.Pool]
	if p == nil {
		return request.Choice{}, problem.New(problem.NoUpstream, "no pool %q", q.Pool)
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	return p.pick(now, &q, &r.config, snap.region, rec)
}

// pick runs the steps of the policy. The shard must be locked.
func (p *poolView) pick(now time.Time, q *request.Query, c *Config, region string, rec record.Recorder) (request.Choice, *problem.Error) {
	s := p.shard
	v := p.buildView(now, q, c, region)
	if len(s.result.eligible) == 0 {
		err := p.noUpstreamError(v, c)
		p.recordPick(rec, v, "refused", nil)
		return request.Choice{}, err
	}
	if q.Kind == bundle.StageGenerate && p.steps.policy == bundle.PolicyAdaptive {
		v.PrefixHome = prefixHome(v, s.result.eligible, q.Prefix, c.PrefixLoadFactor, c.PrefixMinLoad)
	}
	s.drawn = p.steps.picker.Pick(v, s.result.eligible, s.rng, s.drawn[:0])
	m := s.viewed[s.drawn[0].index]
	p.recordPick(rec, v, m.name, s.drawn)
	st := s.stateOf(m, now, c)
	st.startCall(now)
	st.unreachable.startCall(now, q.Request)
	if q.PrefillTime > 0 {
		st.prefillQueue.add(pendingPrompt{request: q.Request, sentAt: now, prefillTime: q.PrefillTime, usualFirstByte: q.ExpectedFirstByte})
	}
	choice := request.Choice{Request: q.Request, Pool: p.name, Upstream: m.name, Address: m.address, FailureDomain: m.domain, Version: m.version}
	if v.HasSlowdowns {
		picked := &v.Candidates[s.drawn[0].index]
		choice.Slowdown, choice.ExpectedPause = picked.Slowdown, v.expectedPause(picked)
	}
	return choice, nil
}

// PrefixHomeDomain returns the failure domain of the engine that should hold the prompt
// prefix of a query, or "" if no engine in the pool qualifies. Upstreams that were tried and
// the inputs' failure domain do not matter.
func (r *Router) PrefixHomeDomain(now time.Time, query request.Query) string {
	snap := r.current.Load()
	p := snap.pools[query.Pool]
	if p == nil {
		return ""
	}
	q := &request.Query{
		Pool: query.Pool, Kind: bundle.StageGenerate, Prefix: query.Prefix,
		GapObjective: query.GapObjective, ExpectedEvents: query.ExpectedEvents, Version: query.Version, FixedVersion: query.FixedVersion,
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	v := p.buildView(now, q, &r.config, snap.region)
	home := prefixHome(v, p.shard.result.eligible, q.Prefix, r.config.PrefixLoadFactor, r.config.PrefixMinLoad)
	if home < 0 {
		return ""
	}
	return v.Candidates[home].Domain
}

// noUpstreamError returns the error for a pick that no upstream is eligible for.
func (p *poolView) noUpstreamError(v *View, config *Config) *problem.Error {
	saturated, cold, limited, backingOff, otherVersion := 0, 0, 0, 0, 0
	var nextAllowed shortestWait
	for i := range v.Candidates {
		switch c := &v.Candidates[i]; {
		case v.Query.FixedVersion && v.Query.Version != c.Version:
			otherVersion++
		case c.Leaving:
		case c.Load() >= v.SaturationLimit:
			saturated++
			nextAllowed.add(saturatedRetryAfter)
		case c.IntakeLimited && c.IntakeLimitSource == intake.Cold:
			cold++
			nextAllowed.add(saturatedRetryAfter)
		case c.IntakeLimited:
			if c.IntakeLimitSource == intake.BackingOff {
				backingOff++
			} else {
				limited++
			}
			_, limiter := p.shard.viewed[i].stateAndLimiter(config)
			nextAllowed.add(limiter.NextAllowed(v.Now).Sub(v.Now))
		}
	}
	if otherVersion > 0 && otherVersion == len(v.Candidates) {
		return problem.New(problem.VersionGone, "pool %q: none of %d upstreams has version %q, which began the stream", p.name, len(v.Candidates), v.Query.Version)
	}
	err := problem.New(problem.NoUpstream, "pool %q: of %d upstreams %d are saturated, %d cold, %d limited, %d resting, %d of another version, the others leaving",
		p.name, len(v.Candidates), saturated, cold, limited, backingOff, otherVersion)
	err.RetryAfter = nextAllowed.orElse(unavailableRetryAfter)
	return err
}

// shortestWait is the minimum of the durations that were added to it.
type shortestWait struct {
	wait  time.Duration
	known bool
}

func (s *shortestWait) add(wait time.Duration) {
	if !s.known || wait < s.wait {
		s.wait, s.known = wait, true
	}
}

// orElse returns the minimum, or fallback if no duration was added.
func (s *shortestWait) orElse(fallback time.Duration) time.Duration {
	if !s.known {
		return fallback
	}
	return s.wait
}

// Unavailable reports whether all upstreams of a pool are leaving or blocked by their
// limiters, and how long this lasts at least. It returns false for a pool without
// upstreams.
func (r *Router) Unavailable(now time.Time, pool string) (time.Duration, bool) {
	p := r.current.Load().pools[pool]
	if p == nil {
		return 0, false
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	var nextAllowed shortestWait
	for _, m := range p.members.all {
		st, limiter := m.stateAndLimiter(&r.config)
		if p.isLeaving(m, st, limiter) {
			nextAllowed.add(unavailableRetryAfter)
			continue
		}
		if _, blocked := limiter.Blocked(now); !blocked {
			return 0, false
		}
		nextAllowed.add(limiter.NextAllowed(now).Sub(now))
	}
	return nextAllowed.wait, nextAllowed.known
}

// HasOnlyOtherVersions reports whether a pool has upstreams, and none of a version.
func (r *Router) HasOnlyOtherVersions(pool, version string) bool {
	p := r.current.Load().pools[pool]
	if p == nil {
		return false
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	return len(p.members.all) > 0 && !slices.ContainsFunc(p.members.all, func(m *member) bool { return m.version == version })
}

// Done implements request.Router.
func (r *Router) Done(now time.Time, o request.Outcome) {
	p := r.current.Load().pools[o.Choice.Pool]
	if p == nil {
		return
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	p.finishCall(now, &o, &r.config)
}

// CancelPick undoes a pick for which no call was sent. Done must not be called for it.
func (r *Router) CancelPick(now time.Time, c request.Choice) {
	r.updateState(c.Pool, c.Upstream, c.Address, func(st *memberState) {
		st.cancelCall(now)
		st.unreachable.endCall(c.Request)
		st.prefillQueue.removeNewest(c.Request)
	})
}

// ObservePeerPrompt records that another daemon has sent an upstream a prompt whose prefill
// takes prefillTime.
func (r *Router) ObservePeerPrompt(now time.Time, pool, upstream, address string, prefillTime time.Duration) {
	p := r.current.Load().pools[pool]
	if p == nil {
		return
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	if m := p.members.find(upstream); m != nil && m.address == address {
		st := p.shard.stateOf(m, now, &r.config)
		st.usedAt = now
		st.prefillQueue.add(pendingPrompt{sentAt: now, prefillTime: prefillTime, fromPeer: true})
	}
}

// SetBaselineSlowdown sets the lowest slowdown that an upstream's machine has had lately, as a
// multiple of the usual time; 0 removes it. It is kept until the upstream is removed from the
// pool or changes its address.
func (r *Router) SetBaselineSlowdown(_ time.Time, pool, upstream string, baseline float64) {
	p := r.current.Load().pools[pool]
	if p == nil {
		return
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	if m := p.members.find(upstream); m != nil {
		p.setBaselineSlowdown(m, baseline)
	}
}

// CanServeCopies reports whether an upstream can serve calls other than those for which it
// is picked: it is known, is neither leaving, limited, ejected nor unreachable, and does not have calls
// in flight without progress for minStallTimeout.
func (r *Router) CanServeCopies(now time.Time, pool, upstream, address string) bool {
	p := r.current.Load().pools[pool]
	if p == nil {
		return false
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	m := p.members.find(upstream)
	if m == nil || m.address != address {
		return false
	}
	st, limiter := m.stateAndLimiter(&r.config)
	return !p.isLeaving(m, st, limiter) && !limiter.HasQuota() && !st.ejection.active(now) && !st.unreachable.blocks(now) && (st.ownCalls == 0 || now.Sub(st.lastProgress) < minStallTimeout)
}

// updateState calls change with the locked state of an upstream, if there is one.
func (r *Router) updateState(pool, upstream, address string, change func(*memberState)) {
	p := r.current.Load().pools[pool]
	if p == nil {
		return
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	if st := p.shard.states[upstreamKey{upstream, address}]; st != nil {
		change(st)
	}
}

// FirstByte records that an upstream has begun to answer a picked call, so that the
// prefill of its prompt has completed.
func (r *Router) FirstByte(c request.Choice) {
	r.updateState(c.Pool, c.Upstream, c.Address, func(st *memberState) { st.prefillQueue.remove(c.Request) })
}

// finishCall records the end of a call. The shard must be locked.
func (p *poolView) finishCall(now time.Time, o *request.Outcome, c *Config) {
	s := p.shard
	st := s.states[upstreamKey{o.Choice.Upstream, o.Choice.Address}]
	if st == nil {
		return
	}
	st.endCall(now)
	st.unreachable.endCall(o.Choice.Request)
	st.prefillQueue.remove(o.Choice.Request)
	slowdown := s.slowdownOf(now, st)
	ignored := st.ejection.ignoresCall(now.Add(-o.Latency), now)
	switch o.Result {
	case request.CallOK:
		l := s.stageLatencyFor(now, o.Stage, c.HistogramWindow)
		// Latencies are compared per slowdown: an upstream whose machine is slow for good
		// is not at fault.
		slowness := l.slowness(scaleDuration(o.Latency, 1/slowdown), o.Work, true)
		l.addCompleted(now, o.Latency, o.FirstByte, o.Work, slowdown)
		l.recordPause(now, o, slowdown, c.HistogramWindow)
		if l.total.mergedAt.Equal(now) {
			s.updateEstimates()
		}
		if !ignored {
			p.addSlowness(now, st, o, slowness, c)
			st.silence.observeCompleted(now)
			st.countCall(now, true)
		}
	case request.CallFailed:
		if !ignored {
			st.countCall(now, false)
		}
	case request.CallRefused:
		st.backOff(now)
	case request.CallCancelled:
		l := s.stageLatencyFor(now, o.Stage, c.HistogramWindow)
		slowness := l.slowness(scaleDuration(o.Latency, 1/slowdown), o.Work, false)
		l.recordPause(now, o, slowdown, c.HistogramWindow)
		l.addCancelled(now, o.Latency)
		if o.FirstByte <= 0 {
			l.addCancelledFirstByte(now, o.Latency)
		}
		if !ignored && slowness > st.decayedSlowness(now) {
			p.addSlowness(now, st, o, slowness, c)
		}
	}
	if !ignored {
		p.ejectIfNeeded(now, st, c.Ejection)
		if c.OnEjected != nil && st.ejection.startedAt.Equal(now) {
			c.OnEjected(p.name, o.Choice.Upstream, st.ejection.reason, st.ejection.until)
		}
	}
}

// addSlowness adds the slowness of a call that has ended; 0 means that it is not known. Calls
// that were delayed by one brief silence of the upstream count once.
func (p *poolView) addSlowness(now time.Time, st *memberState, o *request.Outcome, sample float64, c *Config) {
	if sample <= 0 {
		return
	}
	if sample >= c.Ejection.SlowRatio && st.silence.observeSlow(now, o, sample) {
		if c.OnSilence != nil {
			c.OnSilence(p.name, o.Choice.Upstream, st.silence.delayed)
		}
		return
	}
	smoothing := slownessSmoothing
	if st.ejection.ramping(now, c.Ejection.RampDuration) {
		smoothing = rampSlownessSmoothing
	}
	st.addSlowness(now, sample, smoothing)
}

// ExpectedLatency implements request.Router.
func (r *Router) ExpectedLatency(pool, stage string, quantile float64) (time.Duration, bool) {
	return r.latencyQuantile(pool, stage, func(l *stageLatency) *latencyWindow { return l.total }, quantile)
}

// ExpectedFirstByte implements request.Router.
func (r *Router) ExpectedFirstByte(pool, stage string, quantile float64) (time.Duration, bool) {
	return r.latencyQuantile(pool, stage, func(l *stageLatency) *latencyWindow { return l.firstByte }, quantile)
}

func (r *Router) latencyQuantile(pool, stage string, windowOf func(*stageLatency) *latencyWindow, quantile float64) (time.Duration, bool) {
	p := r.current.Load().pools[pool]
	if p == nil {
		return 0, false
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	l := p.shard.stages[stage]
	if l == nil {
		return 0, false
	}
	return windowOf(l).quantile(quantile)
}
