package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// restoreStore lets the store come back from a copy that is some seconds old, until ctx ends.
// What it lost is written again a moment later.
func (r *runner) restoreStore(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		copied := r.store.Snapshot()
		sleep(ctx, randomDuration(rng, time.Second, 4*time.Second))
		if ctx.Err() != nil {
			return
		}
		latest := r.store.Snapshot()
		r.store.Restore(copied)
		r.recordFault("the store comes back from a copy")
		sleep(ctx, randomDuration(rng, 50*time.Millisecond, time.Second))
		r.store.WriteAgain(latest)
	}
}
