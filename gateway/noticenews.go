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
		return &wire.NoticesNoted{Newer: g.learnNotices(from.Host, m.GetLimits())}, nil
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
	heard := n.account.News(n.repeated)
	n.repeated = now
	g.tellNeighbours("", heard)
}

// tellNeighbours tells all neighbours but one of what is known of replicas; they pass on
// what is new to them. It does not wait for them.
func (g *Gateway) tellNeighbours(but string, limits []intake.Limited) {
	for len(limits) > 0 {
		n := min(len(limits), noticesOfCall)
		m := &wire.NoticesHeard{Limits: limitsToWire(clock.Now(), limits[:n])}
		limits = limits[n:]
		for _, host := range g.fleet.Neighbours() {
			if host != but {
				go g.tellNotices(host, m)
			}
		}
	}
}

func (g *Gateway) tellNotices(host string, m *wire.NoticesHeard) {
	ctx, cancel := clock.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	noted := &wire.NoticesNoted{}
	if err := g.fleet.Caller().Call(ctx, host, methodNotices, m, noted); err != nil {
		g.log.Info("notices of replicas not told", zap.String("peer", host), zap.Int("replicas", len(m.GetLimits())), zap.Error(err))
		return
	}
	g.learnNotices(host, noted.GetNewer())
}

// learnNotices takes what a fellow knows, and returns what it is to be told since it knows
// something older.
func (g *Gateway) learnNotices(host string, told []*wire.ReplicaLimit) []*wire.ReplicaLimit {
	now := clock.Now()
	limits := limitsFromWire(now, told)
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	changed, newer := g.notices.account.Learn(limits)
	g.limitsChanged(host, changed)
	return limitsToWire(now, newer)
}

// limitsToWire tells times as ages: hosts agree on no time of day.
func limitsToWire(now time.Time, limits []intake.Limited) []*wire.ReplicaLimit {
	out := make([]*wire.ReplicaLimit, 0, len(limits))
	for _, l := range limits {
		out = append(out, &wire.ReplicaLimit{
			Replica: l.Replica, Named: l.Limit.Named, PerSecond: l.Limit.PerSecond, Round: l.Round,
			AgeMs: now.Sub(l.At).Milliseconds(), SinceMs: now.Sub(l.Since).Milliseconds(),
		})
	}
	return out
}

// limitsFromWire leaves out what no replica can have said.
func limitsFromWire(now time.Time, told []*wire.ReplicaLimit) []intake.Limited {
	ago := func(ms int64) time.Time {
		return now.Add(-time.Duration(min(max(0, ms), maxNoticeAge.Milliseconds())) * time.Millisecond)
	}
	out := make([]intake.Limited, 0, len(told))
	for _, l := range told {
		limit := intake.Limit{Named: l.GetNamed()}
		if limit.Named {
			limit.PerSecond = l.GetPerSecond()
		}
		if l.GetReplica() != "" && limit.Valid() {
			out = append(out, intake.Limited{Replica: l.GetReplica(), Limit: limit, Round: l.GetRound(), Since: ago(l.GetSinceMs()), At: ago(l.GetAgeMs())})
		}
	}
	return out
}
