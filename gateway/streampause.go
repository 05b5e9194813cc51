package gateway

import (
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/internal/clock"
)

// pauseMeter measures the longest pause between two events that a replica sends. The time
// that a caller takes to read an event does not count, and neither does a pause during which
// this host was suspended.
type pauseMeter struct {
	longest time.Duration
	// relayedAt is when the last event had been relayed; zero before the first one.
	relayedAt time.Time
	// suspended is for how long this host had been suspended by then.
	suspended time.Duration
}

// arrived records that an event has arrived.
func (m *pauseMeter) arrived() {
	if !m.relayedAt.IsZero() && clock.SuspendedTime() == m.suspended {
		m.longest = max(m.longest, clock.Since(m.relayedAt))
	}
}

// relayed records that the event has been relayed.
func (m *pauseMeter) relayed() {
	m.relayedAt, m.suspended = clock.Now(), clock.SuspendedTime()
}

// eventCountDecay is the number of streams after which the weight of an old one has decayed
// to 1/e.
const eventCountDecay = 100

// eventCountEstimator learns how many events the streams of each route have. It is safe for
// concurrent use.
type eventCountEstimator struct {
	mu      sync.Mutex
	byRoute map[string]*eventCounts
}

// eventCounts holds sums over the streams of a route, weighted by age.
type eventCounts struct {
	streams, events float64
	// Streams whose request states a maximum number of output tokens: their events and
	// these maxima.
	limitedEvents, maxTokens float64
}

func newEventCountEstimator() *eventCountEstimator {
	return &eventCountEstimator{byRoute: map[string]*eventCounts{}}
}

// observe records a complete stream of a request that permits up to maxTokens output tokens;
// 0 if it states no maximum.
func (e *eventCountEstimator) observe(route string, maxTokens, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.byRoute[route]
	if c == nil {
		c = &eventCounts{}
		e.byRoute[route] = c
	}
	const decay = 1 - 1.0/eventCountDecay
	c.streams, c.events = decay*c.streams+1, decay*c.events+float64(events)
	if maxTokens > 0 {
		c.limitedEvents, c.maxTokens = decay*c.limitedEvents+float64(events), decay*c.maxTokens+float64(maxTokens)
	}
}

// expect returns the expected number of events of a stream; 0 until one of its route has
// ended.
func (e *eventCountEstimator) expect(route string, maxTokens int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.byRoute[route]
	switch {
	case c == nil:
		return 0
	case maxTokens > 0 && c.maxTokens > 0:
		return max(1, int(float64(maxTokens)*c.limitedEvents/c.maxTokens+0.5))
	}
	return max(1, int(c.events/c.streams+0.5))
}
