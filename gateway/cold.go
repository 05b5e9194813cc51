package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
)

const (
	// coldUse is the part of what a cold replica bears that hosts share out. The rest
	// is for requests of hosts that do not know yet that it is cold.
	coldUse = 0.6
	// boundEvery is the interval at which the parts are worked out anew while replicas
	// are cold or name limits: hosts come and go.
	boundEvery = 250 * time.Millisecond
	// coldStale is the age of a view from which its word that a replica is cold holds
	// no longer than the replica's warm-up takes.
	coldStale = 3 * time.Second
)

// coldReplicas follows which replicas are cold. It is safe for concurrent use.
type coldReplicas struct {
	mu sync.Mutex
	// view is the newest one.
	view *discovery.View
	// since is when a replica was first heard to be cold, by id.
	since map[string]time.Time
	// evacuated and returned are the failure domains that were evacuated when last
	// looked, and when others were taken back: their replicas may be as cold as new ones.
	evacuated map[string]bool
	returned  map[string]time.Time
}

func newColdReplicas() *coldReplicas {
	return &coldReplicas{since: map[string]time.Time{}, evacuated: map[string]bool{}, returned: map[string]time.Time{}}
}

// update takes a view and returns the replicas that are cold; the lock is held.
func (c *coldReplicas) update(now time.Time, v *discovery.View) []catalog.Replica {
	c.noteReturns(now, v)
	var cold []catalog.Replica
	for id, r := range v.Replicas {
		s := v.Config.Services[r.Service]
		if s == nil || s.ColdRate <= 0 || r.Draining {
			continue
		}
		if c.isCold(now, r, s.Warmup, now.Sub(v.AsOf) > coldStale) {
			cold = append(cold, r)
		} else if !r.Cold {
			delete(c.since, id)
		}
	}
	maps.DeleteFunc(c.since, func(id string, _ time.Time) bool { _, listed := v.Replicas[id]; return !listed })
	return cold
}

// noteReturns notes which failure domains have been taken back; the lock is held.
func (c *coldReplicas) noteReturns(now time.Time, v *discovery.View) {
	for domain := range c.evacuated {
		if !v.Evacuations.Has(domain) {
			c.returned[domain] = now
		}
	}
	clear(c.evacuated)
	for _, domain := range v.Evacuations.Domains {
		c.evacuated[domain] = true
		delete(c.returned, domain)
	}
}

// isCold says whether a replica is to be taken for cold; the lock is held.
func (c *coldReplicas) isCold(now time.Time, r catalog.Replica, warmup time.Duration, stale bool) bool {
	if at, ok := c.returned[r.FailureDomain]; ok && now.Sub(at) < warmup {
		return true
	}
	if !r.Cold {
		return false
	}
	first, known := c.since[r.ID]
	if !known {
		c.since[r.ID], first = now, now
	}
	return !stale || now.Sub(first) < warmup
}

// limitCold has the router keep to this host's part of the requests that cold replicas
// bear, by a new view or, with nil, by the last one: what an older view says of them
// never replaces what a newer one does.
func (g *Gateway) limitCold(v *discovery.View) {
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	if v != nil {
		g.cold.view = v
	}
	v = g.cold.view
	cold := g.cold.update(clock.Now(), v)
	most := make(map[string]int, len(cold))
	if len(cold) > 0 {
		hosts, complete := g.fleet.KnownHosts()
		shares, planner := intake.NewShares(g.settings.Load().Host, hosts), g.stages.IsPlanner()
		for _, r := range cold {
			most[r.ID] = 0
			if complete {
				most[r.ID] = shares.CallsForRole(r.ID, g.coldLimit(v.Config.Services[r.Service]), roleAt(v, r.ID, planner))
			}
		}
	}
	g.router.SetColdLimits(most)
	before := int(g.coldCount.Swap(int64(len(cold))))
	if (before == 0) != (len(cold) == 0) {
		g.log.Info("cold replicas", zap.Int("replicas", len(cold)), zap.Int("before", before))
	}
}

// coldLimit is the number of requests in any second that hosts share out at a cold
// replica of a service.
func (g *Gateway) coldLimit(s *catalog.Service) int {
	c := g.settings.Load().Cold
	return max(1, int(coldUse*(s.ColdRate*c.Overage+c.Slack)))
}

// keepBounds keeps to what replicas take while any is cold or names a limit, until ctx
// ends.
func (g *Gateway) keepBounds(ctx context.Context) {
	for periodic.Sleep(ctx, boundEvery) {
		if g.coldCount.Load() > 0 {
			g.limitCold(nil)
		}
		g.keepLimits()
		g.endRests()
		g.repeatHeard(clock.Now())
	}
}
