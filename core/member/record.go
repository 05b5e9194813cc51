package member

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/wire"
)

// suspicionConfirmations is the number of further accusers after which a
// suspicion takes its shortest time.
const suspicionConfirmations = 3

// suspicion is the time that a host has to refute.
type suspicion struct {
	start time.Time
	by    []string // accusers, at most 1 + suspicionConfirmations
}

// timeout shrinks from the longest to the shortest with each accuser.
func (s *suspicion) timeout(shortest, longest time.Duration) time.Duration {
	share := math.Log(float64(len(s.by))) / math.Log(1+suspicionConfirmations)
	return longest - time.Duration(share*float64(longest-shortest))
}

// accuse adds an accuser and reports whether it counts.
func (s *suspicion) accuse(by string) bool {
	if by == "" || len(s.by) > suspicionConfirmations || slices.Contains(s.by, by) {
		return false
	}
	s.by = append(s.by, by)
	return true
}

// expireSuspicions declares hosts dead that did not refute in time.
func (m *Machine) expireSuspicions(now time.Time) {
	for _, name := range m.names {
		e := m.hosts[name]
		if e.suspicion == nil {
			continue
		}
		wait := m.health.scale(e.suspicion.timeout(m.cfg.SuspicionMin, m.cfg.SuspicionMax))
		if now.Sub(e.suspicion.start) < wait {
			continue
		}
		m.enter(now, e, wire.MemberState_MEMBER_DEAD)
		// Most others have the suspicion and come to this by themselves.
		m.rumors.shorten(recordKey(name), rumorLimit(len(m.names))/2)
	}
}

// enter changes the state of an entry and spreads the news.
func (m *Machine) enter(now time.Time, e *entry, state wire.MemberState) {
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
	m.news(e)
	m.act(MemberChanged{e.member(m.isNear(e.host.Name))})
}

// isNear says whether a host is a neighbour.
func (m *Machine) isNear(name string) bool {
	_, ok := slices.BinarySearch(m.near, name)
	return ok
}

// news queues the record of an entry for spreading.
func (m *Machine) news(e *entry) {
	m.rehash(e)
	m.rumors.add(recordKey(e.host.Name))
}

// rehash renews the hash of a record within the hash of all items. A suspect
// counts as alive: suspicions end by themselves, at each host in its time.
func (m *Machine) rehash(e *entry) {
	m.hash ^= e.hash
	leaving := uint64(0)
	if e.leaving {
		leaving = 1
	}
	state := e.state
	if state == wire.MemberState_MEMBER_SUSPECT {
		state = wire.MemberState_MEMBER_ALIVE
	}
	e.hash = hashItem(recordKey(e.host.Name), [4]uint64{e.incarnation, uint64(e.seq), uint64(state), leaving}, nil)
	m.hash ^= e.hash
}

// recordKey names the record of a host among the items.
func recordKey(host string) itemKey { return itemKey{kind: kindRecord, name: host} }

// record returns the record of an entry. Of the accusers only one is named.
func (m *Machine) record(e *entry) *wire.MemberRecord {
	r := &wire.MemberRecord{
		Host: e.host.Name, Incarnation: e.incarnation, Seq: e.seq, State: e.state, Leaving: e.leaving,
	}
	if e.suspicion != nil && len(e.suspicion.by) > 0 {
		r.By = e.suspicion.by[m.rng.IntN(len(e.suspicion.by))]
	}
	return r
}

// mergeRecord takes a belief heard from a host (or our own probe) and reports
// whether it was news.
func (m *Machine) mergeRecord(now time.Time, from string, r *wire.MemberRecord) bool {
	if r.GetHost() == m.cfg.Self.Name {
		m.aboutSelf(now, from, r)
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
		return m.confirm(e, r)
	case order == 0 && r.GetState() < e.state:
		return false
	}
	e.incarnation, e.seq, e.leaving = r.GetIncarnation(), r.GetSeq(), r.GetLeaving()
	e.suspicion = nil
	if r.GetState() == wire.MemberState_MEMBER_SUSPECT {
		m.stats.Suspicions++
		e.suspicion = &suspicion{start: now}
		e.suspicion.accuse(cmp.Or(r.GetBy(), from))
	}
	m.dropOldSlots(e)
	m.enter(now, e, r.GetState())
	return true
}

// confirm counts a further accuser of a suspect.
func (m *Machine) confirm(e *entry, r *wire.MemberRecord) bool {
	if e.suspicion == nil || !e.suspicion.accuse(r.GetBy()) {
		return false
	}
	m.rumors.add(recordKey(e.host.Name))
	return true
}

// aboutSelf refutes what others wrongly believe of this process.
func (m *Machine) aboutSelf(now time.Time, from string, r *wire.MemberRecord) {
	switch {
	case from == m.cfg.Self.Name:
		return
	case r.GetIncarnation() > m.self.incarnation:
		if r.GetIncarnation() > m.beaten {
			m.beaten = r.GetIncarnation()
			m.act(Superseded{m.beaten})
		}
		return
	case r.GetIncarnation() < m.self.incarnation:
		m.rumors.add(recordKey(m.cfg.Self.Name))
		return
	case r.GetSeq() < m.self.seq || r.GetSeq() == m.self.seq && r.GetState() == m.self.state:
		return
	}
	m.self.seq = r.GetSeq() + 1
	m.stats.Refutations++
	m.health.worsen()
	m.news(m.self)
	m.push.urgent()
}

// digest builds what rides on a ping or ack to a host. tell includes what we
// believe of that host itself.
func (m *Machine) digest(now time.Time, to string, tell bool) *wire.MemberDigest {
	d := &wire.MemberDigest{
		Self: m.record(m.self), WallUnixMs: now.UnixMilli(), Slots: slices.Clone(m.direct),
		Items: &wire.MemberItems{}, StateHash: m.hash,
	}
	room := m.cfg.MaxItemBytes
	// A host that is thought ill of hears so first, that it may refute.
	if e := m.hosts[to]; e != nil && (tell || e.state >= wire.MemberState_MEMBER_SUSPECT) {
		room -= m.put(d.Items, recordKey(to))
	}
	m.rumors.take(rumorLimit(len(m.names)), func(k itemKey) bool {
		if room <= 0 {
			return false
		}
		room -= m.put(d.Items, k)
		return true
	})
	return d
}

// itemOverhead is the tag and length of one item on the wire, in bytes.
const itemOverhead = 3

// put appends the present content of an item and returns its bytes.
func (m *Machine) put(items *wire.MemberItems, k itemKey) int {
	switch k.kind {
	case kindRecord:
		if e := m.hosts[k.name]; e != nil {
			r := m.record(e)
			items.Records = append(items.Records, r)
			return proto.Size(r) + itemOverhead
		}
	case kindUpstream:
		if u := m.marks.wire(k.name); u != nil {
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

// digestHeard takes what rode on a ping or ack, and reports whether it came
// from an outdated process of its host, in which case nothing in it counts.
// A solicited one answers our own ping.
func (m *Machine) digestHeard(now time.Time, from string, d *wire.MemberDigest, solicited bool) bool {
	if d.GetSelf().GetHost() != from {
		m.act(Rejected{from, "digest without the sender's own record"})
		return false
	}
	e := m.hosts[from]
	if e != nil && d.GetSelf().GetIncarnation() < e.incarnation {
		m.act(Rejected{from, "digest of an outdated process"})
		return true
	}
	m.mergeRecord(now, from, d.GetSelf())
	if e != nil {
		e.heard = now
	}
	m.mergeItems(now, from, d.GetItems())
	m.slotsHeard(from, d, solicited)
	m.maybeSync(now, from, d.GetStateHash())
	return false
}

// mergeItems takes items heard from a host. Repeats count as sent.
func (m *Machine) mergeItems(now time.Time, from string, items *wire.MemberItems) {
	for _, r := range items.GetRecords() {
		if !m.mergeRecord(now, from, r) {
			m.rumors.seen(recordKey(r.GetHost()))
		}
	}
	for _, u := range items.GetUpstreams() {
		if !m.mergeMark(now, u) {
			m.rumors.seen(upstreamKey(u.GetUpstream()))
		}
	}
	for _, s := range items.GetSlots() {
		if !m.mergeSlot(s) {
			m.rumors.seen(slotKey(s.GetHost(), SlotID(s.GetId())))
		}
	}
}
