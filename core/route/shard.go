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
	// stallFactor times the 95th percentile of a stage is how long calls may
	// be in flight without any ending; stallFloor is the least.
	stallFactor     = 4
	minStallTimeout = 500 * time.Millisecond
	// minHalfLife bounds the half-life of reports in pools of fast services.
	minReportHalfLife = 20 * time.Millisecond
)

// upstreamKey names an upstream's state: another address is another upstream.
type upstreamKey struct{ name, address string }

// member is one upstream of a poolView.
type member struct {
	name, address, domain, region string
	hash                          uint64
	state                         *memberState
}

// poolView is the immutable configuration of a pool. The states that its
// members point to are guarded by the shard's lock.
type poolView struct {
	name            string
	concurrency     float64
	saturationLimit float64
	// expected is the usual duration of the slowest stage by the bundle.
	expectedLatency time.Duration
	members         []member
	steps           *policySteps
	shard           *shard
	// dropped says that the bundle in force no longer has the pool.
	dropped bool
}

// steps are the decision steps of a policy.
type policySteps struct {
	policy bundle.Policy
	// pack is how far the objective weighs cost over attainment.
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

// shard holds what changes in a pool. Its lock guards all of it, and the
// states of the pool's upstreams.
type shard struct {
	mu     sync.Mutex
	rng    *rand.Rand
	states map[upstreamKey]*memberState
	stages map[string]*stageLatency
	// stall is how long calls may be in flight without any ending; 0 while it
	// is not measured.
	stallTimeout time.Duration
	// usual is the median latency of the slowest stage; 0 while it is not
	// measured.
	usualLatency time.Duration
	// Scratch space of one pick.
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

// stage returns the latencies of a stage.
func (s *shard) stageLatencyFor(now time.Time, name string, length time.Duration) *stageLatency {
	l := s.stages[name]
	if l == nil {
		l = newStageLatency(now, length)
		s.stages[name] = l
	}
	return l
}

// fill draws the view of a pick.
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

// meanForeign fills the weights of the members' reports and returns the
// weighted mean of the others' calls at an upstream. When all reports are old
// it fades away.
func (p *poolView) meanOtherCalls(now time.Time, c *Config) float64 {
	s := p.shard
	s.weights = s.weights[:0]
	halfLife := p.halfLife(c)
	var sum, weights, freshest float64
	for i := range p.members {
		st := p.members[i].state
		w := st.reportWeight(now, halfLife)
		s.weights = append(s.weights, w)
		sum += w * st.otherCalls()
		weights += w
		freshest = max(freshest, w)
	}
	if weights == 0 {
		return 0
	}
	fade := float64(halfLife) / float64(staleMeanHalfLife)
	return sum / weights * decayFactor(freshest, fade)
}

func (p *poolView) candidate(now time.Time, m *member, weight, mean float64, c *Config) Candidate {
	st := m.state
	foreign := st.otherCalls()
	cand := Candidate{
		Name: m.name, Domain: m.domain, Region: m.region, Hash: m.hash,
		OwnCalls:          st.ownCalls,
		OtherCalls:        weight*foreign + (1-weight)*mean,
		SampledOtherCalls: mean,
		Backlog:           st.prefillQueue.backlog(now),
		Slowness:          st.decayedSlowness(now),
		Leaving:           st.isLeaving(),
		Busy:              now.Before(st.busyUntil),
		RampShare:         st.ejection.share(now, c.Ejection.RampDuration),
	}
	cand.IntakeLimitSource, cand.IntakeLimited = st.gate.Refuses(now)
	if st.ejection.active(now) {
		cand.Ejected = st.ejection.reason
		cand.RampShare = 1 // the ejection alone refuses
	}
	if weight > 0 && p.shard.rng.Float64() < weight {
		cand.SampledOtherCalls = foreign
	}
	if cand.RampShare < 1 {
		cand.RampDraw = p.shard.rng.Float64()
	}
	stall := p.shard.stallTimeout
	cand.Stalled = stall > 0 && st.ownCalls > 0 && now.Sub(st.lastProgress) > stall
	return cand
}

// measure renews what follows from the latencies of all stages: how long a call
// usually takes, and after which time calls count as hanging.
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

// halfLife returns the age at which a report counts half. The calls that it
// counted end within about the usual latency, and what is known of the mean is
// better from then on: all daemons that still believed the report would choose
// the same upstreams.
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

// fadeOf returns how much of a mean is left when the freshest report weighs
// freshest: the weight's decay, slowed down by rate.
func decayFactor(freshest, rate float64) float64 { return math.Pow(freshest, rate) }
