package route

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
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

// member is one upstream of a poolView.
type member struct {
	name, address, domain, region string
	hash                          uint64
	state                         *memberState
}

// poolView is the immutable configuration of a pool. The states to which its members
// point are guarded by the shard's lock.
type poolView struct {
	name            string
	concurrency     float64
	saturationLimit float64
	// expectedLatency is the expected duration of the slowest stage according to the
	// bundle.
	expectedLatency time.Duration
	members         []member
	steps           *policySteps
	shard           *shard
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
	mu     sync.Mutex
	rng    *rand.Rand
	states map[upstreamKey]*memberState
	stages map[string]*stageLatency
	// stallTimeout is the time without any call ending after which an upstream with
	// calls in flight is stalled; 0 if it is not known yet.
	stallTimeout time.Duration
	// usualLatency is the median latency of the slowest stage; 0 if it is not known
	// yet.
	usualLatency time.Duration
	// Scratch buffers of a pick.
	view    View
	weights []float64
	result  filterResult
	drawn   []scoredCandidate
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

// buildView builds the View of a pick in the shard's scratch buffer.
func (p *poolView) buildView(now time.Time, q *request.Query, c *Config, region string) *View {
	s := p.shard
	v := &s.view
	v.Now, v.Query, v.Domain, v.Region = now, q, c.FailureDomain, region
	v.Concurrency, v.SaturationLimit, v.MedianLatency, v.PrefixHome = p.concurrency, p.saturationLimit, 0, -1
	if l := s.stages[q.Stage]; l != nil {
		v.MedianLatency = l.total.median
	}
	mean := p.meanOtherCalls(now, c)
	v.Candidates = v.Candidates[:0]
	for i := range p.members {
		m := &p.members[i]
		v.Candidates = append(v.Candidates, p.candidate(now, m, s.weights[i], mean, c))
	}
	return v
}

// meanOtherCalls computes the weights of the members' load reports and returns the
// weighted mean number of other daemons' calls at an upstream. The mean decays towards
// 0 as the newest report gets old.
func (p *poolView) meanOtherCalls(now time.Time, c *Config) float64 {
	s := p.shard
	s.weights = s.weights[:0]
	halfLife := p.halfLife(c)
	var sum, weights, freshestWeight float64
	for i := range p.members {
		st := p.members[i].state
		w := st.reportWeight(now, halfLife)
		s.weights = append(s.weights, w)
		sum += w * st.otherCalls()
		weights += w
		freshestWeight = max(freshestWeight, w)
	}
	if weights == 0 {
		return 0
	}
	rate := float64(halfLife) / float64(staleMeanHalfLife)
	return sum / weights * decayFactor(freshestWeight, rate)
}

func (p *poolView) candidate(now time.Time, m *member, weight, mean float64, c *Config) Candidate {
	st := m.state
	others := st.otherCalls()
	cand := Candidate{
		Name: m.name, Domain: m.domain, Region: m.region, Hash: m.hash,
		OwnCalls:          st.ownCalls,
		OtherCalls:        weight*others + (1-weight)*mean,
		SampledOtherCalls: mean,
		Backlog:           st.prefillQueue.backlog(now),
		Slowness:          st.decayedSlowness(now),
		Leaving:           st.isLeaving(),
		Busy:              now.Before(st.busyUntil),
		RampShare:         st.ejection.share(now, c.Ejection.RampDuration),
	}
	cand.IntakeLimitSource, cand.IntakeLimited = st.limiter.Blocked(now)
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
