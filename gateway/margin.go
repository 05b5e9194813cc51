package gateway

import (
	"sync"
	"time"
)

// smoothed is an exponentially smoothed duration.
type smoothed struct {
	mu   sync.Mutex
	mean time.Duration
}

const (
	// startFirst stands in for the time to a stream's first event until it is
	// measured.
	startFirst = 150 * time.Millisecond
	// firstWeight is the weight of a new measurement.
	firstWeight = 0.1
	// firstFactor is the multiple of the mean that is set aside: the mean is
	// exceeded by a third of all requests, twice the mean by few.
	firstFactor = 2.0
	// maxFirstShare bounds what is set aside, as a share of the objective.
	maxFirstShare = 0.4
)

// observeFirst takes the time from sending a request of a route to its first
// event.
func (g *Gateway) observeFirst(route string, took time.Duration) {
	v, _ := g.firsts.LoadOrStore(route, &smoothed{mean: startFirst})
	s := v.(*smoothed)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mean += time.Duration(firstWeight * float64(took-s.mean))
}

// firstMargin is the part of the objective that is set aside for the time from
// the stages' results to the first event.
func (x *exchange) firstMargin() time.Duration {
	mean := startFirst
	if v, ok := x.g.firsts.Load(x.route.Name); ok {
		s := v.(*smoothed)
		s.mu.Lock()
		mean = s.mean
		s.mu.Unlock()
	}
	return min(time.Duration(firstFactor*float64(mean)), time.Duration(maxFirstShare*float64(x.route.Objective)))
}
