package discovery

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/core/position"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/wire"
)

// After all hosts of a fleet were lost no host knows what was listed before. The host that reads
// the store for the others then asks it once for the changes before its first list.

const (
	// maxPastEvents bounds what is read of the store's past, at some 300 bytes each: at 80
	// replicas that is a minute, at 1,000 five heartbeats. With more replicas than
	// maxPastEvents/minPastBeats it reaches back too little to be worth the call.
	maxPastEvents = 4000
	minPastBeats  = 2
	// maxPastReads bounds the calls to the store, and maxPastEvents all of their answers but the
	// last. Attempts that reach back too far are refused; the next one reaches half as far.
	maxPastReads = 5
	// firstPastShare is the share of the store's retention that the first attempt is meant to
	// cover: more than all of it, since replicas may have left of which nothing is known yet.
	firstPastShare = 1.8
	// pastPrecision ends the search for the oldest change that the store has: less than one part
	// in so many is not known to be there or not.
	pastPrecision = 4
)

// StorePast describes what the store has of its own past.
type StorePast struct {
	// Retention is for how long it keeps changes at most, and Heartbeat the interval at which
	// each replica writes its entry. If either is 0, the past is not read.
	Retention, Heartbeat time.Duration
}

// errPastIncomplete means that the store's answers do not reach this host's own reads.
var errPastIncomplete = errors.New("discovery: the changes do not reach the known ones")

// learnPast has syncPast extend the history once after it was restarted. Only the host that reads
// the store for the fleet does so; the others learn from it. By then the views of peers, which
// this history is to continue, are from after its beginning.
func (d *Discovery) learnPast() {
	select {
	case <-d.cfg.Members.Formed():
	default:
		return // others may read the store for this host
	}
	d.mu.Lock()
	unread := d.pastUnread && d.listing != nil && d.historyLength() > d.boundFraction(staleFraction)
	if unread {
		d.pastUnread = false
	}
	d.mu.Unlock()
	if unread {
		select {
		case d.pastWork <- struct{}{}:
		default:
		}
	}
}

// syncPast extends the history when learnPast asks for it, until ctx ends: it asks peers, and
// if they know too little, the store. No view waits for it.
func (d *Discovery) syncPast(ctx context.Context) {
	for {
		select {
		case <-d.pastWork:
			if !d.askPeersForHistory(ctx) && d.cfg.StorePast.Retention > 0 {
				d.readPast(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// historyLength returns for how long the history is complete.
func (d *Discovery) historyLength() time.Duration {
	d.versionsMu.Lock()
	defer d.versionsMu.Unlock()
	return d.versions.CompleteFor(clock.Now())
}

// maxHistoryPeers is the number of peers that are asked for their history, and maxHistoryRounds
// how often: a peer's history can be joined to this host's once its view is newer than the
// beginning of this one.
const (
	maxHistoryPeers  = 3
	maxHistoryRounds = 3
)

// askPeersForHistory asks some peers for their history, and reports whether the store's past
// would add nothing to it.
func (d *Discovery) askPeersForHistory(ctx context.Context) bool {
	for range maxHistoryRounds {
		if d.askSomePeersForHistory(ctx) {
			return true
		}
		if len(d.cfg.Members.Reachable()) < 2 || !periodic.Sleep(ctx, d.interval()) {
			return false
		}
	}
	return false
}

// askSomePeersForHistory is one round of askPeersForHistory.
func (d *Discovery) askSomePeersForHistory(ctx context.Context) bool {
	hosts := slices.DeleteFunc(d.cfg.Members.Reachable(), func(h fleet.Host) bool { return h.Name == d.cfg.Self })
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts[:min(maxHistoryPeers, len(hosts))] {
		d.requestHistory(ctx, h.Name)
		if d.historyLength() > max(d.cfg.StorePast.Retention, maxListingAge) {
			return true
		}
	}
	return false
}

// requestHistory adds a peer's history to this host's. The replicas stay as they are: this host
// has read them itself.
func (d *Discovery) requestHistory(ctx context.Context, host string) {
	sentAt := clock.Now()
	reply := &wire.NewsReply{}
	call, cancel := clock.WithTimeout(ctx, replyGrace)
	defer cancel()
	if err := d.cfg.Caller.Call(call, host, methodChanges, d.changesRequest(sentAt, 0), reply); err != nil {
		d.log.Info("request for the version history failed", zap.String("peer", host), zap.Error(err))
		return
	}
	if reply.GetVersions() == nil {
		return
	}
	received := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	asOf := sentAt.Add(-time.Duration(reply.GetAgeMs()) * time.Millisecond)
	s := summaryOf(reply.GetVersions(), received, asOf, sentAt)
	own := d.registry.Replicas()
	listed := replicasWith(own, reply)
	for _, c := range versionChanges(own, listed) {
		if !c.Removed {
			// The peer has a replica of it that this host has not.
			s.Versions = append(s.Versions, origin.FormerVersion{Service: c.Service, Version: c.Version, LastListed: received, LastRemoved: received})
		}
	}
	complete := listed.Digest().Sum() == reply.GetReplicasHash()
	d.updateVersions(func(h *origin.History) []string {
		before := h.CompleteFor(received)
		grown := h.Merge(received, s, complete)
		d.logHistoryChange(h, received, host, before)
		return grown
	})
}

// readPast extends the history by what the store has of its past.
func (d *Discovery) readPast(ctx context.Context) {
	past := d.cfg.StorePast
	d.mu.Lock()
	v, newest, list := d.View(), d.knownPosition(), d.restartedAt
	d.mu.Unlock()
	span := pastSpan(v.Replicas.Len(), past)
	switch {
	case span == 0:
		d.log.Info("store's past not read: too many replicas, or how often they write is not known", zap.Int("replicas", v.Replicas.Len()))
		return
	case position.Era(newest) > 0:
		// What was written before the store came back from a copy may be lost.
		d.log.Info("store's past not read: it has come back from a copy", eraField(newest))
		return
	}
	items, reads, err := d.changesBefore(ctx, list, newest, span)
	if err != nil {
		d.log.Warn("could not read the store's past", zap.Error(err), zap.Int("reads", reads))
		return
	}
	s := origin.Past(clock.Now(), past.Heartbeat, pastEvents(items))
	if oldest := clock.Now().Add(-past.Retention); s.Since.Before(oldest) && !s.Since.IsZero() {
		s.Since = oldest
	}
	s.Until = v.replicasAsOf
	d.extendHistory(s, len(items), reads)
}

// extendHistory adds the store's past to the history.
func (d *Discovery) extendHistory(s origin.Summary, events, reads int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	var before, after time.Duration
	d.updateVersions(func(h *origin.History) []string {
		before = h.CompleteFor(now)
		reachesBack := !s.Since.IsZero() && now.Sub(s.Since) > before
		grown := h.Merge(now, s, reachesBack)
		after = h.CompleteFor(now)
		return grown
	})
	d.log.Info("version history extended by the store's past", zap.Duration("before", before), zap.Duration("complete_for", after),
		zap.Int("events", events), zap.Int("reads", reads), zap.Int("departed_versions", len(s.Versions)))
}

// pastSpan returns the number of revisions that the first attempt to read the past covers; 0 if
// it is not worth it.
func pastSpan(replicas int, past StorePast) uint64 {
	if past.Heartbeat <= 0 || past.Retention <= 0 || replicas*minPastBeats > maxPastEvents {
		return 0
	}
	beats := firstPastShare * float64(past.Retention) / float64(past.Heartbeat)
	return uint64(min(maxPastEvents, float64(max(1, replicas))*beats))
}

// changesBefore reads the changes since span revisions before a list, or as far back as the store
// has them, up to the newest known one at least. They are in the order of their revisions, and
// none is left out.
func (d *Discovery) changesBefore(ctx context.Context, list, newest, span uint64) (items []platform.Item, reads int, err error) {
	err = errPastIncomplete
	available, discarded, total := uint64(0), uint64(0), 0
	for reads < maxPastReads && total <= maxPastEvents && (discarded == 0 || available < discarded*pastPrecision/(pastPrecision+1)) {
		more, n, readErr := d.changesUpTo(ctx, list-min(span, list), newest, maxPastReads-reads)
		reads, total = reads+n, total+len(more)
		switch {
		case readErr == nil:
			items, err, available = more, nil, span
		case errors.Is(readErr, platform.ErrCompacted) && span > 1:
			discarded = span
		case errors.Is(readErr, platform.ErrUnavailable) && periodic.Sleep(ctx, maxRetryInterval):
			continue
		default:
			return items, reads, readErr
		}
		if discarded == 0 {
			break
		}
		span = (available + discarded) / 2
	}
	slices.SortStableFunc(items, func(a, b platform.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return items, reads, err
}

// changesUpTo reads the changes after a revision up to the newest known one at least, in at most
// the given number of reads.
func (d *Discovery) changesUpTo(ctx context.Context, after, newest uint64, limit int) (items []platform.Item, reads int, err error) {
	for reached := after; reads < limit; {
		var more []platform.Item
		reads++
		if more, reached, err = d.cfg.Store.Changes(ctx, platform.ReplicaPrefix, reached, 0); err != nil {
			return nil, reads, err
		}
		if items = append(items, more...); reached >= newest {
			return items, reads, nil
		}
	}
	return nil, reads, errPastIncomplete
}

// pastEvents returns what items say of replicas. Entries that are not valid replicas are left
// out.
func pastEvents(items []platform.Item) []origin.Event {
	written := map[string]catalog.Replica{}
	events := make([]origin.Event, 0, len(items))
	for _, item := range items {
		if item.Removed {
			delete(written, item.Key)
			events = append(events, origin.Event{Key: item.Key, Removed: true})
			continue
		}
		r, err := platform.DecodeReplica(item)
		if err != nil {
			continue
		}
		before, known := written[item.Key]
		written[item.Key] = r
		events = append(events, origin.Event{Key: item.Key, Service: r.Service, Version: r.Version, Heartbeat: known && before == r})
	}
	return events
}
