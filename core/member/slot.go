package member

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/wheatseam/wheatseam/wire"
)

// fleetSlot is one host's value of a fleet-wide slot.
type fleetSlot struct {
	wire *wire.FleetSlot
	hash uint64
}

// slotKey returns the item key of a fleet-wide slot of a host.
func slotKey(host string, id SlotID) itemKey { return itemKey{kind: kindSlot, name: host, slot: id} }

// handleSetSlot replaces this host's own value of a slot.
func (m *Machine) handleSetSlot(e SetSlot) {
	registered, ok := m.cfg.slotConfig(e.ID)
	if !ok || len(e.Value) > registered.MaxBytes {
		m.emit(Rejected{m.cfg.Self.Name, fmt.Sprintf("slot %d: value of %d bytes rejected; the limit is %d bytes, 0 if the slot is not registered", e.ID, len(e.Value), registered.MaxBytes)})
		return
	}
	value := slices.Clone(e.Value)
	if registered.FleetWide {
		m.lastSlotSeq++
		m.mergeSlot(&wire.FleetSlot{
			Host: m.cfg.Self.Name, Incarnation: m.self.incarnation, Id: uint32(e.ID), Seq: m.lastSlotSeq, Value: value,
		})
	} else {
		m.setDirectSlot(&wire.MemberSlot{Id: uint32(e.ID), Value: value})
	}
	if e.Urgent {
		m.push.request()
	}
}

// setDirectSlot replaces the value of a direct slot; messages already built keep
// the old one.
func (m *Machine) setDirectSlot(s *wire.MemberSlot) {
	for i, old := range m.directSlots {
		if old.GetId() == s.GetId() {
			m.directSlots[i] = s
			return
		}
	}
	m.directSlots = append(m.directSlots, s)
}

// handleDirectSlots delivers the sender's values of direct slots.
func (m *Machine) handleDirectSlots(from string, d *wire.MemberDigest, solicited bool) {
	for _, s := range d.GetSlots() {
		registered, ok := m.cfg.slotConfig(SlotID(s.GetId()))
		if !ok || registered.FleetWide || len(s.GetValue()) > registered.MaxBytes {
			continue // a slot of a later release, or an invalid value
		}
		m.emit(SlotReceived{
			ID: registered.ID, Host: from, Incarnation: d.GetSelf().GetIncarnation(), Value: s.GetValue(),
			Solicited: solicited, SentUnixMS: d.GetWallUnixMs(),
		})
	}
}

// mergeSlot merges a value of a fleet-wide slot and reports whether it was new.
func (m *Machine) mergeSlot(s *wire.FleetSlot) bool {
	id := SlotID(s.GetId())
	registered, ok := m.cfg.slotConfig(id)
	e := m.hosts[s.GetHost()]
	if !ok || !registered.FleetWide || e == nil || len(s.GetValue()) > registered.MaxBytes || s.GetIncarnation() < e.incarnation {
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
	m.stateHash ^= old.hash
	old.wire = s
	key := slotKey(s.GetHost(), id)
	old.hash = hashItem(key, [4]uint64{s.GetIncarnation(), s.GetSeq()}, s.GetValue())
	m.stateHash ^= old.hash
	m.gossip.add(key)
	if e != m.self {
		m.emit(SlotReceived{ID: id, Host: s.GetHost(), Incarnation: s.GetIncarnation(), Value: s.GetValue()})
	}
	return true
}

// fleetSlot returns the stored value of a host's fleet-wide slot, or nil.
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

// removeStaleSlots removes the values of a host's earlier incarnations.
func (m *Machine) removeStaleSlots(e *hostEntry) {
	e.slots = slices.DeleteFunc(e.slots, func(s *fleetSlot) bool {
		stale := s.wire.GetIncarnation() < e.incarnation
		if stale {
			m.stateHash ^= s.hash
			m.gossip.remove(slotKey(e.host.Name, SlotID(s.wire.GetId())))
		}
		return stale
	})
}
