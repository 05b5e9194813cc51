package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/request"
)

const (
	// An upstream is stalled if it has calls in flight and none has ended for
	// stallFactor times the 95th percentile latency of the pool's slowest stage, and
	// for minStallTimeout at least.
	stallFactor     = 4
	minStallTimeout = 500 * time.Millisecond
	// minReportHalfLife is the lower limit of the half-life of load reports in pools of
	// fast services.
	minReportHalfLife = 20 * time.Millisecond
)

// upstreamKey identifies an upstream's state. A changed address makes it another
// upstream.
type upstreamKey struct{ name, address string }

// poolView is the immutable configuration of a pool. Its members are guarded by the
// shard's lock.
type poolView struct {
	name            string
	concurrency     float64
	saturationLimit float64
	// expectedLatency is the expected duration of the slowest stage according to the
	// bundle.
	expectedLatency time.Duration
	members         *memberSet
	// leaving are the upstreams that the host list marks as leaving.
	leaving map[string]bool
	steps   *policySteps
	shard   *shard
	// dropped is set if the active bundle does not contain the pool.
	dropped bool
}

// policySteps holds the decision steps of a policy.
type policySteps struct {
	policy bundle.Policy
	// packWeight is the weight of cost if the objective favors it, see func packWeight.
	packWeight float64
	filters    []Filter
	scorers    []Scorer
	picker     Picker
}

func newPolicySteps(p bundle.Policy, pack float64, c Config) *policySteps {
	switch p {
	case bundle.PolicyRoundRobin:
		return &policySteps{policy: p, filters: baselineFilters(), picker: &roundRobin{}}
	case bundle.PolicyLeastRequests:
		return &policySteps{policy: p, filters: baselineFilters(), picker: leastRequests{}}
	}
	scorers := adaptiveScorers(c)
	picker := &randomChoices{choices: c.RandomChoices, scorers: scorers}
	if pack > 0 {
		scorers = append(scorers, packScorer{pack})
		picker.scorers, picker.packing = scorers, true
	}
	return &policySteps{
		policy: bundle.PolicyAdaptive, packWeight: pack, filters: adaptiveFilters(), scorers: scorers,
		picker: picker,
	}
}

// shard holds the mutable state of a pool. Its lock guards all of it, including the
// states of the pool's upstreams.
type shard struct {
	mu  sync.Mutex
	rng *rand.Rand
	// states holds the states of the upstreams that were used recently, and used lists
	// them in the order of their first use.
	states map[upstreamKey]*memberState
	used   []*memberState
	// prunedAt is when idle states were last removed.
	prunedAt time.Time
	// reported holds the states with the last reports, the newest last.
	reported []*memberState
	stages   map[string]*stageLatency
	// stallTimeout is the time without any call ending after which an upstream with
	// calls in flight is stalled; 0 if it is not known yet.
	stallTimeout time.Duration
	// usualLatency is the median latency of the slowest stage; 0 if it is not known
	// yet.
	usualLatency time.Duration
	// hasSlowdowns is set if any upstream has a slowdown. Otherwise slowdowns have no effect.
	hasSlowdowns bool
	// Scratch buffers of a pick.
	view View
	// viewed holds the upstreams that are the candidates of view.
	viewed []*member
	result filterResult
	drawn  []scoredCandidate
}

func newShard(seed, stream uint64) *shard {
	return &shard{
		rng:    rand.New(rand.NewPCG(seed, stream)),
		states: map[upstreamKey]*memberState{},
		stages: map[string]*stageLatency{},
	}
}

// stageLatencyFor returns the latencies of a stage, and creates them if necessary.
func (s *shard) stageLatencyFor(now time.Time, name string, length time.Duration) *stageLatency {
	l := s.stages[name]
	if l == nil {
		l = newStageLatency(now, length)
		s.stages[name] = l
	}
	return l
}

// stateOf returns the state of an upstream of the pool, and creates it if necessary.
func (s *shard) stateOf(m *member, now time.Time, c *Config) *memberState {
	if m.state != nil {
		return m.state
	}
	key := upstreamKey{m.name, m.address}
	if st := s.states[key]; st != nil { // m is in an earlier snapshot
		m.state = st
		return st
	}
	st := &memberState{key: key, member: m, usedAt: now, limiter: c.Limiters.Get(m.name)}
	m.state, s.states[st.key] = st, st
	s.used = append(s.used, st)
	return st
}

// attach gives an upstream that was added to the pool the state that is kept for it.
func (s *shard) attach(m *member, c *Config) {
	if st := s.states[upstreamKey{m.name, m.address}]; st != nil {
		m.state, st.member = st, m
		// The upstream may have a new limiter if it was not listed in the meantime.
		st.limiter = c.Limiters.Get(m.name)
	}
}

// detach separates the state from an upstream that was removed from the pool. The state is
// kept for attach, and while calls are in flight. Evidence that the upstream is unreachable is
// dropped, since nothing could withdraw it until the upstream is added again.
func (s *shard) detach(m *member) {
	if m.state != nil {
		m.state.unreachable = unreachability{}
		m.state.member, m.state = nil, nil
	}
}

// removeUnlisted removes the states of upstreams that the pool does not contain, unless
// calls are in flight.
func (s *shard) removeUnlisted() {
	s.removeStates(func(st *memberState) bool { return st.member == nil && st.ownCalls == 0 })
}

// pruneIdle removes idle states from time to time, and reports whether it did.
func (s *shard) pruneIdle(now time.Time) bool {
	if now.Sub(s.prunedAt) < stateRetention/2 {
		return false
	}
	s.prunedAt = now
	s.removeStates(func(st *memberState) bool {
		return st.idle(now) || st.member == nil && st.ownCalls == 0
	})
	return true
}

func (s *shard) removeStates(remove func(*memberState) bool) {
	s.used = slices.DeleteFunc(s.used, func(st *memberState) bool {
		if !remove(st) {
			return false
		}
		delete(s.states, st.key)
		if st.member != nil {
			st.member.state = nil
		}
		st.removed = true
		return true
	})
	s.reported = slices.DeleteFunc(s.reported, func(st *memberState) bool { return st.removed })
}

// maxReported is the number of the last load reports from which the mean load of a pool is
// computed.
const maxReported = 64

// noteReport records that a state has a new report.
func (s *shard) noteReport(st *memberState) {
	if i := slices.Index(s.reported, st); i >= 0 {
		s.reported = slices.Delete(s.reported, i, i+1)
	} else if len(s.reported) == maxReported {
		s.reported = slices.Delete(s.reported, 0, 1)
	}
	s.reported = append(s.reported, st)
}

// sample chooses the upstreams on which a pick is decided, and describes them in the view:
// all of a small pool, otherwise a sample.
func (p *poolView) sample(v *View, q *request.Query, c *Config) {
	s := p.shard
	s.viewed = s.viewed[:0]
	v.Homes, v.Uniform = 0, 0
	if v.Sampled = len(p.members.all) > maxFullView && p.steps.policy == bundle.PolicyAdaptive; !v.Sampled {
		s.viewed = append(s.viewed, p.members.all...)
		return
	}
	if q.Kind == bundle.StageGenerate && q.Prefix != 0 {
		s.viewed = append(s.viewed, p.members.homeGroup(q.Prefix)...)
	}
	v.Homes = len(s.viewed)
	s.viewed = appendRandom(s.viewed, p.members.all, sampledMembers, s.rng)
	v.Uniform = len(s.viewed) - v.Homes
	s.viewed = appendRandom(s.viewed, p.members.byDomain[c.FailureDomain], sampledDomainMembers, s.rng)
	if d := q.InputFailureDomain; d != "" && d != c.FailureDomain {
		s.viewed = appendRandom(s.viewed, p.members.byDomain[d], sampledDomainMembers, s.rng)
	}
}

// buildView builds the View of a pick in the shard's scratch buffer and runs the filters.
// It considers all upstreams if no filter accepts any of the sample.
func (p *poolView) buildView(now time.Time, q *request.Query, c *Config, region string) *View {
	s := p.shard
	if s.pruneIdle(now) && s.hasSlowdowns {
		p.updateHasSlowdowns()
	}
	v := &s.view
	v.Now, v.Query, v.Domain, v.Region = now, q, c.FailureDomain, region
	v.Concurrency, v.SaturationLimit, v.MedianLatency, v.PrefixHome = p.concurrency, p.saturationLimit, 0, -1
	l := s.stages[q.Stage]
	if l != nil {
		v.MedianLatency = l.total.median
	}
	if v.HasSlowdowns = s.hasSlowdowns; v.HasSlowdowns && q.GapObjective > 0 {
		v.UsualPause = l.usualPause(q.GapObjective)
	}
	p.sample(v, q, c)
	p.fillCandidates(v, c)
	runFilters(v, p.steps.filters, &s.result)
	if v.Sampled && (s.result.relaxed != Never || len(s.result.eligible) == 0) {
		v.Sampled, s.viewed = false, append(s.viewed[:0], p.members.all...)
		p.fillCandidates(v, c)
		runFilters(v, p.steps.filters, &s.result)
	}
	return v
}

// fillCandidates replaces the candidates of a view by the chosen upstreams.
func (p *poolView) fillCandidates(v *View, c *Config) {
	halfLife := p.halfLife(c)
	mean := p.meanOtherCalls(v.Now, halfLife)
	v.Candidates = v.Candidates[:0]
	for _, m := range p.shard.viewed {
		v.Candidates = append(v.Candidates, p.candidate(v.Now, m, halfLife, mean, c))
	}
}

// meanOtherCalls returns the mean number of other daemons' calls at an upstream by the last
// load reports, weighted by their age. The mean decays towards 0 as the newest report gets
// old. In a pool with slowdowns, it is the mean number at an upstream of the usual speed; see
// usualCalls.
func (p *poolView) meanOtherCalls(now time.Time, halfLife time.Duration) float64 {
	var sum, weights, freshestWeight float64
	for _, st := range p.shard.reported {
		if st.member == nil {
			continue
		}
		w := st.reportWeight(now, halfLife)
		if p.shard.hasSlowdowns {
			sum += w * st.otherCalls() / st.member.usualCalls()
		} else {
			sum += w * st.otherCalls()
		}
		weights += w
		freshestWeight = max(freshestWeight, w)
	}
	if weights == 0 {
		return 0
	}
	rate := float64(halfLife) / float64(staleMeanHalfLife)
	return sum / weights * decayFactor(freshestWeight, rate)
}

// unusedState is the state of upstreams that this daemon has not used. It is never
// modified.
var unusedState memberState

// stateAndLimiter returns the state and the limiter of an upstream, for reading.
func (m *member) stateAndLimiter(c *Config) (*memberState, *intake.Limiter) {
	if m.state != nil {
		return m.state, m.state.limiter
	}
	return &unusedState, c.Limiters.Find(m.name)
}

// isLeaving reports whether the host list, the upstream's load report or one of its
// responses says that the upstream is leaving.
func (p *poolView) isLeaving(m *member, st *memberState, limiter *intake.Limiter) bool {
	return len(p.leaving) > 0 && p.leaving[m.name] || st.report.Leaving || limiter.IsLeaving()
}

func (p *poolView) candidate(now time.Time, m *member, halfLife time.Duration, mean float64, c *Config) Candidate {
	if p.shard.hasSlowdowns {
		mean *= m.usualCalls()
	}
	st, limiter := m.stateAndLimiter(c)
	weight, others := st.reportWeight(now, halfLife), st.otherCalls()
	cand := Candidate{
		Name: m.name, Domain: m.domain, Region: m.region, Version: m.version, Hash: m.hash,
		OwnCalls:          st.ownCalls,
		OtherCalls:        weight*others + (1-weight)*mean,
		SampledOtherCalls: mean,
		Slowness:          st.decayedSlowness(now),
		Leaving:           p.isLeaving(m, st, limiter),
		Busy:              now.Before(st.busyUntil),
		RampShare:         st.ejection.share(now, c.Ejection.RampDuration),
	}
	if p.shard.hasSlowdowns {
		cand.Slowdown, cand.HomeSlowdown = predictSlowdown(now, m, &st.reportedSlowdown), m.homeSlowdown()
		cand.Backlog = st.prefillQueue.backlog(now, cand.Slowdown) + scaleDuration(p.shard.view.Query.PrefillTime, cand.Slowdown)
	} else {
		cand.Backlog = st.prefillQueue.backlog(now, 1)
	}
	cand.IntakeLimitSource, cand.IntakeLimited = limiter.Blocked(now)
	if st.ejection.active(now) {
		cand.Ejected = st.ejection.reason
		cand.RampShare = 1 // ejectedFilter rejects it; readmittingFilter must not
	}
	if weight > 0 && p.shard.rng.Float64() < weight {
		cand.SampledOtherCalls = others
	}
	if cand.RampShare < 1 {
		cand.RampDraw = p.shard.rng.Float64()
	}
	cand.Unreachable = st.unreachable.blocks(now)
	stallTimeout := p.shard.stallTimeout
	cand.Stalled = stallTimeout > 0 && st.ownCalls > 0 && now.Sub(st.lastProgress) > stallTimeout
	return cand
}

// updateEstimates derives the usual latency and the stall timeout from the latencies of
// all stages.
func (s *shard) updateEstimates() {
	var usual, longest time.Duration
	for _, l := range s.stages {
		usual = max(usual, l.total.median)
		if d, ok := l.total.quantile(0.95); ok {
			longest = max(longest, d)
		}
	}
	s.usualLatency = usual
	if longest > 0 {
		s.stallTimeout = max(minStallTimeout, stallFactor*longest)
	}
}

// halfLife returns the age at which the weight of a load report is one half. The calls
// that a report counted end within about the usual latency. After that, the mean is a
// better estimate than the report; and if all daemons still relied on the report, they
// would all choose the same upstreams.
func (p *poolView) halfLife(c *Config) time.Duration {
	usual := p.shard.usualLatency
	if usual <= 0 {
		usual = p.expectedLatency
	}
	if usual <= 0 {
		return c.ReportHalfLife
	}
	return min(c.ReportHalfLife, max(minReportHalfLife, usual))
}

// decayFactor returns the factor by which the mean decays when the newest report has
// the weight freshestWeight: that weight's decay, slowed down by rate.
func decayFactor(freshestWeight, rate float64) float64 { return math.Pow(freshestWeight, rate) }
