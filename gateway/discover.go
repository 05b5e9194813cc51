package gateway

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/platform"
)

// firstRetry and maxRetry bound the wait after a failed read. With the timeout
// of a call they keep a returned store's news within the two seconds that a
// configuration may take.
const (
	firstRetry = 100 * time.Millisecond
	maxRetry   = 500 * time.Millisecond
)

// discovery reads configuration and replicas from the store and publishes them
// as views. It reads both in one call at an interval: a watch is answered
// hundreds of times a minute by the replicas' heartbeats, and one of the
// configuration alone may hear nothing for seconds when the store drops its
// history. One goroutine uses it.
type discovery struct {
	g        *Gateway
	store    *platform.Store
	registry catalog.Registry
	config   *catalog.Config
	// revision is that of the configuration item that was last read.
	revision uint64
	// lost says that the last read failed.
	lost bool
}

func newDiscovery(g *Gateway) *discovery {
	return &discovery{g: g, store: platform.NewStore(g.settings.Load().Store.Address)}
}

// run keeps the view up to date until ctx ends.
func (d *discovery) run(ctx context.Context) {
	wait := firstRetry
	for ctx.Err() == nil {
		started := time.Now()
		items, revision, err := d.store.List(ctx, platform.AllKeys)
		if err != nil {
			d.missed(ctx, err)
			sleep(ctx, jitter(wait))
			wait = min(2*wait, maxRetry)
			continue
		}
		wait = firstRetry
		d.take(items, revision)
		sleep(ctx, d.interval()-time.Since(started))
	}
}

// interval is the time between two reads: short until there is something to
// serve.
func (d *discovery) interval() time.Duration {
	if d.config == nil {
		return firstRetry
	}
	return d.g.settings.Load().readEvery()
}

// take takes everything that the store holds.
func (d *discovery) take(items []platform.Item, revision uint64) {
	if d.lost {
		d.lost = false
		d.g.log.Info("store regained", zap.Uint64("revision", revision))
	}
	newer := false
	var entries []platform.Item
	for _, item := range items {
		switch {
		case item.Key == platform.ConfigKey:
			newer = d.takeConfig(item)
		case strings.HasPrefix(item.Key, platform.ReplicaPrefix):
			entries = append(entries, item)
		}
	}
	first := d.registry.Replicas() == nil
	changed := d.registry.Update(time.Now(), d.decode(entries))
	if newer || changed || first {
		d.publish(revision, newer, changed)
	}
}

// takeConfig decodes a configuration that changed and says whether it is newer
// than the one in force. Versions never go back.
func (d *discovery) takeConfig(item platform.Item) bool {
	if item.Revision == d.revision {
		return false
	}
	d.revision = item.Revision
	config, err := platform.DecodeConfig(item.Value)
	if err != nil {
		d.g.log.Error("configuration refused", zap.Uint64("revision", item.Revision), zap.Error(err))
		return false
	}
	if d.config != nil && config.Version <= d.config.Version {
		d.g.log.Warn("older configuration ignored", zap.Uint64("version", config.Version),
			zap.Uint64("in_force", d.config.Version), zap.Uint64("revision", item.Revision))
		return false
	}
	d.config = config
	return true
}

// decode reads the entries; one that cannot be read is left out.
func (d *discovery) decode(items []platform.Item) []catalog.Replica {
	replicas := make([]catalog.Replica, 0, len(items))
	for _, item := range items {
		r, err := platform.DecodeReplica(item)
		if err != nil {
			d.g.log.Warn("replica entry refused", zap.Error(err))
			continue
		}
		replicas = append(replicas, r)
	}
	return replicas
}

// missed notes a failed read.
func (d *discovery) missed(ctx context.Context, err error) {
	if !d.lost && ctx.Err() == nil {
		d.lost = true
		d.g.log.Warn("store lost", zap.Error(err))
	}
}

// publish puts a new view in force.
func (d *discovery) publish(revision uint64, newer, changed bool) {
	d.g.setView(&view{config: d.config, replicas: d.registry.Replicas()})
	fields := []zap.Field{
		zap.Bool("configuration", newer), zap.Bool("replicas_changed", changed),
		zap.Uint64("revision", revision), zap.Int("replicas", len(d.registry.Replicas())),
	}
	if d.config != nil {
		fields = append(fields, zap.Uint64("version", d.config.Version))
	}
	d.g.log.Info("view in force", fields...)
}

// jitter draws a wait between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
