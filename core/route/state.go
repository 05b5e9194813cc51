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
	ownSlot  = 200 * time.Millisecond
	ownSlots = 16
	// slowSmoothing is the weight of a new slowness sample, and rampSmoothing
	// that while an upstream is being readmitted.
	slowSmoothing = 0.3
	rampSmoothing = 0.6
	// slowClip bounds one sample, so that a single heavy-tailed call does not
	// eject.
	slowClip = 8.0
	// slowMemory is the time in which slowness decays to 1/e, so that an
	// upstream that is avoided is measured again.
	slowMemory = 5 * time.Second
	// callMemory is the time in which counted calls decay to 1/e.
	callMemory = 10 * time.Second
	// busyBase and busyMax bound the time that a busy upstream is left alone.
	busyBase = 100 * time.Millisecond
	busyMax  = time.Second
	// staleMemory is the age at which even the mean of all reports is halved.
	staleMemory = 10 * time.Second
)

// ownSample is the number of own calls in flight at the end of a slot.
type ownSample struct {
	at time.Time
	n  int
}

// state is what a shard knows of one upstream. The shard's lock guards it.
type state struct {
	own      int
	history  [ownSlots]ownSample
	newest   int
	progress time.Time // when a call last ended, or the first one began

	slowness   float64
	slownessAt time.Time
	oks, fails float64
	callsAt    time.Time
	failures   int // consecutive

	reading reading
	gate    *intake.Gate

	busyUntil time.Time
	refusals  int // consecutive

	ejection ejection

	report      load.Report
	reported    bool
	ownAtReport int
	listed      bool // leaving by the host list
}

// leaves says whether the host list, the upstream's report or an answer of it says so.
func (s *state) leaves() bool { return s.listed || s.report.Leaving || s.gate.Leaves() }

// begin counts one call as in flight.
func (s *state) begin(now time.Time) {
	if s.own == 0 {
		s.progress = now
	}
	s.own++
	s.gate.Begin(now)
	s.sample(now)
}

// end counts one call as ended.
func (s *state) end(now time.Time) {
	s.own = max(0, s.own-1)
	s.progress = now
	s.sample(now)
}

// unbegin takes begin back: nothing was heard of the upstream.
func (s *state) unbegin(now time.Time) {
	s.own = max(0, s.own-1)
	s.sample(now)
}

func (s *state) sample(now time.Time) {
	last := &s.history[s.newest]
	if last.at.IsZero() || now.Sub(last.at) >= ownSlot {
		s.newest = (s.newest + 1) % ownSlots
		last = &s.history[s.newest]
		last.at = now
	}
	last.n = s.own
}

// ownAt returns the number of own calls in flight at t, as far as remembered.
func (s *state) ownAt(t time.Time) int {
	n := 0
	for k := 0; k < ownSlots; k++ {
		e := s.history[(s.newest-k+ownSlots)%ownSlots]
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
func (s *state) hear(r load.Report) {
	if s.reported && !r.AsOf.After(s.report.AsOf) {
		return
	}
	s.report, s.reported = r, true
	s.ownAtReport = s.ownAt(r.AsOf)
}

// foreign returns the others' calls at the time of the report.
func (s *state) foreign() float64 {
	return float64(max(0, s.report.Running+s.report.Queued-s.ownAtReport))
}

// reportWeight returns how far the report counts, 0 to 1, by its age.
func (s *state) reportWeight(now time.Time, halfLife time.Duration) float64 {
	if !s.reported {
		return 0
	}
	age := max(0, now.Sub(s.report.AsOf))
	return math.Exp2(-float64(age) / float64(halfLife))
}

// slow takes a sample of slowness; smoothing is its weight.
func (s *state) slow(now time.Time, sample, smoothing float64) {
	was := s.slownessNow(now)
	s.slowness = was + smoothing*(min(sample, slowClip)-was)
	s.slownessAt = now
}

// slownessNow returns the smoothed slowness, decayed towards 1.
func (s *state) slownessNow(now time.Time) float64 {
	if s.slowness == 0 {
		return 1
	}
	if s.slowness == 1 {
		return 1
	}
	return 1 + (s.slowness-1)*math.Exp(-float64(now.Sub(s.slownessAt))/float64(slowMemory))
}

// count counts one call that ended well or failed.
func (s *state) count(now time.Time, ok bool) {
	s.oks, s.fails = s.callsNow(now)
	s.callsAt = now
	if ok {
		s.oks++
		s.failures = 0
		s.refusals = 0
		return
	}
	s.fails++
	s.failures++
}

// callsNow returns the decayed counts of calls that ended well and failed.
func (s *state) callsNow(now time.Time) (oks, fails float64) {
	if s.callsAt.IsZero() {
		return 0, 0
	}
	k := math.Exp(-float64(now.Sub(s.callsAt)) / float64(callMemory))
	return s.oks * k, s.fails * k
}

// refused leaves the upstream alone for a moment, longer each time in a row.
func (s *state) refused(now time.Time) {
	s.busyUntil = now.Add(min(busyMax, busyBase<<min(s.refusals, 10)))
	s.refusals++
}

// forgive clears the measurements that led to an ejection.
func (s *state) forgive() {
	s.slowness, s.failures, s.oks, s.fails = 1, 0, 0, 0
}
