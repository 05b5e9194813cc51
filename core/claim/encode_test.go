package claim

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// encoder builds the compact encoding of a state.
type encoder struct{ buf []byte }

func (c *encoder) uvarint(vs ...uint64) {
	for _, v := range vs {
		c.buf = binary.AppendUvarint(c.buf, v)
	}
}

func (c *encoder) bool(vs ...bool) {
	for _, v := range vs {
		if v {
			c.buf = append(c.buf, 1)
		} else {
			c.buf = append(c.buf, 0)
		}
	}
}

func (c *encoder) string(s string) {
	c.uvarint(uint64(len(s)))
	c.buf = append(c.buf, s...)
}

func (c *encoder) owner(o Owner) {
	c.string(o.Request)
	c.uvarint(o.Incarnation)
}

func (c *encoder) record(r *Record) {
	if r == nil {
		c.uvarint(0)
		return
	}
	c.uvarint(1, uint64(r.Digest[0]), uint64(r.Result[0]))
}

func (c *encoder) ack(a Ack) {
	c.uvarint(a.Incarnation)
	for _, x := range a.Adopted {
		c.uvarint(x.Epoch, uint64(x.At.Sub(baseTime)))
	}
}

func (c *encoder) status(s Status) {
	c.string(s.Host)
	c.ack(s.Ack)
	c.bool(s.Synced)
	c.incarnations(s.Incarnations)
	c.acks(s.Relayed)
}

func (c *encoder) incarnations(m map[string]uint64) {
	for _, h := range slices.Sorted(maps.Keys(m)) {
		c.string(h)
		c.uvarint(m[h])
	}
}

func (c *encoder) acks(m map[string]Ack) {
	for _, h := range slices.Sorted(maps.Keys(m)) {
		c.string(h)
		c.ack(m[h])
	}
}

func encodeMessage(m message) string {
	var c encoder
	c.uvarint(uint64(m.to), uint64(m.attempt))
	switch p := m.payload.(type) {
	case Acquire:
		c.uvarint(1, uint64(p.Round), p.Epoch)
	case Release:
		c.uvarint(2, uint64(p.Round))
	case Store:
		c.uvarint(3)
	case Void:
		c.uvarint(5, p.Epoch)
	case Reply:
		c.uvarint(4)
		c.reply(p)
	case Status:
		c.uvarint(6)
		c.status(p)
	}
	return string(c.buf)
}

func (c *encoder) reply(r Reply) {
	c.string(r.Holder)
	c.uvarint(r.Incarnation, uint64(r.Verdict), uint64(r.Round), r.Epoch, uint64(r.Digest[0]))
	c.owner(r.Owner)
	c.record(r.Record)
}

// hash returns a 64-bit hash of everything that determines the successor states.
func (st *systemState) hash(c *encoder) uint64 {
	c.buf = c.buf[:0]
	c.uvarint(uint64(st.clock), uint64(st.restarts), uint64(st.duplicates), uint64(st.failures), uint64(st.statuses))
	for i := range st.nodes {
		n := &st.nodes[i]
		if n.holderHash == 0 {
			n.holderHash = n.hashHolder()
		}
		if n.viewsHash == 0 {
			n.viewsHash = n.hashViews(st.key())
		}
		c.uvarint(n.incarnation, n.holderHash, n.viewsHash)
	}
	for _, a := range st.attempts {
		c.attempt(a)
	}
	for _, m := range st.network {
		c.string(m.encoded)
	}
	return xxhash.Sum64(c.buf)
}

// The hashes of a node's holder and views are cached until these are written.

func (n *node) hashHolder() uint64 {
	var c encoder
	h := n.holder
	c.uvarint(uint64(h.started.Sub(baseTime)), uint64(h.evictedBefore), uint64(len(h.entries)))
	for _, e := range h.entries {
		c.bool(e.claimed, !e.voidedUntil.IsZero())
		c.owner(e.owner)
		c.uvarint(uint64(e.round), uint64(e.digest[0]), uint64(len(e.released)))
		c.record(e.record)
		for _, r := range e.released {
			c.owner(r.owner)
			c.uvarint(uint64(r.round))
		}
	}
	return xxhash.Sum64(c.buf)
}

func (n *node) hashViews(key Key) uint64 {
	var c encoder
	v := n.views
	c.uvarint(v.Epoch())
	c.bool(v.synced, v.clockSkewed)
	if n.viewsFixed { // Only the result of Quorums still matters.
		for _, q := range v.Quorums(key) {
			c.uvarint(q.Epoch)
		}
		return xxhash.Sum64(c.buf)
	}
	c.ack(v.ack())
	c.acks(v.acks)
	c.incarnations(v.incarnations)
	if v.synced { // The peer statuses are no longer read.
		return xxhash.Sum64(c.buf)
	}
	for _, host := range slices.Sorted(maps.Keys(v.peerStatuses)) {
		c.string(host)
		c.uvarint(v.peerStatuses[host].epoch())
		c.bool(v.peerStatuses[host].Synced)
	}
	return xxhash.Sum64(c.buf)
}

func (c *encoder) attempt(a attempt) {
	c.uvarint(uint64(a.voided))
	c.bool(a.claim != nil, a.stopped, a.sent, a.sentBefore, a.notRun, a.stored)
	if a.claim == nil || a.stopped {
		return
	}
	cl := a.claim
	c.uvarint(uint64(cl.phase), uint64(cl.round), cl.cfg.Epoch, uint64(len(cl.cfg.Quorums)))
	c.owner(cl.lastOwner)
	for _, s := range cl.holders {
		c.bool(s.failed, s.stored)
		c.uvarint(uint64(s.verdict), s.incarnation, uint64(s.digest[0]))
		c.owner(s.owner)
		c.record(s.record)
	}
}
