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

// sourceStore is the Source of a view that this host has read itself.
const sourceStore = "store"

// keepReplicas keeps the replicas up to date until ctx ends, and hears of newer
// configurations while fellows are asked.
func (d *Discovery) keepReplicas(ctx context.Context) {
	d.begin(ctx)
	wait := firstRetry
	for ctx.Err() == nil {
		source := d.chooseSource(clock.Now())
		if source != d.cfg.Self {
			// A fellow that refused at once, as it has just started, costs no read of
			// the store: the next one is asked.
			if d.askFor(ctx, source, d.share(newsWait)) || clock.Since(d.View().AsOf) < d.share(readShare) {
				wait = firstRetry
				continue
			}
			d.checkSoon()
		}
		started := clock.Now()
		if !d.readReplicas(ctx) {
			if !d.View().Ready() && d.askAny(ctx) {
				continue
			}
			if d.View().Ready() && d.askOther(ctx) {
				periodic.Sleep(ctx, d.share(readShare))
				wait = firstRetry
				continue
			}
			periodic.Sleep(ctx, wait/2+rand.N(wait/2+1))
			wait = min(2*wait, d.retryLimit())
			continue
		}
		wait = firstRetry
		if d.View().Config == nil {
			d.awaitChange(ctx, maxRetry) // nothing can be served before
		} else if source == d.cfg.Self {
			periodic.Sleep(ctx, d.interval()-clock.Since(started))
		}
	}
}

// begin waits, where the store holds no configuration yet, until there are fellows
// to ask: nothing can be served before, and of a whole fleet that starts for the
// first time one host watches the store and the others hear from it. 295 hosts
// that each did made some 1,900 calls.
func (d *Discovery) begin(ctx context.Context) {
	periodic.Await(ctx, d.looked, firstRetry)
	if d.unwritten.Load() {
		d.awaitFleet(ctx)
	}
}

// awaitFleet waits until the hosts of the fleet are known.
func (d *Discovery) awaitFleet(ctx context.Context) {
	select {
	case <-d.cfg.Members.Formed():
	case <-ctx.Done():
	}
}

// awaitChange waits until the view changes, at most for limit.
func (d *Discovery) awaitChange(ctx context.Context, limit time.Duration) {
	d.mu.Lock()
	changed := d.changed
	d.mu.Unlock()
	periodic.Await(ctx, changed, limit)
}

// interval is the time between two reads of the replicas: short until there is
// something to serve.
func (d *Discovery) interval() time.Duration {
	if !d.View().Ready() || len(d.View().Replicas) == 0 {
		return firstRetry
	}
	if d.lone() {
		return d.share(loneShare)
	}
	return d.share(readShare)
}

// lone says whether no fellow has asked this host for news since its last read but
// one.
func (d *Discovery) lone() bool {
	return time.Duration(clock.Nanos()-d.askedAt.Load()) > 2*d.share(loneShare)
}

// readReplicas reads the replicas from the store and says whether that succeeded.
func (d *Discovery) readReplicas(ctx context.Context) bool {
	started := clock.Now()
	d.reads.Add(1)
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
		if !d.lost && ctx.Err() == nil {
			d.lost = true
			d.log.Warn("store lost", zap.Error(err), zap.Duration("view_age", started.Sub(d.View().AsOf)))
		}
		return false
	}
	if d.lost {
		d.lost = false
		d.wake()
		d.log.Info("store regained", zap.Uint64("revision", revision))
	}
	d.noteFaults(faults)
	next := *d.View()
	next.replicasAsOf, next.Source = started, sourceStore
	d.registry.Update(clock.Now(), entries)
	d.listed = revision
	d.publish(&next)
	return true
}

// noteFaults takes the entries that name no replica, by key, with what is wrong
// with them: anybody may write beside the replicas. Each change is logged once;
// the lock is held.
func (d *Discovery) noteFaults(faults map[string]string) {
	for key, why := range faults {
		if d.faults[key] != why {
			d.log.Warn("replica entry refused", zap.String("key", key), zap.String("why", why))
		}
	}
	d.faults = faults
}

// Faults is the number of entries among the replicas that name none, as of this
// host's last read of the store.
func (d *Discovery) InvalidEntryCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.faults)
}
