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

// The times of introductions.
const (
	// firstAsk is the interval of introductions while new hosts turn up.
	firstAsk = 300 * time.Millisecond
	// quietRounds is the number of introductions in a row without a new host
	// after which the interval is laterAsk.
	quietRounds = 6
	// manyHosts is the number of known hosts from which one seed at a time is
	// asked, and for each as many more a first interval longer: when 300 start
	// at once, three seeds answer them all.
	manyHosts = 40
	// laterAsk is the interval afterwards; the answer is empty unless there
	// are new hosts.
	laterAsk = 5 * time.Second
	// askTimeout bounds one introduction.
	askTimeout = time.Second
)

// Config is what a Fleet needs.
type Config struct {
	Self Host
	// Seeds are the names of some hosts to begin with; they may be down.
	Seeds []string
	// Listen is the ip:port for fellow daemons.
	Listen string
	// Mux takes the methods that fellows may call.
	Mux    *peer.Mux
	Logger *zap.Logger
	// Changed is called when a host's state changes; it must not block.
	OnMemberChange func(member.Member)
	// Extensions are places on the heartbeats, and Heard is told of their values; it
	// must not block.
	HeartbeatExtensions []member.SlotConfig
	OnSlotUpdate        func(member.SlotReceived)
}

// Fleet is one daemon among its fellows. All methods are safe for concurrent
// use.
type Fleet struct {
	cfg       Config
	log       *zap.Logger
	roster    *roster
	loop      *membership.Loop
	calls     *membership.Calls
	transport *peer.Transport
	seeds     atomic.Pointer[[]string]
	formed    chan struct{}
	formOnce  sync.Once
	// told is the number of hosts that a seed knew while the fleet formed.
	told atomic.Int64
	// asked holds the seeds that are being asked while the fleet forms.
	asked sync.Map
}

// New returns a fleet that listens but does not take part yet.
func New(cfg Config) (*Fleet, error) {
	incarnation := uint64(time.Now().UnixMilli())
	cfg.Self.Incarnation = incarnation
	f := &Fleet{cfg: cfg, log: cfg.Logger, roster: newRoster(cfg.Self), calls: membership.NewCalls(), formed: make(chan struct{})}
	f.SetSeeds(cfg.Seeds)
	peer.Handle(cfg.Mux, methodRoster, f.introduced)
	members := member.DefaultConfig(cfg.Self.Host, incarnation)
	members.Slots = cfg.HeartbeatExtensions
	loop, err := membership.New(members, rand.Uint64(), cfg.Mux, f.calls, membership.Hooks{Changed: f.changed, Slot: cfg.OnSlotUpdate}, cfg.Logger)
	if err != nil {
		return nil, err
	}
	f.loop = loop
	f.transport, err = peer.NewTransport(peer.Config{
		Host: cfg.Self.Name, Incarnation: incarnation, Listen: cfg.Listen,
		Plaintext: true, PrivateNetwork: true, Resolve: resolve, Mux: cfg.Mux, Logger: cfg.Logger,
		MaxMessage: maxMessage, DialTimeout: dialTimeout, SilenceTimeout: silenceTimeout, MaxBackoff: maxBackoff,
	})
	if err != nil {
		return nil, err
	}
	f.calls.Use(f.transport)
	return f, nil
}

// maxMessage bounds a message between daemons. What can be larger goes in parts,
// each of which a link of 10 Mbit/s carries in a fraction of its call's time:
// configurations, replicas and hosts in messages of 32 KiB at most.
const maxMessage = 256 << 10

// The bounds of sessions: a fellow that is gone costs its callers little, and
// one that is back is found soon. silenceTimeout is less than a poll of a planner
// takes, so that a poll that fails has ended a silent session too; with 350 ms
// links that lose packets cost more sessions than they should (0.05 of worth).
const (
	dialTimeout    = 500 * time.Millisecond
	silenceTimeout = 400 * time.Millisecond
	maxBackoff     = 100 * time.Millisecond
)

// resolve returns the address of a host: its name.
func resolve(host string) (string, bool) {
	_, err := netip.ParseAddrPort(host)
	return host, err == nil
}

// Caller calls fellow daemons.
func (f *Fleet) Caller() peer.Caller { return f.transport }

// SetSeeds replaces the seeds.
func (f *Fleet) SetSeeds(seeds []string) { f.seeds.Store(&seeds) }

// Members returns all hosts sorted by name, this one included. The slice must
// not be changed.
func (f *Fleet) Members() []member.Member { return f.loop.View().Members }

// Neighbours returns the hosts beside this one in the membership overlay, eight at
// most, this one not included.
func (f *Fleet) Neighbours() []string { return f.loop.View().Neighbours }

// SetSlot replaces this host's value of an extension.
func (f *Fleet) SetSlot(id member.SlotID, value []byte) {
	f.loop.Post(member.SetSlot{ID: id, Value: value})
}

// Size returns the number of hosts that were heard of, dead ones of the last
// minutes included. A seed's word for it counts until this host knows their
// names.
func (f *Fleet) KnownHostCount() int { return max(f.roster.size(), int(f.told.Load())) }

// Known returns the names of all hosts that were heard of, dead ones of the last
// minutes included, and whether this host may count on knowing all: it has learned of
// its fleet, and no seed knows more.
func (f *Fleet) KnownHosts() (names []string, complete bool) {
	all := f.roster.all()
	names = make([]string, 0, len(all))
	for _, h := range all {
		names = append(names, h.Name)
	}
	alone := len(all) == 1 && len(f.otherSeeds()) > 0
	return names, f.hasFormed() && !alone && len(all) >= int(f.told.Load())
}

// Reachable returns the hosts that may be called: all that were heard of but
// for those that are believed dead or leaving. While none but this host is
// known, the seeds stand in for the fleet.
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

// otherSeeds are the names of the seeds without this host.
func (f *Fleet) otherSeeds() []string {
	self := f.cfg.Self.Name
	return slices.DeleteFunc(slices.Clone(*f.seeds.Load()), func(s string) bool { return s == self })
}

// Leave announces that this host drains.
func (f *Fleet) Leave() { f.loop.Post(member.Leave{}) }

// Run takes part until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { f.loop.Run(ctx); return nil })
	group.Go(func() error { f.introduce(ctx); return nil })
	err := group.Wait()
	closing, cancel := clock.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if closeErr := f.transport.Shutdown(closing); closeErr != nil {
		f.log.Info("sessions cut", zap.Error(closeErr))
	}
	return err
}

// changed logs nothing itself: the loop does.
func (f *Fleet) changed(m member.Member) {
	if f.cfg.OnMemberChange != nil {
		f.cfg.OnMemberChange(m)
	}
}

// introduced answers a fellow's introduction.
func (f *Fleet) introduced(_ context.Context, from peer.Sender, req *wire.RosterRequest) (*wire.RosterReply, error) {
	self := fromWire([]*wire.RosterHost{req.GetSelf()})
	self[0].Name = from.Host
	f.learn(from.Host, self)
	reply := &wire.RosterReply{Formed: f.hasFormed()}
	if req.GetForming() {
		reply.First, reply.Size = toWire(f.roster.first(firstNamed)), uint32(f.roster.size())
		return reply, nil
	}
	reply.Hosts = toWire(unlike(f.roster.all(), req.GetKnownBuckets()))
	return reply, nil
}

// learn takes hosts that another host named.
func (f *Fleet) learn(from string, hosts []Host) {
	if !f.roster.add(hosts...) {
		return
	}
	all := f.roster.all()
	f.log.Info("hosts learned", zap.String("from", from), zap.Int("hosts", len(all)))
	f.loop.Post(member.Configured{Hosts: members(all), Upstreams: []string{}})
}

// Restarted takes the start of a host's process that the host itself has said:
// its rank changes with that before the news of it comes round.
func (f *Fleet) RecordRestart(host string, incarnation uint64) { f.roster.restarted(host, incarnation) }

// Incarnation is the start of this process in Unix milliseconds.
func (f *Fleet) Incarnation() uint64 { return f.cfg.Self.Incarnation }

// introduce tells seeds who this host is and learns whom they know.
func (f *Fleet) introduce(ctx context.Context) {
	f.loop.Post(member.Configured{Hosts: members(f.roster.all()), Upstreams: []string{}})
	f.introduceForming(ctx)
	quiet, known := 0, 0
	for ctx.Err() == nil {
		n := f.KnownHostCount()
		wait := min(laterAsk, firstAsk*time.Duration(1+n/manyHosts))
		switch {
		case quiet >= quietRounds:
			wait = laterAsk
		case known == 0:
			wait = formingInterval(n)
		}
		if !periodic.Sleep(ctx, wait/2+rand.N(wait)) {
			return
		}
		answered := f.askRound(ctx, quiet >= quietRounds || n > manyHosts)
		if n = f.roster.size(); answered && n == known {
			quiet++
		} else {
			quiet, known = 0, n
		}
		f.forgetDead()
	}
}

// askRound asks the seeds, all or one of them, and says whether any answered.
func (f *Fleet) askRound(ctx context.Context, one bool) bool {
	targets := f.targets()
	if len(targets) == 0 {
		return true // alone, as the settings say
	}
	if one {
		targets = targets[:1]
	}
	var group errgroup.Group
	var answered atomic.Bool
	for _, host := range targets {
		group.Go(func() error {
			if f.ask(ctx, host) {
				answered.Store(true)
			}
			return nil
		})
	}
	_ = group.Wait() // no error is returned
	return answered.Load()
}

// targets are the seeds in random order, without this host; hosts that are
// known to live when there is no seed else.
func (f *Fleet) targets() []string {
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

// ask introduces this host to another and says whether it answered.
func (f *Fleet) ask(ctx context.Context, host string) bool {
	ctx, cancel := clock.WithTimeout(ctx, askTimeout)
	defer cancel()
	req := &wire.RosterRequest{Self: toWire([]Host{f.cfg.Self})[0], Forming: !f.hasFormed()}
	if !req.Forming {
		known := digestOf(f.roster.all())
		req.KnownBuckets = known[:]
	}
	reply := &wire.RosterReply{}
	if err := f.transport.Call(ctx, host, methodRoster, req, reply); err != nil {
		f.log.Debug("introduction failed", zap.String("peer", host), zap.Error(err))
		return false
	}
	f.learn(host, fromWire(slices.Concat(reply.GetHosts(), reply.GetFirst())))
	f.told.Store(int64(reply.GetSize()))
	if reply.GetFormed() {
		f.form("a seed knows the fleet")
	}
	return true
}

// forgetDead forgets hosts that have been dead for long.
func (f *Fleet) forgetDead() {
	var dead []string
	for _, m := range f.Members() {
		if m.State == member.Dead && clock.Since(m.Since) > forgetAfter && !slices.Contains(*f.seeds.Load(), m.Host.Name) {
			dead = append(dead, m.Host.Name)
		}
	}
	if len(dead) == 0 {
		return
	}
	f.roster.remove(dead)
	f.log.Info("dead hosts forgotten", zap.Strings("hosts", dead))
	f.loop.Post(member.Configured{Hosts: members(f.roster.all()), Upstreams: []string{}})
}
