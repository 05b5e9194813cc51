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

// wholePool is the failure rate of the other upstreams from which the pool as a
// whole fails, by overload or by a fault behind it: an upstream is then not
// ejected for failing like the others.
const poolWideFailureRate = 0.5

// rampFloor is the share of its calls that a readmitted upstream starts with.
const rampInitialShare = 0.1

// ejection is the time that an upstream is left out, and its way back.
type ejection struct {
	reason string
	since  time.Time
	until  time.Time
	// row counts the ejections in a row; the time doubles with each.
	consecutive int
}

// active says whether the upstream is ejected at now.
func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }

// share returns the share of its calls that the upstream gets, 0 while it is
// ejected, then growing to 1.
func (e *ejection) share(now time.Time, ramp time.Duration) float64 {
	if e.until.IsZero() {
		return 1
	}
	if e.active(now) {
		return 0
	}
	return min(1, rampInitialShare+(1-rampInitialShare)*float64(now.Sub(e.until))/float64(ramp))
}

// ramping says whether the upstream is being readmitted.
func (e *ejection) ramping(now time.Time, ramp time.Duration) bool {
	return !e.until.IsZero() && !e.active(now) && now.Sub(e.until) < ramp
}

// covers says whether a call that began at began and ended at now tells nothing
// new: it was sent before the ejection, or ended during it.
func (e *ejection) ignoresCall(began, now time.Time) bool {
	return e.active(now) || began.Before(e.since)
}

// start ejects at now.
func (e *ejection) start(now time.Time, reason string, c EjectionConfig) {
	if !e.until.IsZero() && now.Sub(e.until) > 2*c.RampDuration {
		e.consecutive = 0
	}
	e.reason = reason
	e.since = now
	e.until = now.Add(min(c.MaxDuration, c.BaseDuration<<min(e.consecutive, 20)))
	e.consecutive++
}

// ejectable returns how many upstreams of a pool of n may be ejected at share:
// one at least in a pool of two or more, and never all.
func maxEjected(n int, share float64) int {
	return min(n-1, max(1, int(math.Floor(share*float64(n)))))
}

// verdictOn returns why the upstream s of a pool should be ejected now, or "".
func (p *poolView) ejectionReason(now time.Time, s *memberState, c EjectionConfig) string {
	ramping := s.ejection.ramping(now, c.RampDuration)
	failing := s.consecutiveFailures >= c.ConsecutiveFailures || ramping && s.consecutiveFailures > 0
	switch {
	case failing && p.failureRateOfOthers(now, s) < poolWideFailureRate:
		return ejectedFailures
	case s.decayedSlowness(now) >= c.SlowRatio:
		return ejectedSlow
	}
	oks, fails := s.decayedCounts(now)
	if calls := oks + fails; calls < c.MinCalls || fails/calls < c.FailureRate {
		return ""
	}
	if p.failureRateOfOthers(now, s) >= fails/(oks+fails)/2 {
		return ""
	}
	return ejectedRate
}

// failureRate returns the failure rate of all upstreams but one.
func (p *poolView) failureRateOfOthers(now time.Time, except *memberState) float64 {
	var oks, fails float64
	for i := range p.members {
		if s := p.members[i].state; s != except {
			o, f := s.decayedCounts(now)
			oks, fails = oks+o, fails+f
		}
	}
	if oks+fails == 0 {
		return 0
	}
	return fails / (oks + fails)
}

// eject ejects s when verdictOn says so and the caps leave room.
func (p *poolView) ejectIfNeeded(now time.Time, s *memberState, c EjectionConfig) {
	reason := p.ejectionReason(now, s, c)
	if reason == "" {
		return
	}
	share := c.MaxEjectedShare
	if reason == ejectedFailures {
		share = c.MaxFailingEjectedShare
	}
	if p.ejectedCount(now) >= maxEjected(len(p.members), share) {
		return
	}
	s.ejection.start(now, reason, c)
	s.resetMeasurements()
}

// ejected returns how many upstreams are ejected.
func (p *poolView) ejectedCount(now time.Time) int {
	n := 0
	for i := range p.members {
		if p.members[i].state.ejection.active(now) {
			n++
		}
	}
	return n
}
