package gateway

import (
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/core/estimate"
)

const (
	// defaultFirstEventTime is the time to a stream's first event that is assumed until it
	// has been measured.
	defaultFirstEventTime = 150 * time.Millisecond
	// marginDeviationFactor is the multiple of the mean deviation that is added to the
	// expected time to the first event. Of 0.5, 1.5 and 2.5, the larger factors refuse jobs
	// that would have been on time.
	marginDeviationFactor = 0.5
	// maxMarginFraction limits the margin, as a fraction of the objective.
	maxMarginFraction = 0.6
)

// streamTimeEstimator estimates the times of streams: from sending a request to an engine
// to its first event, which grows with the tokens to be read, and from there to the last
// event. It is safe for concurrent use.
type streamTimeEstimator struct {
	mu sync.Mutex
	// firstEvent and laterEvents are kept by service, as its engines serve all routes
	// alike; deviations of the time to the first event are kept by route.
	firstEvent, laterEvents map[string]*estimate.LinearModel
	deviations              map[string]*estimate.Deviation
}

func newStreamTimeEstimator() *streamTimeEstimator {
	return &streamTimeEstimator{firstEvent: map[string]*estimate.LinearModel{}, laterEvents: map[string]*estimate.LinearModel{}, deviations: map[string]*estimate.Deviation{}}
}

// modelOf returns the linear model of a service; mu must be held.
func modelOf(models map[string]*estimate.LinearModel, service string) *estimate.LinearModel {
	l := models[service]
	if l == nil {
		l = &estimate.LinearModel{}
		models[service] = l
	}
	return l
}

// observeTotal records the time from sending a request to its last event and returns the
// time that was expected; 0 when that is not known.
func (f *streamTimeEstimator) observeTotal(service string, tokens, events int, first, took time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	toFirst, known := modelOf(f.firstEvent, service).At(float64(tokens))
	if events <= 1 {
		return toFirst
	}
	laterEvents := modelOf(f.laterEvents, service)
	toLast, knownLater := laterEvents.At(float64(events - 1))
	laterEvents.Observe(float64(events-1), took-first)
	if !known || !knownLater {
		return 0
	}
	return toFirst + toLast
}

// observeFirstEvent records the time to the first event of one request that had this many
// unshared tokens to be read.
func (f *streamTimeEstimator) observeFirstEvent(service, route string, tokens int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := modelOf(f.firstEvent, service)
	if expected, ok := l.At(float64(tokens)); ok {
		d := f.deviations[route]
		if d == nil {
			d = &estimate.Deviation{}
			f.deviations[route] = d
		}
		d.Observe(took, expected)
	}
	l.Observe(float64(tokens), took)
}

// expectFirstEvent returns the expected time to the first event and the mean deviation from
// it.
func (f *streamTimeEstimator) expectFirstEvent(service, route string, tokens int) (expected, deviation time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	expected = defaultFirstEventTime
	if e, ok := modelOf(f.firstEvent, service).At(float64(tokens)); ok {
		expected = e
	}
	if d := f.deviations[route]; d != nil {
		deviation = d.Mean()
	}
	return expected, deviation
}

// expectLaterEvents returns the expected time for n events after a stream's first one; 0 until it
// has been measured.
func (f *streamTimeEstimator) expectLaterEvents(service string, n int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, _ := modelOf(f.laterEvents, service).At(float64(n))
	return max(0, d)
}

// readTime returns the time that an engine needs to read tokens, without the constant part
// of its answer time, and the expected time to the first event.
func (f *streamTimeEstimator) readTime(service string, tokens int) (read, first time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := modelOf(f.firstEvent, service)
	first, known := l.At(float64(tokens))
	base, _ := l.At(0)
	if !known {
		return 0, 0
	}
	return first - base, first
}

// unsharedTokens is the number of tokens of the prompt that no other request shares.
func (x *exchange) unsharedTokens() int {
	if n := len(x.req.Prompt); n > 0 {
		return x.req.Prompt[n-1].Tokens
	}
	return 0
}

// runStart says from where a run of a request starts.
type runStart struct {
	// began is the time from which the run's objective counts: the request's arrival, or the end
	// of an earlier attempt. waitsSince is when the caller began to wait for the next event.
	began, waitsSince time.Time
	// lastEvent is the ID of the last event that the caller has; "" if it has none.
	lastEvent string
}

// continuesStream reports whether the caller has the beginning of the answer. An ID that is no number,
// or zero, names no event that it has.
func (r runStart) continuesStream() bool { return eventNumber(r.lastEvent) > 0 }

// firstRun is the start of the request's first run, or of another one before the answer has begun.
func (x *exchange) firstRun() runStart { return x.runAfter(x.arrived, x.arrived, "") }

// runAfter is the start of a run after an event of this answer, or without one.
func (x *exchange) runAfter(began, waitsSince time.Time, lastEvent string) runStart {
	if lastEvent == "" && x.route.Resumable && x.takesUpStream() {
		lastEvent = x.req.LastEventID
	}
	return runStart{began, waitsSince, lastEvent}
}

// waitsSince is when the caller got the last event, or sent the request.
func (x *exchange) waitsSince() time.Time {
	if x.lastSentAt.IsZero() {
		return x.arrived
	}
	return x.lastSentAt
}

// stageDeadlines returns when the stage results must be ready for an answer that is most
// likely on time, and the latest time for an answer that may be of use: on time or, if the caller
// has the beginning of the answer, complete before its deadline.
func (x *exchange) stageDeadlines(run runStart) (due, latest time.Time) {
	expected, deviation := x.g.streamTimes.expectFirstEvent(x.service, x.route.Name, x.unsharedTokens())
	margin := expected + time.Duration(marginDeviationFactor*float64(deviation))
	margin = min(margin, time.Duration(maxMarginFraction*float64(x.route.Objective)))
	objective := run.began.Add(x.route.Objective)
	due, latest = objective.Add(-margin), objective.Add(-min(margin, expected))
	if !run.continuesStream() {
		return due, latest
	}
	left := max(0, x.expectedEvents()-eventNumber(run.lastEvent))
	complete := x.deadline.Add(-expected - x.g.streamTimes.expectLaterEvents(x.service, left))
	if patience := run.waitsSince.Add(x.callerPatience() - expected); patience.Before(complete) {
		complete = patience
	}
	if complete.Before(due) {
		return complete, complete
	}
	return due, complete
}

// Callers leave a stream whose next event takes longer than the longest of minCallerPatience and
// these multiples of the route's objectives.
const (
	minCallerPatience     = 2 * time.Second
	patienceObjectives    = 4
	patienceGapObjectives = 8
)

// callerPatience is how long the caller waits for the next event of a stream.
func (x *exchange) callerPatience() time.Duration {
	return max(minCallerPatience, patienceObjectives*x.route.Objective, patienceGapObjectives*x.route.GapObjective)
}
