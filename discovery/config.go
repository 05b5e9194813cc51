package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/position"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/platform"
)

// decodeConfig decodes a configuration as stored. Tests with many hosts replace it, since
// each host would decode the same megabyte.
var decodeConfig = platform.DecodeConfig

// advertisedConfig is a configuration that a peer has advertised.
type advertisedConfig struct {
	revision uint64
	// version is that of the configuration that the peer had active; 0 if it is not known.
	version uint64
	from    string
	since   time.Time
}

// maxCheckedRevisions is the number of past checks of the store, 0.3 of the bound apart,
// that the next one covers again: a store that drops its history reports no changes for a
// second before.
const maxCheckedRevisions = 4

// maxIdleWait limits how long syncConfig waits for work; it is woken when there is any.
const maxIdleWait = time.Minute

// checkedRevisions holds the store's revisions at the last checks for changes, oldest
// first.
type checkedRevisions []uint64

func (r checkedRevisions) add(revision uint64) checkedRevisions {
	if position.Era(r.newest()) != position.Era(revision) {
		return checkedRevisions{revision}
	}
	if len(r) >= maxCheckedRevisions {
		r = r[1:]
	}
	return append(r[:len(r):len(r)], revision)
}

// oldest returns the revision from which the next check starts, or 0 when there is none.
func (r checkedRevisions) oldest() uint64 {
	if len(r) == 0 {
		return 0
	}
	return r[0]
}

// newest returns the revision of the last check, or 0 when there is none.
func (r checkedRevisions) newest() uint64 {
	if len(r) == 0 {
		return 0
	}
	return r[len(r)-1]
}

// syncConfig keeps the configuration up to date until ctx ends: it fetches the versions
// that peers advertise, and asks the store while this host reads it.
func (d *Discovery) syncConfig(ctx context.Context) {
	wait := minRetryInterval
	for ctx.Err() == nil {
		done := false
		switch {
		case d.configOutdated():
			done = d.fetchAdvertisedConfig(ctx) || d.readConfig(ctx)
		case d.lastReplicaReadFailed():
			// syncReplicas already retries an unavailable store; one kind of request to it
			// is enough.
			d.awaitConfigWork(ctx, d.retryLimit())
			done = true
		case d.readsStore():
			done = d.watchConfig(ctx, d.untilNextReplicaRead())
		case d.configCheckRequested.Swap(false):
			done = d.watchConfig(ctx, 0)
		default:
			d.awaitConfigWork(ctx, maxIdleWait)
			done = true
		}
		if done {
			wait = minRetryInterval
			continue
		}
		periodic.Sleep(ctx, wait/2+rand.N(wait/2+1))
		wait = min(2*wait, d.retryLimit())
	}
}

// awaitConfigWork waits until syncConfig may have work to do, at most for limit.
func (d *Discovery) awaitConfigWork(ctx context.Context, limit time.Duration) {
	periodic.WaitForSignal(ctx, d.configWork, limit)
}

// wakeConfigSync makes syncConfig check for work.
func (d *Discovery) wakeConfigSync() {
	select {
	case d.configWork <- struct{}{}:
	default:
	}
}

// readsStore reports whether this host reads the store.
func (d *Discovery) readsStore() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source == d.cfg.Self
}

// lastReplicaReadFailed reports whether the last read of the replicas failed.
func (d *Discovery) lastReplicaReadFailed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replicaReadFailed
}

// untilNextReplicaRead returns the time until the replicas are read again. A check of the
// configuration that ends then refreshes the view once an interval instead of twice; each
// refresh causes a reply to every host that waits for changes.
func (d *Discovery) untilNextReplicaRead() time.Duration {
	interval, since := d.interval(), clock.Since(d.View().replicasAsOf)
	if since > interval {
		return interval
	}
	return max(minRetryInterval, interval-since)
}

// configOutdated reports whether a peer has advertised a newer configuration.
func (d *Discovery) configOutdated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.View()
	return d.advertised.revision > max(v.revision, d.rejectedRevision) || d.advertised.version > max(v.version(), d.rejectedVersion)
}

// ConfigLag returns for how long a newer configuration has been known but not active, or 0
// when there is none.
func (d *Discovery) ConfigLag() time.Duration {
	if !d.configOutdated() {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return clock.Since(d.advertised.since)
}

// noteAdvertisedConfig records a configuration that a peer advertised, however old the
// rest of the peer's view is. It is newer if its position in the store is, unless the peer has
// an older version, which it read from a copy of the store; or if its version is, wherever the
// peer read it. The caller holds d.mu.
func (d *Discovery) noteAdvertisedConfig(revision, version uint64, from string) {
	v := d.View()
	if version > 0 && version < v.version() {
		// The peer may also be fetching a newer one, which it advertises again once it is active.
		d.ignoredRevision = max(d.ignoredRevision, revision)
		return
	}
	known := max(d.advertised.version, v.version(), d.rejectedVersion)
	if revision <= max(d.advertised.revision, v.revision, d.rejectedRevision) && version <= known {
		return
	}
	d.advertised = advertisedConfig{revision: revision, version: version, from: from, since: clock.Now()}
	d.wakeConfigSync()
}

// fetchAdvertisedConfig fetches deltas until the advertised configuration is complete, and
// activates it. The versions in between are skipped, since decoding one takes a small
// host 50 ms.
func (d *Discovery) fetchAdvertisedConfig(ctx context.Context) bool {
	d.mu.Lock()
	advertised := d.advertised
	d.mu.Unlock()
	v := d.View()
	started, revision, raw, size, deltas := clock.Now(), v.revision, v.raw, 0, 0
	if advertised.revision <= revision {
		// The peer's version is higher, at a position from before the store was restored.
		revision, raw = 0, nil
	}
	defer d.relayedRevision.Store(0)
	for revision < advertised.revision {
		delta, err := d.fetchDelta(ctx, revision)
		if err != nil {
			return false
		}
		if raw, err = delta.apply(raw); err != nil {
			d.log.Error("could not apply configuration delta", zap.Uint64("base", position.Revision(delta.base)), revisionField(delta.revision), eraField(delta.revision), zap.Error(err))
			return false
		}
		revision, size, deltas = delta.revision, size+len(delta.data), deltas+1
	}
	d.log.Info("configuration fetched", zap.String("peer", advertised.from), revisionField(revision), eraField(revision), zap.Int("steps", deltas),
		zap.Int("bytes", size), zap.Int("size", len(raw)), zap.Duration("took", clock.Since(started)))
	d.activateConfig(raw, revision, advertised.from)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.View().version() < advertised.version {
		d.rejectedVersion = advertised.version
	}
	return true
}

// requestConfigCheck has the store checked for a newer configuration, since no peer has
// reported whether there is one: disconnected peers take 1.2 s each to reply without
// changes, and up to three are asked one after another.
func (d *Discovery) requestConfigCheck() {
	d.configCheckRequested.Store(true)
	d.wakeConfigSync()
}

// watchConfig asks the store for operator changes and waits up to wait for the first one.
func (d *Discovery) watchConfig(ctx context.Context, wait time.Duration) bool {
	d.mu.Lock()
	after := d.checkedRevisions.oldest()
	d.mu.Unlock()
	if after == 0 {
		return d.readConfig(ctx)
	}
	if d.mayMissEvacuations() && !d.listEvacuations(ctx) {
		return false
	}
	items, revision, err := d.cfg.Store.Changes(ctx, platform.OperatorPrefix, after, wait)
	if errors.Is(err, platform.ErrCompacted) {
		d.log.Info("store no longer has the change history; reading the whole configuration",
			zap.Uint64("after", position.Revision(after)), eraField(after), zap.Error(err))
		return d.readConfig(ctx)
	}
	if err != nil {
		d.noteConfigReadError(ctx, err)
		return false
	}
	d.applyOperatorChanges(items)
	d.noteConfigCheck(revision)
	return true
}

// applyOperatorChanges applies changed configurations and evacuations.
func (d *Discovery) applyOperatorChanges(items []platform.Item) {
	var newest uint64
	var orders, configs []platform.Item
	for _, item := range items {
		newest = max(newest, item.Revision)
		switch {
		case item.Key == platform.ConfigKey && !item.Removed:
			configs = append(configs, item)
		case strings.HasPrefix(item.Key, platform.EvacuationPrefix):
			orders = append(orders, item)
		}
	}
	for _, item := range fromLastValid(configs) {
		d.applyStoredConfig(item)
	}
	if newest == 0 {
		return
	}
	changes := d.decodeEvacuations(orders)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(changes) > 0 && d.evacuations.Change(clock.Now(), changes) {
		d.publishEvacuations()
	}
	// All changes up to this revision are known. A check from an earlier revision would
	// return the same changes at once.
	d.checkedRevisions = checkedRevisions{newest}
}

// fromLastValid returns the last of several configurations that is valid and those after it: the
// ones before need not be activated, nor sent to peers.
func fromLastValid(configs []platform.Item) []platform.Item {
	for i := len(configs) - 1; i > 0; i-- {
		if _, err := decodeConfig(configs[i].Value); err == nil {
			return configs[i:]
		}
	}
	return configs
}

// readConfig reads the configuration from the store. When none has been written yet, a
// watch from the revision of the replicas waits for the first one.
func (d *Discovery) readConfig(ctx context.Context) bool {
	d.mu.Lock()
	var listRevision uint64
	if d.listing != nil {
		listRevision = d.listing.checked.newest()
	}
	d.mu.Unlock()
	item, revision, err := d.cfg.Store.Get(ctx, platform.ConfigKey)
	missing := errors.Is(err, platform.ErrNotFound)
	d.configMissing.Store(missing && d.View().Config == nil)
	d.firstConfigReadOnce.Do(func() { close(d.firstConfigRead) })
	if missing {
		if listRevision > 0 {
			d.noteConfigCheck(listRevision)
			return true
		}
		d.awaitFormed(ctx)
		return false
	}
	if err != nil {
		d.noteConfigReadError(ctx, err)
		return false
	}
	d.applyStoredConfig(item)
	d.mu.Lock()
	d.evacuationsIncomplete = true // the next check starts at this revision
	d.mu.Unlock()
	d.noteConfigCheck(revision)
	// A host that has just started knows a peer to ask after this wait, which saves a call
	// to the store.
	d.awaitConfigWork(ctx, d.boundFraction(readFraction))
	return true
}

// applyStoredConfig applies a configuration that was read from the store.
func (d *Discovery) applyStoredConfig(item platform.Item) {
	v := d.View()
	d.mu.Lock()
	known := item.Revision <= max(v.revision, d.rejectedRevision)
	d.mu.Unlock()
	if known {
		return
	}
	config, err := decodeConfig(item.Value)
	if v.Config != nil && err == nil && config.Version > v.Config.Version {
		delta, err := newConfigDelta(v.revision, v.raw, item.Revision, item.Value)
		if err != nil {
			d.log.Error("could not create configuration delta", zap.Error(err))
		} else {
			d.storeDelta(delta)
		}
	}
	d.activateDecoded(config, err, item.Value, item.Revision, sourceStore)
}

// noteConfigReadError records that a read of the configuration or the evacuations from the
// store failed.
func (d *Discovery) noteConfigReadError(ctx context.Context, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.configReadFailed && ctx.Err() == nil {
		d.configReadFailed = true
		d.log.Warn("could not read the configuration from the store", zap.Error(err), zap.Duration("view_age", clock.Since(d.View().AsOf)))
	}
}

// noteConfigCheck records that the store has no newer configuration up to the given
// revision of the store.
func (d *Discovery) noteConfigCheck(revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.configReadFailed {
		d.configReadFailed = false
		d.log.Info("store is readable again for the configuration", revisionField(revision), eraField(revision))
	}
	d.checkedRevisions = d.checkedRevisions.add(revision)
	next := *d.View()
	next.configAsOf = clock.Now()
	d.publish(&next)
}

// activateConfig activates a configuration if its version is newer than the current
// one: versions never decrease. An invalid or older configuration is not requested again.
// Only syncConfig calls it.
func (d *Discovery) activateConfig(raw []byte, revision uint64, source string) {
	config, err := decodeConfig(raw)
	d.activateDecoded(config, err, raw, revision, source)
}

// activateDecoded is activateConfig for a configuration that has been decoded, or could not
// be.
func (d *Discovery) activateDecoded(config *catalog.Config, err error, raw []byte, revision uint64, source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.View()
	switch {
	case err != nil:
		d.log.Error("invalid configuration rejected", revisionField(revision), eraField(revision), zap.Error(err))
	case next.Config != nil && config.Version <= next.Config.Version:
		d.log.Warn("older configuration ignored", zap.Uint64("version", config.Version),
			zap.Uint64("in_force", next.Config.Version), revisionField(revision), eraField(revision))
	default:
		next.Config, next.raw, next.revision, next.Source = config, raw, revision, source
		d.configMissing.Store(false)
		if position.Era(revision) >= position.Era(d.checkedRevisions.newest()) {
			d.checkedRevisions = checkedRevisions{revision}
		}
		d.evacuationsIncomplete = d.evacuationsIncomplete || source != sourceStore
		d.publish(&next)
		return
	}
	d.rejectedRevision = max(d.rejectedRevision, revision)
}

// revisionField and eraField are the log fields of a position of the store.
func revisionField(p uint64) zap.Field { return zap.Uint64("revision", position.Revision(p)) }
func eraField(p uint64) zap.Field      { return zap.Uint64("era", position.Era(p)) }
