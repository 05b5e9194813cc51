package rollout

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/wire"
)

// The errors of this package. Rejected.Err holds the first two or an error of the
// Codec.
var (
	// ErrTransfer reports a manifest or part that does not match its hash or
	// exceeds a limit.
	ErrTransfer = errors.New("rollout: invalid transfer")
	// ErrSuccessor reports a document that must not replace the active one.
	ErrSuccessor = errors.New("rollout: not a successor")
	// ErrPollTimeout reports a read of the service that was not answered in time.
	ErrPollTimeout = errors.New("rollout: read of the configuration service timed out")
)

// peerMark is the last mark received from a peer and the state of the peer as a
// source of transfers.
type peerMark struct {
	mark       *wire.BundleMark
	receivedAt time.Time
	solicited  bool
	avoidUntil time.Time
}

// Machine is the configuration rollout of one daemon; see the package comment.
type Machine struct {
	cfg    Config
	rng    *rand.Rand
	active *ActiveBundle
	source Source
	// revision at which the service serves the active document; 0 if unknown.
	revision uint64
	// lastReadRevision is the last revision that this daemon read itself.
	lastReadRevision uint64
	peers            map[string]*peerMark
	neighbours       []string
	liveHosts        int
	fetch            *fetch
	// parts are the parts fetched for a document that is not active yet.
	parts             map[hash][]byte
	poll              pollState
	startedAt         time.Time
	ready             bool
	rejected          documentSet
	reportedConflicts documentSet
	reportedStale     uint64 // last version in a ServiceStale action
	stats             Stats
	actions           []Action
}

// Stats holds a Machine's event counts since its start.
type Stats struct {
	Polls, PollsFailed, Documents uint64
	Fetches, FetchesFailed        uint64
	Adopted, Rejected, Conflicts  uint64
}

// New returns a Machine without a bundle.
func New(cfg Config, now time.Time, rng *rand.Rand) *Machine {
	m := &Machine{cfg: cfg, rng: rng, peers: map[string]*peerMark{}, liveHosts: 1, startedAt: now}
	m.poll.lastEnd = now
	m.poll.firstDelay = time.Duration(rng.Int64N(int64(cfg.FirstPollSpread) + 1))
	return m
}

// Step processes one event and returns the resulting actions.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = nil
	switch e := event.(type) {
	case Tick:
		m.expireFetch(now)
		m.pollIfDue(now)
	case Resumed:
		m.handleResumed(now)
	case PeerMarkReceived:
		m.handlePeerMark(now, e)
	case PeersChanged:
		m.handlePeersChanged(e)
	case ManifestArrived:
		m.handleManifest(now, e)
	case PartsArrived:
		m.handleParts(now, e)
	case FetchFailed:
		m.failFetch(now, e.From)
	case ServiceAnswered:
		m.handleServiceAnswer(now, e)
	case ServiceUnchanged:
		m.endPoll(now, nil)
	case ServiceFailed:
		m.endPoll(now, e.Err)
	}
	m.startFetch(now)
	m.updateReady(now)
	return m.actions
}

// emit queues an action.
func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// handleResumed repeats the start sequence but keeps the active bundle.
func (m *Machine) handleResumed(now time.Time) {
	m.ready = false
	m.startedAt = now
	m.peers = map[string]*peerMark{}
	m.fetch = nil
	m.poll = pollState{}
}

// handlePeerMark stores a peer's mark, reports a conflicting document, and takes
// over the service revision of the active one.
func (m *Machine) handlePeerMark(now time.Time, e PeerMarkReceived) {
	p := m.peers[e.Host]
	if p == nil {
		if !slices.Contains(m.neighbours, e.Host) && len(m.peers) >= maxNonNeighbours+len(m.neighbours) {
			return
		}
		p = &peerMark{}
		m.peers[e.Host] = p
	}
	p.mark, p.receivedAt = e.Mark, now
	p.solicited = p.solicited || e.Solicited
	switch {
	case m.active == nil || e.Mark.GetVersion() != m.version():
	case e.Mark.GetDigest() != shortDigest(m.active.Digest[:]):
		m.reportConflict(Source{e.Host}, e.Mark.GetDigest())
	case m.revision == 0 && e.Mark.GetRevision() != 0:
		m.revision = e.Mark.GetRevision()
		m.announce(false)
	}
}

// maxNonNeighbours limits the stored marks of hosts that are not neighbours.
const maxNonNeighbours = 64

// handlePeersChanged drops the marks of hosts that are not neighbours.
func (m *Machine) handlePeersChanged(e PeersChanged) {
	m.neighbours = slices.Clone(e.Neighbours)
	m.liveHosts = max(e.LiveHosts, 1)
	for host := range m.peers {
		if !slices.Contains(m.neighbours, host) {
			delete(m.peers, host)
		}
	}
}

// version returns the active version, or 0.
func (m *Machine) version() uint64 {
	if m.active == nil {
		return 0
	}
	return m.active.Bundle.Version
}

// tryAdopt adopts a complete document if it is valid and has a higher version
// than the active one. It reports whether the document is now the active one.
func (m *Machine) tryAdopt(signed []byte, source Source) bool {
	digest := digestOf(signed)
	short := shortDigest(digest[:])
	if m.active != nil && m.active.Digest == digest {
		return true
	}
	if m.rejected.contains(documentID{digest: short}) {
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
	case next.Version == m.version() && m.active != nil:
		m.reportConflict(source, short)
		return false
	}
	if err := m.checkSuccessor(next); err != nil {
		m.reject(source, next.Version, short, err)
		return false
	}
	m.adopt(newActiveBundle(next, signed, m.cfg.Codec.Split), source)
	return true
}

// checkSuccessor returns an error if next must not replace the active bundle.
func (m *Machine) checkSuccessor(next *bundle.Bundle) error {
	if m.active == nil || m.cfg.Codec.CheckSuccessor == nil {
		return nil
	}
	if err := m.cfg.Codec.CheckSuccessor(m.active.Bundle, next); err != nil {
		return errors.Join(ErrSuccessor, err)
	}
	return nil
}

// adopt makes a bundle the active one.
func (m *Machine) adopt(f *ActiveBundle, source Source) {
	m.active, m.source = f, source
	m.revision = 0
	m.reportedStale = 0
	// A document that was not a valid successor of the old bundle may be one of
	// the new bundle.
	m.rejected = documentSet{}
	m.stats.Adopted++
	if m.fetch != nil && m.fetch.version <= f.Bundle.Version {
		m.fetch = nil
	}
	m.emit(Adopt{f, source})
	m.announce(true)
}

// announce replaces the mark in the heartbeats.
func (m *Machine) announce(urgent bool) { m.emit(Announce{m.currentMark(), urgent}) }

// currentMark returns the mark of the active bundle.
func (m *Machine) currentMark() *wire.BundleMark {
	out := &wire.BundleMark{ServiceFailed: m.poll.failures > 0}
	if m.active != nil {
		out.Version, out.Digest, out.Revision = m.version(), shortDigest(m.active.Digest[:]), m.revision
	}
	return out
}

// reject reports a rejected document, once.
func (m *Machine) reject(source Source, version, digest uint64, err error) {
	if !m.rejected.add(documentID{digest: digest}) {
		return
	}
	m.stats.Rejected++
	m.emit(Rejected{source, version, digest, err})
}

// reportConflict reports another document with the active version, once.
func (m *Machine) reportConflict(source Source, other uint64) {
	if !m.reportedConflicts.add(documentID{m.version(), other}) {
		return
	}
	m.stats.Conflicts++
	m.emit(Conflict{source, m.version(), shortDigest(m.active.Digest[:]), other})
}

// reportStale reports a service that serves a lower version than the active one,
// unless it reported the same version last.
func (m *Machine) reportStale(source Source, served uint64) {
	if source.Peer != "" || m.reportedStale == served {
		return
	}
	m.reportedStale = served
	m.emit(ServiceStale{served, m.version()})
}

// updateReady makes the daemon ready once it has a bundle, a majority of the
// neighbours has answered or StartTimeout has passed, and no higher version is
// being fetched. Without neighbours, or after StartTimeout, a read of the service must
// also have ended. Step starts a fetch before it calls this method.
func (m *Machine) updateReady(now time.Time) {
	if m.ready || m.active == nil || m.fetch != nil {
		return
	}
	answered := 0
	for _, host := range m.neighbours {
		if p := m.peers[host]; p != nil && p.solicited {
			answered++
		}
	}
	majority := 2*answered > len(m.neighbours)
	switch {
	case majority && (len(m.neighbours) > 0 || m.poll.completed > 0):
		m.ready = true
		m.emit(BecameReady{})
	case now.Sub(m.startedAt) >= m.cfg.StartTimeout && m.poll.completed > 0:
		m.ready = true
		m.emit(BecameReady{Unconfirmed: true})
	}
}

// Active returns the active bundle, or nil.
func (m *Machine) Active() *ActiveBundle { return m.active }

// Ready reports whether the daemon has become ready since its start or last
// pause; see BecameReady.
func (m *Machine) Ready() bool { return m.ready }

// Stats returns the event counts since the start.
func (m *Machine) Stats() Stats { return m.stats }

// documentID identifies a document in a documentSet.
type documentID struct{ version, digest uint64 }

// documentSet holds the most recently added documents, so that each is reported
// once.
type documentSet struct{ ids []documentID }

// maxDocumentSet limits the size of a documentSet.
const maxDocumentSet = 64

func (s *documentSet) contains(id documentID) bool { return slices.Contains(s.ids, id) }

// add adds a document, removing the oldest one if the set is full, and reports
// whether it is new.
func (s *documentSet) add(id documentID) bool {
	if s.contains(id) {
		return false
	}
	if len(s.ids) >= maxDocumentSet {
		s.ids = slices.Delete(s.ids, 0, 1)
	}
	s.ids = append(s.ids, id)
	return true
}
