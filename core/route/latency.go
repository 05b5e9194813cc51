package route

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are recorded in microseconds, from 10 us to 10 min, to within 1%.
	histogramLowest  = 10
	histogramHighest = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 2
	// minSamples is the number of calls from which quantiles are returned.
	minSamples = 20
	// mergeInterval is the maximum age of the merged histogram while calls are
	// recorded.
	mergeInterval = 200 * time.Millisecond
)

// latencyWindow holds the latencies of the last one to two window lengths. Without
// traffic, the last ones are kept. It is not safe for concurrent use.
type latencyWindow struct {
	length            time.Duration
	current, previous *hdrhistogram.Histogram
	merged            *hdrhistogram.Histogram
	started           time.Time
	mergedAt          time.Time
	median            time.Duration
}

func newWindow(now time.Time, length time.Duration) *latencyWindow {
	return &latencyWindow{
		length: length, started: now,
		current: newHistogram(), previous: newHistogram(), merged: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
}

// add records d, clamped to the histogram's range.
func (w *latencyWindow) add(now time.Time, d time.Duration) {
	if now.Sub(w.started) >= w.length && w.current.TotalCount() >= minSamples {
		w.current, w.previous = w.previous, w.current
		w.current.Reset()
		w.started = now
	}
	// The value is within the range, so RecordValue cannot fail.
	_ = w.current.RecordValue(min(max(d.Microseconds(), histogramLowest), histogramHighest))
	if w.current.TotalCount()+w.previous.TotalCount() < minSamples {
		return
	}
	if w.merged.TotalCount() < minSamples || now.Sub(w.mergedAt) >= mergeInterval {
		w.merge(now)
	}
}

func (w *latencyWindow) merge(now time.Time) {
	w.merged.Reset()
	w.merged.Merge(w.current)
	w.merged.Merge(w.previous)
	w.mergedAt = now
	w.median, _ = w.quantile(0.5)
}

// quantile returns the latency at q (0 to 1), or false if too few calls were recorded.
func (w *latencyWindow) quantile(q float64) (time.Duration, bool) {
	if w.merged.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(w.merged.ValueAtQuantile(100*q)) * time.Microsecond, true
}

// stageLatency holds the latencies of one stage in one pool.
type stageLatency struct {
	// total is the latency of whole calls, firstByte the latency to the first byte.
	total, firstByte *latencyWindow
	// perUnit is the latency per unit of work, or per call if the work is unknown. It
	// is used to compare upstreams.
	perUnit *latencyWindow
	// pause is the longest pause of streams per slowdown of the upstream; nil until a stream
	// has ended.
	pause *latencyWindow
}

func newStageLatency(now time.Time, length time.Duration) *stageLatency {
	return &stageLatency{total: newWindow(now, length), firstByte: newWindow(now, length), perUnit: newWindow(now, length)}
}

// latencyPerUnit returns the latency by which upstreams are compared.
func latencyPerUnit(latency time.Duration, work int) time.Duration {
	return latency / time.Duration(max(work, 1))
}

// addCompleted records a call that succeeded at an upstream with the given slowdown.
func (s *stageLatency) addCompleted(now time.Time, latency, firstByte time.Duration, work int, slowdown float64) {
	s.total.add(now, latency)
	if firstByte > 0 {
		s.firstByte.add(now, firstByte)
	}
	s.perUnit.add(now, scaleDuration(latencyPerUnit(latency, work), 1/slowdown))
}

// addCancelled records a call that was cancelled after latency, which is a lower bound
// of the latency that it would have had. Without the calls that lose against a hedge,
// the quantiles would be too low, and so would the next hedge delay. Calls cancelled
// before the median latency are not recorded, since such a low bound carries no
// information.
func (s *stageLatency) addCancelled(now time.Time, latency time.Duration) {
	if s.total.median > 0 && latency > s.total.median {
		s.total.add(now, latency)
	}
}

// addCancelledFirstByte is like addCancelled, but for the latency to the first byte of a
// call that was cancelled before its first byte.
func (s *stageLatency) addCancelledFirstByte(now time.Time, latency time.Duration) {
	if s.firstByte.median > 0 && latency > s.firstByte.median {
		s.firstByte.add(now, latency)
	}
}

// slowness returns the latency of a call as a multiple of the median, or 0 if it is
// unknown. For a call that did not complete, the result is a lower bound.
func (s *stageLatency) slowness(latency time.Duration, work int, completed bool) float64 {
	median := s.perUnit.median
	took := latencyPerUnit(latency, work)
	if !completed && work == 0 && s.firstByte.median > 0 {
		median, took = s.firstByte.median, latency
	}
	if median <= 0 {
		return 0
	}
	return float64(took) / float64(median)
}
