package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/record"
)

// Retry hints of a refusal. A cold upstream takes calls again after a second.
const (
	saturatedRetryAfter   = time.Second
	unavailableRetryAfter = 5 * time.Second
)

// Router implements request.Router. All methods may be called concurrently.
type Router struct {
	config Config
	// ownGates says that nobody shares the gates.
	ownsGates bool
	// mu serialises Apply and SetLeaving.
	mu            sync.Mutex
	markedLeaving map[string]bool
	current       atomic.Pointer[snapshot]
}

var _ request.Router = (*Router)(nil)

// New returns a Router that knows no upstream until Apply.
func New(c Config) *Router {
	r := &Router{config: c.withDefaults(), ownsGates: c.Gates == nil, markedLeaving: map[string]bool{}}
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

// pick runs the steps; the shard is locked.
func (p *poolView) pick(now time.Time, q *request.Query, c *Config, region string, rec record.Recorder) (request.Choice, *problem.Error) {
	s := p.shard
	v := p.buildView(now, q, c, region)
	runFilters(v, p.steps.filters, &s.result)
	if len(s.result.eligible) == 0 {
		err := p.noUpstreamError(v)
		p.recordPick(rec, v, "refused", nil)
		return request.Choice{}, err
	}
	if q.Kind == bundle.StageGenerate && p.steps.policy == bundle.PolicyAdaptive {
		v.PrefixHome = prefixHome(v, s.result.eligible, q.Prefix, c.PrefixLoadFactor, c.PrefixRoom)
	}
	s.drawn = p.steps.picker.Pick(v, s.result.eligible, s.rng, s.drawn[:0])
	m := &p.members[s.drawn[0].index]
	p.recordPick(rec, v, m.name, s.drawn)
	m.state.startCall(now)
	if q.Read > 0 {
		m.state.prefillQueue.add(pendingPrompt{request: q.Request, sentAt: now, prefillTime: q.Read, usualFirstByte: q.FirstByte})
	}
	return request.Choice{Request: q.Request, Pool: p.name, Upstream: m.name, Address: m.address, FailureDomain: m.domain}, nil
}

// HomeDomain returns the failure domain of the engine that should hold a prompt
// prefix; "" when the pool has none.
func (r *Router) HomeDomain(now time.Time, pool string, prefix uint64) string {
	snap := r.current.Load()
	p := snap.pools[pool]
	if p == nil {
		return ""
	}
	q := &request.Query{Pool: pool, Kind: bundle.StageGenerate, Prefix: prefix}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	v := p.buildView(now, q, &r.config, snap.region)
	runFilters(v, p.steps.filters, &p.shard.result)
	home := prefixHome(v, p.shard.result.eligible, prefix, r.config.PrefixLoadFactor, r.config.PrefixRoom)
	if home < 0 {
		return ""
	}
	return v.Candidates[home].Domain
}

// refusal explains why no upstream is left.
func (p *poolView) noUpstreamError(v *View) *problem.Error {
	saturated, cold, limited, resting := 0, 0, 0, 0
	var opens shortestWait
	for i := range v.Candidates {
		switch c := &v.Candidates[i]; {
		case c.Leaving:
		case c.Load() >= v.SaturationLimit:
			saturated++
			opens.add(saturatedRetryAfter)
		case c.IntakeLimited && c.IntakeLimitSource == intake.Cold:
			cold++
			opens.add(saturatedRetryAfter)
		case c.IntakeLimited:
			if c.IntakeLimitSource == intake.Resting {
				resting++
			} else {
				limited++
			}
			opens.add(p.members[i].state.gate.Opens(v.Now).Sub(v.Now))
		}
	}
	err := problem.New(problem.NoUpstream, "pool %q: of %d upstreams %d are saturated, %d cold, %d limited, %d resting, the others leaving",
		p.name, len(v.Candidates), saturated, cold, limited, resting)
	err.RetryAfter = opens.orElse(unavailableRetryAfter)
	return err
}

// soonest is the shortest of some waits.
type shortestWait struct {
	wait  time.Duration
	known bool
}

func (s *shortestWait) add(wait time.Duration) {
	if !s.known || wait < s.wait {
		s.wait, s.known = wait, true
	}
}

// or returns the shortest wait, or another one without any.
func (s *shortestWait) orElse(none time.Duration) time.Duration {
	if !s.known {
		return none
	}
	return s.wait
}

// Closed says whether all upstreams of a pool leave or refuse calls by their bounds, and
// for how long that will last at least. A pool without upstreams is not closed.
func (r *Router) Closed(now time.Time, pool string) (time.Duration, bool) {
	p := r.current.Load().pools[pool]
	if p == nil {
		return 0, false
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	var opens shortestWait
	for i := range p.members {
		st := p.members[i].state
		if st.isLeaving() {
			opens.add(unavailableRetryAfter)
			continue
		}
		if _, refuses := st.gate.Refuses(now); !refuses {
			return 0, false
		}
		opens.add(st.gate.Opens(now).Sub(now))
	}
	return opens.wait, opens.known
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

// Unpick takes a pick back for which nothing was sent; it is then not owed to Done.
func (r *Router) Unpick(now time.Time, c request.Choice) {
	r.updateState(c.Pool, c.Upstream, c.Address, func(st *memberState) {
		st.cancelCall(now)
		st.prefillQueue.removeNewest(c.Request)
	})
}

// Told notes that another daemon has sent an upstream a prompt that takes that
// long to read.
func (r *Router) Told(now time.Time, pool, upstream, address string, read time.Duration) {
	r.updateState(pool, upstream, address, func(st *memberState) {
		st.prefillQueue.add(pendingPrompt{sentAt: now, prefillTime: read, fromPeer: true})
	})
}

// Usable says whether an upstream takes calls beside those that it is picked for: it is
// known, and neither leaving, bounded, ejected nor silent.
func (r *Router) Usable(now time.Time, pool, upstream, address string) bool {
	usable := false
	r.updateState(pool, upstream, address, func(st *memberState) {
		usable = !st.isLeaving() && !st.gate.Bounded() && !st.ejection.active(now) && (st.ownCalls == 0 || now.Sub(st.lastProgress) < minStallTimeout)
	})
	return usable
}

// update changes the state of an upstream, if it is known.
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

// FirstByte notes that an upstream has begun to answer a picked call: it has read
// the prompt.
func (r *Router) FirstByte(c request.Choice) {
	r.updateState(c.Pool, c.Upstream, c.Address, func(st *memberState) { st.prefillQueue.remove(c.Request) })
}

// done ends a call; the shard is locked.
func (p *poolView) finishCall(now time.Time, o *request.Outcome, c *Config) {
	s := p.shard
	st := s.states[upstreamKey{o.Choice.Upstream, o.Choice.Address}]
	if st == nil {
		return
	}
	st.endCall(now)
	st.prefillQueue.remove(o.Choice.Request)
	covered := st.ejection.ignoresCall(now.Add(-o.Latency), now)
	switch o.Result {
	case request.CallOK:
		l := s.stageLatencyFor(now, o.Stage, c.HistogramWindow)
		slowness := l.slowness(o.Latency, o.Work, true)
		l.addCompleted(now, o.Latency, o.FirstByte, o.Work)
		if l.total.mergedAt.Equal(now) {
			s.updateEstimates()
		}
		if !covered {
			p.addSlowness(now, st, slowness, c)
			st.countCall(now, true)
		}
	case request.CallFailed:
		if !covered {
			st.countCall(now, false)
		}
	case request.CallRefused:
		st.backOff(now)
	case request.CallCancelled:
		l := s.stageLatencyFor(now, o.Stage, c.HistogramWindow)
		slowness := l.slowness(o.Latency, o.Work, false)
		l.addCancelled(now, o.Latency)
		if o.FirstByte <= 0 {
			l.addCancelledFirstByte(now, o.Latency)
		}
		if !covered && slowness > st.decayedSlowness(now) {
			p.addSlowness(now, st, slowness, c)
		}
	}
	if !covered {
		p.ejectIfNeeded(now, st, c.Ejection)
		if c.Ejected != nil && st.ejection.since.Equal(now) {
			c.Ejected(p.name, o.Choice.Upstream, st.ejection.reason, st.ejection.until)
		}
	}
}

// judge takes a sample of slowness, 0 for none.
func (p *poolView) addSlowness(now time.Time, st *memberState, sample float64, c *Config) {
	if sample <= 0 {
		return
	}
	smoothing := slownessSmoothing
	if st.ejection.ramping(now, c.Ejection.RampDuration) {
		smoothing = rampSlownessSmoothing
	}
	st.addSlowness(now, sample, smoothing)
}

// Expect implements request.Router.
func (r *Router) Expect(pool, stage string, quantile float64) (time.Duration, bool) {
	return r.latencyQuantile(pool, stage, func(l *stageLatency) *latencyWindow { return l.total }, quantile)
}

// ExpectFirstByte implements request.Router.
func (r *Router) ExpectFirstByte(pool, stage string, quantile float64) (time.Duration, bool) {
	return r.latencyQuantile(pool, stage, func(l *stageLatency) *latencyWindow { return l.first }, quantile)
}

func (r *Router) latencyQuantile(pool, stage string, of func(*stageLatency) *latencyWindow, quantile float64) (time.Duration, bool) {
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
	return of(l).quantile(quantile)
}
