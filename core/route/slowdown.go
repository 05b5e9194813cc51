package route

import (
	"math"
	"slices"
	"time"
)

const (
	// reportedSlowdownHalfLife is the age at which a reported slowdown and the baseline have
	// equal weights in the prediction: half of the interval of 600 ms at which neighbours on
	// an upstream's machine come and go.
	reportedSlowdownHalfLife = 300 * time.Millisecond
	// maxReportedSlowdownAge is the age from which a reported slowdown is ignored; its weight
	// would be below 0.001.
	maxReportedSlowdownAge = 10 * reportedSlowdownHalfLife
	// Predictions are limited to this range, so that a replica that reports wrong values does
	// not attract or repel more calls than one that is twice as fast or ten times as slow as
	// usual. The fastest machines observed need half of the usual time, the slowest four
	// times.
	minSlowdown = 0.5
	maxSlowdown = 10
	// baselineStep is the resolution of the baselines by which homes of prefixes are chosen,
	// so that hosts whose baselines differ slightly choose the same home.
	baselineStep = 0.25
)

// reportedSlowdown is the slowdown that this host received last from an upstream. The zero
// value means that there is none.
type reportedSlowdown struct {
	value float64
	at    time.Time
}

// observe stores a reported slowdown; 0 means that the report contains none.
func (s *reportedSlowdown) observe(slowdown float64, at time.Time) {
	if slowdown > 0 && s.at.Before(at) {
		s.value, s.at = slowdown, at
	}
}

// usualSlowdown returns the baseline within the permitted range, or 1 if it is not known.
func (m *member) usualSlowdown() float64 {
	if m.baselineSlowdown <= 0 {
		return 1
	}
	return clampSlowdown(m.baselineSlowdown)
}

// usualCalls returns the number of calls that an upstream without a recent load report is
// assumed to have, as a multiple of those of an upstream of the usual speed. Fast upstreams get
// more calls than slow ones, but not in proportion to their speed: the square root lies between
// that and the same number for all, which would keep prefixes away from slow upstreams.
func (m *member) usualCalls() float64 { return 1 / math.Sqrt(m.usualSlowdown()) }

// homeSlowdown returns the baseline in steps of baselineStep.
func (m *member) homeSlowdown() float64 {
	return math.Round(m.usualSlowdown()*(1/baselineStep)) * baselineStep
}

// predictSlowdown returns the expected slowdown of a call that starts now: the mean of the
// reported slowdown and the baseline, weighted by the age of the report. m is nil for an
// upstream that the pool no longer contains.
func predictSlowdown(now time.Time, m *member, reported *reportedSlowdown) float64 {
	usual := 1.0
	if m != nil {
		usual = m.usualSlowdown()
	}
	if reported.value <= 0 || reported.value == usual {
		return usual
	}
	age := max(0, now.Sub(reported.at))
	if age >= maxReportedSlowdownAge {
		return usual
	}
	// math.Exp takes half as long as math.Exp2, and this runs for each candidate.
	weight := math.Exp(-math.Ln2 * float64(age) / float64(reportedSlowdownHalfLife))
	return weight*clampSlowdown(reported.value) + (1-weight)*usual
}

func clampSlowdown(s float64) float64 { return min(max(s, minSlowdown), maxSlowdown) }

// scaleDuration returns d multiplied by factor.
func scaleDuration(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// setBaselineSlowdown sets the baseline of an upstream, or removes it if it is not positive.
func (p *poolView) setBaselineSlowdown(m *member, baseline float64) {
	if baseline > 0 {
		m.baselineSlowdown, p.shard.hasSlowdowns = baseline, true
		return
	}
	m.baselineSlowdown = 0
	p.updateHasSlowdowns()
}

// updateHasSlowdowns determines whether any upstream of the pool has a slowdown.
func (p *poolView) updateHasSlowdowns() {
	p.shard.hasSlowdowns = slices.ContainsFunc(p.members.all, func(m *member) bool {
		return m.baselineSlowdown > 0 || m.state != nil && m.state.reportedSlowdown.value > 0
	})
}

// slowdownOf returns the predicted slowdown of an upstream; 1 in a pool without slowdowns.
func (s *shard) slowdownOf(now time.Time, st *memberState) float64 {
	if !s.hasSlowdowns {
		return 1
	}
	return predictSlowdown(now, st.member, &st.reportedSlowdown)
}

// weightedRank returns the rank of an upstream for a prefix in weighted rendezvous hashing;
// the lowest rank wins. If all slowdowns are equal, the order is that of the hashes, highest
// first. Of many prefixes, upstreams rank first in proportion to 1/slowdown^exponent.
func weightedRank(hash uint64, slowdown float64, exponent int) float64 {
	const bits = 53 // of the mantissa of a float64
	uniform := (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
	rank := -math.Log(uniform)
	for range exponent {
		rank *= slowdown
	}
	return rank
}
