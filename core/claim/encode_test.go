package claim

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// code builds the compact form of a state.
type code struct{ b []byte }

func (c *code) num(vs ...uint64) {
	for _, v := range vs {
		c.b = binary.AppendUvarint(c.b, v)
	}
}

func (c *code) flag(vs ...bool) {
	for _, v := range vs {
		if v {
			c.b = append(c.b, 1)
		} else {
			c.b = append(c.b, 0)
		}
	}
}

func (c *code) text(s string) {
	c.num(uint64(len(s)))
	c.b = append(c.b, s...)
}

func (c *code) owner(o Owner) {
	c.text(o.Request)
	c.num(o.Incarnation)
}

func (c *code) record(r *Record) {
	if r == nil {
		c.num(0)
		return
	}
	c.num(1, uint64(r.Digest[0]), uint64(r.Result[0]))
}

func (c *code) ack(a Ack) {
	c.num(a.Incarnation)
	for _, x := range a.Adopted {
		c.num(x.Epoch, uint64(x.At.Sub(base)))
	}
}

func (c *code) status(s Status) {
	c.text(s.Host)
	c.ack(s.Ack)
	c.flag(s.Synced)
	c.incarnations(s.Incarnations)
	c.acks(s.Relayed)
}

func (c *code) incarnations(m map[string]uint64) {
	for _, h := range slices.Sorted(maps.Keys(m)) {
		c.text(h)
		c.num(m[h])
	}
}

func (c *code) acks(m map[string]Ack) {
	for _, h := range slices.Sorted(maps.Keys(m)) {
		c.text(h)
		c.ack(m[h])
	}
}

func encodeMessage(m message) string {
	var c code
	c.num(uint64(m.to), uint64(m.owner))
	switch p := m.payload.(type) {
	case Acquire:
		c.num(1, uint64(p.Round), p.Epoch)
	case Release:
		c.num(2, uint64(p.Round))
	case Store:
		c.num(3)
	case Void:
		c.num(5, p.Epoch)
	case Reply:
		c.num(4)
		c.reply(p)
	case Status:
		c.num(6)
		c.status(p)
	}
	return string(c.b)
}

func (c *code) reply(r Reply) {
	c.text(r.Holder)
	c.num(r.Incarnation, uint64(r.Verdict), uint64(r.Round), r.Epoch, uint64(r.Digest[0]))
	c.owner(r.Owner)
	c.record(r.Record)
}

// hash returns a 64-bit hash of everything that decides what can follow.
func (w *world) hash(c *code) uint64 {
	c.b = c.b[:0]
	c.num(uint64(w.clock), uint64(w.restarts), uint64(w.duplicates), uint64(w.failures), uint64(w.statuses))
	for i := range w.nodes {
		n := &w.nodes[i]
		if n.holderHash == 0 {
			n.holderHash = n.hashHolder()
		}
		if n.viewsHash == 0 {
			n.viewsHash = n.hashViews(w.key())
		}
		c.num(n.incarnation, n.holderHash, n.viewsHash)
	}
	for _, a := range w.attempts {
		c.attempt(a)
	}
	for _, m := range w.net {
		c.text(m.code)
	}
	return xxhash.Sum64(c.b)
}

// The hashes of a node's parts are kept until the part is written to.

func (n *node) hashHolder() uint64 {
	var c code
	h := n.holder
	c.num(uint64(h.started.Sub(base)), uint64(h.forgotten), uint64(len(h.entries)))
	for _, e := range h.entries {
		c.flag(e.held, !e.voided.IsZero())
		c.owner(e.owner)
		c.num(uint64(e.round), uint64(e.digest[0]), uint64(len(e.released)))
		c.record(e.record)
		for _, r := range e.released {
			c.owner(r.owner)
			c.num(uint64(r.round))
		}
	}
	return xxhash.Sum64(c.b)
}

func (n *node) hashViews(key Key) uint64 {
	var c code
	v := n.views
	c.num(v.Epoch())
	c.flag(v.synced, v.clockOff)
	if n.frozen { // Only what a claim asks of it matters now.
		for _, q := range v.Quorums(key) {
			c.num(q.Epoch)
		}
		return xxhash.Sum64(c.b)
	}
	c.ack(v.ack())
	c.acks(v.acks)
	c.incarnations(v.incarnations)
	if v.synced { // What was answered is not looked at any more.
		return xxhash.Sum64(c.b)
	}
	for _, host := range slices.Sorted(maps.Keys(v.answered)) {
		c.text(host)
		c.num(v.answered[host].epoch())
		c.flag(v.answered[host].Synced)
	}
	return xxhash.Sum64(c.b)
}

func (c *code) attempt(a attempt) {
	c.num(uint64(a.voided))
	c.flag(a.claim != nil, a.dead, a.sent, a.sentBefore, a.notRun, a.stored)
	if a.claim == nil || a.dead {
		return
	}
	cl := a.claim
	c.num(uint64(cl.phase), uint64(cl.round), cl.cfg.Epoch, uint64(len(cl.cfg.Quorums)))
	c.owner(cl.lastOwner)
	for _, s := range cl.slots {
		c.flag(s.failed, s.stored)
		c.num(uint64(s.verdict), s.incarnation, uint64(s.digest[0]))
		c.owner(s.owner)
		c.record(s.record)
	}
}
