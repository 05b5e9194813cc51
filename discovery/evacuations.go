package discovery

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/wire"
)

// Evacuations are read by the watch for a newer configuration, without a call of their
// own, and are sent to peers with other changes. Only a host that reads the store and may
// have missed a change lists them. The revisions of the store order them: of two sets, the
// one with the later revision is valid, whichever host sends it.

// mayMissEvacuations reports whether changes of the evacuations may have been missed.
func (d *Discovery) mayMissEvacuations() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuationsIncomplete
}

// listEvacuations reads the evacuations from the store and reports whether that succeeded.
func (d *Discovery) listEvacuations(ctx context.Context) bool {
	var changes []catalog.EvacuationChange
	revision, err := d.cfg.Store.ForEachPage(ctx, platform.EvacuationPrefix, func(items []platform.Item) bool {
		changes = append(changes, d.decodeEvacuations(items)...)
		return true
	})
	if err != nil {
		d.noteConfigReadError(ctx, err)
		return false
	}
	domains := make([]string, 0, len(changes))
	for _, c := range changes {
		domains = append(domains, c.Domain)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuationsIncomplete = false
	d.applyEvacuations(catalog.NewEvacuations(revision, domains), catalog.Restoration{})
	return true
}

// decodeEvacuations decodes orders to evacuate and their withdrawals. A key that does not
// name a failure domain is logged and skipped.
func (d *Discovery) decodeEvacuations(items []platform.Item) []catalog.EvacuationChange {
	var changes []catalog.EvacuationChange
	for _, item := range items {
		c, err := platform.DecodeEvacuation(item)
		if err != nil {
			d.log.Warn("invalid evacuation key ignored", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		changes = append(changes, c)
	}
	return changes
}

// applyEvacuations activates evacuations unless the current ones are as new. known is what their
// sender knows of the store's era. The caller holds d.mu.
func (d *Discovery) applyEvacuations(e catalog.Evacuations, known catalog.Restoration) {
	changed, restored := d.evacuations.Replace(clock.Now(), e, known)
	if !changed {
		return
	}
	if until := d.evacuations.KeptUntil(); !until.IsZero() {
		if restored {
			d.log.Warn("store came back from a copy; keeping evacuations that it lacks", zap.Strings("evacuated", d.evacuations.InForce(clock.Now()).Domains),
				eraField(e.Revision), zap.Duration("for", clock.Until(until)))
		}
		clock.AfterFunc(clock.Until(until), func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.publishEvacuations()
		})
	}
	d.publishEvacuations()
}

// publishEvacuations publishes the evacuations in force. The caller holds d.mu.
func (d *Discovery) publishEvacuations() {
	next := *d.View()
	next.Evacuations = d.evacuations.InForce(clock.Now())
	d.publish(&next)
}

// receiveEvacuations applies a peer's evacuations, however old the rest of its view is.
// The caller holds d.mu.
func (d *Discovery) receiveEvacuations(received *wire.Evacuations) {
	if received == nil {
		return
	}
	known := catalog.Restoration{Age: time.Duration(received.GetEraAgeMs()) * time.Millisecond, Withdrawn: received.GetWithdrawn()}
	d.applyEvacuations(catalog.NewEvacuations(received.GetRevision(), received.GetFailureDomains()), known)
}

// evacuationsReply returns the evacuations for a peer, without the failure domains if the
// peer knows this revision. The caller holds d.mu.
func (d *Discovery) evacuationsReply(known uint64) *wire.Evacuations {
	stored := d.evacuations.Stored()
	reply := &wire.Evacuations{Revision: stored.Revision, Complete: !d.evacuationsIncomplete}
	if reply.Revision > known {
		known := d.evacuations.Restoration(clock.Now())
		reply.FailureDomains, reply.Withdrawn, reply.EraAgeMs = stored.Domains, known.Withdrawn, uint32(known.Age.Milliseconds())
	}
	return reply
}
