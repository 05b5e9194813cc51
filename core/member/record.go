package member

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/wire"
)

// suspicionConfirmations is the number of daemons beyond the first that must
// report a suspicion for it to have the shortest timeout.
const suspicionConfirmations = 3

// suspicion tracks a suspect host, which is declared dead unless it refutes the
// suspicion in time.
type suspicion struct {
	start     time.Time
	reporters []string // daemons reporting it, at most 1 + suspicionConfirmations
}

// timeout decreases from longest to shortest with each reporter.
func (s *suspicion) timeout(shortest, longest time.Duration) time.Duration {
	fraction := math.Log(float64(len(s.reporters))) / math.Log(1+suspicionConfirmations)
	return longest - time.Duration(fraction*float64(longest-shortest))
}

// addReporter adds a reporter and reports whether it was new and within the
// limit.
func (s *suspicion) addReporter(by string) bool {
	if by == "" || len(s.reporters) > suspicionConfirmations || slices.Contains(s.reporters, by) {
		return false
	}
	s.reporters = append(s.reporters, by)
	return true
}

// expireSuspicions declares hosts dead that did not refute a suspicion in time.
func (m *Machine) expireSuspicions(now time.Time) {
	for _, name := range m.names {
		e := m.hosts[name]
		if e.suspicion == nil {
			continue
		}
		wait := m.health.scaleTimeout(e.suspicion.timeout(m.cfg.SuspicionMin, m.cfg.SuspicionMax))
		if now.Sub(e.suspicion.start) < wait {
			continue
		}
		m.setState(now, e, wire.MemberState_MEMBER_DEAD)
		// Most other daemons have the suspicion too and reach the same result
		// without this message, so it is sent fewer times.
		m.gossip.setMinSent(recordKey(name), maxSends(len(m.names))/2)
	}
}

// setState changes the state of a host and gossips its record.
func (m *Machine) setState(now time.Time, e *hostEntry, state wire.MemberState) {
	changed := e.state != state
	e.state = state
	if state != wire.MemberState_MEMBER_SUSPECT {
		e.suspicion = nil
	}
	if changed {
		e.since = now
	}
	if changed && state == wire.MemberState_MEMBER_DEAD {
		m.stats.Deaths++
	}
	m.gossipRecord(e)
	m.emit(MemberChanged{e.toMember(m.isNeighbour(e.host.Name))})
}

// isNeighbour reports whether a host is a neighbour.
func (m *Machine) isNeighbour(name string) bool {
	_, ok := slices.BinarySearch(m.neighbours, name)
	return ok
}

// gossipRecord queues the record of a host for gossip.
func (m *Machine) gossipRecord(e *hostEntry) {
	m.updateHash(e)
	m.gossip.add(recordKey(e.host.Name))
}

// updateHash recomputes the hash of a record within the hash of all items. A
// suspect host is hashed as alive, since suspicions are temporary and end at a
// different time on each daemon.
func (m *Machine) updateHash(e *hostEntry) {
	m.stateHash ^= e.hash
	leaving := uint64(0)
	if e.leaving {
		leaving = 1
	}
	state := e.state
	if state == wire.MemberState_MEMBER_SUSPECT {
		state = wire.MemberState_MEMBER_ALIVE
	}
	e.hash = hashItem(recordKey(e.host.Name), [4]uint64{e.incarnation, uint64(e.seq), uint64(state), leaving}, nil)
	m.stateHash ^= e.hash
}

// recordKey returns the item key of a host's record.
func recordKey(host string) itemKey { return itemKey{kind: kindRecord, name: host} }

// record returns the record of a host. Of the reporters of a suspicion it names
// only one, chosen at random.
func (m *Machine) record(e *hostEntry) *wire.MemberRecord {
	r := &wire.MemberRecord{
		Host: e.host.Name, Incarnation: e.incarnation, Seq: e.seq, State: e.state, Leaving: e.leaving,
	}
	if e.suspicion != nil && len(e.suspicion.reporters) > 0 {
		r.By = e.suspicion.reporters[m.rng.IntN(len(e.suspicion.reporters))]
	}
	return r
}

// mergeRecord merges a record received from a host, or created by a local probe,
// and reports whether it was new.
func (m *Machine) mergeRecord(now time.Time, from string, r *wire.MemberRecord) bool {
	if r.GetHost() == m.cfg.Self.Name {
		m.handleRecordOfSelf(now, from, r)
		return false
	}
	e := m.hosts[r.GetHost()]
	if e == nil || r.GetState() == wire.MemberState_MEMBER_UNKNOWN {
		return false
	}
	switch order := cmp.Or(cmp.Compare(r.GetIncarnation(), e.incarnation), cmp.Compare(r.GetSeq(), e.seq)); {
	case order < 0:
		return false
	case order == 0 && r.GetState() == e.state:
		return m.addConfirmation(e, r)
	case order == 0 && r.GetState() < e.state:
		return false
	}
	e.incarnation, e.seq, e.leaving = r.GetIncarnation(), r.GetSeq(), r.GetLeaving()
	e.suspicion = nil
	if r.GetState() == wire.MemberState_MEMBER_SUSPECT {
		m.stats.Suspicions++
		e.suspicion = &suspicion{start: now}
		e.suspicion.addReporter(cmp.Or(r.GetBy(), from))
	}
	m.removeStaleSlots(e)
	m.setState(now, e, r.GetState())
	return true
}

// addConfirmation adds a further reporter to a suspicion and reports whether it
// was new.
func (m *Machine) addConfirmation(e *hostEntry, r *wire.MemberRecord) bool {
	if e.suspicion == nil || !e.suspicion.addReporter(r.GetBy()) {
		return false
	}
	m.gossip.add(recordKey(e.host.Name))
	return true
}

// handleRecordOfSelf refutes a wrong record of this process, or notes that a
// later process runs under its name.
func (m *Machine) handleRecordOfSelf(now time.Time, from string, r *wire.MemberRecord) {
	switch {
	case from == m.cfg.Self.Name:
		return
	case r.GetIncarnation() > m.self.incarnation:
		if r.GetIncarnation() > m.supersededBy {
			m.supersededBy = r.GetIncarnation()
			m.emit(Superseded{m.supersededBy})
		}
		return
	case r.GetIncarnation() < m.self.incarnation:
		m.gossip.add(recordKey(m.cfg.Self.Name))
		return
	case r.GetSeq() < m.self.seq || r.GetSeq() == m.self.seq && r.GetState() == m.self.state:
		return
	}
	m.self.seq = r.GetSeq() + 1
	m.stats.Refutations++
	m.health.increaseScore()
	m.gossipRecord(m.self)
	m.push.request()
}

// buildDigest builds the digest of a ping or ack to a host. includeTarget forces
// the digest to include that host's own record.
func (m *Machine) buildDigest(now time.Time, to string, includeTarget bool) *wire.MemberDigest {
	d := &wire.MemberDigest{
		Self: m.record(m.self), WallUnixMs: now.UnixMilli(), Slots: slices.Clone(m.directSlots),
		Items: &wire.MemberItems{}, StateHash: m.stateHash,
	}
	remaining := m.cfg.MaxGossipBytes
	// A suspect or dead host gets its own record first, so that it can refute it.
	if e := m.hosts[to]; e != nil && (includeTarget || e.state >= wire.MemberState_MEMBER_SUSPECT) {
		remaining -= m.appendItem(d.Items, recordKey(to))
	}
	m.gossip.selectItems(maxSends(len(m.names)), func(k itemKey) bool {
		if remaining <= 0 {
			return false
		}
		remaining -= m.appendItem(d.Items, k)
		return true
	})
	return d
}

// itemOverhead is the size of the tag and length of one encoded item, in bytes.
const itemOverhead = 3

// appendItem appends the current content of an item and returns its encoded size
// in bytes, or 0 if the item no longer exists.
func (m *Machine) appendItem(items *wire.MemberItems, k itemKey) int {
	switch k.kind {
	case kindRecord:
		if e := m.hosts[k.name]; e != nil {
			r := m.record(e)
			items.Records = append(items.Records, r)
			return proto.Size(r) + itemOverhead
		}
	case kindUpstream:
		if u := m.upstreamMarks.toProto(k.name); u != nil {
			items.Upstreams = append(items.Upstreams, u)
			return proto.Size(u) + itemOverhead
		}
	case kindSlot:
		if s := m.fleetSlot(k.name, k.slot); s != nil {
			items.Slots = append(items.Slots, s.wire)
			return proto.Size(s.wire) + itemOverhead
		}
	}
	return 0
}

// handleDigest processes the digest of a ping or ack. It reports whether the
// digest came from an earlier process of its host, in which case it is ignored.
// solicited marks the answer to one of this daemon's own pings.
func (m *Machine) handleDigest(now time.Time, from string, d *wire.MemberDigest, solicited bool) bool {
	if d.GetSelf().GetHost() != from {
		m.emit(Rejected{from, "digest does not hold the sender's own record"})
		return false
	}
	e := m.hosts[from]
	if e != nil && d.GetSelf().GetIncarnation() < e.incarnation {
		m.emit(Rejected{from, "digest from an earlier process of the host"})
		return true
	}
	m.mergeRecord(now, from, d.GetSelf())
	if e != nil {
		e.lastContact = now
	}
	m.mergeItems(now, from, d.GetItems())
	m.handleDirectSlots(from, d, solicited)
	m.syncIfDifferent(now, from, d.GetStateHash())
	return false
}

// mergeItems merges items received from a host. An item that is not new counts
// as sent once, since the sender already has it.
func (m *Machine) mergeItems(now time.Time, from string, items *wire.MemberItems) {
	for _, r := range items.GetRecords() {
		if !m.mergeRecord(now, from, r) {
			m.gossip.countDuplicate(recordKey(r.GetHost()))
		}
	}
	for _, u := range items.GetUpstreams() {
		if !m.mergeUpstreamMark(now, u) {
			m.gossip.countDuplicate(upstreamKey(u.GetUpstream()))
		}
	}
	for _, s := range items.GetSlots() {
		if !m.mergeSlot(s) {
			m.gossip.countDuplicate(slotKey(s.GetHost(), SlotID(s.GetId())))
		}
	}
}
