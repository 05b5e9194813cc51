package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/platform"
)

// The waits of reading the store.
const (
	// watchWait is how long a watch of the configuration waits: each ended
	// watch is a call that is paid for, and a lost store is noticed by the
	// reads of the replicas.
	watchWait = 25 * time.Second
	// firstRetry and maxRetry bound the wait after a failed call. With
	// the shortest timeout of a call they keep a returned store's news within
	// the two seconds that a configuration may take.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 500 * time.Millisecond
)

// discovery reads configuration and replicas from the store and publishes them
// as views.
type discovery struct {
	g        *Gateway
	store    *platform.Store
	registry catalog.Registry
	config   *catalog.Config
	// lost says that the last read of the replicas failed.
	lost bool
	// returned is closed and replaced when the store answers after a failure.
	returned chan struct{}
	events   chan func()
}

func newDiscovery(g *Gateway) *discovery {
	return &discovery{
		g: g, store: platform.NewStore(g.settings.Store.Address),
		returned: make(chan struct{}, 1), events: make(chan func()),
	}
}

// run keeps the view up to date until ctx ends.
func (d *discovery) run(ctx context.Context) {
	go d.watchConfig(ctx)
	go d.readReplicas(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-d.events:
			f()
		}
	}
}

// post runs f in the goroutine of run.
func (d *discovery) post(ctx context.Context, f func()) {
	select {
	case d.events <- f:
	case <-ctx.Done():
	}
}

// watchConfig reads the configuration and then waits for its changes.
func (d *discovery) watchConfig(ctx context.Context) {
	wait := firstRetry
	for ctx.Err() == nil {
		revision, err := d.readConfig(ctx)
		if err == nil {
			wait = firstRetry
			err = d.followConfig(ctx, revision)
		}
		if ctx.Err() != nil || errors.Is(err, errStoreReturned) {
			continue
		}
		d.g.log.Warn("configuration not read", zap.Error(err), zap.Duration("retry_in", wait))
		sleep(ctx, jitter(wait))
		wait = min(2*wait, maxRetry)
	}
}

// errStoreReturned ends a watch that may hang on a connection from before the
// store was away.
var errStoreReturned = errors.New("the store was away")

// readConfig reads the configuration as it is and returns the store's revision.
func (d *discovery) readConfig(ctx context.Context) (uint64, error) {
	item, revision, err := d.store.Get(ctx, platform.ConfigKey)
	if err != nil {
		return 0, err
	}
	d.takeConfig(ctx, item)
	return revision, nil
}

// followConfig takes changes until a watch fails or the store was away.
func (d *discovery) followConfig(ctx context.Context, revision uint64) error {
	for {
		items, next, err := d.watchOnce(ctx, revision)
		if err != nil {
			return err
		}
		for _, item := range items {
			if item.Key == platform.ConfigKey && !item.Deleted {
				d.takeConfig(ctx, item)
			}
		}
		revision = max(revision, next)
	}
}

func (d *discovery) watchOnce(ctx context.Context, revision uint64) ([]platform.Item, uint64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-d.returned:
			cancel(errStoreReturned)
		case <-done:
		case <-ctx.Done():
		}
	}()
	items, next, err := d.store.Watch(ctx, platform.ConfigKey, revision, watchWait)
	if err != nil && errors.Is(context.Cause(ctx), errStoreReturned) {
		err = errStoreReturned
	}
	return items, next, err
}

// takeConfig decodes a configuration and puts it in force if it is newer.
func (d *discovery) takeConfig(ctx context.Context, item platform.Item) {
	config, err := platform.DecodeConfig(item.Value)
	if err != nil {
		d.g.log.Error("configuration refused", zap.Uint64("revision", item.Revision), zap.Error(err))
		return
	}
	d.post(ctx, func() {
		if d.config != nil && config.Version <= d.config.Version {
			return
		}
		d.config = config
		d.publish("configuration in force", zap.Uint64("version", config.Version), zap.Uint64("revision", item.Revision))
	})
}

// readReplicas reads the list of replicas at an interval.
func (d *discovery) readReplicas(ctx context.Context) {
	wait := firstRetry
	for ctx.Err() == nil {
		started := time.Now()
		items, revision, err := d.store.List(ctx, platform.ReplicaPrefix)
		if err != nil {
			d.missed(ctx, err)
			sleep(ctx, jitter(wait))
			wait = min(2*wait, maxRetry)
			continue
		}
		wait = firstRetry
		replicas := d.decode(items)
		d.post(ctx, func() { d.takeReplicas(replicas, revision) })
		sleep(ctx, d.g.settings.Store.ReplicasEvery-time.Since(started))
	}
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
	d.post(ctx, func() {
		if !d.lost && ctx.Err() == nil {
			d.lost = true
			d.g.log.Warn("store lost", zap.Error(err))
		}
	})
}

// takeReplicas takes a list of replicas.
func (d *discovery) takeReplicas(replicas []catalog.Replica, revision uint64) {
	if d.lost {
		d.lost = false
		d.g.log.Info("store regained", zap.Uint64("revision", revision))
		select {
		case d.returned <- struct{}{}:
		default:
		}
	}
	first := d.registry.Replicas() == nil
	if d.registry.Update(time.Now(), replicas) || first {
		d.publish("replicas changed", zap.Uint64("revision", revision), zap.Int("replicas", len(d.registry.Replicas())))
	}
}

// publish puts a new view in force.
func (d *discovery) publish(msg string, fields ...zap.Field) {
	d.g.setView(&view{config: d.config, replicas: d.registry.Replicas()})
	d.g.log.Info(msg, fields...)
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
