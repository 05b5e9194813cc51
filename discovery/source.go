package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// The times of discovery, as shares of the bound. A host is answered as soon as
// its source has read or heard something younger, so that what is read passes
// through all levels at once. In the worst case a source has just lost the store
// or falls silent: the call to it ends after newsWait and newsGrace, and the
// store is read in a third of a second; together that is within the bound.
const (
	readShare = 0.3
	// loneShare is the share after which a host reads that nobody asks: what it reads
	// passes through no further host. It is under staleAfter, for the first fellow that
	// does ask. 100 hosts that are cut off from their fellows for 12 s make a third
	// fewer calls with it; each list is eight.
	loneShare  = 0.45
	newsWait   = 0.4
	staleAfter = 0.5
)

// fanout is the number of hosts that ask the same host for news: a change of
// 3,000 replicas would else leave one host 300 times.
const fanout = 8

const (
	// firstRetry is the wait after a failed read. It doubles with each further one,
	// up to maxRetry, or in a large fleet up to retryPerHost for each host and
	// retryShare of the bound: in an outage of the store each host asks it again,
	// and all together make some 250 calls a second, however many they are. 295
	// hosts made 1,300. A first failure is tried again as soon as in a small fleet,
	// and a host that fails again and again learns the store's return from the
	// fellow that hears of it first.
	firstRetry   = 100 * time.Millisecond
	maxRetry     = 500 * time.Millisecond
	retryPerHost = 8 * time.Millisecond
	retryShare   = 0.5
	// newsGrace is how much later than newsWait an answer may come.
	newsGrace = 250 * time.Millisecond
	// avoidFor is how long a host whose news were too old, or that did not
	// answer, is not asked, avoidStarting how long one that refused at once:
	// it may have started a moment ago.
	avoidFor      = 2 * time.Second
	avoidStarting = 300 * time.Millisecond
)

// chooseSource returns the host whose news are asked for, or this host, which
// then reads the store: it does so while it has no view though there is something
// to see, and when no host that it could ask is left. Hosts ask along a tree over
// the ranked hosts.
func (d *Discovery) chooseSource(now time.Time) string {
	var hosts []fleet.Host
	if d.View().Ready() || d.unwritten.Load() {
		hosts = ranked(d.cfg.Members.Reachable())
	}
	at := slices.IndexFunc(hosts, func(h fleet.Host) bool { return h.Name == d.cfg.Self })
	d.mu.Lock()
	defer d.mu.Unlock()
	source := d.cfg.Self
	for at > 0 {
		at = (at - 1) / fanout
		if !d.avoided.Excludes(hosts[at].Name, now) {
			source = hosts[at].Name
			break
		}
	}
	if source != d.source {
		d.log.Info("source of news chosen", zap.String("source", source), zap.String("before", d.source))
		d.source = source
		d.wake()
	}
	return source
}

// retryLimit bounds the wait after reads of the store that fail again and again,
// in a fleet of so many hosts.
func retryLimit(hosts int, bound time.Duration) time.Duration {
	most := max(maxRetry, time.Duration(retryShare*float64(bound)))
	return min(max(maxRetry, time.Duration(hosts)*retryPerHost), most)
}

// retryLimit is that of this host's fleet.
func (d *Discovery) retryLimit() time.Duration {
	return retryLimit(len(d.cfg.Members.Reachable()), d.cfg.PropagationBound())
}

// ranked sorts hosts by rank; the first two change places, as the first has the
// stage work to plan.
func ranked(hosts []fleet.Host) []fleet.Host {
	slices.SortFunc(hosts, fleet.Host.Compare)
	if len(hosts) > 2 {
		hosts[0], hosts[1] = hosts[1], hosts[0]
	}
	return hosts
}

// askAny asks hosts for news until one has some. A host that has just started
// and that the store turns away learns from its fellows what is in force.
func (d *Discovery) askAny(ctx context.Context) bool {
	for _, h := range ranked(d.cfg.Members.Reachable()) {
		if h.Name != d.cfg.Self && !d.avoided.Excludes(h.Name, clock.Now()) && d.askFor(ctx, h.Name, d.share(newsWait)) {
			return true
		}
	}
	return false
}

// askOther asks one host, any, for what it knows at this moment. The store may turn
// away the host that reads it for others and serve those.
func (d *Discovery) askOther(ctx context.Context) bool {
	now := clock.Now()
	hosts := slices.DeleteFunc(d.cfg.Members.Reachable(), func(h fleet.Host) bool {
		return h.Name == d.cfg.Self || d.avoided.Excludes(h.Name, now)
	})
	return len(hosts) > 0 && d.askFor(ctx, hosts[rand.IntN(len(hosts))].Name, 0)
}
