// Package breaker is a circuit breaker for pools of upstreams. Requests that need a pool
// which fails as a whole are refused on arrival, instead of after their first stages have
// run in vain.
//
// A pool opens after FailureThreshold consecutive failures, from whichever upstreams, over
// at least MinFailureDuration. While it is open, one request per ProbeInterval is let through, and the first success closes the
// pool. A single failing upstream is handled by the router: its pool still has successes
// and stays closed.
//
// Set does not read a clock: callers pass the time. It is safe for concurrent use.
package breaker

import (
	"sync"
	"time"
)

// Config configures a Set. Zero fields take their defaults.
type Config struct {
	// FailureThreshold is the number of consecutive failures that opens a pool. Default 12.
	FailureThreshold int
	// MinFailureDuration is the minimum time between the first failure of a run and the one
	// that opens the pool. Default 300 ms.
	MinFailureDuration time.Duration
	// ProbeInterval is the interval at which an open pool admits a request. Default 250 ms.
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

// Set holds one circuit breaker per pool of a daemon.
type Set struct {
	cfg Config

	mu    sync.Mutex
	pools map[string]*pool
}

// pool is the current run of consecutive failures of one pool.
type pool struct {
	failures     int
	firstFailure time.Time
	open         bool
	lastProbe    time.Time
}

// New returns a Set in which every pool is closed.
func New(cfg Config) *Set {
	return &Set{cfg: cfg.withDefaults(), pools: make(map[string]*pool)}
}

// Allow reports whether a request that needs the given pools may start. If not, open is the
// first of them that is open. A request that is admitted to an open pool counts as its
// probe.
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

// Succeeded records that a pool answered a call, even if it rejected that call. It closes
// the pool.
func (s *Set) Succeeded(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pools, name)
}

// Failed records a call that no upstream of the pool answered.
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

// OpenPools returns the names of the open pools, for the operators' state dump.
func (s *Set) OpenPools() []string {
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
