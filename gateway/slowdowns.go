package gateway

import (
	"fmt"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/load"
	"github.com/wheatseam/wheatseam/core/slowdown"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/replica"
	"github.com/wheatseam/wheatseam/wire"
)

const (
	// baselineRefreshInterval is the interval at which the router is passed all baselines
	// again, because those of replicas that nobody has heard of approach 1. At 10,000
	// replicas this takes 11 ms.
	baselineRefreshInterval = 5 * time.Second
	// unlistedBaselineRetention is how long the baseline of an unlisted replica is kept after
	// its last observation: a peer may know the replica earlier, or it may be missing from the
	// list temporarily.
	unlistedBaselineRetention = time.Minute
)

// baselineSetter is the part of route.Router that baselines are passed to.
type baselineSetter interface {
	SetBaselineSlowdown(now time.Time, pool, upstream string, baseline float64)
}

// slowdowns holds how slow the machines of replicas are; mu guards all fields but router.
type slowdowns struct {
	router baselineSetter

	mu    sync.Mutex
	table slowdown.Table
	// unsent are the replicas whose changed baselines have not been sent to the neighbours.
	unsent map[string]bool
	// refreshedAt is when the table was last pruned and the router passed all baselines.
	refreshedAt time.Time
}

// observeResponse processes what a response says about the replica that sent it.
func (g *Gateway) observeResponse(o replica.Observation) {
	g.observeNotices(o.ReplicaResponse)
	if o.Refused {
		g.recordReplicaRefusal(o.Replica)
	}
	g.connectSucceeded(o.Replica)
	g.countLoadReport(o.Head)
	if l := o.Head.Load; l != nil {
		g.observeLoad(o.Replica, *l, o.Relayed)
	}
}

// countLoadReport counts a response with a load report, by how much of it could be decoded.
func (g *Gateway) countLoadReport(head platform.ResponseHead) {
	var kind string
	switch {
	case head.InvalidLoad:
		kind = "invalid"
	case head.Load == nil:
		return
	case head.InvalidSlowdown:
		kind = "invalid_slowdown"
	case head.Load.Slowdown > 0:
		kind = "slowdown"
	default:
		kind = "plain"
	}
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_load_reports_total{kind=%q}", kind)).Inc()
}

// observeLoad passes a load report on to the router. Reports of calls that this daemon makes
// on its own are used only if they have a slowdown: a service whose replicas report none is
// routed as it was before slowdowns were reported.
func (g *Gateway) observeLoad(replicaID string, l platform.Load, relayed bool) {
	if !relayed && l.Slowdown <= 0 {
		return
	}
	now := clock.Now()
	g.router.Observe(load.Report{Upstream: replicaID, AsOf: now, Running: l.Running, Queued: l.Waiting, Slowdown: l.Slowdown})
	if l.Slowdown <= 0 {
		return
	}
	s := &g.slowdowns
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, _ := s.table.Get(replicaID)
	if b, changed := s.table.Observe(now, replicaID, l.Slowdown); changed {
		g.applySlowdown(now, g.settings.Load().Host, previous.Slowdown, b)
	}
}

// mergeSlowdowns merges the baselines that a peer knows.
func (g *Gateway) mergeSlowdowns(host string, received []*wire.ReplicaSlowdown) {
	if len(received) == 0 {
		return
	}
	g.metrics.GetOrCreateCounter("wheatseam_replica_slowdown_notices_received_total").Add(len(received))
	now := clock.Now()
	s := &g.slowdowns
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range slowdownsFromWire(now, received) {
		previous, _ := s.table.Get(b.Replica)
		for _, changed := range s.table.Merge(now, []slowdown.Baseline{b}) {
			g.applySlowdown(now, host, previous.Slowdown, changed)
		}
	}
}

// applySlowdown passes a changed baseline, as observed by the given host, on to the router
// and marks it to be sent to the neighbours; the lock of the slowdowns must be held.
func (g *Gateway) applySlowdown(now time.Time, host string, previous float64, b slowdown.Baseline) {
	s, replicas := &g.slowdowns, g.discovery.View().Replicas
	if s.unsent == nil {
		s.unsent = map[string]bool{}
	}
	s.unsent[b.Replica] = true
	s.passOn(now, replicas, b)
	g.log.Info("replica slowdown changed", zap.String("service", replicas.Get(b.Replica).Service), zap.String("replica", b.Replica),
		zap.Float64("from", previous), zap.Float64("to", b.Slowdown), zap.String("peer", host))
}

// passOn passes a baseline on to the router if its replica is listed; mu must be held.
func (s *slowdowns) passOn(now time.Time, replicas *catalog.ReplicaSet, b slowdown.Baseline) {
	if r := replicas.Find(b.Replica); r != nil {
		s.router.SetBaselineSlowdown(now, r.Service, r.ID, b.Expected(now))
	}
}

// passOnKnown passes on the baseline of a replica, if it has one.
func (s *slowdowns) passOnKnown(now time.Time, replicas *catalog.ReplicaSet, replicaID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, known := s.table.Get(replicaID); known {
		s.passOn(now, replicas, b)
	}
}

// passOnAll passes on all baselines of listed replicas. It takes the lock for each one, so
// that responses do not wait for all.
func (s *slowdowns) passOnAll(now time.Time, replicas *catalog.ReplicaSet) {
	for _, id := range s.replicas() {
		s.passOnKnown(now, replicas, id)
	}
}

// replicas returns the IDs of the replicas that have a baseline, in any order.
func (s *slowdowns) replicas() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, s.table.Len())
	for b := range s.table.All() {
		ids = append(ids, b.Replica)
	}
	return ids
}

// applyView passes on the baselines of the replicas that changed from the previous view to a
// new one, or of all if the pools were set up again.
func (s *slowdowns) applyView(now time.Time, previous, v *discovery.View, byChanges bool) {
	if !byChanges {
		s.passOnAll(now, v.Replicas)
		return
	}
	for _, c := range previous.Replicas.Diff(v.Replicas) {
		s.passOnKnown(now, v.Replicas, c.ID())
	}
}

// refresh drops the baselines of unlisted replicas and passes on all others, if that is due.
func (s *slowdowns) refresh(now time.Time, replicas *catalog.ReplicaSet) {
	if s.pruneIfDue(now, replicas) {
		s.passOnAll(now, replicas)
	}
}

// pruneIfDue drops the baselines of unlisted replicas and reports whether that was due.
func (s *slowdowns) pruneIfDue(now time.Time, replicas *catalog.ReplicaSet) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.refreshedAt) < baselineRefreshInterval {
		return false
	}
	s.refreshedAt = now
	s.table.Prune(func(b slowdown.Baseline) bool {
		return replicas.Has(b.Replica) || now.Sub(b.ObservedAt) <= unlistedBaselineRetention
	})
	return true
}

// refreshSlowdowns sends the neighbours the baselines that changed since the last call, and
// refreshes those of the router.
func (g *Gateway) refreshSlowdowns(now time.Time) {
	if changed := g.slowdowns.takeUnsent(); len(changed) > 0 {
		g.sendToNeighbours("", &wire.NoticesHeard{Slowdowns: slowdownsToWire(now, changed)})
	}
	g.slowdowns.refresh(now, g.discovery.View().Replicas)
}

// takeUnsent returns the baselines that changed since the last call.
func (s *slowdowns) takeUnsent() []slowdown.Baseline {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []slowdown.Baseline
	for replicaID := range s.unsent {
		if b, known := s.table.Get(replicaID); known {
			changed = append(changed, b)
		}
	}
	clear(s.unsent)
	return changed
}

// resend returns the baselines that the periodic resend of notices sends to the neighbours.
func (s *slowdowns) resend(now time.Time) []*wire.ReplicaSlowdown {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slowdownsToWire(now, s.table.Resend(now))
}

// slowdownsToWire encodes times as ages, because the clocks of hosts are not synchronized.
func slowdownsToWire(now time.Time, baselines []slowdown.Baseline) []*wire.ReplicaSlowdown {
	out := make([]*wire.ReplicaSlowdown, 0, len(baselines))
	for _, b := range baselines {
		out = append(out, &wire.ReplicaSlowdown{Replica: b.Replica, SlowdownPercent: uint32(math.Round(b.Slowdown * 100)), AgeMs: now.Sub(b.ObservedAt).Milliseconds()})
	}
	return out
}

// slowdownsFromWire drops observations with a negative age. The table drops values that no
// replica can have reported.
func slowdownsFromWire(now time.Time, received []*wire.ReplicaSlowdown) []slowdown.Baseline {
	out := make([]slowdown.Baseline, 0, len(received))
	for _, r := range received {
		if r.GetAgeMs() >= 0 {
			out = append(out, slowdown.Baseline{Replica: r.GetReplica(), Slowdown: float64(r.GetSlowdownPercent()) / 100, ObservedAt: timeFromAge(now, r.GetAgeMs())})
		}
	}
	return out
}

// SlowdownState is the baseline of a replica as the state dump shows it.
type SlowdownState struct {
	Replica string `json:"replica"`
	// Slowdown is a multiple of the usual time.
	Slowdown float64 `json:"slowdown"`
	// ObservedS is the number of seconds since the value was last observed by any host, as
	// far as this host knows.
	ObservedS float64 `json:"observed_s"`
}

// states lists the baselines, for operators.
func (s *slowdowns) states(now time.Time) []SlowdownState {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]SlowdownState, 0, s.table.Len())
	for _, b := range s.table.ObservedAfter(time.Time{}) {
		out = append(out, SlowdownState{Replica: b.Replica, Slowdown: b.Slowdown, ObservedS: now.Sub(b.ObservedAt).Seconds()})
	}
	return out
}

// count returns the number of baselines.
func (s *slowdowns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}
