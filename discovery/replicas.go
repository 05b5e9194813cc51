package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/platform"
)

// sourceStore is the Source of a view that this host has read from the store itself.
const sourceStore = "store"

// syncReplicas keeps the replicas up to date until ctx ends. While it asks peers, it also
// learns of newer configurations.
func (d *Discovery) syncReplicas(ctx context.Context) {
	d.awaitFirstPeers(ctx)
	wait := minRetryInterval
	for ctx.Err() == nil {
		source := d.chooseSource(clock.Now())
		if source != d.cfg.Self {
			// A peer that has just started and refuses at once does not cause a read of
			// the store: the next peer is asked.
			if d.requestChanges(ctx, source, d.boundFraction(changesWaitFraction)) || clock.Since(d.View().AsOf) < d.boundFraction(readFraction) {
				wait = minRetryInterval
				continue
			}
			d.requestConfigCheck()
		}
		started := clock.Now()
		if !d.readReplicas(ctx) {
			if !d.View().Ready() && d.requestChangesFromAny(ctx) {
				continue
			}
			if d.View().Ready() && d.requestChangesFromRandomPeer(ctx) {
				periodic.Sleep(ctx, d.boundFraction(readFraction))
				wait = minRetryInterval
				continue
			}
			periodic.Sleep(ctx, wait/2+rand.N(wait/2+1))
			wait = min(2*wait, d.retryLimit())
			continue
		}
		wait = minRetryInterval
		if d.View().Config == nil {
			d.awaitChange(ctx, maxRetryInterval) // requests cannot be served before
		} else if source == d.cfg.Self {
			periodic.Sleep(ctx, d.interval()-clock.Since(started))
		}
	}
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
	if !d.View().Ready() || len(d.View().Replicas) == 0 {
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

// readReplicas reads the replicas from the store and reports whether that succeeded.
func (d *Discovery) readReplicas(ctx context.Context) bool {
	started := clock.Now()
	d.storeReads.Add(1)
	entries := []catalog.Replica{}
	faults := map[string]string{}
	revision, err := d.cfg.Store.ForEachPage(ctx, platform.ReplicaPrefix, func(items []platform.Item) {
		for _, item := range items {
			r, err := platform.DecodeReplica(item)
			if err != nil {
				faults[item.Key] = err.Error()
				continue
			}
			entries = append(entries, r)
		}
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		if !d.replicaReadFailed && ctx.Err() == nil {
			d.replicaReadFailed = true
			d.log.Warn("could not read the replicas from the store", zap.Error(err), zap.Duration("view_age", started.Sub(d.View().AsOf)))
		}
		return false
	}
	if d.replicaReadFailed {
		d.replicaReadFailed = false
		d.wakeConfigSync()
		d.log.Info("store is readable again for the replicas", zap.Uint64("revision", revision))
	}
	d.recordInvalidEntries(faults)
	next := *d.View()
	next.replicasAsOf, next.Source = started, sourceStore
	d.registry.Update(clock.Now(), entries)
	d.replicaListRevision = revision
	d.publish(&next)
	return true
}

// recordInvalidEntries replaces the faults of entries that are not valid replicas, by key:
// other writers may use the same prefix. Each change is logged once. The caller holds
// d.mu.
func (d *Discovery) recordInvalidEntries(faults map[string]string) {
	for key, fault := range faults {
		if d.invalidEntries[key] != fault {
			d.log.Warn("invalid replica entry ignored", zap.String("key", key), zap.String("why", fault))
		}
	}
	d.invalidEntries = faults
}

// InvalidEntryCount returns the number of entries under the replica prefix that are not
// valid replicas, as of this host's last read of the store.
func (d *Discovery) InvalidEntryCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.invalidEntries)
}
