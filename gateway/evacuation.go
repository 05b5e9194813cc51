package gateway

import (
	"maps"
	"time"

	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/problem"
)

// evacuatedServices are the services whose replicas that accept work are all in evacuated
// failure domains.
func evacuatedServices(v *discovery.View) map[string]bool {
	open, evacuated := map[string]bool{}, map[string]bool{}
	if len(v.Evacuations.Domains) == 0 {
		return evacuated
	}
	for r := range v.Replicas.All() {
		switch {
		case r.Draining:
		case v.Evacuations.Has(r.FailureDomain):
			evacuated[r.Service] = true
		default:
			open[r.Service] = true
		}
	}
	maps.DeleteFunc(evacuated, func(service string, _ bool) bool { return open[service] })
	return evacuated
}

// evacuatedRetryAfter is the shortest Retry-After sent to a caller whose request no replica
// may accept: an operator's evacuation lasts for seconds at least.
const evacuatedRetryAfter = 5 * time.Second

// checkEvacuation refuses a request at once if all replicas of a service that it needs are
// evacuated.
func (x *exchange) checkEvacuation() *problem.Error {
	needed := []string{x.service}
	for i, s := range x.route.Stages {
		if i < len(x.req.PieceCounts) && x.req.PieceCounts[i] > 0 {
			needed = append(needed, s.Service)
		}
	}
	evacuated := *x.g.evacuatedServices.Load()
	for _, service := range needed {
		if evacuated[service] {
			e := problem.New(problem.NoUpstream, "service %q: all failure domains with replicas are evacuated", service)
			return withRetryAfter(e, x.retryDelay(evacuatedRetryAfter))
		}
	}
	return x.checkReplicasAvailable()
}

// checkReplicasAvailable refuses a request at once if no replica of its service accepts
// calls for now, unless the stages take so long that a replica may accept calls by then.
func (x *exchange) checkReplicasAvailable() *problem.Error {
	wait, unavailable := x.g.router.Unavailable(clock.Now(), x.service)
	if unavailable {
		x.g.shortages.record(clock.Now(), x.service)
	}
	if !unavailable {
		return nil
	}
	if _, staged := x.stageJob(x.firstRun()); staged {
		if _, latest := x.stageDeadlines(x.firstRun()); !clock.Now().Add(wait).After(latest) {
			return nil
		}
	}
	return withRetryAfter(problem.New(problem.NoUpstream, "service %q: no replica takes further requests for now", x.service), wait)
}
