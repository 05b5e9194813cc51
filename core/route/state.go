package route

import (
	"math"
	"time"

	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/load"
)

const (
	// ownSlot and ownSlots shape the history of own calls in flight that load
	// reports are compared with: 16 slots of 200 ms.
	historySlot  = 200 * time.Millisecond
	historySlots = 16
	// slowSmoothing is the weight of a new slowness sample, and rampSmoothing
	// that while an upstream is being readmitted.
	slownessSmoothing     = 0.3
	rampSlownessSmoothing = 0.6
	// slowClip bounds one sample, so that a single heavy-tailed call does not
	// eject.
	maxSlownessSample = 8.0
	// slowMemory is the time in which slowness decays to 1/e, so that an
	// upstream that is avoided is measured again.
	slownessDecay = 5 * time.Second
	// callMemory is the time in which counted calls decay to 1/e.
	callCountDecay = 10 * time.Second
	// busyBase and busyMax bound the time that a busy upstream is left alone.
	busyBackoffBase = 100 * time.Millisecond
	busyBackoffMax  = time.Second
	// staleMemory is the age at which even the mean of all reports is halved.
	staleMeanHalfLife = 10 * time.Second
)

// ownSample is the number of own calls in flight at the end of a slot.
type callSample struct {
	at time.Time
	n  int
}

// state is what a shard knows of one upstream. The shard's lock guards it.
type memberState struct {
	ownCalls       int
	ownCallHistory [historySlots]callSample
	newestSample   int
	lastProgress   time.Time // when a call last ended, or the first one began

	slowness                   float64
	slownessAt                 time.Time
	successCount, failureCount float64
	countsAt                   time.Time
	consecutiveFailures        int // consecutive

	prefillQueue prefillQueue
	gate         *intake.Gate

	busyUntil           time.Time
	consecutiveRefusals int // consecutive

	ejection ejection

	report           load.Report
	hasReport        bool
	ownCallsAtReport int
	markedLeaving    bool // leaving by the host list
}

// leaves says whether the host list, the upstream's report or an answer of it says so.
func (s *memberState) isLeaving() bool { return s.markedLeaving || s.report.Leaving || s.gate.Leaves() }

// begin counts one call as in flight.
func (s *memberState) startCall(now time.Time) {
	if s.ownCalls == 0 {
		s.lastProgress = now
	}
	s.ownCalls++
	s.gate.Begin(now)
	s.recordOwnCalls(now)
}

// end counts one call as ended.
func (s *memberState) endCall(now time.Time) {
	s.ownCalls = max(0, s.ownCalls-1)
	s.lastProgress = now
	s.recordOwnCalls(now)
}

// unbegin takes begin back: nothing was heard of the upstream.
func (s *memberState) cancelCall(now time.Time) {
	s.ownCalls = max(0, s.ownCalls-1)
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

// ownAt returns the number of own calls in flight at t, as far as remembered.
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

// hear takes a load report, unless a newer one is known.
func (s *memberState) observeReport(r load.Report) {
	if s.hasReport && !r.AsOf.After(s.report.AsOf) {
		return
	}
	s.report, s.hasReport = r, true
	s.ownCallsAtReport = s.ownCallsAt(r.AsOf)
}

// foreign returns the others' calls at the time of the report.
func (s *memberState) otherCalls() float64 {
	return float64(max(0, s.report.Running+s.report.Queued-s.ownCallsAtReport))
}

// reportWeight returns how far the report counts, 0 to 1, by its age.
func (s *memberState) reportWeight(now time.Time, halfLife time.Duration) float64 {
	if !s.hasReport {
		return 0
	}
	age := max(0, now.Sub(s.report.AsOf))
	return math.Exp2(-float64(age) / float64(halfLife))
}

// slow takes a sample of slowness; smoothing is its weight.
func (s *memberState) addSlowness(now time.Time, sample, smoothing float64) {
	was := s.decayedSlowness(now)
	s.slowness = was + smoothing*(min(sample, maxSlownessSample)-was)
	s.slownessAt = now
}

// slownessNow returns the smoothed slowness, decayed towards 1.
func (s *memberState) decayedSlowness(now time.Time) float64 {
	if s.slowness == 0 {
		return 1
	}
	if s.slowness == 1 {
		return 1
	}
	return 1 + (s.slowness-1)*math.Exp(-float64(now.Sub(s.slownessAt))/float64(slownessDecay))
}

// count counts one call that ended well or failed.
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

// callsNow returns the decayed counts of calls that ended well and failed.
func (s *memberState) decayedCounts(now time.Time) (oks, fails float64) {
	if s.countsAt.IsZero() {
		return 0, 0
	}
	k := math.Exp(-float64(now.Sub(s.countsAt)) / float64(callCountDecay))
	return s.successCount * k, s.failureCount * k
}

// refused leaves the upstream alone for a moment, longer each time in a row.
func (s *memberState) backOff(now time.Time) {
	s.busyUntil = now.Add(min(busyBackoffMax, busyBackoffBase<<min(s.consecutiveRefusals, 10)))
	s.consecutiveRefusals++
}

// forgive clears the measurements that led to an ejection.
func (s *memberState) resetMeasurements() {
	s.slowness, s.consecutiveFailures, s.successCount, s.failureCount = 1, 0, 0, 0
}
