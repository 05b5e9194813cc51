// Package breaker tells pools that fail as a whole, so that requests which need
// one are refused on arrival instead of after their first stages have run in
// vain.
//
// A pool opens after a run of failures without one success, from whichever
// upstreams; then one request in ProbeEvery is let through, and the first
// success closes it. Single upstreams that fail are the router's matter: their
// pool keeps succeeding.
//
// Set reads no clock: callers pass the time in. It is safe for concurrent use.
package breaker

import (
	"sync"
	"time"
)

// Config parametrises a Set. Zero fields take their defaults.
type Config struct {
	// Failures is the run of failures that opens a pool. Default 12.
	FailureThreshold int
	// Lasting is how long the run must have lasted. Default 300 ms.
	MinFailureDuration time.Duration
	// ProbeEvery is the interval of the requests let through. Default 250 ms.
	ProbeInterval time.Duration
}

func (c Config) withDefaults() Config {
	if c.FailureThreshold == 0 {
		c.FailureThreshold = 12
	}
	if c.MinFailureDuration == 0 {
		c.MinFailureDuration = 300 * time.Millisecond
	}
	if c.ProbeInterval == 0 {
		c.ProbeInterval = 250 * time.Millisecond
	}
	return c
}

// Set holds the breakers of a daemon's pools.
type Set struct {
	cfg Config

	mu    sync.Mutex
	pools map[string]*pool
}

// pool is the run of failures of one pool.
type pool struct {
	failures     int
	firstFailure time.Time
	open         bool
	lastProbe    time.Time
}

// New returns a set in which every pool is closed.
func New(cfg Config) *Set {
	return &Set{cfg: cfg.withDefaults(), pools: make(map[string]*pool)}
}

// Allow says whether a request that needs the pools may start, and names the
// first open pool if not. A request that is let through an open pool counts as
// its probe.
func (s *Set) Allow(now time.Time, pools []string) (open string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range pools {
		if p := s.pools[name]; p != nil && p.open && now.Sub(p.lastProbe) < s.cfg.ProbeInterval {
			return name, false
		}
	}
	for _, name := range pools {
		if p := s.pools[name]; p != nil && p.open {
			p.lastProbe = now
		}
	}
	return "", true
}

// Succeeded notes a call that a pool answered, be it with a refusal of the call
// itself.
func (s *Set) Succeeded(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pools, name)
}

// Failed notes a call that no upstream of the pool answered.
func (s *Set) Failed(now time.Time, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	if p == nil {
		p = &pool{firstFailure: now}
		s.pools[name] = p
	}
	p.failures++
	if !p.open && p.failures >= s.cfg.FailureThreshold && now.Sub(p.firstFailure) >= s.cfg.MinFailureDuration {
		p.open, p.lastProbe = true, now
	}
}

// Open returns the names of the open pools, for the operators' dump.
func (s *Set) Open() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := []string{}
	for name, p := range s.pools {
		if p.open {
			open = append(open, name)
		}
	}
	return open
}
