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

// Platform is the part of the platform's API that a cluster reads.
type Platform interface {
	// ReadBundle returns the bundle's value, or platform.ErrUnchanged if its revision is not
	// above after. With after 0 it returns any revision.
	ReadBundle(ctx context.Context, after uint64) (platform.Value, error)
	Hosts(ctx context.Context) (platform.HostList, error)
}

// Config holds the settings and dependencies of a Cluster.
type Config struct {
	Member member.Config
	// Rollout must include a Codec; see NewCodec.
	Rollout  rollout.Config
	Platform Platform
	// Mux is where the cluster registers its methods.
	Mux    *peer.Mux
	Logger *zap.Logger
	// Seed seeds the random choices; 0 selects a random seed.
	Seed uint64
}

// Cluster is this daemon's view of the fleet: its membership and the active bundle.
// All methods are safe for concurrent use. The On methods must be called before Run.
type Cluster struct {
	cfg   Config
	log   *zap.Logger
	calls *membership.CallPool

	members  *membership.Loop
	rollouts *rolloutLoop
	hosts    hostAddresses
	slots    slotTable

	activeBundle atomic.Pointer[rollout.ActiveBundle]
	ready        atomic.Bool

	onBundle  []func(*bundle.Bundle)
	onLeaving []func([]string)
	onMember  []func(member.Member)
	onSlot    map[member.SlotID]func(member.SlotReceived)
}

// New returns a cluster that has not started, and registers its methods in cfg.Mux. The
// error names an invalid slot of cfg.Member.
func New(cfg Config) (*Cluster, error) {
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	now := clock.Now()
	cfg.Member.Slots = append(cfg.Member.Slots, member.SlotConfig{ID: member.SlotBundle, MaxBytes: maxBundleMarkBytes})
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

// maxBundleMarkBytes bounds the encoded bundle mark in the heartbeats, which identifies
// the active bundle of the sender.
const maxBundleMarkBytes = 40

// Run runs membership, the bundle rollout and the reading of the host list until ctx
// ends. Requests from peers that arrive before Run is called wait for it.
func (c *Cluster) Run(ctx context.Context, caller peer.Caller) error {
	c.calls.SetCaller(caller)
	var group errgroup.Group
	group.Go(func() error { c.members.Run(ctx); return nil })
	group.Go(func() error { c.rollouts.run(ctx); return nil })
	group.Go(func() error { c.readHosts(ctx); return nil })
	return group.Wait()
}

// OnBundle registers f to be called with every bundle that becomes active, before Bundle
// returns it. f is called by one goroutine at a time, with rising versions.
func (c *Cluster) OnBundle(f func(*bundle.Bundle)) { c.onBundle = append(c.onBundle, f) }

// OnLeaving registers f to be called with the full list of leaving upstreams whenever
// it changes. f is called by one goroutine at a time.
func (c *Cluster) OnLeaving(f func([]string)) { c.onLeaving = append(c.onLeaving, f) }

// OnMember registers f to be called with every change of a member's state. f is called
// by one goroutine at a time and must not block.
func (c *Cluster) OnMember(f func(member.Member)) { c.onMember = append(c.onMember, f) }

// OnSlot registers f to be called with the values of a slot. Slots does not store
// the values of that slot. f is called by one goroutine at a time and must not
// block.
func (c *Cluster) OnSlot(id member.SlotID, f func(member.SlotReceived)) {
	if c.onSlot == nil {
		c.onSlot = map[member.SlotID]func(member.SlotReceived){}
	}
	c.onSlot[id] = f
}

// Bundle returns the active bundle, or nil. A bundle is immutable: a request keeps
// the one it was admitted under.
func (c *Cluster) Bundle() *bundle.Bundle {
	if f := c.activeBundle.Load(); f != nil {
		return f.Bundle
	}
	return nil
}

// Neighbours returns the hosts next to this one in the membership overlay.
func (c *Cluster) Neighbours() []string { return c.members.View().Neighbours }

// Members returns all hosts sorted by name. The slice must not be changed.
func (c *Cluster) Members() []member.Member { return c.members.View().Members }

// LeavingUpstreams returns the names of the upstreams that are leaving, sorted. The
// slice must not be changed.
func (c *Cluster) LeavingUpstreams() []string { return c.members.View().Leaving }

// Ready reports whether this daemon may accept requests: it has the newest bundle it
// could learn of, the bundle lists its host, its membership views have been renewed
// since the start or last pause of the process, and no later process of its host is
// running.
func (c *Cluster) Ready() bool {
	v := c.members.View()
	return c.ready.Load() && v.Fresh && !v.Superseded && c.hostInBundle()
}

// hostInBundle reports whether the active bundle lists this host.
func (c *Cluster) hostInBundle() bool {
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

// Fresh reports whether the membership views have been renewed since the start or last
// pause of the process.
func (c *Cluster) Fresh() bool { return c.members.View().Fresh }

// Skewed reports whether this host's clock is too far from the median of its peers'
// clocks.
func (c *Cluster) Skewed() bool { return c.members.View().Skewed }

// Resolve implements peer.Resolver. It returns the host's address from the bundle, or
// else from the host list.
func (c *Cluster) Resolve(host string) (string, bool) { return c.hosts.resolve(host) }

// Leave announces that this host is draining.
func (c *Cluster) Leave() { c.members.Post(member.Leave{}) }

// ReportUpstream passes on an upstream's own report of whether it is leaving.
func (c *Cluster) ReportUpstream(name string, leaving bool, asOf time.Time) {
	c.members.Post(member.UpstreamReported{Name: name, Leaving: leaving, AsOfUnixMS: asOf.UnixMilli()})
}

// SetSlot replaces this host's value of a slot.
func (c *Cluster) SetSlot(id member.SlotID, value []byte, urgent bool) {
	c.members.Post(member.SetSlot{ID: id, Value: value, Urgent: urgent})
}

// Slots returns the latest value of a slot received from each other host.
func (c *Cluster) Slots(id member.SlotID) []SlotValue { return c.slots.values(id) }

// Dump is the state of a cluster, for operators.
type Dump struct {
	Ready        bool          `json:"ready"`
	HostInBundle bool          `json:"host_in_bundle"`
	Member       member.Dump   `json:"membership"`
	Rollout      rollout.Dump  `json:"rollout"`
	HostList     HostListDump  `json:"host_list"`
	Calls        platformCalls `json:"platform_calls"`
}

type platformCalls = platform.Calls

// Dump returns the state of the cluster. It waits for the loops of membership and of the
// rollout, at most until ctx ends; the part of a loop that has not answered by then is
// empty.
func (c *Cluster) Dump(ctx context.Context) Dump {
	d := Dump{Ready: c.Ready(), HostInBundle: c.hostInBundle(), HostList: c.hosts.dump()}
	if p, ok := c.cfg.Platform.(*platform.Client); ok {
		d.Calls = p.Calls()
	}
	// The channels are buffered, so that a loop that answers after ctx has ended does
	// not block.
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
