package admit

import (
	"math"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
)

// Constants of the adaptive concurrency limit.
const (
	// A window closes after windowSamples samples, or after minWindow if it has at
	// least minWindowSamples samples.
	windowSamples    = 64
	minWindowSamples = 32
	minWindow        = 100 * time.Millisecond
	// baselinePeriod is the period over which the lowest median latency is tracked.
	baselinePeriod = 30 * time.Second
	// maxGrowthFactor bounds the estimate as a multiple of its initial value.
	maxGrowthFactor = 4.0
	// The tolerances are ratios of the median latency of a window to the baseline.
	// The estimate grows up to growthTolerance. This value lets a small queue form
	// at the upstreams, so that less goodput is lost because the hosts split the
	// slots among themselves and do not share one queue.
	growthTolerance = 1.4
	// The estimate shrinks above serviceTolerance, or engineTolerance for engine
	// pools, whose time per token grows with the batch size.
	serviceTolerance = 1.5
	engineTolerance  = 2.5
	// minDecreaseFactor is the lowest factor by which one window reduces the estimate.
	minDecreaseFactor = 0.7
	// refusalDecreaseFactor reduces the estimate when an upstream refuses a call.
	refusalDecreaseFactor = 0.9
	// limitUsedFraction is the fraction of the slots above which the limit counts
	// as used up.
	limitUsedFraction = 0.8
	// growthPerSqrtLimit is the growth per window as a multiple of the square root
	// of the estimate.
	growthPerSqrtLimit = 0.25
	// latencySmoothing is the weight of a new sample in the smoothed latency.
	latencySmoothing = 0.1
	// highLatencyDeviations defines the high latency of a call, from which the time
	// that it may wait is calculated: the mean plus this many mean deviations.
	highLatencyDeviations = 2.0
)

// limiter estimates how many calls a whole pool can run concurrently without a rise
// in latency. The estimate starts at the concurrency in the bundle. It shrinks while
// the median latency of a window is well above the lowest median of the last 30 to
// 60 seconds, or while upstreams refuse calls. Otherwise it recovers to its initial
// value. It grows beyond that while the limit is used up and the latency stays low.
// The lock of the pool guards the limiter.
type limiter struct {
	estimate    float64
	initial     float64
	tolerance   float64
	windows     map[string]*window
	latency     latencyStats
	decreasedAt time.Time
}

// latencyStats holds the smoothed latency of successful calls and its mean deviation,
// both in seconds.
type latencyStats struct{ mean, deviation float64 }

func (l *latencyStats) add(seconds float64) {
	if l.mean == 0 {
		l.mean, l.deviation = seconds, seconds/4
	}
	l.deviation += latencySmoothing * (math.Abs(seconds-l.mean) - l.deviation)
	l.mean += latencySmoothing * (seconds - l.mean)
}

// window collects the latencies of one stage. Each stage has its own window because
// the latencies of stages that share a pool may differ by orders of magnitude.
type window struct {
	startedAt time.Time
	samples   []float64
	latency   latencyStats
	limitUsed bool
	// lowestMedians holds the lowest median of the current and the previous
	// baseline period; 0 means that there is none.
	lowestMedians   [2]float64
	periodStartedAt time.Time
}

func newLimiter(p *bundle.Pool) *limiter {
	initial := float64(len(p.Upstreams) * max(p.Concurrency, 1))
	l := &limiter{estimate: initial, initial: initial, windows: map[string]*window{}}
	l.configure(p)
	return l
}

// configure applies a changed pool configuration. It keeps the ratio of the estimate
// to its initial value.
func (l *limiter) configure(p *bundle.Pool) {
	initial := float64(len(p.Upstreams) * max(p.Concurrency, 1))
	l.estimate *= initial / l.initial
	l.initial = initial
	l.tolerance = serviceTolerance
	if p.Kind == bundle.PoolEngine {
		l.tolerance = engineTolerance
	}
}

// recordRefusal reduces the estimate because an upstream refused a call. It does so
// at most once per minWindow.
func (l *limiter) recordRefusal(now time.Time) {
	if now.Sub(l.decreasedAt) < minWindow {
		return
	}
	l.decreasedAt = now
	l.estimate = max(1, l.estimate*refusalDecreaseFactor)
}

// recordSuccess records the latency of a successful call. limitUsed says that the
// limit was nearly used up.
func (l *limiter) recordSuccess(now time.Time, stage string, latency time.Duration, limitUsed bool) {
	seconds := latency.Seconds()
	l.latency.add(seconds)
	w := l.windows[stage]
	if w == nil {
		w = &window{startedAt: now, periodStartedAt: now, samples: make([]float64, 0, windowSamples)}
		l.windows[stage] = w
	}
	w.latency.add(seconds)
	w.samples = append(w.samples, seconds)
	w.limitUsed = w.limitUsed || limitUsed
	enoughSamples := len(w.samples) == windowSamples
	longEnough := len(w.samples) >= minWindowSamples && now.Sub(w.startedAt) >= minWindow
	if enoughSamples || longEnough {
		l.closeWindow(now, w)
	}
}

// highLatency returns a latency that calls of a stage rarely exceed, in seconds: the
// mean plus highLatencyDeviations mean deviations. It is 0 if nothing was measured.
func (l *limiter) highLatency(stage string) float64 {
	w := l.windows[stage]
	if w == nil {
		return 0
	}
	return w.latency.mean + highLatencyDeviations*w.latency.deviation
}

// closeWindow ends a window and adjusts the estimate by its median latency.
func (l *limiter) closeWindow(now time.Time, w *window) {
	slices.Sort(w.samples)
	median := w.samples[len(w.samples)/2]
	baseline := w.baseline(now, median)
	limitUsed := w.limitUsed
	w.samples, w.limitUsed, w.startedAt = w.samples[:0], false, now
	step := growthPerSqrtLimit * math.Sqrt(l.estimate)
	switch {
	case median > baseline*l.tolerance:
		// If the limit is not used up, it is not the cause of the high latency.
		if limitUsed {
			l.estimate *= max(minDecreaseFactor, baseline*l.tolerance/median)
		}
	case l.estimate < l.initial:
		l.estimate = min(l.initial, l.estimate+step)
	case median <= baseline*growthTolerance && limitUsed:
		l.estimate += step
	}
	l.estimate = min(max(l.estimate, 1), l.initial*maxGrowthFactor)
}

// baseline returns the lowest median of the current and the previous baseline period.
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
