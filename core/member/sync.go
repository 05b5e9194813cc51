package member

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/wire"
)

// The limits on one sync, which compares all items with those of a peer.
const (
	maxSyncBytes  = 64 << 10
	maxSyncHashes = 8192
	// syncDelay is how long the state must differ from the peers' before a sync
	// is started rather than leaving the repair to gossip. syncDelayIdle applies
	// while this daemon's gossip queue is empty.
	syncDelay     = 10 * time.Second
	syncDelayIdle = 5 * time.Second
)

// syncState limits how often syncs are started.
type syncState struct {
	startedAt time.Time // start of the last sync; zero after a start or a pause
	// differentSince is when the first of the peers with a different hash was
	// seen, plus random jitter; zero once a peer had the same hash or a sync has
	// been started.
	differentSince time.Time
}

// syncIfDifferent starts a sync with a peer whose hash differs, if the difference
// has lasted long enough and the last sync is long enough ago. The first sync
// after a start or a pause starts at once.
func (m *Machine) syncIfDifferent(now time.Time, peer string, hash uint64) {
	if hash == m.stateHash {
		m.sync.differentSince = time.Time{}
		return
	}
	if m.hosts[peer] == nil {
		return
	}
	if m.sync.differentSince.IsZero() {
		m.sync.differentSince = now.Add(time.Duration(m.rng.Int64N(int64(syncDelayIdle))))
	}
	if !m.sync.startedAt.IsZero() && !m.syncDue(now) {
		return
	}
	m.sync.startedAt = now
	m.sync.differentSince = time.Time{}
	m.stats.Syncs++
	m.send(peer, &wire.MemberSync{Have: m.itemHashes()})
}

// syncDue reports whether the difference has lasted long enough and the last
// sync is at least SyncInterval ago.
func (m *Machine) syncDue(now time.Time) bool {
	delay := syncDelay
	if len(m.gossip.queue) == 0 {
		delay = syncDelayIdle
	}
	return now.Sub(m.sync.differentSince) >= delay && now.Sub(m.sync.startedAt) >= m.cfg.SyncInterval
}

// forEachItem calls visit for each item and its hash, in a fixed order.
func (m *Machine) forEachItem(visit func(itemKey, uint64)) {
	for _, name := range m.names {
		e := m.hosts[name]
		if e.state != wire.MemberState_MEMBER_UNKNOWN {
			visit(recordKey(name), e.hash)
		}
		for _, s := range e.slots {
			visit(slotKey(name, SlotID(s.wire.GetId())), s.hash)
		}
	}
	for _, name := range sortedKeys(m.upstreamMarks.byName) {
		visit(upstreamKey(name), m.upstreamMarks.byName[name].hash)
	}
}

// itemHashes returns the hashes of all items, at most maxSyncHashes.
func (m *Machine) itemHashes() []uint64 {
	var out []uint64
	m.forEachItem(func(_ itemKey, hash uint64) {
		if len(out) < maxSyncHashes {
			out = append(out, hash)
		}
	})
	return out
}

// handleSync sends the items that the peer lacks and requests the items that
// this daemon lacks.
func (m *Machine) handleSync(from string, msg *wire.MemberSync) {
	have := msg.GetHave()[:min(len(msg.GetHave()), maxSyncHashes)]
	missing := make(map[uint64]bool, len(have))
	for _, h := range have {
		missing[h] = true
	}
	reply := &wire.MemberSyncReply{Items: &wire.MemberItems{}}
	remaining := maxSyncBytes
	m.forEachItem(func(k itemKey, hash uint64) {
		if missing[hash] {
			delete(missing, hash)
		} else if remaining > 0 {
			remaining -= m.appendItem(reply.Items, k)
		}
	})
	for _, h := range have {
		if missing[h] {
			reply.Want = append(reply.Want, h)
		}
	}
	m.send(from, reply)
}

// handleSyncReply merges the items of a sync reply and sends the requested ones.
func (m *Machine) handleSyncReply(now time.Time, from string, msg *wire.MemberSyncReply) {
	m.pushWanted(from, msg.GetWant())
	m.mergeItems(now, from, msg.GetItems())
}

// pushWanted sends the items with the given hashes.
func (m *Machine) pushWanted(to string, want []uint64) {
	if len(want) == 0 {
		return
	}
	wanted := make(map[uint64]bool, len(want))
	for _, h := range want {
		wanted[h] = true
	}
	push := &wire.MemberPush{Items: &wire.MemberItems{}}
	remaining := maxSyncBytes
	m.forEachItem(func(k itemKey, hash uint64) {
		if wanted[hash] && remaining > 0 {
			remaining -= m.appendItem(push.Items, k)
		}
	})
	if proto.Size(push.Items) > 0 {
		m.send(to, push)
	}
}

// Dump is the state of a Machine, for operators.
type Dump struct {
	Self        string        `json:"self"`
	Incarnation uint64        `json:"incarnation"`
	Fresh       bool          `json:"fresh"`
	Skewed      bool          `json:"skewed"`
	ClockOffset time.Duration `json:"clock_offset_ns"`
	ClockPeers  int           `json:"clock_peers"`
	Superseded  uint64        `json:"superseded_by,omitempty"`
	Health      int           `json:"local_health_score"`
	Neighbours  []string      `json:"neighbours"`
	Leaving     []string      `json:"leaving_upstreams"`
	QueuedItems int           `json:"rumors"`
	Stats       Stats         `json:"stats"`
	Members     []MemberDump  `json:"members"`
}

// MemberDump is one host in a Dump.
type MemberDump struct {
	Name          string        `json:"name"`
	FailureDomain string        `json:"failure_domain"`
	Incarnation   uint64        `json:"incarnation"`
	State         string        `json:"state"`
	For           time.Duration `json:"state_for_ns"`
	HeardAgo      time.Duration `json:"heard_ago_ns,omitempty"`
	Neighbour     bool          `json:"neighbour"`
}

// Dump returns the complete state.
func (m *Machine) Dump(now time.Time) Dump {
	offset, peers := m.clock.offset(now)
	d := Dump{
		Self: m.cfg.Self.Name, Incarnation: m.self.incarnation, Fresh: m.freshness.fresh, Skewed: m.clock.skewed,
		ClockOffset: offset, ClockPeers: peers, Superseded: m.supersededBy, Health: m.health.score,
		Neighbours: slices.Clone(m.neighbours), Leaving: m.LeavingUpstreams(), QueuedItems: len(m.gossip.queue), Stats: m.stats,
	}
	for _, member := range m.Members() {
		dump := MemberDump{
			Name: member.Host.Name, FailureDomain: member.Host.FailureDomain, Incarnation: member.Incarnation,
			State: member.State.String(), For: now.Sub(member.Since), Neighbour: member.Neighbour,
		}
		if !member.LastContact.IsZero() {
			dump.HeardAgo = now.Sub(member.LastContact)
		}
		d.Members = append(d.Members, dump)
	}
	return d
}
