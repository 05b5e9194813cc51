package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/wire"
)

// observeRefusalLimit processes what a response says about the number of calls that its
// replica can refuse; the notices' lock must be held.
func (g *Gateway) observeRefusalLimit(a intake.ReplicaResponse) {
	a.Notice.Limit = a.Notice.RefusalLimit
	if l, changed := g.notices.refusalLimits.Observe(clock.Now(), a); changed {
		g.applyRefusalLimits(g.settings.Load().Host, []intake.ReplicaLimit{l})
	}
}

// applyRefusalLimits enforces changed limits, as observed by the given host, and notifies the
// neighbours; the notices' lock must be held.
func (g *Gateway) applyRefusalLimits(host string, changed []intake.ReplicaLimit) {
	if len(changed) == 0 {
		return
	}
	for _, l := range changed {
		g.logRefusalLimit(host, l)
	}
	g.updateRefusalQuotas()
	g.sendToNeighbours(host, &wire.NoticesHeard{RefusalLimits: limitsToWire(clock.Now(), changed)})
}

// refusalInputs is what the quotas were last computed from.
type refusalInputs struct {
	// hosts are the names of the live hosts, joined; "" while they are not all known.
	hosts    string
	planner  bool
	config   *catalog.Config
	replicas *catalog.ReplicaSet
}

// newRefusalInputs returns the inputs that a view holds. Views are replaced at each read of the
// store; these are the parts that stay as long as their content does.
func newRefusalInputs(v *discovery.View) refusalInputs {
	return refusalInputs{config: v.Config, replicas: v.Replicas}
}

// refreshRefusalQuotas computes this host's quotas if hosts, planner, configuration or replicas
// have changed; the notices' lock must be held.
func (g *Gateway) refreshRefusalQuotas() {
	if g.notices.refusalLimitsActive && g.currentRefusalInputs() != g.notices.refusalInputs {
		g.updateRefusalQuotas()
	}
}

func (g *Gateway) currentRefusalInputs() refusalInputs {
	in := newRefusalInputs(g.discovery.View())
	in.planner = g.stages.IsPlanner()
	if _, complete := g.fleet.KnownHosts(); complete {
		var names []string
		for _, h := range g.fleet.Reachable() {
			names = append(names, h.Name)
		}
		slices.Sort(names)
		in.hosts = strings.Join(names, " ")
	}
	return in
}

// updateRefusalQuotas computes this host's quotas; the notices' lock must be held.
func (g *Gateway) updateRefusalQuotas() {
	limits := g.notices.refusalLimits.Limits()
	g.notices.refusalInputs = g.currentRefusalInputs()
	quotas := make(map[string]intake.Quota, len(limits))
	if in := g.notices.refusalInputs; in.hosts == "" {
		for _, l := range limits {
			quotas[l.Replica] = intake.NoRefusalQuota()
		}
	} else {
		shares := intake.NewShares(g.settings.Load().Host, strings.Fields(in.hosts))
		slots := func(replica string) int { return in.replicas.Get(replica).Concurrency }
		byService := map[string][]intake.ReplicaLimit{}
		for _, l := range limits {
			service := in.replicas.Get(l.Replica).Service
			byService[service] = append(byService[service], l)
		}
		for _, ofService := range byService {
			maps.Copy(quotas, shares.RefusalQuotas(ofService, slots, callRole(in.config, in.replicas, ofService[0].Replica, in.planner)))
		}
	}
	g.notices.refusalLimitsActive = len(limits) > 0
	g.limiters.SetQuotas(intake.Refusals, quotas)
}

// mergeRefusalLimits merges the limits that a peer knows, and returns those that this host
// knows to be newer, to be sent to the peer.
func (g *Gateway) mergeRefusalLimits(host string, received []*wire.ReplicaLimit) []*wire.ReplicaLimit {
	now := clock.Now()
	limits := limitsFromWire(now, received)
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	changed, newer := g.notices.refusalLimits.Merge(now, limits)
	g.applyRefusalLimits(host, changed)
	return limitsToWire(now, newer)
}

// logRefusalLimit logs and counts a changed limit of a replica, as observed by the given host.
func (g *Gateway) logRefusalLimit(host string, l intake.ReplicaLimit) {
	service := g.discovery.View().Replicas.Get(l.Replica).Service
	fields := []zap.Field{zap.String("service", service), zap.String("replica", l.Replica), zap.String("peer", host)}
	if !l.Limit.Announced {
		g.log.Info("replica lifted its limit on refusals", fields...)
		return
	}
	g.log.Info("replica announced a limit on refusals", append(fields, zap.Float64("per_second", l.Limit.PerSecond))...)
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_refusal_limits_announced_total{service=%q}", service)).Inc()
}

// recordReplicaRefusal records a refusal for want of room, and counts it if the replica has
// announced how many it can take.
func (g *Gateway) recordReplicaRefusal(replica string) {
	g.limiters.Get(replica).RecordRefusal(clock.Now(), true)
	g.notices.mu.Lock()
	limited := g.notices.refusalLimitsActive
	g.notices.mu.Unlock()
	if limited {
		service := g.discovery.View().Replicas.Get(replica).Service
		g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_refusals_under_limit_total{service=%q}", service)).Inc()
	}
}

// refusalLimitStates lists the active limits on refusals, for operators.
func (n *notices) refusalLimitStates(now time.Time) []LimitState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return limitStatesOf(now, n.refusalLimits.Limits())
}
