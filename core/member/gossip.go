package member

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// itemKind is the type of a gossip item.
type itemKind uint8

const (
	kindRecord itemKind = iota + 1
	kindUpstream
	kindSlot
)

// itemKey identifies one gossip item. The content is looked up when it is sent.
type itemKey struct {
	kind itemKind
	name string
	slot SlotID
}

// gossipItem is a queued item and the number of times it was sent.
type gossipItem struct {
	key  itemKey
	sent int
}

// gossipQueue holds the items to send, those sent least often first. Each is
// sent a limited number of times; MemberSync delivers items that are missed.
type gossipQueue struct {
	queue []*gossipItem
	index map[itemKey]*gossipItem
}

// add queues an item, or resets its send count if it is queued already.
func (q *gossipQueue) add(k itemKey) {
	if old, ok := q.index[k]; ok {
		old.sent = 0
		return
	}
	item := &gossipItem{key: k}
	q.index[k] = item
	q.queue = append(q.queue, item)
}

// countDuplicate records that a peer already has the item, which counts as
// sending it once.
func (q *gossipQueue) countDuplicate(k itemKey) {
	if old, ok := q.index[k]; ok {
		old.sent++
	}
}

// setMinSent raises the send count of an item to at least sent.
func (q *gossipQueue) setMinSent(k itemKey, sent int) {
	if old, ok := q.index[k]; ok {
		old.sent = max(old.sent, sent)
	}
}

// selectItems calls tryAdd for the items in order until it returns false; each
// item added counts as sent. Items sent limit times leave the queue.
func (q *gossipQueue) selectItems(limit int, tryAdd func(itemKey) bool) {
	slices.SortStableFunc(q.queue, func(a, b *gossipItem) int { return cmp.Compare(a.sent, b.sent) })
	for _, item := range q.queue {
		if !tryAdd(item.key) {
			break
		}
		item.sent++
	}
	q.queue = slices.DeleteFunc(q.queue, func(item *gossipItem) bool {
		if item.sent >= limit {
			delete(q.index, item.key)
		}
		return item.sent >= limit
	})
}

func (q *gossipQueue) remove(k itemKey) {
	if _, ok := q.index[k]; !ok {
		return
	}
	delete(q.index, k)
	q.queue = slices.DeleteFunc(q.queue, func(item *gossipItem) bool { return item.key == k })
}

// minSends allows for lost messages in small fleets.
const minSends = 8

// maxSends returns the number of times one daemon sends one item in a fleet of n
// hosts.
func maxSends(n int) int { return max(minSends, bits.Len(uint(n))+2) }

// hashItem hashes the key and content of an item.
func hashItem(k itemKey, fields [4]uint64, value []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	var buf [8]byte
	buf[0] = byte(k.kind)
	binary.LittleEndian.PutUint32(buf[1:5], uint32(k.slot))
	_, _ = d.Write(buf[:5])
	_, _ = d.WriteString(k.name)
	for _, n := range fields {
		binary.LittleEndian.PutUint64(buf[:], n)
		_, _ = d.Write(buf[:])
	}
	_, _ = d.Write(value)
	return d.Sum64()
}
