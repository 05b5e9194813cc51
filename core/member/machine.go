package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/wire"
)

// hostEntry is the state of one host in a Machine.
type hostEntry struct {
	host        Host
	incarnation uint64
	seq         uint32
	state       wire.MemberState
	leaving     bool
	since       time.Time
	lastContact time.Time
	hash        uint64
	suspicion   *suspicion
	slots       []*fleetSlot
}

// toMember converts an entry to its exported form.
func (e *hostEntry) toMember(neighbour bool) Member {
	return Member{
		Host: e.host, Incarnation: e.incarnation, State: stateOf(e.state, e.leaving),
		Since: e.since, LastContact: e.lastContact, Neighbour: neighbour,
	}
}

// Machine is the membership protocol of one daemon; see the package comment.
type Machine struct {
	cfg           Config
	rng           *rand.Rand
	self          *hostEntry
	hosts         map[string]*hostEntry // including self
	names         []string              // keys of hosts, sorted
	neighbours    []string              // neighbours, sorted
	probeRound    []string              // neighbours not yet probed in this round
	probes        []*probe
	lastPingSeq   uint64 // seq of the last ping sent
	probeCount    uint64 // probes started; every n-th goes to a non-neighbour
	nextProbeAt   time.Time
	lastTickAt    time.Time // time of the last tick or pause
	gossip        gossipQueue
	stateHash     uint64 // hash over all items
	directSlots   []*wire.MemberSlot
	lastSlotSeq   uint64
	upstreamMarks upstreamMarks
	clock         clockEstimator
	health        localHealth
	freshness     freshness
	push          pushState
	sync          syncState
	supersededBy  uint64 // highest later incarnation of this host seen, or 0
	stats         Stats
	actions       []Action
}

// New returns a Machine that knows no other host yet. It returns an error if a
// slot is registered twice or exceeds a limit.
func New(cfg Config, now time.Time, rng *rand.Rand) (*Machine, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	m := &Machine{
		cfg:           cfg,
		rng:           rng,
		hosts:         map[string]*hostEntry{},
		gossip:        gossipQueue{index: map[itemKey]*gossipItem{}},
		upstreamMarks: upstreamMarks{byName: map[string]*upstreamMark{}},
		clock:         clockEstimator{samples: map[string]clockSample{}},
		lastTickAt:    now,
	}
	m.freshness.markStale(now)
	// The first probe is sent at a random time within the interval, so that
	// daemons that start together do not probe in step.
	m.nextProbeAt = now.Add(time.Duration(rng.Int64N(int64(cfg.ProbeInterval))))
	m.self = &hostEntry{host: cfg.Self, incarnation: cfg.Incarnation, state: wire.MemberState_MEMBER_ALIVE, since: now}
	m.handleConfigured(now, Configured{})
	m.updateHash(m.self)
	m.gossip.add(recordKey(cfg.Self.Name))
	return m, nil
}

// Step processes one event and returns the resulting actions. now must carry a
// monotonic clock reading and must not decrease between calls.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = nil
	// Any event may be the first one after a pause, and no timeout may be
	// evaluated before the pause is handled.
	if gap := now.Sub(m.lastTickAt); gap >= m.cfg.PauseThreshold {
		m.handlePaused(now, gap)
	}
	switch e := event.(type) {
	case Tick:
		m.tick(now)
	case MessageReceived:
		m.handleMessage(now, e.From, e.Msg)
	case SendFailed:
		m.handleFailed(now, e)
	case Configured:
		m.handleConfigured(now, e)
	case HostList:
		m.handleHostList(now, e)
	case UpstreamReported:
		m.handleUpstreamReported(now, e)
	case Leave:
		m.handleLeave(now)
	case Paused:
		m.handlePaused(now, e.For)
	case SetSlot:
		m.handleSetSlot(e)
	}
	return m.actions
}

// lateTickGap is the gap between two ticks from which this process counts as
// slow.
const lateTickGap = 5 * TickInterval

// tick runs the timers that are due.
func (m *Machine) tick(now time.Time) {
	if now.Sub(m.lastTickAt) >= lateTickGap {
		m.health.increaseScore()
	}
	m.lastTickAt = now
	m.expireProbes(now)
	m.expireSuspicions(now)
	if !now.Before(m.nextProbeAt) {
		m.nextProbeAt = now.Add(m.cfg.ProbeInterval)
		m.probeNext(now)
		if c, changed := m.clock.updateSkew(now, m.cfg.MaxClockSkew); changed {
			m.emit(c)
		}
		m.updateFreshness(now)
	}
	m.sendPushes(now)
}

// handleMessage dispatches one message.
func (m *Machine) handleMessage(now time.Time, from string, msg proto.Message) {
	switch msg := msg.(type) {
	case *wire.MemberPing:
		outdated := m.handleDigest(now, from, msg.GetDigest(), false)
		m.send(from, &wire.MemberAck{Seq: msg.GetSeq(), Digest: m.buildDigest(now, from, outdated)})
	case *wire.MemberAck:
		m.handleAck(now, from, msg)
	case *wire.MemberPingRequest:
		m.handlePingRequest(now, from, msg)
	case *wire.MemberRelayAck:
		m.handleRelayAck(msg)
	case *wire.MemberSync:
		m.handleSync(from, msg)
	case *wire.MemberSyncReply:
		m.handleSyncReply(now, from, msg)
	case *wire.MemberPush:
		m.mergeItems(now, from, msg.GetItems())
	default:
		m.emit(Rejected{from, "unknown message type"})
	}
}

// handleConfigured replaces the hosts. Hosts that stay keep their state.
func (m *Machine) handleConfigured(now time.Time, e Configured) {
	wanted := map[string]Host{m.cfg.Self.Name: m.cfg.Self}
	for _, h := range e.Hosts {
		if h.Name != m.cfg.Self.Name {
			wanted[h.Name] = h
		}
	}
	for name, old := range m.hosts {
		if _, ok := wanted[name]; !ok {
			m.removeHost(old)
		}
	}
	m.names = m.names[:0]
	for name, h := range wanted {
		m.names = append(m.names, name)
		if old, ok := m.hosts[name]; ok {
			old.host = h
			continue
		}
		m.hosts[name] = &hostEntry{host: h, since: now}
	}
	m.hosts[m.cfg.Self.Name] = m.self
	slices.Sort(m.names)
	m.neighbours = selectNeighbours(m.cfg.Self.Name, m.names, m.cfg.Rings)
	m.probeRound = nil
	m.setAllowedUpstreams(e.Upstreams)
	if !m.freshness.fresh {
		m.push.request()
	}
	if e.MaxClockSkew > 0 {
		m.cfg.MaxClockSkew = e.MaxClockSkew
	}
	m.updateFreshness(now)
}

// removeHost removes a host and all items about it.
func (m *Machine) removeHost(e *hostEntry) {
	name := e.host.Name
	delete(m.hosts, name)
	m.stateHash ^= e.hash
	m.gossip.remove(recordKey(name))
	for _, s := range e.slots {
		m.stateHash ^= s.hash
		m.gossip.remove(slotKey(name, SlotID(s.wire.GetId())))
	}
	delete(m.clock.samples, name)
	delete(m.freshness.acked, name)
}

// handleLeave announces that this host is draining.
func (m *Machine) handleLeave(now time.Time) {
	if m.self.leaving {
		return
	}
	m.self.leaving = true
	m.self.seq++
	m.self.since = now
	m.gossipRecord(m.self)
	m.push.request()
	m.emit(MemberChanged{m.self.toMember(false)})
}

// handlePaused starts a stale period, which lasts until the neighbours have
// answered again. Probes in flight are dropped and suspicions are extended by
// the pause, so that no host is declared dead because this process did not run.
func (m *Machine) handlePaused(now time.Time, gap time.Duration) {
	m.stats.Pauses++
	m.lastTickAt = now
	m.probes = nil
	m.health.increaseScore()
	for _, name := range m.names {
		if s := m.hosts[name].suspicion; s != nil {
			s.start = s.start.Add(gap)
		}
	}
	if m.freshness.fresh {
		m.emit(FreshnessChanged{false})
	}
	m.freshness.markStale(now)
	m.sync = syncState{}
	m.push.request()
	m.updateFreshness(now)
}

// allDeadGracePeriod is how long a stale view stays stale when all neighbours
// are dead, so that none can refresh it.
const allDeadGracePeriod = 10 * time.Second

// updateFreshness ends the stale period once a majority of the neighbours that
// are not dead have acked a ping. Without such neighbours it ends at once if this
// is the only host, else after allDeadGracePeriod.
func (m *Machine) updateFreshness(now time.Time) {
	if m.freshness.fresh {
		return
	}
	live, acked := 0, 0
	for _, name := range m.neighbours {
		if m.hosts[name].state != wire.MemberState_MEMBER_DEAD {
			live++
		}
		if m.freshness.acked[name] {
			acked++
		}
	}
	noLiveNeighbours := live == 0 && (len(m.neighbours) == 0 && len(m.names) == 1 || now.Sub(m.freshness.staleSince) >= allDeadGracePeriod)
	if !noLiveNeighbours && (acked == 0 || 2*acked <= live) {
		return
	}
	m.freshness.fresh = true
	m.emit(FreshnessChanged{true})
}

// emit queues an action.
func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// send queues a message.
func (m *Machine) send(to string, msg proto.Message) { m.emit(Send{to, msg}) }

// Fresh reports whether the membership view has been refreshed since the last
// start or pause.
func (m *Machine) Fresh() bool { return m.freshness.fresh }

// Skewed reports whether this host's clock differs from the peers' median by
// more than MaxClockSkew.
func (m *Machine) Skewed() bool { return m.clock.skewed }

// ClockOffset returns the median of the peers' clocks minus this host's, and the
// number of peers it is computed from.
func (m *Machine) ClockOffset(now time.Time) (time.Duration, int) { return m.clock.offset(now) }

// Superseded reports whether a later process is known to run under this host's
// name.
func (m *Machine) Superseded() bool { return m.supersededBy > m.self.incarnation }

// Stats returns the event counts since the start.
func (m *Machine) Stats() Stats { return m.stats }

// Neighbours returns the hosts that this daemon probes, sorted.
func (m *Machine) Neighbours() []string { return slices.Clone(m.neighbours) }

// Members returns all hosts sorted by name, including this one.
func (m *Machine) Members() []Member {
	out := make([]Member, 0, len(m.names))
	for _, name := range m.names {
		_, isNeighbour := slices.BinarySearch(m.neighbours, name)
		out = append(out, m.hosts[name].toMember(isNeighbour))
	}
	return out
}

// LiveHosts returns the number of hosts that are not dead, including this one.
func (m *Machine) LiveHosts() int {
	n := 0
	for _, e := range m.hosts {
		if e.state != wire.MemberState_MEMBER_DEAD {
			n++
		}
	}
	return n
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](in map[K]V) []K {
	out := make([]K, 0, len(in))
	for k := range in {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
