package discovery

import (
	"context"
	"time"

	"github.com/wheatseam/wheatseam/internal/clock"
)

// AwaitReplicas waits until the view has the replicas as of a time, at most until ctx ends, and
// reports whether it has. It does not wait while the replicas are older than the time within which
// changes must be active: the store is away.
func (d *Discovery) AwaitReplicas(ctx context.Context, asOf time.Time) bool {
	for {
		d.mu.Lock()
		changed := d.viewChanged
		d.mu.Unlock()
		at := d.View().replicasAsOf
		if !at.Before(asOf) {
			return true
		}
		if clock.Since(at) > d.cfg.PropagationBound() {
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
