package cluster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/core/member"
)

// SlotValue is the latest value of a slot received from another host.
type SlotValue struct {
	Host        string
	Incarnation uint64
	Value       []byte
	// ReceivedAt is when the value arrived.
	ReceivedAt time.Time
	// SentAt is the sender's wall clock time when it sent the value directly. It is
	// zero for a value of a fleet-wide slot, which peers relay and which may have
	// been in transit for seconds.
	SentAt time.Time
}

// maxSlotHosts bounds the number of hosts stored for one slot.
const maxSlotHosts = 4096

// slotTable holds the latest slot values of the other hosts.
type slotTable struct {
	mu   sync.RWMutex
	byID map[member.SlotID]map[string]SlotValue
}

// put stores a value, unless one from a later process of the same host is stored or
// the host is new and maxSlotHosts hosts have a value already.
func (t *slotTable) put(s member.SlotReceived, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = map[member.SlotID]map[string]SlotValue{}
	}
	hosts := t.byID[s.ID]
	if hosts == nil {
		hosts = map[string]SlotValue{}
		t.byID[s.ID] = hosts
	}
	old, known := hosts[s.Host]
	if known && old.Incarnation > s.Incarnation || !known && len(hosts) >= maxSlotHosts {
		return
	}
	v := SlotValue{Host: s.Host, Incarnation: s.Incarnation, Value: s.Value, ReceivedAt: now}
	if s.SentUnixMS != 0 {
		v.SentAt = time.UnixMilli(s.SentUnixMS)
	}
	hosts[s.Host] = v
}

// values returns the values of a slot, sorted by host.
func (t *slotTable) values(id member.SlotID) []SlotValue {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]SlotValue, 0, len(t.byID[id]))
	for _, v := range t.byID[id] {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b SlotValue) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// retain deletes the values of hosts that are no longer members.
func (t *slotTable) retain(members []member.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hosts := range t.byID {
		for host := range hosts {
			_, ok := slices.BinarySearchFunc(members, host, func(m member.Member, h string) int { return cmp.Compare(m.Host.Name, h) })
			if !ok {
				delete(hosts, host)
			}
		}
	}
}
