package discovery

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/position"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/platform"
)

// readReplicas reads the replicas from the store, or only the changes since the last read if
// that is possible.
func (d *Discovery) readReplicas(ctx context.Context) error {
	started := clock.Now()
	d.storeReads.Add(1)
	done, err := d.readReplicaChanges(ctx, started)
	switch {
	case errors.Is(err, platform.ErrCompacted):
		err = d.listReplicas(ctx, started, 0)
	case err == nil && !done:
		err = d.listReplicas(ctx, started, d.View().replicasRevision)
	}
	if err != nil && !errors.Is(err, errManyReplicas) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.replicaReadFailed && ctx.Err() == nil {
			d.replicaReadFailed = true
			d.log.Warn("could not read the replicas from the store", zap.Error(err), zap.Duration("view_age", started.Sub(d.View().AsOf)))
		}
	}
	return err
}

// readReplicaChanges reads the changes since the last read from the store, or since the
// replicas that a peer sent. done is false if the replicas have to be listed instead, also if
// the error is platform.ErrCompacted.
func (d *Discovery) readReplicaChanges(ctx context.Context, started time.Time) (done bool, err error) {
	l := d.currentListing()
	if l == nil {
		return false, nil
	}
	items, revision, err := d.replicaChanges(ctx, l.checked.oldest())
	if errors.Is(err, platform.ErrCompacted) {
		d.log.Info("store no longer has the change history; listing the replicas",
			zap.Uint64("after", position.Revision(l.checked.oldest())), eraField(l.checked.oldest()), zap.Error(err))
	}
	if err != nil {
		return false, err
	}
	changes := l.apply(items)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listing = l
	l.noteRead(revision, started, d.boundFraction(readFraction))
	if changes.mostlyRewritten() {
		// A change that the store withholds is repeated by the next heartbeat, so that the
		// next read need not cover this one again.
		l.checked = checkedRevisions{revision}
	}
	l.forgetRemoved()
	written := make([]catalog.Replica, 0, len(changes.written))
	for _, r := range changes.written {
		written = append(written, *r)
	}
	d.registry.ApplyChanges(clock.Now(), written, slices.Collect(maps.Keys(changes.gone)))
	d.versionsRead(started, changes.departed, d.viewInHistory())
	d.replicasRead(started)
	return true, nil
}

// currentListing returns the listing from which changes can be read: the one of the last
// read, or one of the replicas that a peer sent; nil if there is neither.
func (d *Discovery) currentListing() *listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.listing
	if v := d.View(); l == nil && v.replicasRevision > 0 {
		l = listingOf(v.Replicas, v.replicasRevision, v.replicasAsOf)
		l.faults = maps.Clone(d.invalidEntries)
	}
	if now := clock.Now(); l == nil || !l.usable(now) || d.registry.NeedsList(now) {
		return nil
	}
	return l
}

const (
	// largeChange is the number of changes in one response from which the store may have
	// more, and maxChangeReads limits the responses that are read at a time.
	largeChange    = 100
	maxChangeReads = 20
)

// replicaChanges reads the changed entries after a revision of the store.
func (d *Discovery) replicaChanges(ctx context.Context, after uint64) (items []platform.Item, revision uint64, err error) {
	revision = after
	for range maxChangeReads {
		var more []platform.Item
		more, revision, err = d.cfg.Store.Changes(ctx, platform.ReplicaPrefix, revision, 0)
		if err != nil {
			return nil, 0, err
		}
		items = append(items, more...)
		if len(more) < largeChange {
			break
		}
	}
	return items, revision, nil
}

// listReplicas lists the replicas in the store. If the list continues the view before, the next
// read begins at the revision that is given, so that what came and went in between is seen; 0
// stands for the list's own.
func (d *Discovery) listReplicas(ctx context.Context, started time.Time, readFrom uint64) error {
	d.lists.Add(1)
	l := newListing()
	pages := 0
	revision, err := d.cfg.Store.ForEachPage(ctx, platform.ReplicaPrefix, func(items []platform.Item) bool {
		l.apply(items)
		pages++
		return pages <= firstListPages || d.listsAlone || d.View().Replicas != nil
	})
	switch {
	case err != nil:
		return err
	case pages > firstListPages && !d.listsAlone && d.View().Replicas == nil:
		return errManyReplicas
	}
	if d.View().Replicas == nil {
		// Requests are accepted from the first replicas on, and peers send theirs with the
		// evacuations. If these can't be read, that doesn't wait: they are read again before the
		// next check of the configuration.
		d.listEvacuations(ctx)
	}
	l.checked, l.readAt, l.listedAt, l.checkedAt = checkedRevisions{revision}, started, started, started
	d.mu.Lock()
	defer d.mu.Unlock()
	continues := d.listContinues(started)
	if known := d.knownPosition(); position.Era(revision) > position.Era(known) && known > 0 {
		continues = false
		d.log.Warn("store came back from a copy; replicas listed anew", revisionField(revision), eraField(revision), zap.Uint64("before", position.Revision(known)))
		d.registry.StoreRestored(clock.Now())
	}
	if continues && readFrom > 0 {
		l.checked = checkedRevisions{min(readFrom, revision)}
	}
	d.listing = l
	d.registry.Update(clock.Now(), l.replicas())
	d.versionsRead(started, nil, continues)
	d.replicasRead(started)
	return nil
}

// knownPosition returns the position up to which the replicas are known; 0 if it is not known.
// The caller holds d.mu.
func (d *Discovery) knownPosition() uint64 {
	if d.listing != nil {
		return max(d.listing.checked.newest(), d.View().replicasRevision)
	}
	return d.View().replicasRevision
}

// firstListPages is the number of pages that a host without a view lists. If there are more,
// it asks peers that have a view, or waits for the host that reads the store for all: when
// a whole fleet starts again, its hosts would each list all replicas.
const firstListPages = 1

// errManyReplicas is returned by a list that was broken off after firstListPages.
var errManyReplicas = errors.New("discovery: too many replicas for each host to list them")

// replicasRead publishes the replicas after they were read from the store. The caller holds
// d.mu.
func (d *Discovery) replicasRead(started time.Time) {
	if d.replicaReadFailed {
		d.replicaReadFailed = false
		d.wakeConfigSync()
		d.log.Info("store is readable again for the replicas", revisionField(d.listing.checked.newest()), eraField(d.listing.checked.newest()))
	}
	d.recordInvalidEntries(d.listing.faults)
	next := *d.View()
	next.replicasAsOf, next.replicasRevision, next.Source = started, d.listing.checked.oldest(), sourceStore
	d.publish(&next)
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
	d.invalidEntries = maps.Clone(faults)
}

// ListCount returns how often this host has listed all replicas in the store.
func (d *Discovery) ListCount() uint64 { return d.lists.Load() }

// InvalidEntryCount returns the number of entries under the replica prefix that are not
// valid replicas, as of this host's last read of the store.
func (d *Discovery) InvalidEntryCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.invalidEntries)
}
