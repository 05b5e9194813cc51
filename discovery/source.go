package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// Discovery's time limits, as fractions of the bound. A host is answered as soon as its
// source has read or received something more recent, so that a change passes through all
// levels of the tree at once. In the worst case a source has just lost the store or
// stopped answering: the call to it ends after changesWaitFraction and replyGrace, and the
// store is read within a third of a second; the sum is within the bound.
const (
	// readFraction is the interval between reads of the replicas from the store.
	readFraction = 0.3
	// idleReadFraction is the interval between reads of a host that no peer asks, whose
	// reads need not pass through another host. It is below staleFraction, so that the
	// view is recent enough for the first peer that does ask.
	idleReadFraction = 0.45
	// changesWaitFraction is how long a peer may wait for changes before it replies.
	changesWaitFraction = 0.4
	// staleFraction is the age above which a peer's view is not accepted.
	staleFraction = 0.5
	// peersFraction is the age of this host's own view up to which peers are asked before
	// the store is read.
	peersFraction = 0.75
)

// fanout is the number of hosts that ask the same host for changes. Without the limit, one
// host would send a change of 3,000 replicas 300 times.
const fanout = 8

const (
	// minRetryInterval is the wait after a failed read. It doubles with each further
	// failure, up to maxRetryInterval, or in a large fleet up to retryIntervalPerHost for
	// each host, limited to maxRetryFraction of the bound. While the store is down every
	// host retries, and all together make some 250 calls a second, as long as that limit
	// is not reached; without the scaling 295 hosts made 1,300. The first failure is
	// retried as soon as in a small fleet, and a host that keeps failing learns that the
	// store is back from the first peer that notices.
	minRetryInterval     = 100 * time.Millisecond
	maxRetryInterval     = 500 * time.Millisecond
	retryIntervalPerHost = 8 * time.Millisecond
	maxRetryFraction     = 0.5
	// replyGrace is how much later than changesWaitFraction of the bound a reply may
	// arrive.
	replyGrace = 250 * time.Millisecond
	// failureAvoidTime is how long a host that did not answer or had a stale view is not
	// asked; startupAvoidTime applies to a host that refused at once, since it may have
	// just started.
	failureAvoidTime = 2 * time.Second
	startupAvoidTime = 300 * time.Millisecond
)

// chooseSource returns the host to ask for changes, or this host, which then reads the
// store. It returns this host while it has no view although the store may hold one, and
// when no other candidate is left. Hosts ask their parents in a tree over the ranked hosts
// without those that recently failed this host. If the host that reads the store has lost
// it, all others thus agree on the next one. A parent always ranks before its children, so
// that hosts which avoid different ones do not wait for each other.
func (d *Discovery) chooseSource(now time.Time) string {
	var hosts []fleet.Host
	if d.View().Replicas != nil || d.configMissing.Load() {
		hosts = rankedHosts(d.cfg.Members.Reachable())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts = slices.DeleteFunc(hosts, func(h fleet.Host) bool { return h.Name != d.cfg.Self && d.hostBackoff.Excludes(h.Name, now) })
	position := slices.IndexFunc(hosts, func(h fleet.Host) bool { return h.Name == d.cfg.Self })
	source := d.cfg.Self
	if position > 0 {
		source = hosts[(position-1)/fanout].Name
	}
	if source != d.source {
		d.log.Info("source of changes selected", zap.String("source", source), zap.String("before", d.source))
		d.source = source
		d.wakeConfigSync()
	}
	return source
}

// retryLimit returns the longest wait between failing reads of the store in a fleet of the
// given size.
func retryLimit(hosts int, bound time.Duration) time.Duration {
	upperLimit := max(maxRetryInterval, time.Duration(maxRetryFraction*float64(bound)))
	return min(max(maxRetryInterval, time.Duration(hosts)*retryIntervalPerHost), upperLimit)
}

// retryLimit returns the longest wait between failing reads of the store for this host's
// fleet.
func (d *Discovery) retryLimit() time.Duration {
	return retryLimit(len(d.cfg.Members.Reachable()), d.cfg.PropagationBound())
}

// rankedHosts sorts hosts by rank, with the first two exchanged, since the highest-ranked
// host also plans stage work.
func rankedHosts(hosts []fleet.Host) []fleet.Host {
	slices.SortFunc(hosts, fleet.Host.Compare)
	if len(hosts) > 2 {
		hosts[0], hosts[1] = hosts[1], hosts[0]
	}
	return hosts
}

// A host that has just started before a store with many replicas asks firstViewPeers hosts
// at the same time for theirs, up to firstViewRounds times.
const (
	firstViewPeers  = 3
	firstViewRounds = 2
)

// requestFirstView asks some hosts for the replicas that they know, and reports whether any
// sent some.
func (d *Discovery) requestFirstView(ctx context.Context) bool {
	var hosts []string
	for _, h := range d.cfg.Members.Reachable() {
		if h.Name != d.cfg.Self && !d.hostBackoff.Excludes(h.Name, clock.Now()) {
			hosts = append(hosts, h.Name)
		}
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	hosts = hosts[:min(firstViewRounds*firstViewPeers, len(hosts))]
	for asked := range slices.Chunk(hosts, firstViewPeers) {
		var group sync.WaitGroup
		var received atomic.Bool
		for _, host := range asked {
			group.Go(func() {
				if d.requestChanges(ctx, host, 0) {
					received.Store(true)
				}
			})
		}
		group.Wait()
		if received.Load() {
			return true
		}
	}
	return false
}

// requestChangesFromAny asks hosts for what they know until one replies. A host that has just
// started and that the store rejects learns from its peers what is active. It does not wait
// for peers without a view: they may wait for this host in turn.
func (d *Discovery) requestChangesFromAny(ctx context.Context) bool {
	for _, h := range rankedHosts(d.cfg.Members.Reachable()) {
		if h.Name != d.cfg.Self && !d.hostBackoff.Excludes(h.Name, clock.Now()) && d.requestChanges(ctx, h.Name, 0) {
			return true
		}
	}
	return false
}

// requestChangesFromRandomPeer asks one random peer for its current state without waiting.
// The store may reject the host that reads it for others and still serve those.
func (d *Discovery) requestChangesFromRandomPeer(ctx context.Context) bool {
	now := clock.Now()
	hosts := slices.DeleteFunc(d.cfg.Members.Reachable(), func(h fleet.Host) bool {
		return h.Name == d.cfg.Self || d.hostBackoff.Excludes(h.Name, now)
	})
	return len(hosts) > 0 && d.requestChanges(ctx, hosts[rand.IntN(len(hosts))].Name, 0)
}
