package standin

import (
	"sync"
	"time"
)

// Load is the answer to GET /v1/load.
type Load struct {
	AsOfUnixMS      int64   `json:"as_of_unix_ms"`
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	Slots           int     `json:"slots"`
	KVUsed          int     `json:"kv_used"`
	KVTotal         int     `json:"kv_total"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	Leaving         bool    `json:"leaving"`
}

// bucketsPerLag is how finely a Reporter remembers the past.
const bucketsPerLag = 8

type loadSample struct {
	until time.Time
	load  Load
}

// LoadReporter publishes a load as it stood a fixed lag ago. Its methods are safe
// for concurrent use.
type LoadReporter struct {
	lag    time.Duration
	bucket time.Duration

	mu      sync.Mutex
	samples []loadSample
	old     Load
}

// NewLoadReporter returns a LoadReporter that lags by lag; first is reported until the
// first update is old enough.
func NewLoadReporter(lag time.Duration, first Load) *LoadReporter {
	return &LoadReporter{lag: lag, bucket: max(lag/bucketsPerLag, time.Millisecond), old: first}
}

// Update tells the load that stands from now on.
func (r *LoadReporter) Update(now time.Time, l Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	n := len(r.samples)
	if n > 0 && now.Before(r.samples[n-1].until) {
		r.samples[n-1].load = l
		return
	}
	r.samples = append(r.samples, loadSample{until: now.Add(r.bucket), load: l})
}

// Report returns the load as it stood one lag ago.
func (r *LoadReporter) Report(now time.Time) Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	l := r.old
	if r.lag == 0 && len(r.samples) > 0 {
		l = r.samples[len(r.samples)-1].load
	}
	l.AsOfUnixMS = now.Add(-r.lag).UnixMilli()
	return l
}

// expire moves the samples that are older than the lag into old.
func (r *LoadReporter) expire(now time.Time) {
	seen := now.Add(-r.lag)
	for len(r.samples) > 0 && !r.samples[0].until.After(seen) {
		r.old = r.samples[0].load
		r.samples = r.samples[1:]
	}
}
