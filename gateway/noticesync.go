package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/slowdown"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

const (
	methodNotices = "gateway.notices"
	// noticeSendTimeout limits sending notices to one peer.
	noticeSendTimeout = 500 * time.Millisecond
	// noticeResendInterval is the interval at which neighbours are sent the notices that
	// were observed since the last time: limits that still hold, baselines that were
	// confirmed, and notices whose call failed.
	noticeResendInterval = slowdown.ResendInterval
	// leavingResendPeriod is for how long neighbours are notified repeatedly that a replica
	// is leaving.
	leavingResendPeriod = 10 * time.Second
	// maxNoticesPerCall limits the replicas in one call, at about 50 bytes each.
	maxNoticesPerCall = 1000
	// maxNoticeAge limits the ages that are accepted from a peer.
	maxNoticeAge = time.Hour
)

// errNotInitialized is returned to calls that arrive before New has constructed the
// gateway.
var errNotInitialized = errors.New("gateway: not started yet")

// registerNoticeHandler handles the notices of replicas that peers send.
func (g *Gateway) registerNoticeHandler(mux *peer.Mux) {
	peer.Handle(mux, methodNotices, func(_ context.Context, from peer.Sender, m *wire.NoticesHeard) (*wire.NoticesNoted, error) {
		select {
		case <-g.initialized:
		default:
			return nil, errNotInitialized
		}
		g.mergeLeaving(from.Host, m.GetLeaving())
		g.mergeSlowdowns(from.Host, m.GetSlowdowns())
		g.mergeUnreachable(m.GetUnreachable())
		return &wire.NoticesNoted{
			Newer:              g.mergeLimits(from.Host, m.GetLimits()),
			NewerRefusalLimits: g.mergeRefusalLimits(from.Host, m.GetRefusalLimits()),
		}, nil
	})
}

// resendNotices sends neighbours the notices that were observed since the last time, if
// that is due.
func (g *Gateway) resendNotices(now time.Time) {
	n := &g.notices
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.lastResent) < noticeResendInterval {
		return
	}
	g.sendToNeighbours("", &wire.NoticesHeard{
		Limits: limitsToWire(now, n.announcedLimits.Reports(n.lastResent)), Leaving: leavingToWire(now, n.leavingReplicas.ObservedAfter(n.lastResent.Add(-leavingResendPeriod))),
		Slowdowns: g.slowdowns.resend(now), RefusalLimits: limitsToWire(now, n.refusalLimits.Reports(n.lastResent)),
	})
	n.lastResent = now
}

// sendToNeighbours sends notices to all neighbours except one; they forward what is new to
// them. It does not wait for the calls.
func (g *Gateway) sendToNeighbours(except string, m *wire.NoticesHeard) {
	for noticeCount(m) > 0 {
		batch := &wire.NoticesHeard{}
		batch.Limits, m.Limits = splitBatch(m.Limits)
		batch.Leaving, m.Leaving = splitBatch(m.Leaving)
		batch.Slowdowns, m.Slowdowns = splitBatch(m.Slowdowns)
		batch.Unreachable, m.Unreachable = splitBatch(m.Unreachable)
		batch.RefusalLimits, m.RefusalLimits = splitBatch(m.RefusalLimits)
		for _, host := range g.fleet.Neighbours() {
			if host != except {
				go g.sendNotices(host, batch)
			}
		}
	}
}

// noticeCount returns the number of notices in a message.
func noticeCount(m *wire.NoticesHeard) int {
	return len(m.GetLimits()) + len(m.GetLeaving()) + len(m.GetSlowdowns()) + len(m.GetUnreachable()) + len(m.GetRefusalLimits())
}

// splitBatch returns the notices that fit into one call, and the rest.
func splitBatch[T any](all []T) (batch, rest []T) {
	n := min(len(all), maxNoticesPerCall)
	return all[:n], all[n:]
}

func (g *Gateway) sendNotices(host string, m *wire.NoticesHeard) {
	ctx, cancel := clock.WithTimeout(context.Background(), noticeSendTimeout)
	defer cancel()
	if n := len(m.GetSlowdowns()); n > 0 {
		g.metrics.GetOrCreateCounter("wheatseam_replica_slowdown_notices_sent_total").Add(n)
	}
	if n := len(m.GetUnreachable()); n > 0 {
		g.metrics.GetOrCreateCounter("wheatseam_unreachable_notices_sent_total").Add(n)
	}
	noted := &wire.NoticesNoted{}
	if err := g.fleet.Caller().Call(ctx, host, methodNotices, m, noted); err != nil {
		g.log.Info("sending replica notices to a peer failed", zap.String("peer", host), zap.Int("replicas", noticeCount(m)), zap.Error(err))
		return
	}
	g.mergeLimits(host, noted.GetNewer())
	g.mergeRefusalLimits(host, noted.GetNewerRefusalLimits())
}

// mergeLimits merges the limits that a peer knows, and returns those that this host knows
// to be newer, to be sent to the peer.
func (g *Gateway) mergeLimits(host string, received []*wire.ReplicaLimit) []*wire.ReplicaLimit {
	now := clock.Now()
	limits := limitsFromWire(now, received)
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	changed, newer := g.notices.announcedLimits.Merge(now, limits)
	g.applyLimits(host, changed)
	return limitsToWire(now, newer)
}

// mergeLeaving merges the leaving replicas that a peer knows.
func (g *Gateway) mergeLeaving(host string, received []*wire.ReplicaLeaving) {
	now := clock.Now()
	var leaving []intake.LeavingReplica
	for _, l := range received {
		if l.GetReplica() != "" {
			leaving = append(leaving, intake.LeavingReplica{Replica: l.GetReplica(), AnnouncedAt: timeFromAge(now, l.GetAgeMs())})
		}
	}
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	g.applyLeaving(host, g.notices.leavingReplicas.Merge(now, leaving))
}

func leavingToWire(now time.Time, leaving []intake.LeavingReplica) []*wire.ReplicaLeaving {
	out := make([]*wire.ReplicaLeaving, 0, len(leaving))
	for _, l := range leaving {
		out = append(out, &wire.ReplicaLeaving{Replica: l.Replica, AgeMs: now.Sub(l.AnnouncedAt).Milliseconds()})
	}
	return out
}

// limitsToWire encodes times as ages, because the clocks of hosts are not synchronized.
func limitsToWire(now time.Time, limits []intake.ReplicaLimit) []*wire.ReplicaLimit {
	out := make([]*wire.ReplicaLimit, 0, len(limits))
	for _, l := range limits {
		out = append(out, &wire.ReplicaLimit{
			Replica: l.Replica, Named: l.Limit.Announced, PerSecond: l.Limit.PerSecond, Round: l.Round,
			AgeMs: now.Sub(l.LastObserved).Milliseconds(), SinceMs: now.Sub(l.Since).Milliseconds(),
		})
	}
	return out
}

// limitsFromWire drops entries that no replica can have announced.
func limitsFromWire(now time.Time, received []*wire.ReplicaLimit) []intake.ReplicaLimit {
	out := make([]intake.ReplicaLimit, 0, len(received))
	for _, l := range received {
		limit := intake.Limit{Announced: l.GetNamed()}
		if limit.Announced {
			limit.PerSecond = l.GetPerSecond()
		}
		if l.GetReplica() != "" && limit.Valid() {
			out = append(out, intake.ReplicaLimit{Replica: l.GetReplica(), Limit: limit, Round: l.GetRound(), Since: timeFromAge(now, l.GetSinceMs()), LastObserved: timeFromAge(now, l.GetAgeMs())})
		}
	}
	return out
}

// timeFromAge converts an age received from a peer to a time.
func timeFromAge(now time.Time, ageMS int64) time.Time {
	return now.Add(-time.Duration(min(max(0, ageMS), maxNoticeAge.Milliseconds())) * time.Millisecond)
}
