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
const wholePool = 0.5

// rampFloor is the share of its calls that a readmitted upstream starts with.
const rampFloor = 0.1

// ejection is the time that an upstream is left out, and its way back.
type ejection struct {
	reason string
	since  time.Time
	until  time.Time
	// row counts the ejections in a row; the time doubles with each.
	row int
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
	return min(1, rampFloor+(1-rampFloor)*float64(now.Sub(e.until))/float64(ramp))
}

// ramping says whether the upstream is being readmitted.
func (e *ejection) ramping(now time.Time, ramp time.Duration) bool {
	return !e.until.IsZero() && !e.active(now) && now.Sub(e.until) < ramp
}

// covers says whether a call that began at began and ended at now tells nothing
// new: it was sent before the ejection, or ended during it.
func (e *ejection) covers(began, now time.Time) bool {
	return e.active(now) || began.Before(e.since)
}

// start ejects at now.
func (e *ejection) start(now time.Time, reason string, c EjectionConfig) {
	if !e.until.IsZero() && now.Sub(e.until) > 2*c.Ramp {
		e.row = 0
	}
	e.reason = reason
	e.since = now
	e.until = now.Add(min(c.Max, c.Base<<min(e.row, 20)))
	e.row++
}

// ejectable returns how many upstreams of a pool of n may be ejected at share:
// one at least in a pool of two or more, and never all.
func ejectable(n int, share float64) int {
	return min(n-1, max(1, int(math.Floor(share*float64(n)))))
}

// verdictOn returns why the upstream s of a pool should be ejected now, or "".
func (p *poolView) verdictOn(now time.Time, s *state, c EjectionConfig) string {
	ramping := s.ejection.ramping(now, c.Ramp)
	failing := s.failures >= c.ConsecutiveFailures || ramping && s.failures > 0
	switch {
	case failing && p.failureRate(now, s) < wholePool:
		return ejectedFailures
	case s.slownessNow(now) >= c.SlowRatio:
		return ejectedSlow
	}
	oks, fails := s.callsNow(now)
	if calls := oks + fails; calls < c.MinCalls || fails/calls < c.FailureRate {
		return ""
	}
	if p.failureRate(now, s) >= fails/(oks+fails)/2 {
		return ""
	}
	return ejectedRate
}

// failureRate returns the failure rate of all upstreams but one.
func (p *poolView) failureRate(now time.Time, but *state) float64 {
	var oks, fails float64
	for i := range p.members {
		if s := p.members[i].state; s != but {
			o, f := s.callsNow(now)
			oks, fails = oks+o, fails+f
		}
	}
	if oks+fails == 0 {
		return 0
	}
	return fails / (oks + fails)
}

// eject ejects s when verdictOn says so and the caps leave room.
func (p *poolView) eject(now time.Time, s *state, c EjectionConfig) {
	reason := p.verdictOn(now, s, c)
	if reason == "" {
		return
	}
	share := c.MaxShare
	if reason == ejectedFailures {
		share = c.MaxFailingShare
	}
	if p.ejected(now) >= ejectable(len(p.members), share) {
		return
	}
	s.ejection.start(now, reason, c)
	s.forgive()
}

// ejected returns how many upstreams are ejected.
func (p *poolView) ejected(now time.Time) int {
	n := 0
	for i := range p.members {
		if p.members[i].state.ejection.active(now) {
			n++
		}
	}
	return n
}
