package engine

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Text is divided into tokens of four bytes each.
const (
	bytesPerToken  = 4
	tokensPerBlock = 16
	bytesPerBlock  = bytesPerToken * tokensPerBlock
)

func countTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// hashBlocks returns the hashes of the full blocks of text. Each hash also covers
// all blocks before its own.
func hashBlocks(text string) []uint64 {
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

// prefixCache is an LRU cache of prompt blocks. It is not safe for concurrent use.
type prefixCache struct {
	capacity int
	lru      *list.List
	blocks   map[uint64]*list.Element
	onChange func(kind EventKind, block uint64)
}

func newPrefixCache(capacity int, onChange func(EventKind, uint64)) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		lru:      list.New(),
		blocks:   map[uint64]*list.Element{},
		onChange: onChange,
	}
}

func (c *prefixCache) len() int { return len(c.blocks) }

// match returns the length of the prefix of blocks that is cached, in blocks, and
// marks these blocks as used.
func (c *prefixCache) match(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.blocks[blocks[n]] != nil {
		n++
	}
	c.markUsed(blocks[:n])
	return n
}

// store adds blocks and evicts others while the cache exceeds its capacity.
func (c *prefixCache) store(blocks []uint64) {
	for _, b := range blocks {
		if c.blocks[b] == nil {
			c.blocks[b] = c.lru.PushFront(b)
			c.onChange(EventStored, b)
		}
	}
	c.markUsed(blocks)
	c.evict()
}

// resize changes the capacity and evicts the blocks that exceed it.
func (c *prefixCache) resize(capacity int) {
	c.capacity = capacity
	c.evict()
}

// markUsed marks blocks as used, the first block as the most recent one: a block
// cannot be used without those before it, so it must be evicted before them.
func (c *prefixCache) markUsed(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.lru.MoveToFront(c.blocks[blocks[i]])
	}
}

func (c *prefixCache) evict() {
	for len(c.blocks) > max(0, c.capacity) {
		b := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, b)
		c.onChange(EventRemoved, b)
	}
}
