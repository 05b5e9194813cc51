package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/internal/clock"
)

// Avoided are hosts that failed a moment ago and are not called for a while.
// The zero value is ready; it is safe for concurrent use.
type HostBackoff struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// Add avoids a host for a while.
func (a *HostBackoff) Add(host string, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Now()
	for h, until := range a.until {
		if now.After(until) {
			delete(a.until, h)
		}
	}
	if a.until == nil {
		a.until = map[string]time.Time{}
	}
	a.until[host] = now.Add(wait)
}

// Has says whether a host is avoided.
func (a *HostBackoff) Excludes(host string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.until[host])
}

// Names returns the hosts that were avoided last, sorted; the time of some may
// be over.
func (a *HostBackoff) Names() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var names []string
	for h := range a.until {
		names = append(names, h)
	}
	slices.Sort(names)
	return names
}
