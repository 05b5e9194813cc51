package gateway

import (
	"maps"
	"time"

	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/problem"
)

// evacuatedServices are the services of which replicas would take new work, and
// none may, since all their failure domains are evacuated.
func evacuatedServices(v *discovery.View) map[string]bool {
	open, evacuated := map[string]bool{}, map[string]bool{}
	for _, r := range v.Replicas {
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

// evacuatedRetry is the least wait told to a caller whose request no replica may
// take: the operator's order stands for seconds at least.
const evacuatedRetry = 5 * time.Second

// served refuses a request at once for which all replicas of a service that it needs
// are evacuated.
func (x *exchange) served() *problem.Error {
	needed := []string{x.service}
	for i, s := range x.route.Stages {
		if i < len(x.req.PieceCounts) && x.req.PieceCounts[i] > 0 {
			needed = append(needed, s.Service)
		}
	}
	evacuated := *x.g.evacuated.Load()
	for _, service := range needed {
		if evacuated[service] {
			e := problem.New(problem.NoUpstream, "service %q: all failure domains with replicas are evacuated", service)
			return retryable(e, x.comeBack(evacuatedRetry))
		}
	}
	return x.opensInTime()
}

// opensInTime refuses a request at once for which no replica of its service takes calls
// for now, unless its stages take so long that one may by then.
func (x *exchange) opensInTime() *problem.Error {
	wait, closed := x.g.router.Unavailable(clock.Now(), x.service)
	if !closed {
		return nil
	}
	if _, staged := x.job(x.arrived); staged {
		if _, latest := x.stagesDue(x.arrived); !clock.Now().Add(wait).After(latest) {
			return nil
		}
	}
	return retryable(problem.New(problem.NoUpstream, "service %q: all replicas take no further requests for now", x.service), wait)
}
