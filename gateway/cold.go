package gateway

import (
	"context"
	"maps"
	"slices"
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
	// coldShareFraction is the fraction of a cold replica's limit that hosts divide among
	// themselves. The rest is left for requests of hosts that do not know yet that the
	// replica is cold.
	coldShareFraction = 0.6
	// limitRefreshInterval is the interval at which this host's shares are recomputed while
	// replicas are cold or announce limits, since hosts join and leave.
	limitRefreshInterval = 250 * time.Millisecond
	// coldViewMaxAge is the time without a read of the store beyond which a replica that is
	// listed as cold counts as cold only for the duration of the replica's warm-up.
	coldViewMaxAge = 3 * time.Second
)

// coldReplicaTracker tracks which replicas are cold. It is safe for concurrent use.
type coldReplicaTracker struct {
	mu sync.Mutex
	// view is the newest view with changes, and flagged are the replicas that it lists as
	// cold, by ID.
	view    *discovery.View
	flagged map[string]*catalog.Replica
	// coldSince is when a replica was first seen to be cold, by ID.
	coldSince map[string]time.Time
	// evacuated are the failure domains that were evacuated in the last view, and
	// restoredAt is when others were restored: their replicas may be as cold as new ones.
	evacuated  map[string]bool
	restoredAt map[string]time.Time
	// shares are this host's shares of the calls to cold replicas that run no stages, by ID, and
	// loans the calls that hosts lend each other.
	shares map[string]coldShare
	loans  intake.Loans
}

// coldShare is this host's share of the calls to a cold replica. total is the number of calls per
// window that all hosts share.
type coldShare struct {
	quota intake.Quota
	total int
}

// ColdState is a cold replica, as the state dump shows it: this host's share of the calls in a
// second, and those that it lends to others, or they to it.
type ColdState struct {
	Replica  string `json:"replica"`
	Share    int    `json:"share"`
	Lent     int    `json:"lent,omitempty"`
	Borrowed int    `json:"borrowed,omitempty"`
}

// states lists the cold replicas that run no stages, for operators.
func (c *coldReplicaTracker) states(now time.Time) []ColdState {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]ColdState, 0, len(c.shares))
	for _, id := range slices.Sorted(maps.Keys(c.shares)) {
		s := ColdState{Replica: id, Share: c.shares[id].quota.Calls}
		s.Lent, s.Borrowed = c.loans.Totals(now, id)
		out = append(out, s)
	}
	return out
}

func newColdReplicaTracker() *coldReplicaTracker {
	return &coldReplicaTracker{flagged: map[string]*catalog.Replica{}, coldSince: map[string]time.Time{}, evacuated: map[string]bool{}, restoredAt: map[string]time.Time{}, loans: intake.NewColdLoans()}
}

// setView records a new view and which replicas it lists as cold; mu must be held.
func (c *coldReplicaTracker) setView(v *discovery.View) {
	var previous *catalog.ReplicaSet
	if c.view != nil {
		previous = c.view.Replicas
	}
	for _, change := range previous.Diff(v.Replicas) {
		delete(c.flagged, change.ID())
		if change.New != nil && change.New.Cold {
			c.flagged[change.ID()] = change.New
		}
	}
	c.view = v
}

// update returns the replicas that are cold; mu must be held. asOf is when the store was last
// read, which may be later than the view, since a read that changes nothing makes no new one.
func (c *coldReplicaTracker) update(now, asOf time.Time) []*catalog.Replica {
	v := c.view
	c.recordRestored(now, v)
	var cold []*catalog.Replica
	add := func(r *catalog.Replica) {
		s := v.Config.Services[r.Service]
		if s != nil && s.ColdRate > 0 && !r.Draining && c.isCold(now, r, s.Warmup, now.Sub(asOf) > coldViewMaxAge) {
			cold = append(cold, r)
		}
	}
	if c.anyRestored(now) {
		for r := range v.Replicas.All() {
			add(r)
		}
	} else {
		for _, r := range c.flagged {
			add(r)
		}
	}
	maps.DeleteFunc(c.coldSince, func(id string, _ time.Time) bool { return c.flagged[id] == nil })
	return cold
}

// anyRestored reports whether the replicas of a restored failure domain may be cold; mu must
// be held.
func (c *coldReplicaTracker) anyRestored(now time.Time) bool {
	var longest time.Duration
	for _, s := range c.view.Config.Services {
		if s.ColdRate > 0 {
			longest = max(longest, s.Warmup)
		}
	}
	for _, at := range c.restoredAt {
		if now.Sub(at) < longest {
			return true
		}
	}
	return false
}

// recordRestored records which failure domains have been restored; mu must be held.
func (c *coldReplicaTracker) recordRestored(now time.Time, v *discovery.View) {
	for domain := range c.evacuated {
		if !v.Evacuations.Has(domain) {
			c.restoredAt[domain] = now
		}
	}
	clear(c.evacuated)
	for _, domain := range v.Evacuations.Domains {
		c.evacuated[domain] = true
		delete(c.restoredAt, domain)
	}
}

// isCold reports whether a replica must be treated as cold; mu must be held.
func (c *coldReplicaTracker) isCold(now time.Time, r *catalog.Replica, warmup time.Duration, stale bool) bool {
	if at, ok := c.restoredAt[r.FailureDomain]; ok && now.Sub(at) < warmup {
		return true
	}
	if !r.Cold {
		return false
	}
	first, known := c.coldSince[r.ID]
	if !known {
		c.coldSince[r.ID], first = now, now
	}
	return !stale || now.Sub(first) < warmup
}

// updateColdLimits gives the router this host's share of the requests that each cold
// replica can take, from a new view or, with nil, from the last one. A periodic update reads
// the last view under the lock, so that it does not overwrite the limits of a newer view.
func (g *Gateway) updateColdLimits(v *discovery.View) {
	g.coldTracker.mu.Lock()
	defer g.coldTracker.mu.Unlock()
	if v != nil {
		g.coldTracker.setView(v)
	}
	v = g.coldTracker.view
	asOf := v.AsOf
	if latest := g.discovery.View().AsOf; latest.After(asOf) {
		asOf = latest
	}
	cold := g.coldTracker.update(clock.Now(), asOf)
	g.router.SetColdLimits(g.coldLimits(v, cold))
	previous := int(g.coldCount.Swap(int64(len(cold))))
	if (previous == 0) != (len(cold) == 0) {
		g.log.Info("cold replicas", zap.Int("replicas", len(cold)), zap.Int("before", previous))
	}
}

// coldLimits returns how many calls this host may begin at each cold replica in a second, and updates
// its shares; the tracker's lock must be held.
func (g *Gateway) coldLimits(v *discovery.View, cold []*catalog.Replica) map[string]int {
	limits := make(map[string]int, len(cold))
	g.coldTracker.shares = make(map[string]coldShare, len(cold))
	if len(cold) == 0 {
		return limits
	}
	hosts, complete := g.fleet.KnownHosts()
	shares, planner, reachable := intake.NewShares(g.settings.Load().Host, hosts), g.stages.IsPlanner(), g.isReachable()
	loans := &g.coldTracker.loans
	for _, r := range cold {
		if !complete {
			limits[r.ID] = 0
			continue
		}
		total, role := g.coldLimit(v.Config.Services[r.Service]), callRole(v.Config, v.Replicas, r.ID, planner)
		limits[r.ID] = shares.CallsForRole(r.ID, total, role)
		if role == intake.Requester {
			share := coldShare{intake.Quota{Calls: limits[r.ID], Window: loans.Window()}, total}
			g.coldTracker.shares[r.ID] = share
			limits[r.ID] = loans.Adjust(clock.Now(), r.ID, share.quota, reachable).Calls
		}
	}
	return limits
}

// coldLimit is the number of requests in any second, at a cold replica of a service, that
// hosts divide among themselves.
func (g *Gateway) coldLimit(s *catalog.Service) int {
	c := g.settings.Load().Cold
	return max(1, int(coldShareFraction*(s.ColdRate*c.Overage+c.Slack)))
}

// refreshColdLimits computes this host's limits at cold replicas anew, if there are any.
func (g *Gateway) refreshColdLimits() {
	if g.coldCount.Load() > 0 {
		g.updateColdLimits(nil)
	}
}

// refreshLimitsPeriodically recomputes the limits on calls to replicas, expires backoffs,
// sends changed baselines of slowdowns and notices to the neighbours, and probes unreachable
// replicas and the ways to them until ctx ends.
func (g *Gateway) refreshLimitsPeriodically(ctx context.Context) {
	for periodic.Sleep(ctx, limitRefreshInterval) {
		g.refreshColdLimits()
		g.refreshLimitShares()
		g.borrowCalls()
		g.expireBackoffs()
		g.resendNotices(clock.Now())
		g.refreshSlowdowns(clock.Now())
		g.refreshReachability(clock.Now())
		g.refreshPaths(ctx)
	}
}
