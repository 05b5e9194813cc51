package member

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/wire"
)

// The bounds on one comparison.
const (
	maxSyncBytes  = 64 << 10
	maxSyncHashes = 8192
	// syncPatience is how long a difference to the peers must last before it
	// is not left to the rumors any more, and syncHaste the same while no
	// rumors spread from here.
	syncPatience = 10 * time.Second
	syncHaste    = 5 * time.Second
)

// syncs paces the comparisons.
type syncs struct {
	at time.Time // of the last one begun; zero since the start or a pause
	// differs is since when every peer heard had another hash, with some
	// jitter; zero after one that had ours.
	differs time.Time
}

// maybeSync compares all items with a peer whose hash differs from ours, when
// the difference lasts and not too often; at once after a start or a pause.
func (m *Machine) maybeSync(now time.Time, peer string, hash uint64) {
	if hash == m.hash {
		m.sync.differs = time.Time{}
		return
	}
	if m.hosts[peer] == nil {
		return
	}
	if m.sync.differs.IsZero() {
		m.sync.differs = now.Add(time.Duration(m.rng.Int64N(int64(syncHaste))))
	}
	if !m.sync.at.IsZero() && !m.syncDue(now) {
		return
	}
	m.sync.at = now
	m.sync.differs = time.Time{}
	m.stats.Syncs++
	m.send(peer, &wire.MemberSync{Have: m.itemHashes()})
}

// syncDue says whether a difference has lasted long enough.
func (m *Machine) syncDue(now time.Time) bool {
	patience := syncPatience
	if len(m.rumors.queue) == 0 {
		patience = syncHaste
	}
	return now.Sub(m.sync.differs) >= patience && now.Sub(m.sync.at) >= m.cfg.SyncInterval
}

// items calls f for each item and its hash, in a fixed order.
func (m *Machine) items(f func(itemKey, uint64)) {
	for _, name := range m.names {
		e := m.hosts[name]
		if e.state != wire.MemberState_MEMBER_UNKNOWN {
			f(recordKey(name), e.hash)
		}
		for _, s := range e.slots {
			f(slotKey(name, SlotID(s.wire.GetId())), s.hash)
		}
	}
	for _, name := range sortedKeys(m.marks.byName) {
		f(upstreamKey(name), m.marks.byName[name].hash)
	}
}

// itemHashes lists the hashes of all items.
func (m *Machine) itemHashes() []uint64 {
	var out []uint64
	m.items(func(_ itemKey, hash uint64) {
		if len(out) < maxSyncHashes {
			out = append(out, hash)
		}
	})
	return out
}

// answerSync sends the items that the asker lacks and asks for ours.
func (m *Machine) answerSync(from string, msg *wire.MemberSync) {
	have := msg.GetHave()[:min(len(msg.GetHave()), maxSyncHashes)]
	lacking := make(map[uint64]bool, len(have))
	for _, h := range have {
		lacking[h] = true
	}
	reply := &wire.MemberSyncReply{Items: &wire.MemberItems{}}
	room := maxSyncBytes
	m.items(func(k itemKey, hash uint64) {
		if lacking[hash] {
			delete(lacking, hash)
		} else if room > 0 {
			room -= m.put(reply.Items, k)
		}
	})
	for _, h := range have {
		if lacking[h] {
			reply.Want = append(reply.Want, h)
		}
	}
	m.send(from, reply)
}

// synced takes the items of a comparison and pushes those that were wanted.
func (m *Machine) synced(now time.Time, from string, msg *wire.MemberSyncReply) {
	m.pushWanted(from, msg.GetWant())
	m.mergeItems(now, from, msg.GetItems())
}

// pushWanted sends the items of the given hashes.
func (m *Machine) pushWanted(to string, want []uint64) {
	if len(want) == 0 {
		return
	}
	wanted := make(map[uint64]bool, len(want))
	for _, h := range want {
		wanted[h] = true
	}
	push := &wire.MemberPush{Items: &wire.MemberItems{}}
	room := maxSyncBytes
	m.items(func(k itemKey, hash uint64) {
		if wanted[hash] && room > 0 {
			room -= m.put(push.Items, k)
		}
	})
	if proto.Size(push.Items) > 0 {
		m.send(to, push)
	}
}

// Dump is the state of a Machine for operators.
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
	Rumors      int           `json:"rumors"`
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

// Dump returns the whole state.
func (m *Machine) Dump(now time.Time) Dump {
	offset, peers := m.clock.offset(now)
	d := Dump{
		Self: m.cfg.Self.Name, Incarnation: m.self.incarnation, Fresh: m.fresh.fresh, Skewed: m.clock.skewed,
		ClockOffset: offset, ClockPeers: peers, Superseded: m.beaten, Health: m.health.score,
		Neighbours: slices.Clone(m.near), Leaving: m.LeavingUpstreams(), Rumors: len(m.rumors.queue), Stats: m.stats,
	}
	for _, x := range m.Members() {
		one := MemberDump{
			Name: x.Host.Name, FailureDomain: x.Host.FailureDomain, Incarnation: x.Incarnation,
			State: x.State.String(), For: now.Sub(x.Since), Neighbour: x.Neighbour,
		}
		if !x.Heard.IsZero() {
			one.HeardAgo = now.Sub(x.Heard)
		}
		d.Members = append(d.Members, one)
	}
	return d
}
