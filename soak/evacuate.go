package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// failureDomains are the failure domains of the replicas.
var failureDomains = []string{"x", "y", "z"}

// evacuation is an operator's order to send the replicas of a failure domain no new work.
type evacuation struct {
	domain string
	// withdrawnAt is zero while the order is active.
	orderedAt, withdrawnAt time.Time
}

// evacuateDomains orders and withdraws evacuations of random failure domains until ctx ends.
func (r *runner) evacuateDomains(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, randomDuration(rng, time.Second, 3*time.Second))
		domain := failureDomains[rng.IntN(len(failureDomains))]
		r.recordFault("failure domain %s is evacuated", domain)
		r.mu.Lock()
		r.store.Evacuate(domain)
		r.evacuations = append(r.evacuations, evacuation{domain: domain, orderedAt: time.Now()})
		r.mu.Unlock()
		sleep(ctx, randomDuration(rng, time.Second, drainBound+3*time.Second))
		r.recordFault("the evacuation of failure domain %s is withdrawn", domain)
		r.mu.Lock()
		r.evacuations[len(r.evacuations)-1].withdrawnAt = time.Now()
		r.store.CancelEvacuation(domain)
		r.mu.Unlock()
	}
}

// checkEvacuations checks that replicas in an evacuated failure domain got no new work after
// drainBound, from daemons that have been undisturbed since before the order.
func (r *runner) checkEvacuations(att attempt, runs []site.Run) {
	for _, run := range runs {
		domain := r.domainOf(run.Replica)
		for _, e := range r.evacuations {
			if e.domain == domain && att.startedAt.After(e.orderedAt.Add(drainBound)) && (e.withdrawnAt.IsZero() || run.StartedAt.Before(e.withdrawnAt)) &&
				att.daemon.undisturbedSince(e.orderedAt.Add(-undisturbedMargin)) {
				r.recordViolation("evacuation: %s ran at %s %s after %s was evacuated", att.call.ID, run.Replica, att.startedAt.Sub(e.orderedAt).Round(time.Millisecond), domain)
			}
		}
	}
}

// domainOf returns a replica's failure domain.
func (r *runner) domainOf(replica string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rep := r.replicaByID(replica); rep != nil {
		return rep.FailureDomain
	}
	return ""
}
