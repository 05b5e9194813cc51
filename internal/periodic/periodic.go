// Package periodic waits, and does work at an interval.
package periodic

import (
	"context"
	"time"
)

// Sleep waits for d and says whether it did: it returns early when ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Do calls f at an interval until ctx ends. Calls never overlap: one that takes
// longer than the interval delays the next.
func Do(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
