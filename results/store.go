// Package results keeps the results of completed stages at peer daemons in other
// failure domains for as long as the requests' deadlines allow, so that a retry
// after a host failure resumes instead of running the stages again.
//
// Losing a kept result costs work but never correctness: a retry then runs the
// repeatable stage again. The results of non-repeatable stages are recorded by
// the claim holders instead (package claims).
package results

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies the input of a request and the definitions of its stages. A
// result is only returned for the same digest.
type Digest [32]byte

// Request identifies the request that results belong to.
type Request struct {
	Customer string
	Key      string
	Digest   Digest
}

// shardCount is the number of shards, a power of two.
const shardCount = 16

// Store holds results in bounded memory. It is sharded, with one lock per shard,
// and safe for concurrent use.
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

// resultOverheadBytes is the memory that a stored result takes beyond its own bytes
// (key, map entries and slice header), rounded up from what BenchmarkMemory measures.
const resultOverheadBytes = 656

// NewStore returns a store that holds up to about maxBytes, overhead included.
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

// Put stores a result until the given time. It returns false if there is not enough
// free memory. The caller must not modify the result afterwards.
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

// Get returns the results stored for r by stage. The caller must not modify them.
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

// Expire removes the expired results. It should be called about once a second.
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

// Stats holds the counters of a Store. Bytes includes the overhead per result.
type Stats struct {
	Requests int `json:"requests"`
	Bytes    int `json:"bytes"`
	// Rejected is the number of results that were not stored for lack of free memory.
	Rejected uint64 `json:"full"`
}

// Stats returns the sum of the shards' counters.
func (s *Store) Stats() Stats {
	var st Stats
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		st.Requests += len(sh.entries)
		st.Bytes += sh.bytes
		st.Rejected += sh.rejectedFull
		sh.mu.Unlock()
	}
	return st
}
