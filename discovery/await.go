package discovery

import (
	"context"
	"time"
)

// AwaitView waits until the view is as of a time, at most until ctx ends, and reports whether it
// is.
func (d *Discovery) AwaitView(ctx context.Context, asOf time.Time) bool {
	for {
		d.mu.Lock()
		changed := d.viewChanged
		d.mu.Unlock()
		if !d.View().AsOf.Before(asOf) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
