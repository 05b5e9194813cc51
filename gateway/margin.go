package gateway

import (
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/core/estimate"
)

const (
	// startFirst stands in for the time to a stream's first event until it is
	// measured.
	startFirst = 150 * time.Millisecond
	// marginDeviations is the multiple of the usual deviation that is set aside
	// on top of the expected time to the first event: with more, jobs are
	// refused that would have been on time (measured at 0.5, 1.5 and 2.5).
	marginDeviations = 0.5
	// maxMarginShare bounds what is set aside, as a share of the objective.
	maxMarginShare = 0.6
)

// streamTimes estimates the times of streams: that from sending a request to an
// engine to its first event, which grows with the tokens to be read, and that
// from there to the last event. It is safe for concurrent use.
type streamTimes struct {
	mu sync.Mutex
	// firsts and rests are kept for each service, as its engines serve all
	// routes alike, deviations of the time to the first event for each route.
	firsts, rests map[string]*estimate.LinearModel
	deviations    map[string]*estimate.Deviation
}

func newStreamTimes() *streamTimes {
	return &streamTimes{firsts: map[string]*estimate.LinearModel{}, rests: map[string]*estimate.LinearModel{}, deviations: map[string]*estimate.Deviation{}}
}

// line returns the line of a service; the lock is held.
func line(lines map[string]*estimate.LinearModel, service string) *estimate.LinearModel {
	l := lines[service]
	if l == nil {
		l = &estimate.LinearModel{}
		lines[service] = l
	}
	return l
}

// observeWhole takes the time from sending a request to its last event and
// returns the time that was to be expected; 0 when it is not known.
func (f *streamTimes) observeWhole(service string, tokens, events int, first, took time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	toFirst, known := line(f.firsts, service).At(float64(tokens))
	if events <= 1 {
		return toFirst
	}
	rest := line(f.rests, service)
	toLast, knownRest := rest.At(float64(events - 1))
	rest.Observe(float64(events-1), took-first)
	if !known || !knownRest {
		return 0
	}
	return toFirst + toLast
}

// observe takes the time of one request that had tokens of its own to be read.
func (f *streamTimes) observe(service, route string, tokens int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := line(f.firsts, service)
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

// expect returns the expected time and the usual deviation from it.
func (f *streamTimes) expect(service, route string, tokens int) (expected, deviation time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	expected = startFirst
	if e, ok := line(f.firsts, service).At(float64(tokens)); ok {
		expected = e
	}
	if d := f.deviations[route]; d != nil {
		deviation = d.Mean()
	}
	return expected, deviation
}

// reading returns the time that an engine needs to read tokens, without the fixed
// part of its answer, and the usual time to the first event.
func (f *streamTimes) reading(service string, tokens int) (read, first time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := line(f.firsts, service)
	first, known := l.At(float64(tokens))
	base, _ := l.At(0)
	if !known {
		return 0, 0
	}
	return first - base, first
}

// ownTokens is the part of the prompt that no other request shares.
func (x *exchange) ownTokens() int {
	if n := len(x.req.Prompt); n > 0 {
		return x.req.Prompt[n-1].Tokens
	}
	return 0
}

// stagesDue returns when the results of the stages must be there for an answer
// that is most likely on time, and when at the latest for one that may be, if the
// run might have begun at a time.
func (x *exchange) stagesDue(began time.Time) (due, latest time.Time) {
	expected, deviation := x.g.streams.expect(x.service, x.route.Name, x.ownTokens())
	margin := expected + time.Duration(marginDeviations*float64(deviation))
	margin = min(margin, time.Duration(maxMarginShare*float64(x.route.Objective)))
	objective := began.Add(x.route.Objective)
	return objective.Add(-margin), objective.Add(-min(margin, expected))
}
