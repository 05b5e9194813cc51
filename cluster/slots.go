package cluster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/core/member"
)

// SlotValue is another host's last heard value of an extension.
type SlotValue struct {
	Host        string
	Incarnation uint64
	Value       []byte
	// At is when the value arrived.
	ReceivedAt time.Time
	// SentAt is the sender's clock when it sent a direct value; the zero time
	// for a fleet value, which may have been on its way for seconds.
	SentAt time.Time
}

// maxSlotHosts bounds the hosts kept for one extension.
const maxSlotHosts = 4096

// slotTable holds the values of the extensions.
type slotTable struct {
	mu   sync.RWMutex
	byID map[member.SlotID]map[string]SlotValue
}

// put keeps a value unless a later process's is known.
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

// values returns the values of an extension, sorted by host.
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

// retain drops the values of hosts that are not members any more.
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
