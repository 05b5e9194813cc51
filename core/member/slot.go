package member

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/wheatseam/wheatseam/wire"
)

// fleetSlot is one host's value of one fleet extension.
type fleetSlot struct {
	wire *wire.FleetSlot
	hash uint64
}

// slotKey names a fleet slot among the items.
func slotKey(host string, id SlotID) itemKey { return itemKey{kind: kindSlot, name: host, slot: id} }

// setSlot replaces this host's own value.
func (m *Machine) setSlot(e SetSlot) {
	ext, ok := m.cfg.extension(e.ID)
	if !ok || len(e.Value) > ext.MaxBytes {
		m.act(Rejected{m.cfg.Self.Name, fmt.Sprintf("slot %d: %d bytes, %d allowed", e.ID, len(e.Value), ext.MaxBytes)})
		return
	}
	value := slices.Clone(e.Value)
	if ext.FleetWide {
		m.slotSeq++
		m.mergeSlot(&wire.FleetSlot{
			Host: m.cfg.Self.Name, Incarnation: m.self.incarnation, Id: uint32(e.ID), Seq: m.slotSeq, Value: value,
		})
	} else {
		m.setDirect(&wire.MemberSlot{Id: uint32(e.ID), Value: value})
	}
	if e.Urgent {
		m.push.urgent()
	}
}

// setDirect replaces a direct value; messages already built keep the old one.
func (m *Machine) setDirect(s *wire.MemberSlot) {
	for i, old := range m.direct {
		if old.GetId() == s.GetId() {
			m.direct[i] = s
			return
		}
	}
	m.direct = append(m.direct, s)
}

// slotsHeard hands over the sender's direct values.
func (m *Machine) slotsHeard(from string, d *wire.MemberDigest, solicited bool) {
	for _, s := range d.GetSlots() {
		ext, ok := m.cfg.extension(SlotID(s.GetId()))
		if !ok || ext.FleetWide || len(s.GetValue()) > ext.MaxBytes {
			continue // a later release's extension, or a faulty one
		}
		m.act(SlotReceived{
			ID: ext.ID, Host: from, Incarnation: d.GetSelf().GetIncarnation(), Value: s.GetValue(),
			Solicited: solicited, SentUnixMS: d.GetWallUnixMs(),
		})
	}
}

// mergeSlot takes a fleet value and reports whether it was news.
func (m *Machine) mergeSlot(s *wire.FleetSlot) bool {
	id := SlotID(s.GetId())
	ext, ok := m.cfg.extension(id)
	e := m.hosts[s.GetHost()]
	if !ok || !ext.FleetWide || e == nil || len(s.GetValue()) > ext.MaxBytes || s.GetIncarnation() < e.incarnation {
		return false
	}
	if e == m.self && s.GetIncarnation() != e.incarnation {
		return false
	}
	old := m.fleetSlot(s.GetHost(), id)
	if old != nil && cmp.Or(cmp.Compare(s.GetIncarnation(), old.wire.GetIncarnation()), cmp.Compare(s.GetSeq(), old.wire.GetSeq())) <= 0 {
		return false
	}
	if old == nil {
		old = &fleetSlot{}
		e.slots = append(e.slots, old)
	}
	m.hash ^= old.hash
	old.wire = s
	key := slotKey(s.GetHost(), id)
	old.hash = hashItem(key, [4]uint64{s.GetIncarnation(), s.GetSeq()}, s.GetValue())
	m.hash ^= old.hash
	m.rumors.add(key)
	if e != m.self {
		m.act(SlotReceived{ID: id, Host: s.GetHost(), Incarnation: s.GetIncarnation(), Value: s.GetValue()})
	}
	return true
}

// fleetSlot returns the value held for a host, or nil.
func (m *Machine) fleetSlot(host string, id SlotID) *fleetSlot {
	e := m.hosts[host]
	if e == nil {
		return nil
	}
	for _, s := range e.slots {
		if SlotID(s.wire.GetId()) == id {
			return s
		}
	}
	return nil
}

// dropOldSlots drops the values of a host's earlier incarnations.
func (m *Machine) dropOldSlots(e *entry) {
	e.slots = slices.DeleteFunc(e.slots, func(s *fleetSlot) bool {
		old := s.wire.GetIncarnation() < e.incarnation
		if old {
			m.hash ^= s.hash
			m.rumors.drop(slotKey(e.host.Name, SlotID(s.wire.GetId())))
		}
		return old
	})
}
