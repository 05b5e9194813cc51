package share

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/wheatseam/wheatseam/wire"
)

// Event is one input of a Machine.
type Event interface{ event() }

// HostsChanged puts a bundle's host list and resources in force.
type HostsChanged struct {
	Hosts     []string
	Resources []Resource
}

// LiveChanged names the hosts that this daemon believes to be alive: the
// allocators are chosen among them. Daemons need not agree.
type LiveHostsChanged struct{ Hosts []string }

// DemandMeasured tells what callers ask of this daemon, as fractions of each
// resource's limit. Resources left out are idle.
type DemandMeasured struct{ Demand map[Resource]float64 }

// ReportReceived is a fellow daemon's report.
type ReportReceived struct {
	From   string
	Report *wire.ShareReport
}

// ReplyReceived is an allocator's message.
type ReplyReceived struct {
	From  string
	Reply *wire.ShareReply
}

// TimerFired comes every 50 to 100 ms.
type TimerFired struct{}

func (HostsChanged) event()     {}
func (LiveHostsChanged) event() {}
func (DemandMeasured) event()   {}
func (ReportReceived) event()   {}
func (ReplyReceived) event()    {}
func (TimerFired) event()       {}

// Action is one output of a Machine. Messages need not arrive.
type Action interface{ action() }

// SendReport sends a report to an allocator.
type SendReport struct {
	To     string
	Report *wire.ShareReport
}

// SendReply sends an allocator's message to a daemon.
type SendReply struct {
	To    string
	Reply *wire.ShareReply
}

func (SendReport) action() {}
func (SendReply) action()  {}

// stamp is a point in the life of one process. The zero stamp is before all.
type stamp struct {
	incarnation uint64
	us          uint64
}

// Machine holds both roles of a daemon: user of shares and allocator of some
// resources. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	rng   *rand.Rand
	start time.Time
	// last is the newest stamp given out, in microseconds since start.
	last uint64

	list      hostList
	resources []ID
	live      []string
	// chosen holds the allocators found under list and live.
	chosen map[ID]string
	hashed *rendezvous.Rendezvous

	holdings map[ID]*holding
	// heard is the newest message of each host as allocator.
	heard map[string]heardStamp

	ledgers map[ID]*ledger
	// reported is the newest report of each host.
	reported map[string]stamp
	// abstainUntil is when everything that an earlier process on this host
	// may have lent has ended.
	abstainUntil time.Time
	nudges       float64
	nudgedAt     time.Time

	view  *View
	dirty bool
}

type heardStamp struct {
	stamp
	at time.Time
}

// New returns a Machine that starts at now; cfg.Incarnation must be higher than
// that of any earlier process of the host.
func New(now time.Time, cfg Config, rng *rand.Rand) *Machine {
	return &Machine{
		cfg: cfg, rng: rng, start: now, nudgedAt: now,
		holdings: map[ID]*holding{}, heard: map[string]heardStamp{},
		ledgers: map[ID]*ledger{}, reported: map[string]stamp{},
		dirty: true,
	}
}

// Step handles one event and returns the messages to send. Messages of the
// daemon to itself are handled within.
func (m *Machine) Step(now time.Time, e Event) []Action {
	var out []Action
	pending := []Event{e}
	for len(pending) > 0 {
		e, pending = pending[0], pending[1:]
		for _, a := range m.handle(now, e) {
			if own := m.toSelf(a); own != nil {
				pending = append(pending, own)
				continue
			}
			out = append(out, a)
		}
	}
	return out
}

func (m *Machine) handle(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case HostsChanged:
		m.changeHosts(now, e)
	case LiveHostsChanged:
		m.changeLive(e.Hosts)
	case DemandMeasured:
		m.measure(now, e.Demand)
		return m.report(now)
	case ReportReceived:
		return m.receiveReport(now, e.From, e.Report)
	case ReplyReceived:
		m.receiveReply(now, e.From, e.Reply)
		return m.report(now)
	case TimerFired:
		return append(m.report(now), m.nudge(now)...)
	}
	return nil
}

// toSelf turns a message to this daemon into an event; nil for any other.
func (m *Machine) toSelf(a Action) Event {
	switch a := a.(type) {
	case SendReport:
		if a.To == m.cfg.Host {
			return ReportReceived{m.cfg.Host, a.Report}
		}
	case SendReply:
		if a.To == m.cfg.Host {
			return ReplyReceived{m.cfg.Host, a.Reply}
		}
	}
	return nil
}

// changeHosts starts afresh under a new host list: loans end, a cession
// holds to its end, and this allocator lends nothing until what was lent under
// the old list has ended.
func (m *Machine) changeHosts(now time.Time, e HostsChanged) {
	list := newHostList(e.Hosts)
	changed := list.id != m.list.id
	m.list = list
	m.hashed = nil
	m.setResources(now, e.Resources)
	if !changed {
		return
	}
	m.abstain(now.Add(m.cession()))
	m.cfg.setTimes(len(list.hosts))
	m.abstain(now.Add(m.cession()))
	m.ledgers = map[ID]*ledger{}
	for _, h := range m.holdings {
		h.loanUntil = time.Time{}
		h.ceiling = min(h.ceiling, list.equal)
	}
	m.dirty = true
}

func (m *Machine) abstain(until time.Time) {
	if until.After(m.abstainUntil) {
		m.abstainUntil = until
	}
}

func (m *Machine) setResources(now time.Time, resources []Resource) {
	known := make(map[ID]bool, len(resources))
	m.resources = m.resources[:0]
	for _, r := range resources {
		id := r.ID()
		if known[id] {
			continue
		}
		known[id] = true
		m.resources = append(m.resources, id)
		if m.holdings[id] == nil {
			m.holdings[id] = &holding{id: id, due: now.Add(m.firstWait(m.allocatorOf(id)))}
		}
	}
	slices.Sort(m.resources)
	for id := range m.holdings {
		if !known[id] {
			delete(m.holdings, id)
			delete(m.ledgers, id)
		}
	}
	m.dirty = true
}

// firstWait spreads the first reports of a fleet that starts: each pair of
// hosts has its own time.
func (m *Machine) firstWait(allocator string) time.Duration {
	part := float64(xxhash.Sum64String(m.cfg.Host+"/"+allocator)) / math.MaxUint64
	return time.Duration(part * quietIntervals * float64(m.cfg.Interval))
}

// jitter returns d within a tenth either way.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*m.rng.Float64()))
}

// next returns a new stamp, later than all before it.
func (m *Machine) next(now time.Time) uint64 {
	m.last = max(m.last+1, uint64(max(0, now.Sub(m.start).Microseconds())))
	return m.last
}

// timeOf returns the time of one of this process's own stamps.
func (m *Machine) timeOf(us uint64) time.Time {
	return m.start.Add(time.Duration(us) * time.Microsecond)
}

// changeLive takes over the hosts to choose allocators among.
func (m *Machine) changeLive(hosts []string) {
	live := slices.Sorted(slices.Values(hosts))
	if slices.Equal(live, m.live) {
		return
	}
	m.live = live
	m.hashed = nil
}

// allocatorOf returns the allocator of a resource by rendezvous hashing over
// the live hosts of the list.
func (m *Machine) allocatorOf(id ID) string {
	if m.hashed == nil {
		m.hashed = rendezvous.New(m.candidates(), xxhash.Sum64String)
		m.chosen = make(map[ID]string, len(m.resources))
	}
	name, ok := m.chosen[id]
	if !ok {
		name = m.hashed.Lookup(key(id))
		m.chosen[id] = name
	}
	return name
}

// candidates returns the live hosts of the list, all of it when none is known
// to be alive.
func (m *Machine) candidates() []string {
	names := make([]string, 0, len(m.list.hosts))
	for _, n := range m.live {
		if m.list.hosts[n] {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(m.list.hosts))
	}
	return names
}

func key(id ID) string {
	return string([]byte{byte(id), byte(id >> 8), byte(id >> 16), byte(id >> 24)})
}
