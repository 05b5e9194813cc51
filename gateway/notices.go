package gateway

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/wire"
)

// notices is what replicas have said of themselves; its lock guards all of it.
type notices struct {
	mu      sync.Mutex
	account intake.LimitTable
	leavers intake.LeavingReplicas
	rests   intake.Backoffs
	// unread are the replicas whose wish for rest could not be read, as was logged.
	unread map[string]bool
	// replicas are those of the newest view.
	replicas map[string]catalog.Replica
	// bounding says that a limit was in force when last looked.
	bounding bool
	// repeated is when neighbours were last told what was heard meanwhile.
	repeated time.Time
}

// hear takes an answer of a replica.
func (g *Gateway) hear(a intake.ReplicaResponse) {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	if l, changed := g.notices.account.Observe(clock.Now(), a); changed {
		g.limitsChanged(g.settings.Load().Host, []intake.ReplicaLimit{l})
	}
	if l, first := g.notices.leavers.Observe(clock.Now(), a); first {
		g.leaves(g.settings.Load().Host, []intake.LeavingReplica{l})
	}
	g.hearRest(a)
}

// hearRest takes a replica's wish for rest; the notices' lock is held.
func (g *Gateway) hearRest(a intake.ReplicaResponse) {
	if a.Notice.Backoff <= 0 && a.Notice.UnparsedBackoff == "" {
		return
	}
	n, now := &g.notices, clock.Now()
	service := g.found.View().Replicas[a.Replica].Service
	if unread := a.Notice.UnparsedBackoff; unread != "" && !n.unread[a.Replica] {
		if n.unread == nil {
			n.unread = map[string]bool{}
		}
		n.unread[a.Replica] = true
		g.log.Warn("wish for rest not understood", zap.String("service", service), zap.String("replica", a.Replica), zap.String("value", unread))
	}
	rest, began, changed := n.rests.Observe(now, a, g.settings.Load().Rest.Most)
	if changed {
		g.boundResting()
	}
	if began {
		g.log.Info("replica asks for rest", zap.String("service", service), zap.String("replica", a.Replica),
			zap.Duration("asked", a.Notice.Backoff), zap.Duration("for", rest.Until.Sub(now)))
		g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_rests_asked_total{service=%q}", service)).Inc()
	}
}

// boundResting closes the replicas that rest, also those that are listed at the address of
// one meanwhile; the notices' lock is held.
func (g *Gateway) boundResting() {
	rests := g.notices.rests.All()
	parts, addresses := map[string]intake.Quota{}, map[string]intake.Quota{}
	for _, r := range rests {
		p := intake.Quota{BlockedUntil: r.Until}
		parts[r.Replica], addresses[r.Address] = p, p
	}
	if len(rests) > 0 {
		for id, r := range g.notices.replicas {
			if p, resting := addresses[r.Address]; resting {
				parts[id] = p
			}
		}
	}
	g.gates.SetQuotas(intake.BackingOff, parts)
}

// endRests opens the replicas whose rest is over.
func (g *Gateway) endRests() {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	if g.notices.rests.RemoveExpired(clock.Now()) {
		g.boundResting()
	}
}

// leaves puts in force that replicas leave, as a host has heard; the notices' lock is
// held.
func (g *Gateway) leaves(by string, leavers []intake.LeavingReplica) {
	if len(leavers) == 0 {
		return
	}
	g.boundLeavers()
	g.tellNeighbours(by, &wire.NoticesHeard{Leaving: leaversToWire(clock.Now(), leavers)})
	for _, l := range leavers {
		service := g.found.View().Replicas[l.Replica].Service
		g.log.Info("replica says that it leaves", zap.String("service", service), zap.String("replica", l.Replica),
			zap.String("peer", by), zap.Duration("since", clock.Since(l.AnnouncedAt)))
		g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_replicas_said_leaving_total{service=%q}", service)).Inc()
	}
}

// limitsChanged puts limits in force that this host or a fellow has heard, and tells the
// neighbours; the notices' lock is held.
func (g *Gateway) limitsChanged(by string, changed []intake.ReplicaLimit) {
	if len(changed) == 0 {
		return
	}
	for _, l := range changed {
		g.limitChanged(by, l)
	}
	g.boundLimited()
	g.tellNeighbours(by, &wire.NoticesHeard{Limits: limitsToWire(clock.Now(), changed)})
}

// boundLeavers closes the replicas that leave; the notices' lock is held.
func (g *Gateway) boundLeavers() {
	parts := map[string]intake.Quota{}
	for _, l := range g.notices.leavers.All() {
		parts[l.Replica] = intake.Quota{}
	}
	g.gates.SetQuotas(intake.Leaving, parts)
}

// keepLimits has this host keep to its parts of the limits that are in force, as hosts
// come and go.
func (g *Gateway) keepLimits() {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	if g.notices.bounding {
		g.boundLimited()
	}
}

// boundLimited works this host's parts of the limits out; the notices' lock is held.
func (g *Gateway) boundLimited() {
	limits := g.notices.account.Limits()
	parts := make(map[string]intake.Quota, len(limits))
	if len(limits) > 0 {
		shares, planner, view := g.livingShares(), g.stages.IsPlanner(), g.found.View()
		for _, l := range limits {
			if shares == nil {
				parts[l.Replica] = intake.NoQuota()
				continue
			}
			parts[l.Replica] = shares.LimitQuota(l, roleAt(view, l.Replica, planner))
		}
	}
	g.notices.bounding = len(limits) > 0
	g.gates.SetQuotas(intake.AnnouncedLimit, parts)
}

// livingShares are this host's parts among the hosts that live; nil while it does not
// know its fleet.
func (g *Gateway) livingShares() *intake.Shares {
	if _, complete := g.fleet.KnownHosts(); !complete {
		return nil
	}
	var names []string
	for _, h := range g.fleet.Reachable() {
		names = append(names, h.Name)
	}
	return intake.NewShares(g.settings.Load().Host, names)
}

// roleAt says what calls this host makes at a replica.
func roleAt(v *discovery.View, replica string, planner bool) intake.Role {
	if v.Config == nil {
		return intake.Requester
	}
	s := v.Config.Services[v.Replicas[replica].Service]
	switch {
	case s == nil || s.StageProfile == nil:
		return intake.Requester
	case planner:
		return intake.Planner
	}
	return intake.StageRequester
}

// limitChanged logs and counts what a replica has changed, as a host has heard.
func (g *Gateway) limitChanged(by string, l intake.ReplicaLimit) {
	service := g.found.View().Replicas[l.Replica].Service
	fields := []zap.Field{zap.String("service", service), zap.String("replica", l.Replica), zap.String("peer", by), zap.Duration("since", l.LastObserved.Sub(l.Since))}
	if !l.Limit.Announced {
		g.log.Info("replica's limit lifted", fields...)
		return
	}
	g.log.Info("replica names a limit", append(fields, zap.Float64("per_second", l.Limit.PerSecond))...)
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_limits_named_total{service=%q}", service)).Inc()
}

// replicasListed takes the replicas of a view: what is known of others is dropped.
func (g *Gateway) replicasListed(replicas map[string]catalog.Replica) {
	listed := func(replica string) bool { _, ok := replicas[replica]; return ok }
	g.gates.RemoveUnlisted(listed)
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	g.notices.replicas = replicas
	g.notices.account.RemoveExpired(clock.Now(), listed)
	maps.DeleteFunc(g.notices.unread, func(replica string, _ bool) bool { return !listed(replica) })
	if g.notices.leavers.RemoveExpired(clock.Now(), listed) {
		g.boundLeavers()
	}
	if len(g.notices.rests.All()) > 0 {
		g.boundResting()
	}
}
