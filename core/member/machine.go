package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/wire"
)

// entry is what a Machine holds about one host.
type entry struct {
	host        Host
	incarnation uint64
	seq         uint32
	state       wire.MemberState
	leaving     bool
	since       time.Time
	heard       time.Time
	hash        uint64
	suspicion   *suspicion
	slots       []*fleetSlot
}

// member returns the public form of an entry.
func (e *entry) member(neighbour bool) Member {
	return Member{
		Host: e.host, Incarnation: e.incarnation, State: stateOf(e.state, e.leaving),
		Since: e.since, Heard: e.heard, Neighbour: neighbour,
	}
}

// Machine is the membership of one daemon; see the package comment.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	self    *entry
	hosts   map[string]*entry // self included
	names   []string          // keys of hosts, sorted
	near    []string          // neighbours, sorted
	round   []string          // neighbours left in this probing round
	probes  []*probe
	seq     uint64 // of the last ping
	probed  uint64 // probes begun, to send every n-th outside the overlay
	nextAt  time.Time
	lastAt  time.Time // of the last tick
	rumors  rumors
	hash    uint64 // over all items
	direct  []*wire.MemberSlot
	slotSeq uint64
	marks   marks
	clock   clock
	health  health
	fresh   freshness
	push    pushes
	sync    syncs
	beaten  uint64 // highest later incarnation of this host heard of
	stats   Stats
	out     []Action
}

// New returns a Machine that knows no other host yet. The error names an
// extension that breaks the bounds.
func New(cfg Config, now time.Time, rng *rand.Rand) (*Machine, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	m := &Machine{
		cfg:    cfg,
		rng:    rng,
		hosts:  map[string]*entry{},
		rumors: rumors{index: map[itemKey]*rumor{}},
		marks:  marks{byName: map[string]*mark{}},
		clock:  clock{samples: map[string]clockSample{}},
		lastAt: now,
	}
	m.fresh.lose(now)
	// The first probe comes at a random part of the interval, so that daemons
	// which start together do not probe together.
	m.nextAt = now.Add(time.Duration(rng.Int64N(int64(cfg.ProbeInterval))))
	m.self = &entry{host: cfg.Self, incarnation: cfg.Incarnation, state: wire.MemberState_MEMBER_ALIVE, since: now}
	m.configure(now, Configured{})
	m.rehash(m.self)
	m.rumors.add(recordKey(cfg.Self.Name))
	return m, nil
}

// Step passes one event and returns the actions that follow from it. now must
// carry a monotonic reading and never go back.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.out = nil
	// Any event may be the first after a pause: nothing is judged before.
	if gap := now.Sub(m.lastAt); gap >= m.cfg.PauseAfter {
		m.paused(now, gap)
	}
	switch e := event.(type) {
	case Tick:
		m.tick(now)
	case MessageReceived:
		m.receive(now, e.From, e.Msg)
	case SendFailed:
		m.failed(now, e)
	case Configured:
		m.configure(now, e)
	case HostList:
		m.listed(now, e)
	case UpstreamReported:
		m.reported(now, e)
	case Leave:
		m.leave(now)
	case Paused:
		m.paused(now, e.For)
	case SetSlot:
		m.setSlot(e)
	}
	return m.out
}

// lateTick is the gap between two ticks that is a sign of a slow process.
const lateTick = 5 * TickInterval

// tick runs what is due.
func (m *Machine) tick(now time.Time) {
	if now.Sub(m.lastAt) >= lateTick {
		m.health.worsen()
	}
	m.lastAt = now
	m.expireProbes(now)
	m.expireSuspicions(now)
	if !now.Before(m.nextAt) {
		m.nextAt = now.Add(m.cfg.ProbeInterval)
		m.probeNext(now)
		if c, changed := m.clock.check(now, m.cfg.MaxClockSkew); changed {
			m.act(c)
		}
		m.renew(now)
	}
	m.pushNews(now)
}

// receive dispatches one message.
func (m *Machine) receive(now time.Time, from string, msg proto.Message) {
	switch msg := msg.(type) {
	case *wire.MemberPing:
		outdated := m.digestHeard(now, from, msg.GetDigest(), false)
		m.send(from, &wire.MemberAck{Seq: msg.GetSeq(), Digest: m.digest(now, from, outdated)})
	case *wire.MemberAck:
		m.acked(now, from, msg)
	case *wire.MemberPingRequest:
		m.pingFor(now, from, msg)
	case *wire.MemberRelayAck:
		m.relayed(msg)
	case *wire.MemberSync:
		m.answerSync(from, msg)
	case *wire.MemberSyncReply:
		m.synced(now, from, msg)
	case *wire.MemberPush:
		m.mergeItems(now, from, msg.GetItems())
	default:
		m.act(Rejected{from, "unknown message"})
	}
}

// configure replaces the hosts. Known hosts keep what is believed of them.
func (m *Machine) configure(now time.Time, e Configured) {
	wanted := map[string]Host{m.cfg.Self.Name: m.cfg.Self}
	for _, h := range e.Hosts {
		if h.Name != m.cfg.Self.Name {
			wanted[h.Name] = h
		}
	}
	for name, old := range m.hosts {
		if _, ok := wanted[name]; !ok {
			m.forget(old)
		}
	}
	m.names = m.names[:0]
	for name, h := range wanted {
		m.names = append(m.names, name)
		if old, ok := m.hosts[name]; ok {
			old.host = h
			continue
		}
		m.hosts[name] = &entry{host: h, since: now}
	}
	m.hosts[m.cfg.Self.Name] = m.self
	slices.Sort(m.names)
	m.near = neighbours(m.cfg.Self.Name, m.names, m.cfg.Rings)
	m.round = nil
	m.configureMarks(e.Upstreams)
	if !m.fresh.fresh {
		m.push.urgent()
	}
	if e.MaxClockSkew > 0 {
		m.cfg.MaxClockSkew = e.MaxClockSkew
	}
	m.renew(now)
}

// forget drops a host and all items about it.
func (m *Machine) forget(e *entry) {
	name := e.host.Name
	delete(m.hosts, name)
	m.hash ^= e.hash
	m.rumors.drop(recordKey(name))
	for _, s := range e.slots {
		m.hash ^= s.hash
		m.rumors.drop(slotKey(name, SlotID(s.wire.GetId())))
	}
	delete(m.clock.samples, name)
	delete(m.fresh.acked, name)
}

// leave announces that this host drains.
func (m *Machine) leave(now time.Time) {
	if m.self.leaving {
		return
	}
	m.self.leaving = true
	m.self.seq++
	m.self.since = now
	m.news(m.self)
	m.push.urgent()
	m.act(MemberChanged{m.self.member(false)})
}

// paused begins a stale time: nothing that was believed counts until the
// neighbours were heard again, and nobody is blamed for our silence.
func (m *Machine) paused(now time.Time, gap time.Duration) {
	m.stats.Pauses++
	m.lastAt = now
	m.probes = nil
	m.health.worsen()
	for _, name := range m.names {
		if s := m.hosts[name].suspicion; s != nil {
			s.start = s.start.Add(gap)
		}
	}
	if m.fresh.fresh {
		m.act(FreshnessChanged{false})
	}
	m.fresh.lose(now)
	m.sync = syncs{}
	m.push.urgent()
	m.renew(now)
}

// renewAfter is how long a process waits for neighbours that are all dead
// before it takes its views as they are.
const renewAfter = 10 * time.Second

// renew ends the stale time once a majority of the neighbours that are not
// dead were heard.
func (m *Machine) renew(now time.Time) {
	if m.fresh.fresh {
		return
	}
	living, acked := 0, 0
	for _, name := range m.near {
		if m.hosts[name].state != wire.MemberState_MEMBER_DEAD {
			living++
		}
		if m.fresh.acked[name] {
			acked++
		}
	}
	alone := living == 0 && (len(m.near) == 0 && len(m.names) == 1 || now.Sub(m.fresh.since) >= renewAfter)
	if !alone && (acked == 0 || 2*acked <= living) {
		return
	}
	m.fresh.fresh = true
	m.act(FreshnessChanged{true})
}

// act queues an action.
func (m *Machine) act(a Action) { m.out = append(m.out, a) }

// send queues a message.
func (m *Machine) send(to string, msg proto.Message) { m.act(Send{to, msg}) }

// Fresh says whether the views were renewed since the last start or pause.
func (m *Machine) Fresh() bool { return m.fresh.fresh }

// Skewed says whether this host's clock is too far from the peers' median.
func (m *Machine) Skewed() bool { return m.clock.skewed }

// ClockOffset returns the peers' median minus our clock, and the peers used.
func (m *Machine) ClockOffset(now time.Time) (time.Duration, int) { return m.clock.offset(now) }

// Superseded says whether a later process of this host's name was heard of.
func (m *Machine) Superseded() bool { return m.beaten > m.self.incarnation }

// Stats returns the counts since the start.
func (m *Machine) Stats() Stats { return m.stats }

// Neighbours returns the hosts that this daemon probes, sorted.
func (m *Machine) Neighbours() []string { return slices.Clone(m.near) }

// Members returns all hosts sorted by name, this one included.
func (m *Machine) Members() []Member {
	out := make([]Member, 0, len(m.names))
	for _, name := range m.names {
		_, near := slices.BinarySearch(m.near, name)
		out = append(out, m.hosts[name].member(near))
	}
	return out
}

// Living returns the number of hosts not believed dead, this one included.
func (m *Machine) LiveHosts() int {
	n := 0
	for _, e := range m.hosts {
		if e.state != wire.MemberState_MEMBER_DEAD {
			n++
		}
	}
	return n
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](in map[K]V) []K {
	out := make([]K, 0, len(in))
	for k := range in {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
