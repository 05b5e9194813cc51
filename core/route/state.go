package route

import (
	"math"
	"time"

	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/load"
)

const (
	// The history of this daemon's calls in flight, with which load reports are
	// compared, has historySlots slots of historySlot each: 16 slots of 200 ms.
	historySlot  = 200 * time.Millisecond
	historySlots = 16
	// slownessSmoothing is the smoothing weight of a new slowness sample.
	// rampSlownessSmoothing is its weight while the upstream is being readmitted.
	slownessSmoothing     = 0.3
	rampSlownessSmoothing = 0.6
	// maxSlownessSample limits one sample, so that a single call from the long tail of
	// the latency distribution does not eject an upstream.
	maxSlownessSample = 8.0
	// slownessDecay is the time in which slowness decays to 1/e, so that an upstream
	// that was avoided because of it is used and measured again.
	slownessDecay = 5 * time.Second
	// callCountDecay is the time in which the call counts decay to 1/e.
	callCountDecay = 10 * time.Second
	// busyBackoffBase and busyBackoffMax limit the time for which an upstream that
	// refused a call gets no further calls.
	busyBackoffBase = 100 * time.Millisecond
	busyBackoffMax  = time.Second
	// stateRetention is how long the state of an upstream is kept after its last use and
	// after its last ejection. By then all measurements have decayed.
	stateRetention = 2 * time.Minute
	// staleMeanHalfLife is the age of the newest report at which the mean of all
	// reports is halved.
	staleMeanHalfLife = 10 * time.Second
)

// callSample is the number of this daemon's calls in flight at the end of a history
// slot.
type callSample struct {
	at time.Time
	n  int
}

// memberState is the state of one upstream in a pool. It is guarded by the shard's
// lock.
type memberState struct {
	key upstreamKey
	// member is the upstream in the pool; nil if the pool no longer contains it.
	member *member
	// removed says that the shard has dropped the state.
	removed bool
	// usedAt is when a call last began or ended, or a report was received.
	usedAt time.Time

	ownCalls       int
	ownCallHistory [historySlots]callSample
	newestSample   int
	lastProgress   time.Time // when a call last ended, or when the first call in flight began

	slowness                   float64
	slownessAt                 time.Time
	successCount, failureCount float64
	countsAt                   time.Time
	consecutiveFailures        int
	// silence is the latest time in which the upstream may have processed nothing.
	silence silence

	prefillQueue prefillQueue
	limiter      *intake.Limiter
	unreachable  unreachability

	busyUntil           time.Time
	consecutiveRefusals int

	ejection ejection

	reportedSlowdown reportedSlowdown

	report           load.Report
	hasReport        bool
	ownCallsAtReport int
}

// startCall counts a call as in flight.
func (s *memberState) startCall(now time.Time) {
	if s.ownCalls == 0 {
		s.lastProgress = now
	}
	s.ownCalls++
	s.usedAt = now
	s.limiter.RecordCall(now)
	s.recordOwnCalls(now)
}

// endCall counts a call as ended.
func (s *memberState) endCall(now time.Time) {
	s.ownCalls = max(0, s.ownCalls-1)
	s.limiter.RecordEnd()
	s.lastProgress, s.usedAt = now, now
	s.recordOwnCalls(now)
}

// cancelCall undoes startCall. It does not count as progress, since the upstream did
// not respond.
func (s *memberState) cancelCall(now time.Time) {
	s.ownCalls = max(0, s.ownCalls-1)
	s.limiter.RecordEnd()
	s.recordOwnCalls(now)
}

func (s *memberState) recordOwnCalls(now time.Time) {
	last := &s.ownCallHistory[s.newestSample]
	if last.at.IsZero() || now.Sub(last.at) >= historySlot {
		s.newestSample = (s.newestSample + 1) % historySlots
		last = &s.ownCallHistory[s.newestSample]
		last.at = now
	}
	last.n = s.ownCalls
}

// ownCallsAt returns the number of this daemon's calls in flight at t, or at the start
// of the history if t is earlier.
func (s *memberState) ownCallsAt(t time.Time) int {
	n := 0
	for k := 0; k < historySlots; k++ {
		e := s.ownCallHistory[(s.newestSample-k+historySlots)%historySlots]
		if e.at.IsZero() {
			break
		}
		n = e.n
		if !e.at.After(t) {
			break
		}
	}
	return n
}

// observeReport stores a load report and reports whether it did, that is unless the stored
// one is at least as new.
func (s *memberState) observeReport(r load.Report) bool {
	s.reportedSlowdown.observe(r.Slowdown, r.AsOf)
	if s.hasReport && !r.AsOf.After(s.report.AsOf) {
		return false
	}
	s.report, s.hasReport = r, true
	s.ownCallsAtReport = s.ownCallsAt(r.AsOf)
	if r.AsOf.After(s.usedAt) {
		s.usedAt = r.AsOf
	}
	return true
}

// idle reports whether the state says nothing any more that a new one would not.
func (s *memberState) idle(now time.Time) bool {
	return s.ownCalls == 0 && now.Sub(s.usedAt) > stateRetention && now.Sub(s.ejection.until) > stateRetention && !s.report.Leaving
}

// otherCalls returns the number of other daemons' calls at the time of the report.
func (s *memberState) otherCalls() float64 {
	return float64(max(0, s.report.Running+s.report.Queued-s.ownCallsAtReport))
}

// reportWeight returns the weight of the report, 0 to 1, which decreases with its age.
func (s *memberState) reportWeight(now time.Time, halfLife time.Duration) float64 {
	if !s.hasReport {
		return 0
	}
	age := max(0, now.Sub(s.report.AsOf))
	return math.Exp2(-float64(age) / float64(halfLife))
}

// addSlowness adds a slowness sample with the given smoothing weight.
func (s *memberState) addSlowness(now time.Time, sample, smoothing float64) {
	current := s.decayedSlowness(now)
	s.slowness = current + smoothing*(min(sample, maxSlownessSample)-current)
	s.slownessAt = now
}

// decayedSlowness returns the smoothed slowness, decayed towards 1.
func (s *memberState) decayedSlowness(now time.Time) float64 {
	if s.slowness == 0 {
		return 1
	}
	if s.slowness == 1 {
		return 1
	}
	return 1 + (s.slowness-1)*math.Exp(-float64(now.Sub(s.slownessAt))/float64(slownessDecay))
}

// countCall counts one call as succeeded or failed.
func (s *memberState) countCall(now time.Time, ok bool) {
	s.successCount, s.failureCount = s.decayedCounts(now)
	s.countsAt = now
	if ok {
		s.successCount++
		s.consecutiveFailures = 0
		s.consecutiveRefusals = 0
		return
	}
	s.failureCount++
	s.consecutiveFailures++
}

// decayedCounts returns the decayed numbers of calls that succeeded and failed.
func (s *memberState) decayedCounts(now time.Time) (successes, failures float64) {
	if s.countsAt.IsZero() {
		return 0, 0
	}
	k := math.Exp(-float64(now.Sub(s.countsAt)) / float64(callCountDecay))
	return s.successCount * k, s.failureCount * k
}

// backOff marks the upstream as busy, for longer with each consecutive refusal.
func (s *memberState) backOff(now time.Time) {
	s.busyUntil = now.Add(min(busyBackoffMax, busyBackoffBase<<min(s.consecutiveRefusals, 10)))
	s.consecutiveRefusals++
}

// resetMeasurements clears the measurements that led to an ejection.
func (s *memberState) resetMeasurements() {
	s.slowness, s.consecutiveFailures, s.successCount, s.failureCount = 1, 0, 0, 0
}
