package detour

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Result is how a peer answered a request to connect.
type Result uint8

// The results.
const (
	// Connected: the peer has connected.
	Connected Result = iota
	// ReplicaRefused and ReplicaUnreachable: the peer reaches other replicas, but connections
	// to this address are refused, or fail otherwise.
	ReplicaRefused
	ReplicaUnreachable
	// PeerCutOff: the peer reaches no replica itself.
	PeerCutOff
	// NoRoom: the peer has as many connections open for others as it takes.
	NoRoom
	// NoAnswer: the peer did not answer in time.
	NoAnswer
	// Unavailable: the peer can't be reached, drains, or does not know the address.
	Unavailable
	// Unsupported: the peer does not connect for others.
	Unsupported
)

// String is the value in metrics and logs.
func (r Result) String() string {
	return [...]string{"connected", "replica_refused", "replica_unreachable", "peer_cut_off", "no_room", "no_answer", "unavailable", "unsupported"}[r]
}

// Reply is a peer's answer.
type Reply struct {
	Result Result
	// Room is how many more connections the peer takes.
	Room int
	// Hints are peers through which a peer that is cut off connects itself.
	Hints []string
}

type peerState struct {
	// connectedAt and failedAt are when the peer last connected, and when it was last asked in
	// vain: it reaches no replica, has no room, or did not answer in time several times in a
	// row.
	connectedAt, failedAt time.Time
	blockedUntil          time.Time
	// slowUntil is until when the peer counts as slow: it did not answer in time.
	slowUntil time.Time
	// slowAnswers is how many times in a row it did not.
	slowAnswers int
	room        int
	hinted      bool
	unsupported bool
}

// connects reports whether the peer has connected lately and may be asked.
func (p *peerState) connects(now time.Time) bool {
	return p.mayConnect(now) && !now.Before(p.slowUntil)
}

// mayConnect is connects for a peer that may be slow.
func (p *peerState) mayConnect(now time.Time) bool {
	return !p.connectedAt.IsZero() && now.Sub(p.connectedAt) < goodPeriod && !now.Before(p.blockedUntil)
}

// lastResort reports whether the peer may be asked if no other can be: it was too slow, or has
// failed a short time ago, and may be the only one that connects by now.
func (p *peerState) lastResort(now time.Time) bool {
	return p.mayConnect(now) || !p.unsupported && now.Sub(p.failedAt) >= lastResortPause
}

// countVain records whether the peer was asked in vain.
func (p *peerState) countVain(now time.Time, r Result) {
	if r != NoAnswer {
		p.slowAnswers = 0
	} else if p.slowAnswers++; p.slowAnswers < slowAnswersInVain {
		return
	}
	switch r {
	case Connected, ReplicaRefused, ReplicaUnreachable:
	default:
		p.failedAt = now
	}
}

// PeersExpired reports whether SetPeers is to be called before peers are asked.
func (t *Table) PeersExpired(now time.Time) bool {
	return t.listedAt.IsZero() || now.Sub(t.listedAt) >= PeerListPeriod
}

// SetPeers sets the hosts that may be asked, without this one.
func (t *Table) SetPeers(now time.Time, names []string) {
	t.listedAt = now
	type ranked struct {
		weight uint64
		name   string
	}
	all := make([]ranked, 0, len(names))
	for _, n := range names {
		all = append(all, ranked{xxhash.Sum64String(t.self + "\x00" + n), n})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.name, b.name))
	})
	t.order = t.order[:0]
	known := make(map[string]bool, len(names))
	for _, r := range all {
		t.order = append(t.order, r.name)
		known[r.name] = true
	}
	for name := range t.peers {
		if !known[name] {
			delete(t.peers, name)
		}
	}
}

// Hints returns peers through which this host connects, for hosts that asked it in vain.
func (t *Table) Hints(now time.Time) []string {
	var out []string
	for _, name := range t.order {
		if p := t.peers[name]; p != nil && p.connects(now) && len(out) < maxHints {
			out = append(out, name)
		}
	}
	return out
}

// PeerReplied processes the reply of a peer that was asked to connect to an address.
func (t *Table) PeerReplied(now time.Time, addr, name string, r Reply) {
	p := t.peer(name)
	if r.Result != NoAnswer && r.Result != Unavailable && r.Result != Unsupported {
		p.room = r.Room
	}
	p.countVain(now, r.Result)
	p.unsupported = r.Result == Unsupported
	switch r.Result {
	case Connected:
		p.connectedAt, p.blockedUntil, p.slowUntil = now, time.Time{}, time.Time{}
		t.reachedAt, t.strandedAt = now, time.Time{}
		t.detourWorks(now, addr, name)
	case ReplicaRefused, ReplicaUnreachable:
		t.strandedAt = time.Time{} // the peer reaches others
		t.addVote(now, addr, vote{name, now, r.Result})
	case PeerCutOff:
		p.blockedUntil, p.hinted = now.Add(cutOffPause), false
		for _, h := range r.Hints {
			if h != t.self && slices.Contains(t.order, h) {
				t.peer(h).hinted = true
			}
		}
	case NoRoom:
		p.blockedUntil = now.Add(noRoomPause)
	case NoAnswer:
		p.slowUntil = now.Add(slowPause)
		t.addVote(now, addr, vote{name, now, r.Result})
	case Unavailable:
		p.blockedUntil = now.Add(unavailablePause)
	case Unsupported:
		p.blockedUntil = now.Add(unsupportedPause)
	}
}

// peer returns the state of a peer. If there are too many, the one that was blocked longest
// ago is dropped.
func (t *Table) peer(name string) *peerState {
	p := t.peers[name]
	if p != nil {
		return p
	}
	if len(t.peers) >= MaxPeers {
		oldest := ""
		for _, n := range slices.Sorted(maps.Keys(t.peers)) {
			if oldest == "" || t.peers[n].blockedUntil.Before(t.peers[oldest].blockedUntil) {
				oldest = n
			}
		}
		delete(t.peers, oldest)
	}
	p = &peerState{room: unknownRoom}
	t.peers[name] = p
	return p
}

// choosePeer returns the peer to ask next for an address, without those asked before; "" if
// there is none.
func (t *Table) choosePeer(now time.Time, addr string, asked []string) string {
	a := t.addresses[addr]
	allowed := func(name string, p *peerState) bool {
		return !slices.Contains(asked, name) && (p == nil || !now.Before(p.blockedUntil) && !now.Before(p.slowUntil)) && (a == nil || !a.voted(now, name))
	}
	connecting := func(p *peerState) bool { return p != nil && (p.hinted || p.connects(now)) }
	if a != nil && a.peer != "" && allowed(a.peer, t.peers[a.peer]) {
		return a.peer
	}
	c := candidates{}
	t.collect(&c, func(name string, p *peerState) bool { return connecting(p) && allowed(name, p) })
	if c.full() || c.count > 0 && t.rng.IntN(exploreOneIn) > 0 {
		return c.best
	}
	t.collect(&c, func(name string, p *peerState) bool { return !connecting(p) && allowed(name, p) })
	if c.count == 0 {
		t.collect(&c, func(name string, p *peerState) bool {
			return p != nil && p.lastResort(now) && !slices.Contains(asked, name) && (a == nil || !a.denied(now, name))
		})
	}
	return c.best
}

// candidates chooses the peer with the most room.
type candidates struct {
	best  string
	room  int
	count int
}

func (c *candidates) full() bool { return c.count >= candidateCount }

// collect adds the first peers for which accept returns true, until there are enough.
func (t *Table) collect(c *candidates, accept func(name string, p *peerState) bool) {
	for _, name := range t.order {
		if c.full() {
			return
		}
		p, room := t.peers[name], unknownRoom
		if !accept(name, p) {
			continue
		}
		if p != nil {
			room = p.room
		}
		if c.count == 0 || room > c.room {
			c.best, c.room = name, room
		}
		c.count++
	}
}

// exploreOneIn is how often, on average, a host that knows peers that connect asks another
// one.
const exploreOneIn = 4
