package gateway

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/wire"
)

// notices holds what replicas announce about themselves in their answers; mu guards all
// fields.
type notices struct {
	mu              sync.Mutex
	announcedLimits intake.LimitTable
	// loans are the calls of these limits that hosts lend each other.
	loans intake.Loans
	// lastBorrowed is when peers were last asked for loans, of whatever limits.
	lastBorrowed time.Time
	// refusalLimits are the numbers of calls that replicas can refuse in a second.
	refusalLimits   intake.LimitTable
	refusalInputs   refusalInputs
	leavingReplicas intake.LeavingReplicas
	backoffs        intake.Backoffs
	// invalidBackoff are the replicas whose invalid Retry-After value has been logged.
	invalidBackoff map[string]bool
	// replicas are the replicas of the newest view.
	replicas *catalog.ReplicaSet
	// byAddress lists the IDs of these replicas by address; nil until it is needed.
	byAddress map[string][]string
	// limitsActive and refusalLimitsActive are set if such a limit was active at the last update.
	limitsActive, refusalLimitsActive bool
	// lastResent is when resendNotices last sent notices to the neighbours.
	lastResent time.Time
}

// observeNotices processes the notices in an answer of a replica.
func (g *Gateway) observeNotices(a intake.ReplicaResponse) {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	if l, changed := g.notices.announcedLimits.Observe(clock.Now(), a); changed {
		g.applyLimits(g.settings.Load().Host, []intake.ReplicaLimit{l})
	}
	g.observeRefusalLimit(a)
	if l, isNew := g.notices.leavingReplicas.Observe(clock.Now(), a); isNew {
		g.applyLeaving(g.settings.Load().Host, []intake.LeavingReplica{l})
	}
	g.observeBackoff(a)
}

// observeBackoff processes a replica's request for a backoff; the notices' lock must be
// held.
func (g *Gateway) observeBackoff(a intake.ReplicaResponse) {
	if a.Notice.Backoff <= 0 && a.Notice.UnparsedBackoff == "" {
		return
	}
	n, now := &g.notices, clock.Now()
	service := g.discovery.View().Replicas.Get(a.Replica).Service
	if invalid := a.Notice.UnparsedBackoff; invalid != "" && !n.invalidBackoff[a.Replica] {
		if n.invalidBackoff == nil {
			n.invalidBackoff = map[string]bool{}
		}
		n.invalidBackoff[a.Replica] = true
		g.log.Warn("replica sent an invalid backoff time", zap.String("service", service), zap.String("replica", a.Replica), zap.String("value", invalid))
	}
	backoff, began, changed := n.backoffs.Observe(now, a, g.settings.Load().Backoff.Max)
	if changed {
		g.applyBackoffs()
	}
	if began {
		g.log.Info("replica asked for a backoff", zap.String("service", service), zap.String("replica", a.Replica),
			zap.Duration("asked", a.Notice.Backoff), zap.Duration("for", backoff.Until.Sub(now)))
		g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_rests_asked_total{service=%q}", service)).Inc()
	}
}

// applyBackoffs blocks calls to the replicas that asked for a backoff, and to replicas that
// are now listed at the address of one of these; the notices' lock must be held.
func (g *Gateway) applyBackoffs() {
	backoffs := g.notices.backoffs.All()
	quotas := map[string]intake.Quota{}
	for _, r := range backoffs {
		p := intake.Quota{BlockedUntil: r.Until}
		quotas[r.Replica] = p
		for _, id := range g.notices.replicasAt(r.Address) {
			quotas[id] = p
		}
	}
	g.limiters.SetQuotas(intake.BackingOff, quotas)
}

// replicasAt returns the IDs of the replicas that are listed at an address; mu must be held.
func (n *notices) replicasAt(address string) []string {
	if n.byAddress == nil {
		n.byAddress = make(map[string][]string, n.replicas.Len())
		for r := range n.replicas.All() {
			n.byAddress[r.Address] = append(n.byAddress[r.Address], r.ID)
		}
	}
	return n.byAddress[address]
}

// expireBackoffs allows calls to the replicas whose backoff is over.
func (g *Gateway) expireBackoffs() {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	if g.notices.backoffs.RemoveExpired(clock.Now()) {
		g.applyBackoffs()
	}
}

// applyLeaving blocks calls to replicas that are leaving, as observed by the given host,
// and notifies the neighbours; the notices' lock must be held.
func (g *Gateway) applyLeaving(host string, leaving []intake.LeavingReplica) {
	if len(leaving) == 0 {
		return
	}
	g.updateLeavingQuotas()
	g.sendToNeighbours(host, &wire.NoticesHeard{Leaving: leavingToWire(clock.Now(), leaving)})
	for _, l := range leaving {
		service := g.discovery.View().Replicas.Get(l.Replica).Service
		g.log.Info("replica announced that it is leaving", zap.String("service", service), zap.String("replica", l.Replica),
			zap.String("peer", host), zap.Duration("since", clock.Since(l.AnnouncedAt)))
		g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_replicas_said_leaving_total{service=%q}", service)).Inc()
	}
}

// applyLimits enforces changed limits, as observed by the given host, and notifies the
// neighbours; the notices' lock must be held.
func (g *Gateway) applyLimits(host string, changed []intake.ReplicaLimit) {
	if len(changed) == 0 {
		return
	}
	for _, l := range changed {
		g.logLimit(host, l)
		g.notices.loans.LimitChanged(l.Replica)
	}
	g.updateLimitShares()
	g.sendToNeighbours(host, &wire.NoticesHeard{Limits: limitsToWire(clock.Now(), changed)})
}

// updateLeavingQuotas blocks calls to the replicas that are leaving; the notices' lock must
// be held.
func (g *Gateway) updateLeavingQuotas() {
	quotas := map[string]intake.Quota{}
	for _, l := range g.notices.leavingReplicas.All() {
		quotas[l.Replica] = intake.Quota{}
	}
	g.limiters.SetQuotas(intake.Leaving, quotas)
}

// refreshLimitShares recomputes this host's shares of the active limits, since hosts join
// and leave.
func (g *Gateway) refreshLimitShares() {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	if g.notices.limitsActive {
		g.updateLimitShares()
	}
	g.refreshRefusalQuotas()
}

// updateLimitShares computes this host's shares of the limits; the notices' lock must be
// held.
func (g *Gateway) updateLimitShares() {
	limits := g.notices.announcedLimits.Limits()
	quotas := make(map[string]intake.Quota, len(limits))
	if len(limits) > 0 {
		shares, planner, view, reachable := g.liveShares(), g.stages.IsPlanner(), g.discovery.View(), g.isReachable()
		for _, l := range limits {
			if shares == nil {
				quotas[l.Replica] = intake.NoQuota()
				continue
			}
			share := shares.LimitQuota(l, callRole(view.Config, view.Replicas, l.Replica, planner))
			quotas[l.Replica] = g.notices.loans.Adjust(clock.Now(), l.Replica, share, reachable).Capped()
		}
	}
	g.notices.limitsActive = len(limits) > 0
	g.limiters.SetQuotas(intake.AnnouncedLimit, quotas)
}

// liveShares computes this host's shares among the hosts that are alive; nil while the set
// of hosts is not complete.
func (g *Gateway) liveShares() *intake.Shares {
	if _, complete := g.fleet.KnownHosts(); !complete {
		return nil
	}
	var names []string
	for _, h := range g.fleet.Reachable() {
		names = append(names, h.Name)
	}
	return intake.NewShares(g.settings.Load().Host, names)
}

// callRole returns the role in which this host calls a replica.
func callRole(config *catalog.Config, replicas *catalog.ReplicaSet, replica string, planner bool) intake.Role {
	if config == nil {
		return intake.Requester
	}
	s := config.Services[replicas.Get(replica).Service]
	switch {
	case s == nil || s.StageProfile == nil:
		return intake.Requester
	case planner:
		return intake.Planner
	}
	return intake.StageRequester
}

// logLimit logs and counts a changed limit of a replica, as observed by the given host.
func (g *Gateway) logLimit(host string, l intake.ReplicaLimit) {
	service := g.discovery.View().Replicas.Get(l.Replica).Service
	fields := []zap.Field{zap.String("service", service), zap.String("replica", l.Replica), zap.String("peer", host), zap.Duration("since", l.LastObserved.Sub(l.Since))}
	if !l.Limit.Announced {
		g.log.Info("replica lifted its rate limit", fields...)
		return
	}
	g.log.Info("replica announced a rate limit", append(fields, zap.Float64("per_second", l.Limit.PerSecond))...)
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_limits_named_total{service=%q}", service)).Inc()
}

// pruneNotices drops the notices of replicas that a view does not list.
func (g *Gateway) pruneNotices(replicas *catalog.ReplicaSet) {
	listed := replicas.Has
	g.limiters.RemoveUnlisted(clock.Now(), listed)
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	g.notices.replicas, g.notices.byAddress = replicas, nil
	g.notices.announcedLimits.RemoveExpired(clock.Now(), listed)
	g.notices.refusalLimits.RemoveExpired(clock.Now(), listed)
	maps.DeleteFunc(g.notices.invalidBackoff, func(replica string, _ bool) bool { return !listed(replica) })
	if g.notices.leavingReplicas.RemoveExpired(clock.Now(), listed) {
		g.updateLeavingQuotas()
	}
	if len(g.notices.backoffs.All()) > 0 {
		g.applyBackoffs()
	}
}
