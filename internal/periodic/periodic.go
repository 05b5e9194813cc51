// Package periodic does work at an interval.
package periodic

import (
	"context"
	"time"
)

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
