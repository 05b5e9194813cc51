package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

const (
	methodNotices = "gateway.notices"
	// noticeTimeout bounds telling one fellow.
	noticeTimeout = 500 * time.Millisecond
	// repeatNotices is the interval at which neighbours are told what was heard since:
	// that a limit still holds, and what a call that failed did not tell.
	repeatNotices = 3 * time.Second
	// repeatLeavers is for how long neighbours are told again that a replica leaves.
	repeatLeavers = 10 * time.Second
	// noticesOfCall bounds the replicas that one call tells of, some 50 bytes each.
	noticesOfCall = 1000
	// maxNoticeAge bounds the ages that a fellow may tell.
	maxNoticeAge = time.Hour
)

// errNotMade says that a call came while this daemon was put together.
var errNotMade = errors.New("gateway: not started yet")

// handleNotices takes what fellows tell of replicas.
func (g *Gateway) handleNotices(mux *peer.Mux) {
	peer.Handle(mux, methodNotices, func(_ context.Context, from peer.Sender, m *wire.NoticesHeard) (*wire.NoticesNoted, error) {
		select {
		case <-g.made:
		default:
			return nil, errNotMade
		}
		g.learnLeavers(from.Host, m.GetLeaving())
		return &wire.NoticesNoted{Newer: g.learnLimits(from.Host, m.GetLimits())}, nil
	})
}

// repeatHeard tells the neighbours what was heard since they were last told, if that is
// due.
func (g *Gateway) repeatHeard(now time.Time) {
	n := &g.notices
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.repeated) < repeatNotices {
		return
	}
	g.tellNeighbours("", &wire.NoticesHeard{
		Limits: limitsToWire(now, n.account.ObservedAfter(n.repeated)), Leaving: leaversToWire(now, n.leavers.ObservedAfter(n.repeated.Add(-repeatLeavers))),
	})
	n.repeated = now
}

// tellNeighbours tells all neighbours but one of what is known of replicas; they pass on
// what is new to them. It does not wait for them.
func (g *Gateway) tellNeighbours(but string, m *wire.NoticesHeard) {
	for len(m.Limits)+len(m.Leaving) > 0 {
		part := &wire.NoticesHeard{}
		part.Limits, m.Limits = split(m.Limits)
		part.Leaving, m.Leaving = split(m.Leaving)
		for _, host := range g.fleet.Neighbours() {
			if host != but {
				go g.tellNotices(host, part)
			}
		}
	}
}

// split returns as many replicas as one call tells of, and the rest.
func split[T any](all []T) (part, rest []T) {
	n := min(len(all), noticesOfCall)
	return all[:n], all[n:]
}

func (g *Gateway) tellNotices(host string, m *wire.NoticesHeard) {
	ctx, cancel := clock.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	noted := &wire.NoticesNoted{}
	if err := g.fleet.Caller().Call(ctx, host, methodNotices, m, noted); err != nil {
		g.log.Info("notices of replicas not told", zap.String("peer", host), zap.Int("replicas", len(m.GetLimits())+len(m.GetLeaving())), zap.Error(err))
		return
	}
	g.learnLimits(host, noted.GetNewer())
}

// learnLimits takes what a fellow knows, and returns what it is to be told since it knows
// something older.
func (g *Gateway) learnLimits(host string, told []*wire.ReplicaLimit) []*wire.ReplicaLimit {
	now := clock.Now()
	limits := limitsFromWire(now, told)
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	changed, newer := g.notices.account.Merge(now, limits)
	g.limitsChanged(host, changed)
	return limitsToWire(now, newer)
}

// learnLeavers takes what a fellow knows.
func (g *Gateway) learnLeavers(host string, told []*wire.ReplicaLeaving) {
	now := clock.Now()
	var leavers []intake.LeavingReplica
	for _, l := range told {
		if l.GetReplica() != "" {
			leavers = append(leavers, intake.LeavingReplica{Replica: l.GetReplica(), AnnouncedAt: agoOf(now, l.GetAgeMs())})
		}
	}
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	g.leaves(host, g.notices.leavers.Merge(now, leavers))
}

func leaversToWire(now time.Time, leavers []intake.LeavingReplica) []*wire.ReplicaLeaving {
	out := make([]*wire.ReplicaLeaving, 0, len(leavers))
	for _, l := range leavers {
		out = append(out, &wire.ReplicaLeaving{Replica: l.Replica, AgeMs: now.Sub(l.AnnouncedAt).Milliseconds()})
	}
	return out
}

// limitsToWire tells times as ages: hosts agree on no time of day.
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

// limitsFromWire leaves out what no replica can have said.
func limitsFromWire(now time.Time, told []*wire.ReplicaLimit) []intake.ReplicaLimit {
	out := make([]intake.ReplicaLimit, 0, len(told))
	for _, l := range told {
		limit := intake.Limit{Announced: l.GetNamed()}
		if limit.Announced {
			limit.PerSecond = l.GetPerSecond()
		}
		if l.GetReplica() != "" && limit.Valid() {
			out = append(out, intake.ReplicaLimit{Replica: l.GetReplica(), Limit: limit, Round: l.GetRound(), Since: agoOf(now, l.GetSinceMs()), LastObserved: agoOf(now, l.GetAgeMs())})
		}
	}
	return out
}

// agoOf is the time that is an age ago, as a fellow tells it.
func agoOf(now time.Time, ageMS int64) time.Time {
	return now.Add(-time.Duration(min(max(0, ageMS), maxNoticeAge.Milliseconds())) * time.Millisecond)
}
