package record

import (
	"container/list"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Limits of a Store and the size estimates that it uses.
const (
	shardCount = 32
	// MaxEntries is the maximum number of entries kept for one request. Further
	// entries are dropped and counted.
	MaxEntries = 256
	// entryOverhead is the estimated size of an entry without its strings, in bytes.
	entryOverhead = 128
	// fieldOverhead is the estimated size of a field or a candidate without its
	// strings, in bytes.
	fieldOverhead = 48
	// entriesPerChunk is the number of entries for which a Log allocates memory at
	// once.
	entriesPerChunk = 8
	// logOverhead is the estimated size of a Log without its ID and entries, in
	// bytes.
	logOverhead = 256
)

// Store keeps the decision records of recent requests within a memory limit. Each
// shard evicts the records of its oldest requests when it is full. Requests are
// assigned to shards by the hash of their ID, and each shard has its own lock. A
// Store is safe for concurrent use.
type Store struct {
	shards [shardCount]shard
}

// Stats describes the contents of a Store.
type Stats struct {
	Requests int    `json:"requests"`
	Bytes    int    `json:"bytes"`
	MaxBytes int    `json:"max_bytes"`
	Evicted  uint64 `json:"evicted"`
	// Dropped counts the entries that were dropped because their request already
	// had MaxEntries entries.
	Dropped uint64 `json:"dropped_entries"`
}

type shard struct {
	mu       sync.Mutex
	logs     map[string]*list.Element // of *Log
	byAge    *list.List               // of *Log, oldest first
	bytes    int
	maxBytes int
	evicted  uint64
	dropped  uint64
}

// Log is the record of one request. It implements Recorder and, beyond what that
// interface requires, is safe for concurrent use.
type Log struct {
	shard *shard
	id    string
	// chunks hold the entries in order. A chunk never grows beyond its capacity,
	// since a single growing slice would be copied repeatedly and end up half empty.
	chunks  [][]Entry
	count   int
	bytes   int
	evicted bool
}

// NewStore returns a store that holds about maxBytes of records. The size of an
// entry is estimated from the lengths of its strings.
func NewStore(maxBytes int) *Store {
	s := &Store{}
	for i := range s.shards {
		s.shards[i] = shard{
			logs:     make(map[string]*list.Element),
			byAge:    list.New(),
			maxBytes: max(maxBytes/shardCount, 1),
		}
	}
	return s
}

// GetOrCreate returns the Log of the request with the given ID and creates an empty
// one if the store has none.
func (s *Store) GetOrCreate(id string) *Log {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if el, ok := sh.logs[id]; ok {
		return el.Value.(*Log)
	}
	l := &Log{shard: sh, id: id, bytes: logOverhead + len(id)}
	sh.logs[id] = sh.byAge.PushBack(l)
	sh.bytes += l.bytes
	sh.evict()
	return l
}

// Get returns a copy of the entries of the request with the given ID in the order
// in which they were added. It returns false if the store has no such request.
func (s *Store) Get(id string) ([]Entry, bool) {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	el, ok := sh.logs[id]
	if !ok {
		return nil, false
	}
	return slices.Concat(el.Value.(*Log).chunks...), true
}

// Stats returns the sums over all shards.
func (s *Store) Stats() Stats {
	var stats Stats
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		stats.Requests += len(sh.logs)
		stats.Bytes += sh.bytes
		stats.MaxBytes += sh.maxBytes
		stats.Evicted += sh.evicted
		stats.Dropped += sh.dropped
		sh.mu.Unlock()
	}
	return stats
}

func (s *Store) shard(id string) *shard {
	return &s.shards[xxhash.Sum64String(id)%shardCount]
}

// evict removes the oldest logs until the shard is within its memory limit. The
// caller must hold the lock.
func (sh *shard) evict() {
	for sh.bytes > sh.maxBytes && sh.byAge.Len() > 0 {
		l := sh.byAge.Remove(sh.byAge.Front()).(*Log)
		delete(sh.logs, l.id)
		sh.bytes -= l.bytes
		l.evicted = true
		sh.evicted++
	}
}

// Add implements Recorder. The caller must not modify the slices of the entry
// afterwards. An entry for a request that the store has evicted is discarded.
func (l *Log) Add(e Entry) {
	sh := l.shard
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if l.evicted {
		return
	}
	if l.count >= MaxEntries {
		sh.dropped++
		return
	}
	n := entrySize(e)
	l.appendEntry(e)
	l.bytes += n
	sh.bytes += n
	sh.evict()
}

// appendEntry adds an entry to the last chunk, or to a new chunk if the last one is
// full. The caller must hold the shard's lock.
func (l *Log) appendEntry(e Entry) {
	if l.count%entriesPerChunk == 0 {
		l.chunks = append(l.chunks, make([]Entry, 0, entriesPerChunk))
	}
	last := &l.chunks[len(l.chunks)-1]
	*last = append(*last, e)
	l.count++
}

// ID returns the ID of the request.
func (l *Log) ID() string { return l.id }

// entrySize estimates the memory that e takes, in bytes.
func entrySize(e Entry) int {
	n := entryOverhead + len(e.Step) + len(e.Stage) + len(e.Outcome)
	for _, f := range e.Fields {
		n += fieldOverhead + len(f.Key) + len(f.Value)
	}
	for _, c := range e.Candidates {
		n += fieldOverhead + len(c.Upstream) + len(c.RefusalReason)
	}
	return n
}
