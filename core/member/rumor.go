package member

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// itemKind tells the spreading items apart.
type itemKind uint8

const (
	kindRecord itemKind = iota + 1
	kindUpstream
	kindSlot
)

// itemKey names one spreading item; its content is looked up when sent.
type itemKey struct {
	kind itemKind
	name string
	slot SlotID
}

// rumor is an item on its way through the fleet.
type rumor struct {
	key  itemKey
	sent int
}

// rumors is the queue of items to pass on, the least sent first. Each is sent
// a bounded number of times; MemberSync repairs what this misses.
type rumors struct {
	queue []*rumor
	index map[itemKey]*rumor
}

// add queues an item anew.
func (r *rumors) add(k itemKey) {
	if old, ok := r.index[k]; ok {
		old.sent = 0
		return
	}
	n := &rumor{key: k}
	r.index[k] = n
	r.queue = append(r.queue, n)
}

// seen notes that a peer already knew the item, which counts as one sending.
func (r *rumors) seen(k itemKey) {
	if old, ok := r.index[k]; ok {
		old.sent++
	}
}

// shorten counts an item as already sent that many times.
func (r *rumors) shorten(k itemKey, sent int) {
	if old, ok := r.index[k]; ok {
		old.sent = max(old.sent, sent)
	}
}

// take calls fit for the items in turn; an item that fits counts as sent.
// Items sent limit times leave the queue.
func (r *rumors) take(limit int, fit func(itemKey) bool) {
	slices.SortStableFunc(r.queue, func(a, b *rumor) int { return cmp.Compare(a.sent, b.sent) })
	for _, x := range r.queue {
		if !fit(x.key) {
			break
		}
		x.sent++
	}
	r.queue = slices.DeleteFunc(r.queue, func(x *rumor) bool {
		if x.sent >= limit {
			delete(r.index, x.key)
		}
		return x.sent >= limit
	})
}

// drop removes an item.
func (r *rumors) drop(k itemKey) {
	if _, ok := r.index[k]; !ok {
		return
	}
	delete(r.index, k)
	r.queue = slices.DeleteFunc(r.queue, func(x *rumor) bool { return x.key == k })
}

// minRumorSends leaves room for lost messages in small fleets.
const minRumorSends = 8

// rumorLimit is the number of times one daemon sends one item in a fleet of n.
func rumorLimit(n int) int { return max(minRumorSends, bits.Len(uint(n))+2) }

// hashItem hashes the identity and content of an item.
func hashItem(k itemKey, numbers [4]uint64, value []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	var buf [8]byte
	buf[0] = byte(k.kind)
	binary.LittleEndian.PutUint32(buf[1:5], uint32(k.slot))
	_, _ = d.Write(buf[:5])
	_, _ = d.WriteString(k.name)
	for _, n := range numbers {
		binary.LittleEndian.PutUint64(buf[:], n)
		_, _ = d.Write(buf[:])
	}
	_, _ = d.Write(value)
	return d.Sum64()
}
