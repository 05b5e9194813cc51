package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/platform"
)

// decodeConfig reads a configuration as the store holds it. Tests of many hosts
// replace it, as each host would decode the same megabyte.
var decodeConfig = platform.DecodeConfig

// wantedConfig is a configuration that a fellow has named.
type wantedConfig struct {
	revision uint64
	from     string
	since    time.Time
}

// maxMarks is the number of checks of the store that the next one looks back
// over, at 0.3 of the bound each: a store that drops its history tells of no
// changes for a second before.
const maxMarks = 4

// idleWait bounds a wait of keepConfig, which is woken when there is work.
const idleWait = time.Minute

// marks are the store's revisions at the last checks for a newer
// configuration, oldest first.
type marks []uint64

func (m marks) add(revision uint64) marks {
	if len(m) >= maxMarks {
		m = m[1:]
	}
	return append(m[:len(m):len(m)], revision)
}

// oldest is the revision from which the next check looks; 0 without any.
func (m marks) oldest() uint64 {
	if len(m) == 0 {
		return 0
	}
	return m[0]
}

// keepConfig keeps the configuration up to date until ctx ends: it fetches what
// fellows name, and asks the store while this host reads it.
func (d *Discovery) keepConfig(ctx context.Context) {
	wait := firstRetry
	for ctx.Err() == nil {
		done := false
		switch {
		case d.behind():
			done = d.fetchWanted(ctx) || d.getConfig(ctx)
		case d.storeLost():
			// The list is tried again and again; one question to a store that is away is
			// enough.
			d.awaitWork(ctx, d.retryLimit())
			done = true
		case d.readsStore():
			done = d.checkConfig(ctx, d.untilNextList())
		case d.checkDue.Swap(false):
			done = d.checkConfig(ctx, 0)
		default:
			d.awaitWork(ctx, idleWait)
			done = true
		}
		if done {
			wait = firstRetry
			continue
		}
		periodic.Sleep(ctx, wait/2+rand.N(wait/2+1))
		wait = min(2*wait, d.retryLimit())
	}
}

// awaitWork waits until there may be something to do for keepConfig, at most for
// limit.
func (d *Discovery) awaitWork(ctx context.Context, limit time.Duration) {
	periodic.Await(ctx, d.work, limit)
}

// wake has keepConfig look again.
func (d *Discovery) wake() {
	select {
	case d.work <- struct{}{}:
	default:
	}
}

// readsStore says whether this host reads the store.
func (d *Discovery) readsStore() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source == d.cfg.Self
}

// storeLost says whether the last list of the replicas failed.
func (d *Discovery) storeLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost
}

// untilNextList is the time until the replicas are listed again. A check of the
// configuration that ends then makes the view younger once an interval and not
// twice, and each time is an answer to every host that asks.
func (d *Discovery) untilNextList() time.Duration {
	interval, since := d.interval(), clock.Since(d.View().replicasAsOf)
	if since > interval {
		return interval
	}
	return max(firstRetry, interval-since)
}

// behind says whether a fellow has named a newer configuration.
func (d *Discovery) behind() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wanted.revision > max(d.View().revision, d.refused)
}

// Behind returns for how long a newer configuration has been known of and is
// not in force; 0 when none is.
func (d *Discovery) ConfigLag() time.Duration {
	if !d.behind() {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return clock.Since(d.wanted.since)
}

// want notes a configuration that a fellow named; the lock is held. Whatever
// the age of a fellow's news, a newer configuration is newer.
func (d *Discovery) want(revision uint64, from string) {
	if revision <= max(d.wanted.revision, d.View().revision) {
		return
	}
	d.wanted = wantedConfig{revision: revision, from: from, since: clock.Now()}
	d.wake()
}

// fetchWanted fetches steps until the configuration that was wanted is there,
// and puts it in force. The versions in between are not: decoding one takes a
// small host 50 ms.
func (d *Discovery) fetchWanted(ctx context.Context) bool {
	d.mu.Lock()
	wanted := d.wanted
	d.mu.Unlock()
	v := d.View()
	began, revision, raw, size, fetched := clock.Now(), v.revision, v.raw, 0, 0
	defer d.passing.Store(0)
	for revision < wanted.revision {
		s, err := d.fetchStep(ctx, revision)
		if err != nil {
			return false
		}
		if raw, err = s.apply(raw); err != nil {
			d.log.Error("step of the configuration refused", zap.Uint64("base", s.base), zap.Uint64("revision", s.revision), zap.Error(err))
			return false
		}
		revision, size, fetched = s.revision, size+len(s.data), fetched+1
	}
	d.log.Info("configuration fetched", zap.String("peer", wanted.from), zap.Uint64("revision", revision), zap.Int("steps", fetched),
		zap.Int("bytes", size), zap.Int("size", len(raw)), zap.Duration("took", clock.Since(began)))
	d.putInForce(raw, revision, wanted.from)
	return true
}

// checkSoon has the store asked for a newer configuration, as no fellow said
// whether there is one: hosts that are cut off take 1.2 s each to say nothing,
// and up to three are asked one after the other.
func (d *Discovery) checkSoon() {
	d.checkDue.Store(true)
	d.wake()
}

// checkConfig asks the store for a newer configuration and waits up to wait for
// one.
func (d *Discovery) checkConfig(ctx context.Context, wait time.Duration) bool {
	d.mu.Lock()
	after := d.marks.oldest()
	d.mu.Unlock()
	if after == 0 {
		return d.getConfig(ctx)
	}
	if d.missedEvacuations() && !d.listEvacuations(ctx) {
		return false
	}
	items, revision, err := d.cfg.Store.Changes(ctx, platform.OperatorPrefix, after, wait)
	if errors.Is(err, platform.ErrCompacted) {
		d.log.Info("history of the store gone", zap.Uint64("after", after))
		return d.getConfig(ctx)
	}
	if err != nil {
		d.storeFailed(ctx, err)
		return false
	}
	d.takeChanges(items)
	d.checked(revision)
	return true
}

// takeChanges takes what the operator has changed.
func (d *Discovery) takeChanges(items []platform.Item) {
	var newest uint64
	var orders []platform.Item
	for _, item := range items {
		newest = max(newest, item.Revision)
		switch {
		case item.Key == platform.ConfigKey && !item.Removed:
			d.read(item)
		case strings.HasPrefix(item.Key, platform.EvacuationPrefix):
			orders = append(orders, item)
		}
	}
	if newest == 0 {
		return
	}
	changes := d.decodeEvacuations(orders)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(changes) > 0 {
		d.evacuate(d.View().Evacuations.With(changes))
	}
	// All up to here was told: a check that looked further back would be answered
	// with the same at once.
	d.marks = marks{newest}
}

// getConfig reads the configuration from the store. When none is written yet, a
// watch from the revision known before waits for the first one.
func (d *Discovery) getConfig(ctx context.Context) bool {
	d.mu.Lock()
	listed := d.listed
	d.mu.Unlock()
	item, revision, err := d.cfg.Store.Get(ctx, platform.ConfigKey)
	missing := errors.Is(err, platform.ErrNotFound)
	d.unwritten.Store(missing && d.View().Config == nil)
	d.lookOnce.Do(func() { close(d.looked) })
	if missing {
		if listed > 0 {
			d.checked(listed)
			return true
		}
		d.awaitFleet(ctx)
		return false
	}
	if err != nil {
		d.storeFailed(ctx, err)
		return false
	}
	d.read(item)
	d.mu.Lock()
	d.evacuationsPartial = true // the next check looks from here on
	d.mu.Unlock()
	d.checked(revision)
	// A host that has just started finds a fellow to ask by then, and saves a call.
	d.awaitWork(ctx, d.share(readShare))
	return true
}

// read takes a configuration that was read from the store.
func (d *Discovery) read(item platform.Item) {
	v := d.View()
	d.mu.Lock()
	known := item.Revision <= max(v.revision, d.refused)
	d.mu.Unlock()
	if known {
		return
	}
	if v.Config != nil {
		s, err := newStep(v.revision, v.raw, item.Revision, item.Value)
		if err != nil {
			d.log.Error("no step between configurations", zap.Error(err))
		} else {
			d.keepStep(s)
		}
	}
	d.putInForce(item.Value, item.Revision, sourceStore)
}

// storeFailed notes that the store did not tell of the configuration.
func (d *Discovery) storeFailed(ctx context.Context, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.configLost && ctx.Err() == nil {
		d.configLost = true
		d.log.Warn("store lost for the configuration", zap.Error(err), zap.Duration("view_age", clock.Since(d.View().AsOf)))
	}
}

// checked notes that the store has no newer configuration than what was read,
// up to a revision of its own.
func (d *Discovery) checked(revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.configLost {
		d.configLost = false
		d.log.Info("store regained for the configuration", zap.Uint64("revision", revision))
	}
	d.marks = d.marks.add(revision)
	next := *d.View()
	next.configAsOf = clock.Now()
	d.publish(&next)
}

// putInForce puts a configuration in force if it is newer than the one that is:
// versions never go back. A faulty one is not asked for again. It is called by
// keepConfig alone.
func (d *Discovery) putInForce(raw []byte, revision uint64, source string) {
	config, err := decodeConfig(raw)
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.View()
	switch {
	case err != nil:
		d.log.Error("configuration refused", zap.Uint64("revision", revision), zap.Error(err))
	case next.Config != nil && config.Version <= next.Config.Version:
		d.log.Warn("older configuration ignored", zap.Uint64("version", config.Version),
			zap.Uint64("in_force", next.Config.Version), zap.Uint64("revision", revision))
	default:
		next.Config, next.raw, next.revision, next.Source = config, raw, revision, source
		d.unwritten.Store(false)
		d.marks = marks{revision}
		d.evacuationsPartial = d.evacuationsPartial || source != sourceStore
		d.publish(&next)
		return
	}
	d.refused = revision
}
