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
const storeShards = 16

// Store holds results in bounded memory, in shards under their own locks. It
// is safe for concurrent use.
type Store struct {
	shards   [storeShards]storeShard
	maxBytes int
}

type storeShard struct {
	mu       sync.Mutex
	requests map[Request]*kept
	bytes    int
	full     uint64
}

type kept struct {
	stages map[string][]byte
	bytes  int
	until  time.Time
}

// requestOverhead is what a result takes beside its own bytes, rounded up from
// what BenchmarkMemory measures.
const requestOverhead = 656

// NewStore returns a store that holds about maxBytes.
func NewStore(maxBytes int) *Store {
	s := &Store{maxBytes: maxBytes / storeShards}
	for i := range s.shards {
		s.shards[i].requests = make(map[Request]*kept)
	}
	return s
}

func (s *Store) shard(r Request) *storeShard {
	return &s.shards[xxhash.Sum64String(r.Customer+"\x00"+r.Key)%storeShards]
}

// Put keeps a result until the given time. It returns false when there is no
// room. The result must not be changed afterwards.
func (s *Store) Put(now time.Time, r Request, stage string, result []byte, until time.Time) bool {
	sh := s.shard(r)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	need := len(result) + requestOverhead
	if sh.bytes+need > s.maxBytes {
		sh.expire(now)
	}
	if sh.bytes+need > s.maxBytes {
		sh.full++
		return false
	}
	k, ok := sh.requests[r]
	if !ok {
		k = &kept{stages: make(map[string][]byte)}
		sh.requests[r] = k
	}
	if old, ok := k.stages[stage]; ok {
		need -= len(old) + requestOverhead
	}
	k.stages[stage] = result
	k.bytes += need
	sh.bytes += need
	if until.After(k.until) {
		k.until = until
	}
	return true
}

// Get returns the results kept for r by stage. They must not be changed.
func (s *Store) Get(now time.Time, r Request) map[string][]byte {
	sh := s.shard(r)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	k, ok := sh.requests[r]
	if !ok || !now.Before(k.until) {
		return nil
	}
	out := make(map[string][]byte, len(k.stages))
	for stage, result := range k.stages {
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

func (sh *storeShard) expire(now time.Time) {
	for r, k := range sh.requests {
		if !now.Before(k.until) {
			sh.bytes -= k.bytes
			delete(sh.requests, r)
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
		st.Requests += len(sh.requests)
		st.Bytes += sh.bytes
		st.Full += sh.full
		sh.mu.Unlock()
	}
	return st
}
