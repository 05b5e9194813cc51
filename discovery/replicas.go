package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
)

// sourceStore is the Source of a view that this host has read from the store itself.
const sourceStore = "store"

// syncReplicas keeps the replicas up to date until ctx ends. While it asks peers, it also
// learns of newer configurations.
func (d *Discovery) syncReplicas(ctx context.Context) {
	d.awaitFirstPeers(ctx)
	wait := minRetryInterval
	for ctx.Err() == nil {
		hadView := d.View().Replicas != nil
		source := d.chooseSource(clock.Now())
		if source != d.cfg.Self && d.askSource(ctx, source) {
			wait = minRetryInterval
			continue
		}
		started := clock.Now()
		d.readAt = started
		d.noteRefreshBegun(started)
		switch err := d.readReplicas(ctx); {
		case errors.Is(err, errManyReplicas):
			if !d.requestFirstView(ctx) {
				d.awaitReader(ctx)
			}
			continue
		case err != nil:
			d.noteRefreshFailed()
			wait = d.afterFailedRead(ctx, wait)
			continue
		}
		wait = minRetryInterval
		if d.View().Config == nil {
			d.awaitChange(ctx, maxRetryInterval) // requests cannot be served before
		} else if source == d.cfg.Self {
			if hadView {
				d.learnHistory()
			}
			d.awaitRead(ctx, started, d.interval())
		}
	}
}

// askSource asks a peer for changes, and reports whether peers can be relied on further. A
// peer that refuses at once, since it has just started or has lost the store, does not
// cause a read of the store: the next peer is asked. A refresh ends the wait for changes.
func (d *Discovery) askSource(ctx context.Context, source string) bool {
	d.awaitFurtherRefresh(ctx)
	wait, asked := min(d.boundFraction(changesWaitFraction), d.peerTime()), clock.Now()
	if d.refreshWanted() {
		if d.refreshFromSource(ctx, source) {
			return true
		}
	} else {
		poll, stop := d.untilRefreshWanted(ctx)
		defer stop()
		if d.requestChanges(poll, source, wait) || poll.Err() != nil || clock.Since(asked) < wait && d.peerTime() > 0 {
			return true
		}
	}
	d.requestConfigCheck()
	return false
}

// afterFailedRead asks other peers after a failed read of the store, and waits before the
// next one. It returns the wait after a further failure.
func (d *Discovery) afterFailedRead(ctx context.Context, wait time.Duration) (nextWait time.Duration) {
	if !d.View().Ready() && d.requestChangesFromAny(ctx) {
		return wait
	}
	if d.View().Ready() && d.requestChangesFromRandomPeer(ctx) {
		d.awaitRetry(ctx, d.boundFraction(readFraction))
		return minRetryInterval
	}
	d.awaitRetry(ctx, wait/2+rand.N(wait/2+1))
	return min(2*wait, d.retryLimit())
}

// peerTime returns for how long this host may still wait for peers before it has to read
// the store, at least 0: while its view is recent, for a while after it received the first
// part of its first view, and while the store is empty.
func (d *Discovery) peerTime() time.Duration {
	if d.configMissing.Load() {
		return d.boundFraction(changesWaitFraction)
	}
	d.mu.Lock()
	since := d.firstViewAt
	d.mu.Unlock()
	if asOf := d.View().AsOf; !asOf.IsZero() {
		since = asOf
	}
	if since.IsZero() {
		return 0
	}
	return max(0, d.boundFraction(peersFraction)-clock.Since(since))
}

// awaitFirstPeers waits until the fleet has formed if the store contains no configuration
// yet. Nothing can be served before, and when a whole fleet starts for the first time one
// host then watches the store and informs the others. 295 hosts that each watched the
// store made some 1,900 calls.
func (d *Discovery) awaitFirstPeers(ctx context.Context) {
	periodic.WaitForSignal(ctx, d.firstConfigRead, minRetryInterval)
	if d.configMissing.Load() {
		d.awaitFormed(ctx)
	}
}

// awaitFormed waits until the hosts of the fleet are known.
func (d *Discovery) awaitFormed(ctx context.Context) {
	select {
	case <-d.cfg.Members.Formed():
	case <-ctx.Done():
	}
}

// awaitChange waits until the view changes, at most for limit.
func (d *Discovery) awaitChange(ctx context.Context, limit time.Duration) {
	d.mu.Lock()
	changed := d.viewChanged
	d.mu.Unlock()
	periodic.WaitForSignal(ctx, changed, limit)
}

// interval returns the time between two reads of the replicas, which is short until there
// are replicas.
func (d *Discovery) interval() time.Duration {
	if !d.View().Ready() || d.View().Replicas.Len() == 0 {
		return minRetryInterval
	}
	if d.noRecentPeerRequests() {
		return d.boundFraction(idleReadFraction)
	}
	return d.boundFraction(readFraction)
}

// noRecentPeerRequests reports whether no peer has asked this host for changes since the
// read before the last.
func (d *Discovery) noRecentPeerRequests() bool {
	return time.Duration(clock.Nanos()-d.lastPeerRequest.Load()) > 2*d.boundFraction(idleReadFraction)
}

// awaitReader has the host that ranks first list the replicas, and the others, which have no
// view either, wait for it. A host that gets no view within the time for peers lists them
// itself.
func (d *Discovery) awaitReader(ctx context.Context) {
	d.awaitFormed(ctx)
	wait, hosts := d.boundFraction(changesWaitFraction), rankedHosts(d.cfg.Members.Reachable())
	if d.cfg.Self != hosts[0].Name && d.requestChanges(ctx, hosts[0].Name, wait) {
		return
	}
	d.listsAlone = true
}
