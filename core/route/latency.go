package route

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are kept in microseconds, from 10 us to 10 min, within 1%.
	histogramLowest  = 10
	histogramHighest = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 2
	// minSamples is the number of calls from which quantiles are given.
	minSamples = 20
	// refreshAfter is how old the merged histogram may get under traffic.
	mergeInterval = 200 * time.Millisecond
)

// window holds the latencies of the last one to two window lengths. Without
// traffic the last ones stay. It is not safe for concurrent use.
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

// add counts d, which is cut to the histogram's range.
func (w *latencyWindow) add(now time.Time, d time.Duration) {
	if now.Sub(w.started) >= w.length && w.current.TotalCount() >= minSamples {
		w.current, w.previous = w.previous, w.current
		w.current.Reset()
		w.started = now
	}
	// The value is in range, so that there is no error.
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

// quantile returns the latency at q (0 to 1), false with too few calls.
func (w *latencyWindow) quantile(q float64) (time.Duration, bool) {
	if w.merged.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(w.merged.ValueAtQuantile(100*q)) * time.Microsecond, true
}

// stageLatency holds the latencies of one stage in one pool.
type stageLatency struct {
	// total is the latency of whole calls, first that to the first byte.
	total, first *latencyWindow
	// unit is the latency for each unit of work, or of the call where that is
	// not known: what upstreams are compared by.
	perUnit *latencyWindow
}

func newStageLatency(now time.Time, length time.Duration) *stageLatency {
	return &stageLatency{newWindow(now, length), newWindow(now, length), newWindow(now, length)}
}

// unitOf returns the latency that upstreams are compared by.
func latencyPerUnit(latency time.Duration, work int) time.Duration {
	return latency / time.Duration(max(work, 1))
}

// done counts a call that ended well.
func (s *stageLatency) addCompleted(now time.Time, latency, first time.Duration, work int) {
	s.total.add(now, latency)
	if first > 0 {
		s.first.add(now, first)
	}
	s.perUnit.add(now, latencyPerUnit(latency, work))
}

// gaveUp counts a call that was given up after latency: a lower bound of what
// it would have taken. Left out, the calls that lose against a hedge would
// make the quantiles, and so the next hedge delay, too short. Calls given up
// early say nothing and are left out.
func (s *stageLatency) addCancelled(now time.Time, latency time.Duration) {
	if s.total.median > 0 && latency > s.total.median {
		s.total.add(now, latency)
	}
}

// gaveUpFirst is gaveUp for a call that was given up before its first byte.
func (s *stageLatency) addCancelledFirstByte(now time.Time, latency time.Duration) {
	if s.first.median > 0 && latency > s.first.median {
		s.first.add(now, latency)
	}
}

// slowness returns how many times the usual a call took, 0 when it can't be
// said. For a call given up it is a lower bound.
func (s *stageLatency) slowness(latency time.Duration, work int, whole bool) float64 {
	usual := s.perUnit.median
	took := latencyPerUnit(latency, work)
	if !whole && work == 0 && s.first.median > 0 {
		usual, took = s.first.median, latency
	}
	if usual <= 0 {
		return 0
	}
	return float64(took) / float64(usual)
}
