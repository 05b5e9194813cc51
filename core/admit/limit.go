package admit

import (
	"math"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
)

// Constants of the adaptive limit.
const (
	windowSamples    = 64
	minWindowSamples = 32
	minWindow        = 100 * time.Millisecond
	baselinePeriod   = 30 * time.Second
	maxGrowthFactor  = 4.0
	// growTolerance lets upstreams queue a little, so that hosts which each hold
	// a part of the slots lose less by not sharing one queue.
	growthTolerance  = 1.4
	serviceTolerance = 1.5
	// engineTolerance is wider: an engine's token time grows with its batch.
	engineTolerance       = 2.5
	minDecreaseFactor     = 0.7
	refusalDecreaseFactor = 0.9
	limitUsedFraction     = 0.8
	growthPerSqrtLimit    = 0.25
	latencySmoothing      = 0.1
	// safeDeviations is how many mean deviations a call is given over the mean
	// when it is decided how long it may wait.
	highLatencyDeviations = 2.0
)

// limiter estimates how many calls a whole pool runs well at a time. It starts
// at the bundle's concurrency, shrinks while the median latency of a window
// stands well over the lowest median of the last half to full minute or while
// upstreams refuse, recovers to its start otherwise, and grows beyond it while
// it is used up and latency stays low.
// It is guarded by the lock of its pool.
type limiter struct {
	estimate    float64
	initial     float64
	tolerance   float64
	windows     map[string]*window
	latency     latencyStats
	decreasedAt time.Time
}

// latency is the smoothed latency of successful calls and its mean deviation,
// both in seconds.
type latencyStats struct{ mean, deviation float64 }

func (l *latencyStats) add(seconds float64) {
	if l.mean == 0 {
		l.mean, l.deviation = seconds, seconds/4
	}
	l.deviation += latencySmoothing * (math.Abs(seconds-l.mean) - l.deviation)
	l.mean += latencySmoothing * (seconds - l.mean)
}

// window collects the latencies of one stage, since stages that share a pool
// may differ by orders of magnitude.
type window struct {
	startedAt time.Time
	samples   []float64
	latency   latencyStats
	limitUsed bool
	// lowest holds the lowest median of the current and the previous span.
	lowestMedians   [2]float64
	periodStartedAt time.Time
}

func newLimiter(p *bundle.Pool) *limiter {
	start := float64(len(p.Upstreams) * max(p.Concurrency, 1))
	l := &limiter{estimate: start, initial: start, windows: map[string]*window{}}
	l.configure(p)
	return l
}

// configure takes over a changed pool and keeps what was learnt as a ratio.
func (l *limiter) configure(p *bundle.Pool) {
	start := float64(len(p.Upstreams) * max(p.Concurrency, 1))
	l.estimate *= start / l.initial
	l.initial = start
	l.tolerance = serviceTolerance
	if p.Kind == bundle.PoolEngine {
		l.tolerance = engineTolerance
	}
}

// refused notes that an upstream refused a call: the estimate shrinks, once
// per window at most.
func (l *limiter) recordRefusal(now time.Time) {
	if now.Sub(l.decreasedAt) < minWindow {
		return
	}
	l.decreasedAt = now
	l.estimate = max(1, l.estimate*refusalDecreaseFactor)
}

// succeeded notes the latency of a call; used says that the limit was nearly
// used up.
func (l *limiter) recordSuccess(now time.Time, stage string, took time.Duration, used bool) {
	seconds := took.Seconds()
	l.latency.add(seconds)
	w := l.windows[stage]
	if w == nil {
		w = &window{startedAt: now, periodStartedAt: now, samples: make([]float64, 0, windowSamples)}
		l.windows[stage] = w
	}
	w.latency.add(seconds)
	w.samples = append(w.samples, seconds)
	w.limitUsed = w.limitUsed || used
	full := len(w.samples) == windowSamples
	ripe := len(w.samples) >= minWindowSamples && now.Sub(w.startedAt) >= minWindow
	if full || ripe {
		l.closeWindow(now, w)
	}
}

// most returns how long a call of a stage takes in all but few cases, in
// seconds: what is usual and a few deviations; 0 while unmeasured.
func (l *limiter) highLatency(stage string) float64 {
	w := l.windows[stage]
	if w == nil {
		return 0
	}
	return w.latency.mean + highLatencyDeviations*w.latency.deviation
}

// close ends a window and moves the estimate by it.
func (l *limiter) closeWindow(now time.Time, w *window) {
	slices.Sort(w.samples)
	median := w.samples[len(w.samples)/2]
	base := w.baseline(now, median)
	used := w.limitUsed
	w.samples, w.limitUsed, w.startedAt = w.samples[:0], false, now
	step := growthPerSqrtLimit * math.Sqrt(l.estimate)
	switch {
	case median > base*l.tolerance:
		// A limit that is not used up is not what slows the pool down.
		if used {
			l.estimate *= max(minDecreaseFactor, base*l.tolerance/median)
		}
	case l.estimate < l.initial:
		l.estimate = min(l.initial, l.estimate+step)
	case median <= base*growthTolerance && used:
		l.estimate += step
	}
	l.estimate = min(max(l.estimate, 1), l.initial*maxGrowthFactor)
}

// baseline returns the lowest median of the last one to two spans.
func (w *window) baseline(now time.Time, median float64) float64 {
	if now.Sub(w.periodStartedAt) >= baselinePeriod {
		w.lowestMedians[1], w.lowestMedians[0], w.periodStartedAt = w.lowestMedians[0], 0, now
	}
	if w.lowestMedians[0] == 0 || median < w.lowestMedians[0] {
		w.lowestMedians[0] = median
	}
	if w.lowestMedians[1] == 0 {
		return w.lowestMedians[0]
	}
	return min(w.lowestMedians[0], w.lowestMedians[1])
}
