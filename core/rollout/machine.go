package rollout

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/wire"
)

// The errors of a Rejected, beside those of the Codec.
var (
	// ErrTransfer is a manifest or part that does not match its hash or bound.
	ErrTransfer = errors.New("rollout: transfer does not match")
	// ErrSuccessor is a document that must not follow the one in force.
	ErrSuccessor = errors.New("rollout: not a successor")
	// ErrPollTimeout is a read of the service that was never answered.
	ErrPollTimeout = errors.New("rollout: read of the configuration service timed out")
)

// peerMark is what a peer last said of itself.
type peerMark struct {
	mark       *wire.BundleMark
	heardAt    time.Time
	solicited  bool
	avoidUntil time.Time
}

// Machine is the configuration of one daemon; see the package comment.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	current *ActiveBundle
	source  Source
	// revision at which the service served the document in force; 0 unknown.
	revision uint64
	// readRevision is the last one that this daemon read itself.
	readRevision uint64
	peers        map[string]*peerMark
	near         []string
	living       int
	fetch        *fetch
	// parts are those that transfers have brought and that are not in force yet.
	parts    map[hash][]byte
	poll     poll
	started  time.Time
	ready    bool
	rejected memory
	reported memory
	stale    uint64 // version last reported as stale
	stats    Stats
	out      []Action
}

// Stats counts what a Machine did since its start.
type Stats struct {
	Polls, PollsFailed, Documents uint64
	Fetches, FetchesFailed        uint64
	Adopted, Rejected, Conflicts  uint64
}

// New returns a Machine without a bundle.
func New(cfg Config, now time.Time, rng *rand.Rand) *Machine {
	m := &Machine{cfg: cfg, rng: rng, peers: map[string]*peerMark{}, living: 1, started: now}
	m.poll.last = now
	m.poll.first = time.Duration(rng.Int64N(int64(cfg.StartSpread) + 1))
	return m
}

// Step passes one event and returns the actions that follow from it.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.out = nil
	switch e := event.(type) {
	case Tick:
		m.expireFetch(now)
		m.pollDue(now)
	case Resumed:
		m.woke(now)
	case PeerMarkReceived:
		m.heard(now, e)
	case PeersChanged:
		m.peersChanged(e)
	case ManifestArrived:
		m.manifestArrived(now, e)
	case PartsArrived:
		m.partsArrived(now, e)
	case FetchFailed:
		m.fetchFailed(now, e.From)
	case ServiceAnswered:
		m.answered(now, e)
	case ServiceUnchanged:
		m.polled(now, nil)
	case ServiceFailed:
		m.polled(now, e.Err)
	}
	m.startFetch(now)
	m.checkReady(now)
	return m.out
}

// act queues an action.
func (m *Machine) act(a Action) { m.out = append(m.out, a) }

// woke begins the start anew, with the bundle in force kept.
func (m *Machine) woke(now time.Time) {
	m.ready = false
	m.started = now
	m.peers = map[string]*peerMark{}
	m.fetch = nil
	m.poll = poll{}
}

// heard notes a peer's mark.
func (m *Machine) heard(now time.Time, e PeerMarkReceived) {
	p := m.peers[e.Host]
	if p == nil {
		if !slices.Contains(m.near, e.Host) && len(m.peers) >= maxStrangers+len(m.near) {
			return
		}
		p = &peerMark{}
		m.peers[e.Host] = p
	}
	p.mark, p.heardAt = e.Mark, now
	p.solicited = p.solicited || e.Solicited
	switch {
	case m.current == nil || e.Mark.GetVersion() != m.version():
	case e.Mark.GetDigest() != shortDigest(m.current.Digest[:]):
		m.conflict(Source{e.Host}, e.Mark.GetDigest())
	case m.revision == 0 && e.Mark.GetRevision() != 0:
		m.revision = e.Mark.GetRevision()
		m.announce(false)
	}
}

// maxStrangers bounds the marks kept of hosts that are not neighbours.
const maxStrangers = 64

// peersChanged drops the marks of hosts that are not neighbours any more.
func (m *Machine) peersChanged(e PeersChanged) {
	m.near = slices.Clone(e.Neighbours)
	m.living = max(e.LiveHosts, 1)
	for host := range m.peers {
		if !slices.Contains(m.near, host) {
			delete(m.peers, host)
		}
	}
}

// version returns the version in force, or 0.
func (m *Machine) version() uint64 {
	if m.current == nil {
		return 0
	}
	return m.current.Bundle.Version
}

// consider takes a whole document and puts it into force if it is valid and
// higher. It reports whether the document is the one in force now.
func (m *Machine) consider(signed []byte, source Source) bool {
	digest := digestOf(signed)
	short := shortDigest(digest[:])
	if m.current != nil && m.current.Digest == digest {
		return true
	}
	if m.rejected.has(mark{digest: short}) {
		return false
	}
	next, err := m.cfg.Codec.Open(signed)
	if err != nil {
		m.reject(source, 0, short, err)
		return false
	}
	switch {
	case next.Version < m.version():
		m.reportStale(source, next.Version)
		return false
	case next.Version == m.version() && m.current != nil:
		m.conflict(source, short)
		return false
	}
	if err := m.checkSuccessor(next); err != nil {
		m.reject(source, next.Version, short, err)
		return false
	}
	m.adopt(newInForce(next, signed, m.cfg.Codec.Split), source)
	return true
}

// checkSuccessor asks the codec whether next may follow.
func (m *Machine) checkSuccessor(next *bundle.Bundle) error {
	if m.current == nil || m.cfg.Codec.CheckSuccessor == nil {
		return nil
	}
	if err := m.cfg.Codec.CheckSuccessor(m.current.Bundle, next); err != nil {
		return errors.Join(ErrSuccessor, err)
	}
	return nil
}

// adopt puts a bundle into force.
func (m *Machine) adopt(f *ActiveBundle, source Source) {
	m.current, m.source = f, source
	m.revision = 0
	m.stale = 0
	// What was refused beside the old bundle may be right after the new one.
	m.rejected = memory{}
	m.stats.Adopted++
	if m.fetch != nil && m.fetch.version <= f.Bundle.Version {
		m.fetch = nil
	}
	m.act(Adopt{f, source})
	m.announce(true)
}

// announce renews the mark on the heartbeats.
func (m *Machine) announce(urgent bool) { m.act(Announce{m.mark(), urgent}) }

// mark returns the mark of the bundle in force.
func (m *Machine) mark() *wire.BundleMark {
	out := &wire.BundleMark{ServiceFailed: m.poll.failures > 0}
	if m.current != nil {
		out.Version, out.Digest, out.Revision = m.version(), shortDigest(m.current.Digest[:]), m.revision
	}
	return out
}

// reject reports a refused document once.
func (m *Machine) reject(source Source, version, digest uint64, err error) {
	if !m.rejected.add(mark{digest: digest}) {
		return
	}
	m.stats.Rejected++
	m.act(Rejected{source, version, digest, err})
}

// conflict reports another document of the version in force once.
func (m *Machine) conflict(source Source, other uint64) {
	if !m.reported.add(mark{m.version(), other}) {
		return
	}
	m.stats.Conflicts++
	m.act(Conflict{source, m.version(), shortDigest(m.current.Digest[:]), other})
}

// reportStale reports a service behind the version in force once for each.
func (m *Machine) reportStale(source Source, served uint64) {
	if source.Peer != "" || m.stale == served {
		return
	}
	m.stale = served
	m.act(ServiceStale{served, m.version()})
}

// checkReady ends the start: there is a bundle, a majority of the neighbours
// answered (or the time for it is up), and no higher one is being fetched;
// Step begins a fetch before it comes here.
func (m *Machine) checkReady(now time.Time) {
	if m.ready || m.current == nil || m.fetch != nil {
		return
	}
	heard := 0
	for _, host := range m.near {
		if p := m.peers[host]; p != nil && p.solicited {
			heard++
		}
	}
	enough := 2*heard > len(m.near)
	switch {
	case enough && (len(m.near) > 0 || m.poll.done > 0):
		m.ready = true
		m.act(BecameReady{})
	case now.Sub(m.started) >= m.cfg.StartTimeout && m.poll.done > 0:
		m.ready = true
		m.act(BecameReady{Unconfirmed: true})
	}
}

// Current returns the bundle in force, or nil.
func (m *Machine) Active() *ActiveBundle { return m.current }

// Ready says whether the daemon has held the newest bundle that it could hear
// of since it started or woke.
func (m *Machine) Ready() bool { return m.ready }

// Stats returns the counts since the start.
func (m *Machine) Stats() Stats { return m.stats }

// mark identifies a document in a memory.
type mark struct{ version, digest uint64 }

// memory remembers the last marks, so that each is reported once.
type memory struct{ marks []mark }

// memorySize bounds a memory.
const memorySize = 64

// has says whether a mark is remembered.
func (m *memory) has(k mark) bool { return slices.Contains(m.marks, k) }

// add remembers a mark and reports whether it is new.
func (m *memory) add(k mark) bool {
	if m.has(k) {
		return false
	}
	if len(m.marks) >= memorySize {
		m.marks = slices.Delete(m.marks, 0, 1)
	}
	m.marks = append(m.marks, k)
	return true
}
