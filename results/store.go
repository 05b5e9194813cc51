// Package results keeps completed stages of requests at fellow daemons in
// other failure domains for as long as the requests' deadlines, so that a retry
// after a host's death resumes instead of doing the work again.
//
// A lost kept result costs work, never correctness: a retry then runs the
// repeatable stage again. Stages that may not be repeated are recorded by the
// claim holders instead (package claims).
package results

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies what a request asks for and how its stages are defined. A
// result is only ever given out for the same digest.
type Digest [32]byte

// Request identifies the request that results belong to.
type Request struct {
	Customer string
	Key      string
	Digest   Digest
}

// storeShards is the number of shards; a power of two.
const shardCount = 16

// Store holds results in bounded memory, in shards under their own locks. It
// is safe for concurrent use.
type Store struct {
	shards        [shardCount]shard
	maxShardBytes int
}

type shard struct {
	mu           sync.Mutex
	entries      map[Request]*entry
	bytes        int
	rejectedFull uint64
}

type entry struct {
	results map[string][]byte
	bytes   int
	expires time.Time
}

// requestOverhead is what a result takes beside its own bytes, rounded up from
// what BenchmarkMemory measures.
const resultOverheadBytes = 656

// NewStore returns a store that holds about maxBytes.
func NewStore(maxBytes int) *Store {
	s := &Store{maxShardBytes: maxBytes / shardCount}
	for i := range s.shards {
		s.shards[i].entries = make(map[Request]*entry)
	}
	return s
}

func (s *Store) shardOf(r Request) *shard {
	return &s.shards[xxhash.Sum64String(r.Customer+"\x00"+r.Key)%shardCount]
}

// Put keeps a result until the given time. It returns false when there is no
// room. The result must not be changed afterwards.
func (s *Store) Put(now time.Time, r Request, stage string, result []byte, until time.Time) bool {
	sh := s.shardOf(r)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	need := len(result) + resultOverheadBytes
	if sh.bytes+need > s.maxShardBytes {
		sh.expire(now)
	}
	if sh.bytes+need > s.maxShardBytes {
		sh.rejectedFull++
		return false
	}
	k, ok := sh.entries[r]
	if !ok {
		k = &entry{results: make(map[string][]byte)}
		sh.entries[r] = k
	}
	if old, ok := k.results[stage]; ok {
		need -= len(old) + resultOverheadBytes
	}
	k.results[stage] = result
	k.bytes += need
	sh.bytes += need
	if until.After(k.expires) {
		k.expires = until
	}
	return true
}

// Get returns the results kept for r by stage. They must not be changed.
func (s *Store) Get(now time.Time, r Request) map[string][]byte {
	sh := s.shardOf(r)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	k, ok := sh.entries[r]
	if !ok || !now.Before(k.expires) {
		return nil
	}
	out := make(map[string][]byte, len(k.results))
	for stage, result := range k.results {
		out[stage] = result
	}
	return out
}

// Expire forgets what is of no use any more. It is called every second or so.
func (s *Store) Expire(now time.Time) {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		sh.expire(now)
		sh.mu.Unlock()
	}
}

func (sh *shard) expire(now time.Time) {
	for r, k := range sh.entries {
		if !now.Before(k.expires) {
			sh.bytes -= k.bytes
			delete(sh.entries, r)
		}
	}
}

// Stats are the figures of a Store.
type Stats struct {
	Requests int `json:"requests"`
	Bytes    int `json:"bytes"`
	// Full counts results that were not kept for want of room.
	Full uint64 `json:"full"`
}

// Stats returns the store's figures.
func (s *Store) Stats() Stats {
	var st Stats
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		st.Requests += len(sh.entries)
		st.Bytes += sh.bytes
		st.Full += sh.rejectedFull
		sh.mu.Unlock()
	}
	return st
}
