// Package periodic waits with cancellation and runs functions at an interval.
package periodic

import (
	"context"
	"time"

	"github.com/wheatseam/wheatseam/internal/clock"
)

// Sleep waits for d and returns true, or returns false as soon as ctx is done.
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

// WaitForSignal waits until a value is received from the channel or the channel is closed,
// until d has passed, or until ctx is done.
func WaitForSignal(ctx context.Context, from <-chan struct{}, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-from:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Every calls f at an interval until ctx is done. Calls do not overlap: a call that
// takes longer than the interval delays the next one.
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
