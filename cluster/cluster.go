package cluster

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/rollout"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/membership"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/platform"
)

// Platform is what the cluster reads.
type Platform interface {
	// Read returns the bundle's value, or platform.ErrUnchanged unless its
	// revision is above after (0 reads whatever there is).
	ReadBundle(ctx context.Context, after uint64) (platform.Value, error)
	Hosts(ctx context.Context) (platform.HostList, error)
}

// Config is what a Cluster needs.
type Config struct {
	Member member.Config
	// Rollout with its Codec; see NewCodec.
	Rollout  rollout.Config
	Platform Platform
	// Mux takes the handlers of the cluster's methods.
	Mux    *peer.Mux
	Logger *zap.Logger
	// Seed of the random choices; 0 draws one.
	Seed uint64
}

// Cluster is one daemon among its fellows. All methods are safe for
// concurrent use; the On methods must be called before Run.
type Cluster struct {
	cfg   Config
	log   *zap.Logger
	calls *membership.CallPool

	members  *membership.Loop
	rollouts *rolloutLoop
	hosts    hostBook
	slots    slotTable

	inForce atomic.Pointer[rollout.ActiveBundle]
	ready   atomic.Bool

	onBundle  []func(*bundle.Bundle)
	onLeaving []func([]string)
	onMember  []func(member.Member)
	onSlot    map[member.SlotID]func(member.SlotReceived)
}

// New returns a cluster that has not started and registers its methods in
// cfg.Mux. The error names an extension that breaks the bounds.
func New(cfg Config) (*Cluster, error) {
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	now := clock.Now()
	cfg.Member.Slots = append(cfg.Member.Slots, member.SlotConfig{ID: member.SlotBundle, MaxBytes: maxMarkBytes})
	c := &Cluster{cfg: cfg, log: cfg.Logger, calls: membership.NewCallPool()}
	members, err := membership.New(cfg.Member, cfg.Seed, cfg.Mux, c.calls, c.hooks(), cfg.Logger)
	if err != nil {
		return nil, err
	}
	c.members = members
	c.rollouts = newRolloutLoop(c, rollout.New(cfg.Rollout, now, rand.New(rand.NewPCG(cfg.Seed, 2))))
	c.rollouts.handle(cfg.Mux)
	return c, nil
}

// maxMarkBytes bounds the bundle's mark on the heartbeats.
const maxMarkBytes = 40

// Run acts together with the other daemons until ctx ends. Handlers that are
// called before Run wait for it.
func (c *Cluster) Run(ctx context.Context, caller peer.Caller) error {
	c.calls.SetCaller(caller)
	var group errgroup.Group
	group.Go(func() error { c.members.Run(ctx); return nil })
	group.Go(func() error { c.rollouts.run(ctx); return nil })
	group.Go(func() error { c.readHosts(ctx); return nil })
	return group.Wait()
}

// OnBundle registers f for every bundle that comes into force, before Bundle
// returns it. f is called by one goroutine at a time, versions rising.
func (c *Cluster) OnBundle(f func(*bundle.Bundle)) { c.onBundle = append(c.onBundle, f) }

// OnLeaving registers f for every change of the leaving upstreams; it is
// passed all of them. f is called by one goroutine at a time.
func (c *Cluster) OnLeaving(f func([]string)) { c.onLeaving = append(c.onLeaving, f) }

// OnMember registers f for every change of the belief about a host. f is
// called by one goroutine at a time and must not block.
func (c *Cluster) OnMember(f func(member.Member)) { c.onMember = append(c.onMember, f) }

// OnSlot registers f for the values of an extension, which Slots then does not keep.
// f is called by one goroutine at a time and must not block.
func (c *Cluster) OnSlot(id member.SlotID, f func(member.SlotReceived)) {
	if c.onSlot == nil {
		c.onSlot = map[member.SlotID]func(member.SlotReceived){}
	}
	c.onSlot[id] = f
}

// Bundle returns the bundle in force, or nil. It is immutable: who admitted a
// request under it keeps it.
func (c *Cluster) Bundle() *bundle.Bundle {
	if f := c.inForce.Load(); f != nil {
		return f.Bundle
	}
	return nil
}

// Neighbours returns the hosts beside this one in the membership overlay.
func (c *Cluster) Neighbours() []string { return c.members.View().Neighbours }

// Members returns all hosts sorted by name. The slice must not be changed.
func (c *Cluster) Members() []member.Member { return c.members.View().Members }

// LeavingUpstreams returns the names of the upstreams that leave, sorted. The
// slice must not be changed.
func (c *Cluster) LeavingUpstreams() []string { return c.members.View().Leaving }

// Ready says whether this daemon may take requests: it holds the newest bundle
// that it could hear of, its host is in it, its views are renewed since its
// start or last pause, and no later process of its host lives.
func (c *Cluster) Ready() bool {
	v := c.members.View()
	return c.ready.Load() && v.Fresh && !v.Superseded && c.listed()
}

// listed says whether the bundle in force names this host.
func (c *Cluster) listed() bool {
	b := c.Bundle()
	if b == nil {
		return false
	}
	for _, h := range b.Hosts {
		if h.Name == c.cfg.Member.Self.Name {
			return true
		}
	}
	return false
}

// Fresh says whether the views are renewed since the start or last pause.
func (c *Cluster) Fresh() bool { return c.members.View().Fresh }

// Skewed says whether this host's clock is too far from the peers' median.
func (c *Cluster) Skewed() bool { return c.members.View().Skewed }

// Resolve implements peer.Resolver: the bundle's address of a host, else the
// host list's.
func (c *Cluster) Resolve(host string) (string, bool) { return c.hosts.resolve(host) }

// Leave announces that this host drains.
func (c *Cluster) Leave() { c.members.Post(member.Leave{}) }

// ReportUpstream passes on an upstream's own word on whether it leaves.
func (c *Cluster) ReportUpstream(name string, leaving bool, asOf time.Time) {
	c.members.Post(member.UpstreamReported{Name: name, Leaving: leaving, AsOfUnixMS: asOf.UnixMilli()})
}

// SetSlot replaces this host's value of an extension.
func (c *Cluster) SetSlot(id member.SlotID, value []byte, urgent bool) {
	c.members.Post(member.SetSlot{ID: id, Value: value, Urgent: urgent})
}

// Slots returns the other hosts' last heard values of an extension.
func (c *Cluster) Slots(id member.SlotID) []SlotValue { return c.slots.values(id) }

// Dump is the state of a cluster for operators.
type Dump struct {
	Ready    bool          `json:"ready"`
	Listed   bool          `json:"host_in_bundle"`
	Member   member.Dump   `json:"membership"`
	Rollout  rollout.Dump  `json:"rollout"`
	HostList HostListDump  `json:"host_list"`
	Calls    platformCalls `json:"platform_calls"`
}

type platformCalls = platform.Calls

// Dump returns the whole state; it waits for the loops, at most until ctx
// ends.
func (c *Cluster) Dump(ctx context.Context) Dump {
	d := Dump{Ready: c.Ready(), Listed: c.listed(), HostList: c.hosts.dump()}
	if p, ok := c.cfg.Platform.(*platform.Client); ok {
		d.Calls = p.Calls()
	}
	// A loop that is late answers into its channel, and nobody reads it.
	members, rollouts := make(chan member.Dump, 1), make(chan rollout.Dump, 1)
	c.members.Inspect(ctx, func(m *member.Machine) { members <- m.Dump(clock.Now()) })
	c.rollouts.inspect(ctx, func(m *rollout.Machine) { rollouts <- m.Dump(clock.Now()) })
	select {
	case d.Member = <-members:
	default:
	}
	select {
	case d.Rollout = <-rollouts:
	default:
	}
	return d
}
