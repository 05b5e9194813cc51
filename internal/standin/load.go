package standin

import (
	"sync"
	"time"
)

// Load is the response to GET /v1/load.
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

// bucketsPerLag is the number of samples that a LoadReporter keeps per lag.
const bucketsPerLag = 8

// loadSample is the last load reported before until.
type loadSample struct {
	until time.Time
	load  Load
}

// LoadReporter reports the load as of a fixed lag ago. Its methods are safe for
// concurrent use.
type LoadReporter struct {
	lag    time.Duration
	bucket time.Duration

	mu       sync.Mutex
	samples  []loadSample
	reported Load
}

// NewLoadReporter returns a LoadReporter that delays updates by lag. It reports
// initial until the first update is older than lag.
func NewLoadReporter(lag time.Duration, initial Load) *LoadReporter {
	return &LoadReporter{lag: lag, bucket: max(lag/bucketsPerLag, time.Millisecond), reported: initial}
}

// Update records the load in effect from now on. Updates within one bucket
// replace each other, which bounds the number of samples.
func (r *LoadReporter) Update(now time.Time, l Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishExpired(now)
	n := len(r.samples)
	if n > 0 && now.Before(r.samples[n-1].until) {
		r.samples[n-1].load = l
		return
	}
	r.samples = append(r.samples, loadSample{until: now.Add(r.bucket), load: l})
}

// Report returns the load as of one lag before now.
func (r *LoadReporter) Report(now time.Time) Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishExpired(now)
	l := r.reported
	if r.lag == 0 && len(r.samples) > 0 {
		l = r.samples[len(r.samples)-1].load
	}
	l.AsOfUnixMS = now.Add(-r.lag).UnixMilli()
	return l
}

// publishExpired removes the samples that are older than the lag and sets
// reported to the newest of them. The caller holds mu.
func (r *LoadReporter) publishExpired(now time.Time) {
	asOf := now.Add(-r.lag)
	for len(r.samples) > 0 && !r.samples[0].until.After(asOf) {
		r.reported = r.samples[0].load
		r.samples = r.samples[1:]
	}
}
