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

// HostsChanged applies the host list and the resources of a bundle.
type HostsChanged struct {
	Hosts     []string
	Resources []Resource
}

// LiveHostsChanged sets the hosts that this daemon considers alive. Allocators are chosen
// among them. Daemons need not agree on them.
type LiveHostsChanged struct{ Hosts []string }

// DemandMeasured sets the demand of callers on this daemon, as a fraction of each
// resource's limit. Resources that are not listed have no demand.
type DemandMeasured struct{ Demand map[Resource]float64 }

// ReportReceived is a report from another daemon or from this one.
type ReportReceived struct {
	From   string
	Report *wire.ShareReport
}

// ReplyReceived is a message from an allocator: a reply or a request for a report.
type ReplyReceived struct {
	From  string
	Reply *wire.ShareReply
}

// TimerFired is a periodic event, every 50 to 100 ms.
type TimerFired struct{}

func (HostsChanged) event()     {}
func (LiveHostsChanged) event() {}
func (DemandMeasured) event()   {}
func (ReportReceived) event()   {}
func (ReplyReceived) event()    {}
func (TimerFired) event()       {}

// Action is one output of a Machine: a message to send. The protocol tolerates the
// loss of any message.
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

// timestamp is a time within one process: its incarnation and the microseconds since
// its start. The zero timestamp precedes all others.
type timestamp struct {
	incarnation uint64
	us          uint64
}

// Machine is the state machine of a daemon in both of its roles: it uses a share of
// each resource, and it is the allocator of some resources. It is not safe for
// concurrent use.
type Machine struct {
	cfg   Config
	rng   *rand.Rand
	start time.Time
	// lastTimestamp is the newest timestamp issued, in microseconds since start.
	lastTimestamp uint64

	hostList  hostList
	resources []ID
	liveHosts []string
	// allocators caches the allocators under hostList and liveHosts.
	allocators map[ID]string
	rendezvous *rendezvous.Rendezvous

	localShares map[ID]*localShare
	// newestReplies holds the newest message of each host as allocator.
	newestReplies map[string]receivedTimestamp

	allocations map[ID]*resourceAllocation
	// newestReports holds the timestamp of the newest report of each host.
	newestReports map[string]timestamp
	// noLeasesUntil is when all leases of an earlier process on this host, or under
	// an earlier host list, have ended. Until then this allocator grants none.
	noLeasesUntil       time.Time
	reportRequestTokens float64
	tokensRefilledAt    time.Time

	view  *View
	dirty bool
}

type receivedTimestamp struct {
	timestamp
	receivedAt time.Time
}

// New returns a Machine that starts at now; cfg.Incarnation must be higher than
// that of any earlier process of the host.
func New(now time.Time, cfg Config, rng *rand.Rand) *Machine {
	return &Machine{
		cfg: cfg, rng: rng, start: now, tokensRefilledAt: now,
		localShares: map[ID]*localShare{}, newestReplies: map[string]receivedTimestamp{},
		allocations: map[ID]*resourceAllocation{}, newestReports: map[string]timestamp{},
		dirty: true,
	}
}

// Step handles one event and returns the messages to send. Messages from the daemon
// to itself are handled immediately and not returned.
func (m *Machine) Step(now time.Time, e Event) []Action {
	var out []Action
	pending := []Event{e}
	for len(pending) > 0 {
		e, pending = pending[0], pending[1:]
		for _, a := range m.handle(now, e) {
			if own := m.selfEvent(a); own != nil {
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
		m.setHosts(now, e)
	case LiveHostsChanged:
		m.setLiveHosts(e.Hosts)
	case DemandMeasured:
		m.setDemand(now, e.Demand)
		return m.sendReports(now)
	case ReportReceived:
		return m.receiveReport(now, e.From, e.Report)
	case ReplyReceived:
		m.receiveReply(now, e.From, e.Reply)
		return m.sendReports(now)
	case TimerFired:
		return append(m.sendReports(now), m.requestReports(now)...)
	}
	return nil
}

// selfEvent converts a message to this daemon into an event. It returns nil for a
// message to any other host.
func (m *Machine) selfEvent(a Action) Event {
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

// setHosts applies a host list. If the list is new, all leases of this daemon end,
// caps remain until they expire, and this allocator grants no lease until the leases
// under the old list have ended.
func (m *Machine) setHosts(now time.Time, e HostsChanged) {
	list := newHostList(e.Hosts)
	changed := list.id != m.hostList.id
	m.hostList = list
	m.rendezvous = nil
	m.setResources(now, e.Resources)
	if !changed {
		return
	}
	m.suspendLeasing(now.Add(m.localCapDuration()))
	m.cfg.setDurations(len(list.hosts))
	m.suspendLeasing(now.Add(m.localCapDuration()))
	m.allocations = map[ID]*resourceAllocation{}
	for _, s := range m.localShares {
		s.leaseUntil = time.Time{}
		s.cap = min(s.cap, list.equalShare)
	}
	m.dirty = true
}

func (m *Machine) suspendLeasing(until time.Time) {
	if until.After(m.noLeasesUntil) {
		m.noLeasesUntil = until
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
		if m.localShares[id] == nil {
			m.localShares[id] = &localShare{id: id, reportDue: now.Add(m.firstReportDelay(m.allocatorOf(id)))}
		}
	}
	slices.Sort(m.resources)
	for id := range m.localShares {
		if !known[id] {
			delete(m.localShares, id)
			delete(m.allocations, id)
		}
	}
	m.dirty = true
}

// firstReportDelay spreads the first reports when a whole fleet starts: each pair of
// host and allocator has a delay of its own.
func (m *Machine) firstReportDelay(allocator string) time.Duration {
	part := float64(xxhash.Sum64String(m.cfg.Host+"/"+allocator)) / math.MaxUint64
	return time.Duration(part * uncontendedIntervals * float64(m.cfg.Interval))
}

// jitter returns d changed at random by at most 10% either way.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*m.rng.Float64()))
}

// nextTimestamp returns a new timestamp, which is later than all previous ones.
func (m *Machine) nextTimestamp(now time.Time) uint64 {
	m.lastTimestamp = max(m.lastTimestamp+1, uint64(max(0, now.Sub(m.start).Microseconds())))
	return m.lastTimestamp
}

// timeOf returns the time of a timestamp of this process.
func (m *Machine) timeOf(us uint64) time.Time {
	return m.start.Add(time.Duration(us) * time.Microsecond)
}

// setLiveHosts sets the hosts among which allocators are chosen.
func (m *Machine) setLiveHosts(hosts []string) {
	live := slices.Sorted(slices.Values(hosts))
	if slices.Equal(live, m.liveHosts) {
		return
	}
	m.liveHosts = live
	m.rendezvous = nil
}

// allocatorOf returns the allocator of a resource by rendezvous hashing over
// the live hosts of the list.
func (m *Machine) allocatorOf(id ID) string {
	if m.rendezvous == nil {
		m.rendezvous = rendezvous.New(m.allocatorCandidates(), xxhash.Sum64String)
		m.allocators = make(map[ID]string, len(m.resources))
	}
	name, ok := m.allocators[id]
	if !ok {
		name = m.rendezvous.Lookup(idBytes(id))
		m.allocators[id] = name
	}
	return name
}

// allocatorCandidates returns the live hosts of the list, or all its hosts if none is
// known to be alive.
func (m *Machine) allocatorCandidates() []string {
	names := make([]string, 0, len(m.hostList.hosts))
	for _, n := range m.liveHosts {
		if m.hostList.hosts[n] {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(m.hostList.hosts))
	}
	return names
}

func idBytes(id ID) string {
	return string([]byte{byte(id), byte(id >> 8), byte(id >> 16), byte(id >> 24)})
}
