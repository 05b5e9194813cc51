package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/platform"
)

// Store is what is read.
type Store interface {
	// Pages reads all items under a prefix and passes each page on as it comes.
	Pages(ctx context.Context, prefix string, page func([]platform.Item)) (revision uint64, err error)
}

// Members names the hosts of the fleet that may be called, this one included.
type Members interface{ Reachable() []fleet.Host }

// Config is what a Discovery needs.
type Config struct {
	// Self is this host's name among its fellows.
	Self    string
	Store   Store
	Members Members
	Caller  peer.Caller
	// Mux takes the method that fellows may call.
	Mux    *peer.Mux
	Logger *zap.Logger
	// Bound returns the time within which what the store acknowledged must be
	// in force here.
	Bound func() time.Duration
	// Changed is called with every view that differs from the one before, by
	// one goroutine at a time.
	Changed func(*View)
}

// The times of discovery, as shares of the bound. A host is answered as soon as
// its source has read or heard something younger, so that what is read passes
// through all levels at once. In the worst case a source has just lost the store
// or falls silent: the call to it ends after newsWait and newsGrace, and the
// store is read in a third of a second; together that is within the bound.
const (
	readShare  = 0.3
	newsWait   = 0.4
	staleAfter = 0.5
)

// fanout is the number of hosts that ask the same host for news: a change of
// 3,000 replicas would else leave one host 300 times.
const fanout = 8

const (
	// firstRetry and maxRetry bound the wait after a failed read.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 500 * time.Millisecond
	// newsGrace is how much later than newsWait an answer may come.
	newsGrace = 250 * time.Millisecond
	// avoidFor is how long a host whose news were too old, or that did not
	// answer, is not asked, avoidStarting how long one that refused at once:
	// it may have started a moment ago.
	avoidFor      = 2 * time.Second
	avoidStarting = 300 * time.Millisecond
)

// Discovery keeps the view. All methods are safe for concurrent use.
type Discovery struct {
	cfg Config
	log *zap.Logger

	mu       sync.Mutex
	view     atomic.Pointer[View]
	registry catalog.Registry
	// changed is closed and replaced with every view, also one that is only
	// younger.
	changed chan struct{}
	// steps are the last changes of the replicas.
	steps changes
	// lost says that the last read of the store failed.
	lost    bool
	avoided fleet.Avoided
	source  string
	reads   atomic.Uint64
	news    atomic.Uint64
}

// New returns a discovery that has not started and registers its method.
func New(cfg Config) *Discovery {
	d := &Discovery{cfg: cfg, log: cfg.Logger, changed: make(chan struct{})}
	d.view.Store(&View{})
	d.handle(cfg.Mux)
	return d
}

// View returns the newest view.
func (d *Discovery) View() *View { return d.view.Load() }

// Run keeps the view up to date until ctx ends.
func (d *Discovery) Run(ctx context.Context) {
	wait := firstRetry
	for ctx.Err() == nil {
		source := d.chooseSource(time.Now())
		if source != d.cfg.Self && d.askFor(ctx, source) {
			wait = firstRetry
			continue
		}
		started := time.Now()
		if !d.read(ctx) {
			if !d.View().Ready() && d.askAny(ctx) {
				continue
			}
			periodic.Sleep(ctx, wait/2+rand.N(wait/2+1))
			wait = min(2*wait, maxRetry)
			continue
		}
		wait = firstRetry
		if source == d.cfg.Self {
			periodic.Sleep(ctx, d.interval()-time.Since(started))
		}
	}
}

// interval is the time between two reads of the store: short until there is
// something to serve.
func (d *Discovery) interval() time.Duration {
	if !d.View().Ready() || len(d.View().Replicas) == 0 {
		return firstRetry
	}
	return d.share(readShare)
}

func (d *Discovery) share(part float64) time.Duration {
	return time.Duration(part * float64(d.cfg.Bound()))
}

// chooseSource returns the host whose news are asked for, or this host, which
// then reads the store: it does so while it has no view, and when no host that
// it could ask is left. Hosts ask along a tree over the ranked hosts.
func (d *Discovery) chooseSource(now time.Time) string {
	if !d.View().Ready() {
		return d.cfg.Self
	}
	hosts := ranked(d.cfg.Members.Reachable())
	at := slices.IndexFunc(hosts, func(h fleet.Host) bool { return h.Name == d.cfg.Self })
	d.mu.Lock()
	defer d.mu.Unlock()
	source := d.cfg.Self
	for at > 0 {
		at = (at - 1) / fanout
		if !d.avoided.Has(hosts[at].Name, now) {
			source = hosts[at].Name
			break
		}
	}
	if source != d.source {
		d.log.Info("source of news chosen", zap.String("source", source), zap.String("before", d.source))
		d.source = source
	}
	return source
}

// ranked sorts hosts by rank; the first two change places, as the first has the
// stage work to plan.
func ranked(hosts []fleet.Host) []fleet.Host {
	slices.SortFunc(hosts, fleet.Host.Compare)
	if len(hosts) > 2 {
		hosts[0], hosts[1] = hosts[1], hosts[0]
	}
	return hosts
}

// askAny asks hosts for news until one has some. A host that has just started
// and that the store turns away learns from its fellows what is in force.
func (d *Discovery) askAny(ctx context.Context) bool {
	for _, h := range ranked(d.cfg.Members.Reachable()) {
		if h.Name != d.cfg.Self && !d.avoided.Has(h.Name, time.Now()) && d.askFor(ctx, h.Name) {
			return true
		}
	}
	return false
}

// read reads the store and says whether that succeeded. A configuration is put
// in force with its page, before the replicas of a large deployment are in.
func (d *Discovery) read(ctx context.Context) bool {
	started := time.Now()
	d.reads.Add(1)
	var entries []catalog.Replica
	revision, err := d.cfg.Store.Pages(ctx, platform.AllKeys, func(items []platform.Item) {
		for _, item := range items {
			switch {
			case item.Key == platform.ConfigKey:
				d.readConfig(item)
			case strings.HasPrefix(item.Key, platform.ReplicaPrefix):
				entries = d.decode(entries, item)
			}
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
		d.log.Info("store regained", zap.Uint64("revision", revision))
	}
	next := *d.View()
	next.AsOf, next.Source = started, "store"
	d.registry.Update(time.Now(), entries)
	d.publish(&next)
	return true
}

// readConfig takes a configuration that was read.
func (d *Discovery) readConfig(item platform.Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.View()
	if d.takeConfig(&next, item.Value, item.Revision); next.Config != d.View().Config {
		d.publish(&next)
	}
}

// decode adds a replica's entry; one that cannot be read is left out.
func (d *Discovery) decode(entries []catalog.Replica, item platform.Item) []catalog.Replica {
	r, err := platform.DecodeReplica(item)
	if err != nil {
		d.log.Warn("replica entry refused", zap.Error(err))
		return entries
	}
	return append(entries, r)
}

// takeConfig puts a configuration into the next view if it is newer than the
// one in force: versions never go back.
func (d *Discovery) takeConfig(next *View, raw []byte, revision uint64) {
	if revision == next.revision {
		return
	}
	config, err := platform.DecodeConfig(raw)
	if err != nil {
		d.log.Error("configuration refused", zap.Uint64("revision", revision), zap.Error(err))
		return
	}
	if next.Config != nil && config.Version <= next.Config.Version {
		d.log.Warn("older configuration ignored", zap.Uint64("version", config.Version),
			zap.Uint64("in_force", next.Config.Version), zap.Uint64("revision", revision))
		return
	}
	next.Config, next.raw, next.revision = config, raw, revision
}

// publish puts a view in force; the lock is held.
func (d *Discovery) publish(next *View) {
	old := d.View()
	next.Replicas = d.registry.Replicas()
	next.hash = hashOf(next.Replicas)
	first := old.Replicas == nil
	defer func() {
		close(d.changed)
		d.changed = make(chan struct{})
	}()
	if !first && next.Config == old.Config && next.hash == old.hash {
		next.Replicas = old.Replicas
		d.view.Store(next)
		return
	}
	if next.hash != old.hash {
		d.steps = d.steps.add(old, next)
	}
	fields := []zap.Field{
		zap.Bool("configuration", next.Config != old.Config), zap.Bool("replicas_changed", next.hash != old.hash),
		zap.String("source", next.Source), zap.Duration("age", time.Since(next.AsOf)), zap.Int("replicas", len(next.Replicas)),
	}
	if next.Config != nil {
		fields = append(fields, zap.Uint64("version", next.Config.Version))
	}
	d.cfg.Changed(next)
	d.view.Store(next)
	d.log.Info("view in force", fields...)
}

// Dump is the state of a Discovery for operators.
type Dump struct {
	Version  uint64    `json:"version"`
	Revision uint64    `json:"revision"`
	AsOf     time.Time `json:"as_of"`
	Source   string    `json:"source"`
	Lost     bool      `json:"store_lost"`
	// Reads counts reads of the store, News answers of other hosts.
	Reads    uint64            `json:"reads"`
	News     uint64            `json:"news"`
	Replicas []catalog.Replica `json:"replicas"`
}

// Dump returns the state.
func (d *Discovery) Dump() Dump {
	v := d.View()
	d.mu.Lock()
	defer d.mu.Unlock()
	dump := Dump{
		Revision: v.revision, AsOf: v.AsOf, Source: v.Source, Lost: d.lost,
		Reads: d.reads.Load(), News: d.news.Load(), Replicas: sorted(v.Replicas),
	}
	if v.Config != nil {
		dump.Version = v.Config.Version
	}
	return dump
}
