package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// restore is a restore of the store. From from to until it lacks what was written since copiedAt.
type restore struct{ copiedAt, from, until time.Time }

// restoreStore lets the store come back from a copy that is some seconds old, until ctx ends.
// What it lost is written again a moment later.
func (r *runner) restoreStore(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		copied, copiedAt := r.store.Snapshot(), time.Now()
		sleep(ctx, randomDuration(rng, time.Second, 4*time.Second))
		if ctx.Err() != nil {
			return
		}
		latest, from := r.store.Snapshot(), time.Now()
		r.store.Restore(copied)
		r.recordFault("the store comes back from a copy")
		sleep(ctx, randomDuration(rng, 50*time.Millisecond, time.Second))
		r.store.WriteAgain(latest)
		r.mu.Lock()
		r.restores = append(r.restores, restore{copiedAt, from, time.Now()})
		r.mu.Unlock()
	}
}
