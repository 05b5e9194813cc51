package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/internal/clock"
)

// HostBackoff is a set of hosts that failed recently and are not called until their backoff
// is over. The zero value is ready to use; it is safe for concurrent use.
type HostBackoff struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// Add excludes a host from calls for the given time.
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

// Excludes reports whether calls to a host are excluded at the given time.
func (a *HostBackoff) Excludes(host string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.until[host])
}

// Names returns the hosts that were added last, sorted by name; the backoff of some may
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
