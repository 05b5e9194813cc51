package discovery

import (
	"context"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/wire"
)

// Evacuations come with the watch for a newer configuration, at no call of their
// own, and go to fellows with the news. They are listed only by a host that reads
// the store and may have missed a change. The store's revisions order them: of two
// accounts the one of the later revision holds, whoever tells it.

// missedEvacuations says whether changes of the evacuations may have been missed.
func (d *Discovery) missedEvacuations() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuationsPartial
}

// listEvacuations reads the evacuations from the store and says whether that
// succeeded.
func (d *Discovery) listEvacuations(ctx context.Context) bool {
	var changes []catalog.EvacuationChange
	revision, err := d.cfg.Store.ForEachPage(ctx, platform.EvacuationPrefix, func(items []platform.Item) {
		changes = append(changes, d.decodeEvacuations(items)...)
	})
	if err != nil {
		d.storeFailed(ctx, err)
		return false
	}
	domains := make([]string, 0, len(changes))
	for _, c := range changes {
		domains = append(domains, c.Domain)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuationsPartial = false
	d.evacuate(catalog.NewEvacuations(revision, domains))
	return true
}

// decodeEvacuations reads orders and withdrawals; a key that names no failure
// domain is logged and left out.
func (d *Discovery) decodeEvacuations(items []platform.Item) []catalog.EvacuationChange {
	var changes []catalog.EvacuationChange
	for _, item := range items {
		c, err := platform.DecodeEvacuation(item)
		if err != nil {
			d.log.Warn("evacuation refused", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		changes = append(changes, c)
	}
	return changes
}

// evacuate puts evacuations in force unless those known are as new; the lock is held.
func (d *Discovery) evacuate(e catalog.Evacuations) {
	next := *d.View()
	if e.Revision <= next.Evacuations.Revision {
		return
	}
	next.Evacuations = e
	d.publish(&next)
}

// hearEvacuations takes a fellow's evacuations, whatever the age of its other news;
// the lock is held.
func (d *Discovery) hearEvacuations(told *wire.Evacuations) {
	if told != nil {
		d.evacuate(catalog.NewEvacuations(told.GetRevision(), told.GetFailureDomains()))
	}
}

// tellEvacuations is what a fellow that knows those of a revision is told; the lock
// is held.
func (d *Discovery) tellEvacuations(v *View, known uint64) *wire.Evacuations {
	told := &wire.Evacuations{Revision: v.Evacuations.Revision, Complete: !d.evacuationsPartial}
	if told.Revision > known {
		told.FailureDomains = v.Evacuations.Domains
	}
	return told
}
