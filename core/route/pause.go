package route

import (
	"time"

	"github.com/wheatseam/wheatseam/core/request"
)

const (
	// pauseQuantile is the quantile of the longest pauses of streams by which an upstream's
	// pause is predicted: a stream is late by its longest pause, and one of ten may be.
	pauseQuantile = 0.9
	// manyEvents is the number of events at which a stream bears half of the cost of pauses.
	// A stream of few events rarely meets a long prompt.
	manyEvents = 16
	// longStreamEvents is the number of events from which the homes of prefixes are chosen by
	// longStreamExponent.
	longStreamEvents = 16
	// The homes of prefixes are distributed in proportion to 1/slowdown^exponent. For prompts
	// in general that is the rate at which upstreams read. Long streams need steps that are
	// short beside long prompts too, so their homes are mostly on fast upstreams.
	promptExponent     = 1
	longStreamExponent = 2
)

// isLongStream reports whether a query is for a stream of many events with a gap objective.
func isLongStream(q *request.Query) bool {
	return q.GapObjective > 0 && q.ExpectedEvents >= longStreamEvents
}

// homeExponent returns the exponent with which the home of a query's prefix is chosen.
func homeExponent(q *request.Query) int {
	if isLongStream(q) {
		return longStreamExponent
	}
	return promptExponent
}

// recordPause records the longest pause of a stream that has ended, per slowdown of its
// upstream.
func (l *stageLatency) recordPause(now time.Time, o *request.Outcome, slowdown float64, window time.Duration) {
	if o.LongestPause <= 0 || o.Result != request.CallOK && o.Result != request.CallCancelled {
		return
	}
	pause := scaleDuration(o.LongestPause, 1/slowdown)
	if l.pause == nil {
		l.pause = newWindow(now, window)
	}
	// The pause of a stream that was cancelled is a lower bound, which carries no information
	// if it is short.
	if o.Result == request.CallOK || pause > l.pause.median {
		l.pause.add(now, pause)
	}
}

// usualPause returns a high quantile of the longest pauses of a stage's streams, per slowdown
// of the upstream. Until enough streams have ended it is the gap objective: a stream at an
// upstream of the usual speed is then assumed to be just on time.
func (l *stageLatency) usualPause(gapObjective time.Duration) time.Duration {
	if l != nil && l.pause != nil {
		if p, ok := l.pause.quantile(pauseQuantile); ok {
			return p
		}
	}
	return gapObjective
}

// expectedPause returns the expected longest pause of the query's stream at a candidate; 0 if
// it is not a stream with a gap objective, or the pool has no slowdowns.
func (v *View) expectedPause(c *Candidate) time.Duration {
	if !v.HasSlowdowns || v.Query.GapObjective <= 0 {
		return 0
	}
	return scaleDuration(v.UsualPause, c.Slowdown)
}

// pauseScorer charges the time by which a stream's longest pause is expected to exceed its gap
// objective, as a multiple of the objective and up to one objective: a late stream does not
// get later, and under overload, when pauses are long everywhere, load must decide. Streams
// of many events are charged more, since they are more likely to meet the pause.
type pauseScorer struct{ weight float64 }

func (pauseScorer) Name() string { return "pause" }

func (s pauseScorer) Cost(v *View, c *Candidate) float64 {
	excess := v.expectedPause(c) - v.Query.GapObjective
	if excess <= 0 || v.Query.GapObjective <= 0 {
		return 0
	}
	events := float64(v.Query.ExpectedEvents)
	if events <= 0 {
		events = manyEvents
	}
	return s.weight * min(1, float64(excess)/float64(v.Query.GapObjective)) * events / (events + manyEvents)
}
