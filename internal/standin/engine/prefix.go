package engine

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A token is taken to be four bytes of text.
const (
	bytesPerToken  = 4
	tokensPerBlock = 16
	bytesPerBlock  = bytesPerToken * tokensPerBlock
)

func tokensOf(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// blocksOf returns the hashes of the full blocks of text; each hash covers all
// blocks before it too.
func blocksOf(text string) []uint64 {
	blocks := make([]uint64, 0, len(text)/bytesPerBlock)
	var chained [8 + bytesPerBlock]byte
	var previous uint64
	for ; len(text) >= bytesPerBlock; text = text[bytesPerBlock:] {
		binary.LittleEndian.PutUint64(chained[:], previous)
		copy(chained[8:], text[:bytesPerBlock])
		previous = xxhash.Sum64(chained[:])
		blocks = append(blocks, previous)
	}
	return blocks
}

// prefixCache keeps prompt blocks, the least recently used evicted first. It is
// not safe for concurrent use.
type prefixCache struct {
	capacity int
	recent   *list.List
	blocks   map[uint64]*list.Element
	changed  func(kind EventKind, block uint64)
}

func newPrefixCache(capacity int, changed func(EventKind, uint64)) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		recent:   list.New(),
		blocks:   map[uint64]*list.Element{},
		changed:  changed,
	}
}

func (c *prefixCache) len() int { return len(c.blocks) }

// match returns how many of the first blocks are cached, and marks them used.
func (c *prefixCache) match(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.blocks[blocks[n]] != nil {
		n++
	}
	c.touch(blocks[:n])
	return n
}

// store adds blocks and evicts others while the cache is over its capacity.
func (c *prefixCache) store(blocks []uint64) {
	for _, b := range blocks {
		if c.blocks[b] == nil {
			c.blocks[b] = c.recent.PushFront(b)
			c.changed(EventStored, b)
		}
	}
	c.touch(blocks)
	c.evict()
}

// resize changes the capacity and evicts what is over it.
func (c *prefixCache) resize(capacity int) {
	c.capacity = capacity
	c.evict()
}

// touch marks blocks used, the first ones most recently: a block is of no use
// without those before it.
func (c *prefixCache) touch(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.recent.MoveToFront(c.blocks[blocks[i]])
	}
}

func (c *prefixCache) evict() {
	for len(c.blocks) > max(0, c.capacity) {
		b := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.blocks, b)
		c.changed(EventRemoved, b)
	}
}
