package discovery

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/core/position"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/platform"
)

// Store reads the platform's store.
type Store interface {
	// ForEachPage reads the items under a prefix and passes each page on as it arrives, until
	// page returns false.
	ForEachPage(ctx context.Context, prefix string, page func([]platform.Item) (more bool)) (revision uint64, err error)
	// Get reads one item; the error is platform.ErrNotFound if there is none.
	Get(ctx context.Context, key string) (item platform.Item, revision uint64, err error)
	// Changes waits for items under a prefix that were written or removed after a
	// revision; the error is platform.ErrCompacted when the store no longer has the
	// history since then.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (items []platform.Item, revision uint64, err error)
}

// Members provides the hosts of the fleet.
type Members interface {
	// Reachable returns the hosts that may be called, including this one.
	Reachable() []fleet.Host
	// Formed returns a channel that is closed once the result of Reachable is reliable,
	// within a second of the start of this host.
	Formed() <-chan struct{}
}

// Config holds the settings and dependencies of a Discovery.
type Config struct {
	// Self is the name by which peers know this host.
	Self    string
	Store   Store
	Members Members
	Caller  peer.Caller
	// Mux is where the Discovery registers the methods that peers may call.
	Mux    *peer.Mux
	Logger *zap.Logger
	// PropagationBound returns the time within which a change that the store acknowledged
	// must be active here.
	PropagationBound func() time.Duration
	// OnViewChange is called with every view whose content differs from the previous one,
	// by one goroutine at a time.
	OnViewChange func(*View)
	// OnNewVersions, if not nil, is called with the services that have got a software version
	// beside others that they have or had, before the view that lists it is active, by one
	// goroutine at a time. It must not call Dump.
	OnNewVersions func(services []string)
}

// Discovery maintains the view. All methods are safe for concurrent use.
type Discovery struct {
	cfg Config
	log *zap.Logger

	mu       sync.Mutex
	view     atomic.Pointer[View]
	registry catalog.Registry
	// history holds the last sets of replicas, from which peers are sent what changed.
	history replicaHistory
	// versions is the history of the software versions of the published replicas, guarded by
	// versionsMu, which is locked after mu. It is changed with mu held.
	versionsMu sync.Mutex
	versions   origin.History
	// historyRestarted says that nobody was asked yet for what was listed before the history
	// was restarted; historyWork wakes syncHistory.
	historyRestarted bool
	historyWork      chan struct{}
	// refreshes are the demands for replicas that are read at once; refreshWork wakes
	// syncReplicas.
	refreshes   refreshDemand
	refreshWork chan struct{}
	// readAt is when this host last began to read the replicas from the store; only syncReplicas
	// uses it.
	readAt time.Time
	// firstViewAt is when this host received the first part of its first view.
	firstViewAt time.Time
	// listsAlone says that this host may list all replicas, however many there are; until
	// then it lists a few pages.
	listsAlone bool
	// listing is what this host has read from the store; nil while its replicas are those
	// of a peer.
	listing *listing
	// viewChanged is closed and replaced with every new view, also when only its age
	// differs.
	viewChanged chan struct{}
	// replicaReadFailed and configReadFailed report that the last read of the replicas, or
	// of the configuration, failed.
	replicaReadFailed, configReadFailed bool
	hostBackoff                         fleet.HostBackoff
	// source is the host that is asked for changes, or this host while it reads the store.
	source string
	// lastPeerRequest is when a peer last asked for changes, as returned by clock.Nanos.
	lastPeerRequest atomic.Int64
	storeReads      atomic.Uint64
	lists           atomic.Uint64
	peerReplies     atomic.Uint64

	// advertised is the newest configuration that a peer has advertised, rejectedRevision
	// is the last revision that was invalid or not newer than the active version, and
	// checkedRevisions records how far the store was checked.
	advertised       advertisedConfig
	rejectedRevision uint64
	// ignoredRevision is the last one that a peer advertised which has an older version. It is
	// sent to peers as known, so that they do not answer at once with it again.
	ignoredRevision uint64
	// rejectedVersion is the highest version that a peer advertised and that turned out to be
	// invalid or not there.
	rejectedVersion  uint64
	checkedRevisions checkedRevisions
	// evacuationsIncomplete reports that changes of the evacuations may have been missed.
	// The host that reads the store then lists them.
	evacuationsIncomplete bool
	evacuations           catalog.EvacuationState
	// invalidEntries describes the fault of each entry that is not a valid replica, by
	// key.
	invalidEntries map[string]string
	// configCheckRequested makes syncConfig check the store once for a newer
	// configuration.
	configCheckRequested atomic.Bool
	// firstConfigRead is closed after the first attempt to read the configuration from the
	// store, and configMissing reports that none had been written yet.
	firstConfigRead     chan struct{}
	firstConfigReadOnce sync.Once
	configMissing       atomic.Bool
	// configWork wakes syncConfig.
	configWork chan struct{}

	// deltaMu guards the deltas that peers fetch, both the complete ones and the one that
	// is being downloaded; it is locked before mu. relayedRevision is the revision that
	// the download leads to: peers may fetch it before it is active here.
	deltaMu         sync.Mutex
	configDeltas    configDeltas
	incoming        *download
	relayedRevision atomic.Uint64
}

// noPeerRequestAge is the assumed age of the last peer request when there was none.
const noPeerRequestAge = time.Hour

// New returns a Discovery that has not started, and registers its methods.
func New(cfg Config) *Discovery {
	d := &Discovery{
		cfg: cfg, log: cfg.Logger, viewChanged: make(chan struct{}), source: cfg.Self, configWork: make(chan struct{}, 1), historyWork: make(chan struct{}, 1), refreshWork: make(chan struct{}, 1), firstConfigRead: make(chan struct{}),
		evacuationsIncomplete: true,
	}
	d.view.Store(&View{})
	d.lastPeerRequest.Store(int64(-noPeerRequestAge))
	d.registerChanges(cfg.Mux)
	d.registerRefresh(cfg.Mux)
	d.registerConfigBlocks(cfg.Mux)
	return d
}

// View returns the newest view.
func (d *Discovery) View() *View { return d.view.Load() }

// Run keeps the view up to date until ctx ends. Replicas and configuration are kept by
// separate goroutines: the notice that a replica drains has a hundred bytes and must reach
// all hosts within the same time as a configuration of a megabyte.
func (d *Discovery) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { d.syncReplicas(ctx) })
	group.Go(func() { d.syncConfig(ctx) })
	group.Go(func() { d.syncHistory(ctx) })
	group.Wait()
}

func (d *Discovery) boundFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(d.cfg.PropagationBound()))
}

// publish activates a view. The caller holds d.mu.
func (d *Discovery) publish(next *View) {
	old := d.View()
	next.AsOf = next.replicasAsOf
	if next.configAsOf.Before(next.AsOf) {
		next.AsOf = next.configAsOf
	}
	next.Replicas = d.registry.Replicas()
	isFirst := old.Replicas == nil
	sameReplicas := *next.Replicas.Digest() == *old.Replicas.Digest()
	defer d.notifyWaiters()
	sameEvacuations := next.Evacuations.SameDomains(old.Evacuations)
	if !isFirst && next.Config == old.Config && sameReplicas && sameEvacuations {
		next.Replicas = old.Replicas
		d.view.Store(next)
		return
	}
	fields := []zap.Field{
		zap.Bool("configuration", next.Config != old.Config), zap.Bool("replicas_changed", !sameReplicas),
		zap.String("source", next.Source), zap.Int("replicas", next.Replicas.Len()),
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
	if !sameReplicas {
		d.history.add(next.Replicas)
	}
	if isFirst && next.Replicas != nil {
		d.firstViewAt = clock.Now()
	}
	d.cfg.OnViewChange(next)
	d.view.Store(next)
	d.log.Info("view updated", fields...)
}

// notifyWaiters wakes the peer requests that wait for changes. The caller holds d.mu.
func (d *Discovery) notifyWaiters() {
	close(d.viewChanged)
	d.viewChanged = make(chan struct{})
}

// StoreEra returns the store's era as of the last read of the replicas.
func (d *Discovery) StoreEra() uint64 { return position.Era(d.View().replicasRevision) }

// Dump is the state of a Discovery for operators.
type Dump struct {
	Version uint64 `json:"version"`
	// Era counts how often the store has come back from a copy, as of the last read of the
	// replicas. The revisions are those within their era.
	Era              uint64    `json:"era"`
	Revision         uint64    `json:"revision"`
	AsOf             time.Time `json:"as_of"`
	Source           string    `json:"source"`
	StoreUnavailable bool      `json:"store_lost"`
	// AdvertisedRevision is the newest revision that a peer has advertised, and
	// BehindSeconds is for how many seconds it has not been active. CheckedRevision is
	// the store's revision up to which no newer configuration is known.
	AdvertisedRevision uint64  `json:"revision_wanted"`
	BehindSeconds      float64 `json:"behind_s"`
	CheckedRevision    uint64  `json:"revision_checked"`
	// StoreReads counts reads of the replicas from the store, Lists those of them that listed
	// all replicas, and PeerReplies replies of other hosts.
	StoreReads  uint64 `json:"reads"`
	Lists       uint64 `json:"lists"`
	PeerReplies uint64 `json:"news"`
	// Evacuated lists the failure domains whose replicas get no new work, as of a revision
	// of the store.
	Evacuated           []string          `json:"evacuated"`
	EvacuationsRevision uint64            `json:"evacuations_revision"`
	Replicas            []catalog.Replica `json:"replicas"`
	// InvalidEntries describes the fault of each entry that is not a valid replica, by
	// key.
	InvalidEntries map[string]string `json:"faults,omitempty"`
	// Versions is the history of software versions.
	Versions VersionsDump `json:"versions"`
}

// Dump returns the current state for operators.
func (d *Discovery) Dump() Dump {
	v, behind := d.View(), d.ConfigLag()
	d.mu.Lock()
	defer d.mu.Unlock()
	dump := Dump{
		Era: d.StoreEra(), Revision: position.Revision(v.revision), AsOf: v.AsOf, Source: v.Source, StoreUnavailable: d.replicaReadFailed || d.configReadFailed,
		AdvertisedRevision: position.Revision(d.advertised.revision), BehindSeconds: behind.Seconds(), CheckedRevision: position.Revision(d.checkedRevisions.oldest()),
		StoreReads: d.storeReads.Load(), Lists: d.lists.Load(), PeerReplies: d.peerReplies.Load(), Replicas: v.Replicas.Sorted(), InvalidEntries: d.invalidEntries,
		Evacuated: v.Evacuations.Domains, EvacuationsRevision: position.Revision(v.Evacuations.Revision),
		Versions: d.dumpVersions(clock.Now()),
	}
	if v.Config != nil {
		dump.Version = v.Config.Version
	}
	return dump
}
