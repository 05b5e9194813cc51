// Package periodic waits, and does work at an interval.
package periodic

import (
	"context"
	"time"

	"github.com/wheatseam/wheatseam/internal/clock"
)

// Sleep waits for d and says whether it did: it returns early when ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Await waits until something can be received from a channel, or it is closed; for
// d at most, or until ctx ends.
func WaitForSignal(ctx context.Context, from <-chan struct{}, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-from:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Do calls f at an interval until ctx ends. Calls never overlap: one that takes
// longer than the interval delays the next.
func Every(ctx context.Context, interval time.Duration, f func()) {
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
