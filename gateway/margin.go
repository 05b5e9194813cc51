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

// stageDeadlines returns when the stage results must be ready for an answer that is most
// likely on time, and the latest time for an answer that may be on time. The objective
// counts from began.
func (x *exchange) stageDeadlines(began time.Time) (due, latest time.Time) {
	expected, deviation := x.g.streamTimes.expectFirstEvent(x.service, x.route.Name, x.unsharedTokens())
	margin := expected + time.Duration(marginDeviationFactor*float64(deviation))
	margin = min(margin, time.Duration(maxMarginFraction*float64(x.route.Objective)))
	objective := began.Add(x.route.Objective)
	return objective.Add(-margin), objective.Add(-min(margin, expected))
}
