package route

import (
	"math"
	"time"
)

// The reasons of an ejection.
const (
	ejectedFailures = "consecutive_failures"
	ejectedRate     = "failure_rate"
	ejectedSlow     = "slow"
)

// poolWideFailureRate is the failure rate of the other upstreams from which the whole
// pool is considered failing, because of overload or a fault in something that all
// upstreams depend on. An upstream is then not ejected for consecutive failures.
const poolWideFailureRate = 0.5

// rampInitialShare is the share of its traffic that a readmitted upstream starts with.
const rampInitialShare = 0.1

// ejection is the latest ejection of an upstream and its readmission.
type ejection struct {
	reason    string
	startedAt time.Time
	until     time.Time
	// consecutive counts the ejections in a row, each of which began within twice
	// RampDuration of the end of the previous one. The duration doubles with each of
	// them.
	consecutive int
}

// active reports whether the upstream is ejected at now.
func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }

// share returns the share of its traffic that the upstream gets: 0 while it is ejected,
// and then a share that grows to 1.
func (e *ejection) share(now time.Time, ramp time.Duration) float64 {
	if e.until.IsZero() {
		return 1
	}
	if e.active(now) {
		return 0
	}
	return min(1, rampInitialShare+(1-rampInitialShare)*float64(now.Sub(e.until))/float64(ramp))
}

// ramping reports whether the upstream is being readmitted.
func (e *ejection) ramping(now time.Time, ramp time.Duration) bool {
	return !e.until.IsZero() && !e.active(now) && now.Sub(e.until) < ramp
}

// ignoresCall reports whether a call that started at callStart and ended at now must
// not count towards the next ejection, because it was sent before this ejection or
// ended during it.
func (e *ejection) ignoresCall(callStart, now time.Time) bool {
	return e.active(now) || callStart.Before(e.startedAt)
}

// start ejects the upstream at now.
func (e *ejection) start(now time.Time, reason string, c EjectionConfig) {
	if !e.until.IsZero() && now.Sub(e.until) > 2*c.RampDuration {
		e.consecutive = 0
	}
	e.reason = reason
	e.startedAt = now
	e.until = now.Add(min(c.MaxDuration, c.BaseDuration<<min(e.consecutive, 20)))
	e.consecutive++
}

// maxEjected returns how many of a pool's n upstreams may be ejected if share limits
// them: at least one in a pool of two or more, and never all.
func maxEjected(n int, share float64) int {
	return min(n-1, max(1, int(math.Floor(share*float64(n)))))
}

// ejectionReason returns the reason why upstream s should be ejected now, or "".
func (p *poolView) ejectionReason(now time.Time, s *memberState, c EjectionConfig) string {
	ramping := s.ejection.ramping(now, c.RampDuration)
	failing := s.consecutiveFailures >= c.ConsecutiveFailures || ramping && s.consecutiveFailures > 0
	switch {
	case failing && p.failureRateOfOthers(now, s) < poolWideFailureRate:
		return ejectedFailures
	case s.decayedSlowness(now) >= c.SlowRatio:
		return ejectedSlow
	}
	successes, failures := s.decayedCounts(now)
	if calls := successes + failures; calls < c.MinCalls || failures/calls < c.FailureRate {
		return ""
	}
	if p.failureRateOfOthers(now, s) >= failures/(successes+failures)/2 {
		return ""
	}
	return ejectedRate
}

// failureRateOfOthers returns the failure rate of all upstreams of the pool except one.
func (p *poolView) failureRateOfOthers(now time.Time, except *memberState) float64 {
	var successes, failures float64
	for _, s := range p.shard.used {
		if s != except && s.member != nil {
			o, f := s.decayedCounts(now)
			successes, failures = successes+o, failures+f
		}
	}
	if successes+failures == 0 {
		return 0
	}
	return failures / (successes + failures)
}

// ejectIfNeeded ejects s if ejectionReason returns a reason and the limits permit it.
func (p *poolView) ejectIfNeeded(now time.Time, s *memberState, c EjectionConfig) {
	reason := p.ejectionReason(now, s, c)
	if reason == "" {
		return
	}
	share := c.MaxEjectedShare
	if reason == ejectedFailures {
		share = c.MaxFailingEjectedShare
	}
	if p.ejectedCount(now) >= maxEjected(len(p.members.all), share) {
		return
	}
	s.ejection.start(now, reason, c)
	s.resetMeasurements()
}

// ejectedCount returns the number of upstreams that are ejected.
func (p *poolView) ejectedCount(now time.Time) int {
	n := 0
	for _, s := range p.shard.used {
		if s.member != nil && s.ejection.active(now) {
			n++
		}
	}
	return n
}
