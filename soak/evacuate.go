package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// domains are where the replicas stand.
var domains = []string{"x", "y", "z"}

// evacuation is an order to give the replicas of a failure domain no new work.
type evacuation struct {
	domain string
	// withdrawn is zero while the order stands.
	ordered, withdrawn time.Time
}

// evacuateDomains has failure domains evacuated and taken back until ctx ends.
func (r *Run) evacuateDomains(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		rest(ctx, between(rng, time.Second, 3*time.Second))
		domain := domains[rng.IntN(len(domains))]
		r.note("failure domain %s is evacuated", domain)
		r.mu.Lock()
		r.store.Evacuate(domain)
		r.evacuations = append(r.evacuations, evacuation{domain: domain, ordered: time.Now()})
		r.mu.Unlock()
		rest(ctx, between(rng, time.Second, drainBound+3*time.Second))
		r.note("failure domain %s is taken back", domain)
		r.mu.Lock()
		r.evacuations[len(r.evacuations)-1].withdrawn = time.Now()
		r.store.CancelEvacuation(domain)
		r.mu.Unlock()
	}
}

// checkEvacuations holds runs in evacuated failure domains to the bound of drains, for
// daemons that nothing touched meanwhile.
func (r *Run) checkEvacuations(x done, runs []site.Run) {
	for _, run := range runs {
		domain := r.domainOf(run.Replica)
		for _, e := range r.evacuations {
			if e.domain == domain && x.began.After(e.ordered.Add(drainBound)) && (e.withdrawn.IsZero() || run.StartedAt.Before(e.withdrawn)) &&
				x.daemon.calm(e.ordered.Add(-settle)) {
				r.violate("evacuation: %s ran at %s %s after %s was evacuated", x.call.ID, run.Replica, x.began.Sub(e.ordered).Round(time.Millisecond), domain)
			}
		}
	}
}

// domainOf returns where a replica stands.
func (r *Run) domainOf(replica string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rep := r.replica(replica); rep != nil {
		return rep.FailureDomain
	}
	return ""
}
