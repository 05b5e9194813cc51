package discovery

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/platform"
)

// Store is what is read.
type Store interface {
	// Pages reads all items under a prefix and passes each page on as it comes.
	ForEachPage(ctx context.Context, prefix string, page func([]platform.Item)) (revision uint64, err error)
	// Get reads one item; the error is platform.ErrNotFound without it.
	Get(ctx context.Context, key string) (item platform.Item, revision uint64, err error)
	// Changes waits for items under a prefix that were written or removed after a
	// revision; the error is platform.ErrHistoryGone when the store cannot tell.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (items []platform.Item, revision uint64, err error)
}

// Members names the hosts of the fleet.
type Members interface {
	// Reachable returns the hosts that may be called, this one included.
	Reachable() []fleet.Host
	// Formed is closed once Reachable can be counted on, within a second of the
	// start of this host.
	Formed() <-chan struct{}
}

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
	PropagationBound func() time.Duration
	// Changed is called with every view that differs from the one before, by
	// one goroutine at a time.
	OnViewChange func(*View)
}

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
	// lost and configLost say that the last read of the replicas, or of the
	// configuration, failed.
	lost, configLost bool
	avoided          fleet.HostBackoff
	// source is whom news are asked of; this host itself while it reads the store.
	source string
	// askedAt is when a fellow last asked for news, by clock.Nanos.
	askedAt atomic.Int64
	reads   atomic.Uint64
	news    atomic.Uint64

	// wanted is the newest configuration that a fellow has named, refused the last
	// revision that is faulty, and marks how far the store was checked.
	wanted  wantedConfig
	refused uint64
	marks   marks
	// evacuationsPartial says that changes of the evacuations may have been missed:
	// who reads the store lists them.
	evacuationsPartial bool
	// faults says what is wrong with the entries that name no replica, by key.
	faults map[string]string
	// listed is the store's revision when this host last listed the replicas.
	listed uint64
	// checkDue says that the store is to be asked once for a newer configuration.
	checkDue atomic.Bool
	// looked is closed when the store was first asked for the configuration, and
	// unwritten says that there was none yet.
	looked    chan struct{}
	lookOnce  sync.Once
	unwritten atomic.Bool
	// work has keepConfig look for something to do.
	work chan struct{}

	// serving guards the steps that fellows fetch, whole ones and the one that is
	// on its way here; it is taken before mu. passing is the revision that the
	// latter leads to: fellows may fetch it before it is in force here.
	serving     sync.Mutex
	configSteps steps
	incoming    *download
	passing     atomic.Uint64
}

// neverAsked stands for the time since a fellow asked while none has.
const neverAsked = time.Hour

// New returns a discovery that has not started and registers its method.
func New(cfg Config) *Discovery {
	d := &Discovery{
		cfg: cfg, log: cfg.Logger, changed: make(chan struct{}), source: cfg.Self, work: make(chan struct{}, 1), looked: make(chan struct{}),
		evacuationsPartial: true,
	}
	d.view.Store(&View{})
	d.askedAt.Store(int64(-neverAsked))
	d.handleNews(cfg.Mux)
	d.handleConfig(cfg.Mux)
	return d
}

// View returns the newest view.
func (d *Discovery) View() *View { return d.view.Load() }

// Run keeps the view up to date until ctx ends. The replicas and the
// configuration are kept apart: a drain is a hundred bytes and due everywhere in
// as little time as a configuration of a megabyte.
func (d *Discovery) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { d.keepReplicas(ctx) })
	group.Go(func() { d.keepConfig(ctx) })
	group.Wait()
}

func (d *Discovery) share(part float64) time.Duration {
	return time.Duration(part * float64(d.cfg.PropagationBound()))
}

// publish puts a view in force; the lock is held.
func (d *Discovery) publish(next *View) {
	old := d.View()
	next.AsOf = next.replicasAsOf
	if next.configAsOf.Before(next.AsOf) {
		next.AsOf = next.configAsOf
	}
	next.Replicas = d.registry.Replicas()
	next.digest = digestOf(next.Replicas)
	first := old.Replicas == nil
	defer d.tellFellows()
	sameEvacuations := next.Evacuations.SameDomains(old.Evacuations)
	if !first && next.Config == old.Config && next.digest == old.digest && sameEvacuations {
		next.Replicas = old.Replicas
		d.view.Store(next)
		return
	}
	fields := []zap.Field{
		zap.Bool("configuration", next.Config != old.Config), zap.Bool("replicas_changed", next.digest != old.digest),
		zap.String("source", next.Source), zap.Int("replicas", len(next.Replicas)),
	}
	if !sameEvacuations || len(next.Evacuations.Domains) > 0 {
		fields = append(fields, zap.Strings("evacuated", next.Evacuations.Domains), zap.Bool("evacuations_changed", !sameEvacuations))
	}
	if !next.AsOf.IsZero() {
		fields = append(fields, zap.Duration("age", clock.Since(next.AsOf)))
	}
	if next.Config != nil {
		fields = append(fields, zap.Uint64("version", next.Config.Version))
	}
	d.cfg.OnViewChange(next)
	d.view.Store(next)
	d.log.Info("view in force", fields...)
}

// tellFellows has those that wait for news look again; the lock is held.
func (d *Discovery) tellFellows() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Dump is the state of a Discovery for operators.
type Dump struct {
	Version  uint64    `json:"version"`
	Revision uint64    `json:"revision"`
	AsOf     time.Time `json:"as_of"`
	Source   string    `json:"source"`
	Lost     bool      `json:"store_lost"`
	// Wanted is the newest revision that a fellow has named, Behind for how many
	// seconds it has not been in force; Checked is the store's revision up to
	// which no newer configuration is known.
	Wanted  uint64  `json:"revision_wanted"`
	Behind  float64 `json:"behind_s"`
	Checked uint64  `json:"revision_checked"`
	// Reads counts reads of the store, News answers of other hosts.
	Reads uint64 `json:"reads"`
	News  uint64 `json:"news"`
	// Evacuated are the failure domains whose replicas get no new work, as of a
	// revision of the store.
	Evacuated           []string          `json:"evacuated"`
	EvacuationsRevision uint64            `json:"evacuations_revision"`
	Replicas            []catalog.Replica `json:"replicas"`
	// Faults says what is wrong with entries that name no replica, by their keys.
	Faults map[string]string `json:"faults,omitempty"`
}

// Dump returns the state.
func (d *Discovery) Dump() Dump {
	v, behind := d.View(), d.ConfigLag()
	d.mu.Lock()
	defer d.mu.Unlock()
	dump := Dump{
		Revision: v.revision, AsOf: v.AsOf, Source: v.Source, Lost: d.lost || d.configLost,
		Wanted: d.wanted.revision, Behind: behind.Seconds(), Checked: d.marks.oldest(),
		Reads: d.reads.Load(), News: d.news.Load(), Replicas: sorted(v.Replicas), Faults: d.faults,
		Evacuated: v.Evacuations.Domains, EvacuationsRevision: v.Evacuations.Revision,
	}
	if v.Config != nil {
		dump.Version = v.Config.Version
	}
	return dump
}
