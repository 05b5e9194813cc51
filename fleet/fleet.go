package fleet

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/membership"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

const methodRoster = "fleet.roster"

// Timing of roster requests.
const (
	// initialRosterInterval is the interval between roster requests while new hosts are
	// being discovered.
	initialRosterInterval = 300 * time.Millisecond
	// stableRounds is the number of consecutive roster requests without a new host after
	// which the interval becomes steadyRosterInterval.
	stableRounds = 6
	// largeFleetSize is the number of known hosts above which only one seed is asked at a
	// time. The interval also grows by one initialRosterInterval for each further
	// largeFleetSize hosts: when 300 hosts start at once, three seeds answer them all.
	largeFleetSize = 40
	// steadyRosterInterval is the interval once no new hosts are found; the reply is then
	// empty unless there are new hosts.
	steadyRosterInterval = 5 * time.Second
	// rosterTimeout limits one roster request.
	rosterTimeout = time.Second
	// maxContacts limits the hosts that wait to be asked for their rosters.
	maxContacts = 4
	// contactTime is the longest time until all live hosts have contacted a seed that has just
	// started: the longest interval between two requests, with one that failed.
	contactTime = steadyRosterInterval*3/2 + rosterTimeout
)

// Config holds the settings and dependencies of a Fleet.
type Config struct {
	Self Host
	// Seeds are the names of hosts to contact first; they may be down.
	Seeds []string
	// FirstStart says that the deployment starts for the first time, so that no host runs that
	// has not contacted a seed yet.
	FirstStart bool
	// Listen is the ip:port on which peer daemons reach this host.
	Listen string
	// Mux is where the Fleet registers the methods that peers may call.
	Mux    *peer.Mux
	Logger *zap.Logger
	// OnMemberChange is called when a host's membership state changes; it must not block.
	OnMemberChange func(member.Member)
	// HeartbeatSlots are values that heartbeats carry. OnSlotUpdate is called with the
	// values that other hosts send; it must not block.
	HeartbeatSlots []member.SlotConfig
	OnSlotUpdate   func(member.SlotReceived)
}

// Fleet is this daemon's participation in its fleet. All methods are safe for concurrent
// use.
type Fleet struct {
	cfg        Config
	log        *zap.Logger
	roster     *roster
	loop       *membership.Loop
	calls      *membership.CallPool
	transport  *peer.Transport
	seeds      atomic.Pointer[[]string]
	formed     chan struct{}
	formedOnce sync.Once
	// reportedSize is the number of hosts that a seed reported while the fleet was
	// forming.
	reportedSize atomic.Int64
	// started is when this host started.
	started time.Time
	// contacts receives the hosts that contacted this host and may know more of the fleet, and
	// openContacts counts those that have not been asked yet.
	contacts     chan string
	openContacts atomic.Int64
	// pendingRequests holds the seeds that have an outstanding roster request while the
	// fleet is forming.
	pendingRequests sync.Map
}

// New returns a Fleet that accepts connections but does not participate until Run is
// called.
func New(cfg Config) (*Fleet, error) {
	incarnation := uint64(time.Now().UnixMilli())
	cfg.Self.Incarnation = incarnation
	f := &Fleet{cfg: cfg, log: cfg.Logger, roster: newRoster(cfg.Self), calls: membership.NewCallPool(), formed: make(chan struct{}), started: clock.Now(), contacts: make(chan string, maxContacts)}
	f.SetSeeds(cfg.Seeds)
	peer.Handle(cfg.Mux, methodRoster, f.handleRosterRequest)
	members := member.DefaultConfig(cfg.Self.Host, incarnation)
	members.Slots = cfg.HeartbeatSlots
	loop, err := membership.New(members, rand.Uint64(), cfg.Mux, f.calls, membership.Hooks{MemberChanged: f.memberChanged, SlotReceived: cfg.OnSlotUpdate}, cfg.Logger)
	if err != nil {
		return nil, err
	}
	f.loop = loop
	f.transport, err = peer.NewTransport(peer.Config{
		Host: cfg.Self.Name, Incarnation: incarnation, Listen: cfg.Listen,
		Plaintext: true, PrivateNetwork: true, Resolve: resolve, Mux: cfg.Mux, Logger: cfg.Logger,
		MaxMessageBytes: maxMessage, DialTimeout: dialTimeout, StartupDialTimeout: startupDialTimeout, StartupPeriod: formTimeout,
		SilenceTimeout: silenceTimeout, MaxBackoff: maxBackoff,
	})
	if err != nil {
		return nil, err
	}
	f.calls.SetCaller(f.transport)
	return f, nil
}

// maxMessage limits a message between daemons, in bytes. Larger content is split into
// parts, each of which a link of 10 Mbit/s transfers in a fraction of its call's timeout:
// configurations, replicas and hosts travel in messages of at most 32 KiB.
const maxMessage = 256 << 10

// Session limits: callers detect a lost peer at little cost and reconnect soon to one that
// is back. silenceTimeout is shorter than a planner's poll, so that a failed poll has also
// closed a silent session. A silenceTimeout of 350 ms closes too many sessions on links
// that lose packets and costs 0.05 of the achieved value.
const (
	dialTimeout    = 500 * time.Millisecond
	silenceTimeout = 400 * time.Millisecond
	// startupDialTimeout is two round trips between regions that are 25 ms apart, and a margin
	// for hosts that have used up their processor time. Hosts
	// that start together are up within 300 ms of each other, and a host whose first
	// attempt met a machine without power waited for dialTimeout before the next one.
	startupDialTimeout = 150 * time.Millisecond
	maxBackoff         = 100 * time.Millisecond
)

// resolve returns the address of a host, which is its name.
func resolve(host string) (string, bool) {
	_, err := netip.ParseAddrPort(host)
	return host, err == nil
}

// Caller returns the transport for calls to peer daemons.
func (f *Fleet) Caller() peer.Caller { return f.transport }

// Streams returns the transport for streams to peer daemons.
func (f *Fleet) Streams() peer.StreamOpener { return f.transport }

// SetSeeds replaces the seeds for the following roster requests.
func (f *Fleet) SetSeeds(seeds []string) { f.seeds.Store(&seeds) }

// Members returns all hosts sorted by name, including this one. The slice must not be
// modified.
func (f *Fleet) Members() []member.Member { return f.loop.View().Members }

// Neighbours returns this host's neighbours in the membership overlay, at most eight,
// excluding this host.
func (f *Fleet) Neighbours() []string { return f.loop.View().Neighbours }

// SetSlot replaces the value that this host publishes for a membership slot.
func (f *Fleet) SetSlot(id member.SlotID, value []byte) {
	f.loop.Post(member.SetSlot{ID: id, Value: value})
}

// KnownHostCount returns the number of known hosts, including those that died within the
// last minutes. The number reported by a seed counts until this host knows their names.
func (f *Fleet) KnownHostCount() int { return max(f.roster.size(), int(f.reportedSize.Load())) }

// KnownHosts returns the names of all known hosts, including those that died within the
// last minutes, and whether the list can be assumed complete: the fleet has formed and no
// seed knows more hosts. That no other host is known says nothing on a host that has just
// started, even if it is the only seed: the others contact it every few seconds.
func (f *Fleet) KnownHosts() (names []string, complete bool) {
	all := f.roster.all()
	names = make([]string, 0, len(all))
	for _, h := range all {
		names = append(names, h.Name)
	}
	if len(all) == 1 && (len(f.otherSeeds()) > 0 || !f.contactedByAll()) {
		return names, false
	}
	return names, f.hasFormed() && f.openContacts.Load() == 0 && len(all) >= int(f.reportedSize.Load())
}

// contactedByAll reports whether all live hosts have contacted this host, if it is a seed.
func (f *Fleet) contactedByAll() bool {
	return f.cfg.FirstStart || clock.Since(f.started) >= contactTime
}

// Reachable returns the hosts that may be called: all known ones except those that are
// considered dead or are leaving. While only this host is known, the seeds are returned in
// place of the fleet.
func (f *Fleet) Reachable() []Host {
	states := make(map[string]member.Member)
	for _, m := range f.Members() {
		states[m.Host.Name] = m
	}
	all := f.roster.all()
	hosts := make([]Host, 0, len(all))
	for _, h := range all {
		m, known := states[h.Name]
		if known && (m.State == member.Dead || m.State == member.Leaving) && m.Incarnation >= h.Incarnation {
			continue
		}
		h.Incarnation = max(h.Incarnation, m.Incarnation)
		hosts = append(hosts, h)
	}
	if len(all) == 1 {
		for _, s := range f.otherSeeds() {
			hosts = append(hosts, Host{Host: member.Host{Name: s}, Capacity: math.MaxInt32})
		}
	}
	return hosts
}

// otherSeeds returns the names of the seeds without this host.
func (f *Fleet) otherSeeds() []string {
	self := f.cfg.Self.Name
	return slices.DeleteFunc(slices.Clone(*f.seeds.Load()), func(s string) bool { return s == self })
}

// Leave announces that this host is draining.
func (f *Fleet) Leave() { f.loop.Post(member.Leave{}) }

// Run participates in the fleet until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { f.loop.Run(ctx); return nil })
	group.Go(func() error { f.syncRoster(ctx); return nil })
	group.Go(func() error { f.askContacts(ctx); return nil })
	err := group.Wait()
	shutdownCtx, cancel := clock.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if closeErr := f.transport.Shutdown(shutdownCtx); closeErr != nil {
		f.log.Info("peer sessions closed before they finished", zap.Error(closeErr))
	}
	return err
}

// memberChanged does not log the change, since the membership loop does.
func (f *Fleet) memberChanged(m member.Member) {
	if f.cfg.OnMemberChange != nil {
		f.cfg.OnMemberChange(m)
	}
}

// handleRosterRequest answers a peer's roster request and adds the peer. A peer that is new here
// although its fleet has formed knows the hosts that ran before this one.
func (f *Fleet) handleRosterRequest(_ context.Context, from peer.Sender, req *wire.RosterRequest) (*wire.RosterReply, error) {
	self := fromWire([]*wire.RosterHost{req.GetSelf()})
	self[0].Name = from.Host
	if !req.GetForming() && !f.roster.has(from.Host) {
		f.noteContact(from.Host)
	}
	f.addHosts(from.Host, self)
	reply := &wire.RosterReply{Formed: f.hasFormed()}
	if req.GetForming() {
		reply.First, reply.Size = toWire(f.roster.topRanked(formingReplyHosts)), uint32(f.roster.size())
		return reply, nil
	}
	reply.Hosts = toWire(differingHosts(f.roster, req.GetKnownBuckets()))
	return reply, nil
}

// noteContact has a host asked for the hosts that it knows, unless several others will be.
func (f *Fleet) noteContact(host string) {
	f.openContacts.Add(1)
	select {
	case f.contacts <- host:
	default:
		f.openContacts.Add(-1)
	}
}

// askContacts asks the hosts that contacted this host, until ctx ends.
func (f *Fleet) askContacts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case host := <-f.contacts:
			f.requestRoster(ctx, host)
			f.openContacts.Add(-1)
		}
	}
}

// addHosts adds hosts that another host reported.
func (f *Fleet) addHosts(from string, hosts []Host) {
	if !f.roster.add(hosts...) {
		return
	}
	all := f.roster.all()
	f.log.Info("hosts added from a peer's roster", zap.String("from", from), zap.Int("hosts", len(all)))
	f.loop.Post(member.Configured{Hosts: memberHosts(all), Upstreams: []string{}})
}

// RecordRestart records a newer incarnation that a host reported itself, so that its rank
// changes before membership propagates the restart.
func (f *Fleet) RecordRestart(host string, incarnation uint64) {
	f.roster.updateIncarnation(host, incarnation)
}

// Incarnation returns the start time of this process in Unix milliseconds.
func (f *Fleet) Incarnation() uint64 { return f.cfg.Self.Incarnation }

// syncRoster announces this host to the seeds and fetches the hosts that they know, until
// ctx ends.
func (f *Fleet) syncRoster(ctx context.Context) {
	f.loop.Post(member.Configured{Hosts: memberHosts(f.roster.all()), Upstreams: []string{}})
	f.syncRosterUntilFormed(ctx)
	unchangedRounds, known := 0, 0
	for ctx.Err() == nil {
		n := f.KnownHostCount()
		wait := min(steadyRosterInterval, initialRosterInterval*time.Duration(1+n/largeFleetSize))
		switch {
		case unchangedRounds >= stableRounds:
			wait = steadyRosterInterval
		case known == 0:
			wait = formingInterval(n)
		}
		if !periodic.Sleep(ctx, wait/2+rand.N(wait)) {
			return
		}
		answered := f.requestRosters(ctx, unchangedRounds >= stableRounds || n > largeFleetSize)
		if n = f.roster.size(); answered && n == known {
			unchangedRounds++
		} else {
			unchangedRounds, known = 0, n
		}
		f.removeLongDead()
	}
}

// requestRosters sends a roster request to all seeds, or to one of them, and reports
// whether any answered.
func (f *Fleet) requestRosters(ctx context.Context, one bool) bool {
	targets := f.rosterTargets()
	if len(targets) == 0 {
		return true // there is neither another seed nor another live host
	}
	if one {
		targets = targets[:1]
	}
	var group errgroup.Group
	var answered atomic.Bool
	for _, host := range targets {
		group.Go(func() error {
			if f.requestRoster(ctx, host) {
				answered.Store(true)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions never return an error
	return answered.Load()
}

// rosterTargets returns the seeds without this host in random order, or the live hosts
// when there is no other seed.
func (f *Fleet) rosterTargets() []string {
	targets := f.otherSeeds()
	if len(targets) == 0 {
		for _, m := range f.Members() {
			if m.Live() && m.Host.Name != f.cfg.Self.Name {
				targets = append(targets, m.Host.Name)
			}
		}
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets
}

// requestRoster announces this host to another, takes over the hosts that it reports, and
// reports whether it answered.
func (f *Fleet) requestRoster(ctx context.Context, host string) bool {
	ctx, cancel := clock.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	req := &wire.RosterRequest{Self: toWire([]Host{f.cfg.Self})[0], Forming: !f.hasFormed()}
	if !req.Forming {
		_, known := f.roster.snapshot()
		req.KnownBuckets = known[:]
	}
	reply := &wire.RosterReply{}
	if err := f.transport.Call(ctx, host, methodRoster, req, reply); err != nil {
		f.log.Debug("roster request failed", zap.String("peer", host), zap.Error(err))
		return false
	}
	f.addHosts(host, fromWire(slices.Concat(reply.GetHosts(), reply.GetFirst())))
	f.reportedSize.Store(int64(reply.GetSize()))
	if reply.GetFormed() {
		f.markFormed("a seed reported that the fleet has formed")
	}
	return true
}

// removeLongDead removes hosts that have been dead for longer than deadRetention, except
// seeds.
func (f *Fleet) removeLongDead() {
	var dead []string
	for _, m := range f.Members() {
		if m.State == member.Dead && clock.Since(m.Since) > deadRetention && !slices.Contains(*f.seeds.Load(), m.Host.Name) {
			dead = append(dead, m.Host.Name)
		}
	}
	if len(dead) == 0 {
		return
	}
	f.roster.remove(dead)
	f.log.Info("dead hosts removed", zap.Strings("hosts", dead))
	f.loop.Post(member.Configured{Hosts: memberHosts(f.roster.all()), Upstreams: []string{}})
}
