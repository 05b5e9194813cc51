package record

import (
	"container/list"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// The bounds of a Store.
const (
	storeShards = 32
	// MaxEntries bounds the entries kept of one request; further ones are
	// counted and dropped.
	MaxEntries = 256
	// entryOverhead is the size counted for an entry besides its strings.
	entryOverhead = 128
	// fieldOverhead is the size counted for a field or a candidate besides its
	// strings.
	fieldOverhead = 48
	// chunkEntries is the number of entries that a log makes room for at a time.
	chunkEntries = 8
	// logOverhead is the size counted for a log besides its id and entries.
	logOverhead = 256
)

// Store keeps the decision records of recent requests within a bound of bytes:
// when it is full, the requests that began first are forgotten first. It is
// sharded by request id, each shard under its own lock. Any number of
// goroutines may use one.
type Store struct {
	shards [storeShards]shard
}

// Stats says what a Store holds.
type Stats struct {
	Requests int    `json:"requests"`
	Bytes    int    `json:"bytes"`
	MaxBytes int    `json:"max_bytes"`
	Evicted  uint64 `json:"evicted"`
	// Dropped counts the entries that were over MaxEntries of their request.
	Dropped uint64 `json:"dropped_entries"`
}

type shard struct {
	mu      sync.Mutex
	logs    map[string]*list.Element // of *Log
	order   *list.List               // of *Log, oldest first
	bytes   int
	max     int
	evicted uint64
	dropped uint64
}

// Log is the record of one request. It implements Recorder; unlike what that
// demands, any number of goroutines may use one.
type Log struct {
	shard *shard
	id    string
	// chunks hold the entries in order. A chunk never grows: one slice would be
	// copied again and again and end up half empty.
	chunks  [][]Entry
	count   int
	bytes   int
	evicted bool
}

// NewStore returns a store that holds about maxBytes of records; the size of
// an entry is estimated from the lengths of its strings.
func NewStore(maxBytes int) *Store {
	s := &Store{}
	for i := range s.shards {
		s.shards[i] = shard{
			logs:  make(map[string]*list.Element),
			order: list.New(),
			max:   max(maxBytes/storeShards, 1),
		}
	}
	return s
}

// Begin returns the log of request id, made empty if the store has none.
func (s *Store) GetOrCreate(id string) *Log {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if el, ok := sh.logs[id]; ok {
		return el.Value.(*Log)
	}
	l := &Log{shard: sh, id: id, bytes: logOverhead + len(id)}
	sh.logs[id] = sh.order.PushBack(l)
	sh.bytes += l.bytes
	sh.trim()
	return l
}

// Get returns a copy of the entries of request id in the order in which they
// were added, and false when the store does not hold the request.
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

// Stats adds up what all shards hold.
func (s *Store) Stats() Stats {
	var st Stats
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		st.Requests += len(sh.logs)
		st.Bytes += sh.bytes
		st.MaxBytes += sh.max
		st.Evicted += sh.evicted
		st.Dropped += sh.dropped
		sh.mu.Unlock()
	}
	return st
}

func (s *Store) shard(id string) *shard {
	return &s.shards[xxhash.Sum64String(id)%storeShards]
}

// trim forgets the oldest logs until the shard is within its bound. The
// caller holds the lock.
func (sh *shard) trim() {
	for sh.bytes > sh.max && sh.order.Len() > 0 {
		l := sh.order.Remove(sh.order.Front()).(*Log)
		delete(sh.logs, l.id)
		sh.bytes -= l.bytes
		l.evicted = true
		sh.evicted++
	}
}

// Add implements Recorder. The entry's slices must not be changed afterwards.
// An entry for a request that the store has forgotten is dropped.
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
	n := size(e)
	l.push(e)
	l.bytes += n
	sh.bytes += n
	sh.trim()
}

// push adds an entry to the last chunk, or to a new one. The caller holds the
// shard's lock.
func (l *Log) push(e Entry) {
	if l.count%chunkEntries == 0 {
		l.chunks = append(l.chunks, make([]Entry, 0, chunkEntries))
	}
	last := &l.chunks[len(l.chunks)-1]
	*last = append(*last, e)
	l.count++
}

// ID returns the id of the request.
func (l *Log) ID() string { return l.id }

// size estimates the bytes that e takes in memory.
func size(e Entry) int {
	n := entryOverhead + len(e.Step) + len(e.Stage) + len(e.Outcome)
	for _, f := range e.Fields {
		n += fieldOverhead + len(f.Key) + len(f.Value)
	}
	for _, c := range e.Candidates {
		n += fieldOverhead + len(c.Upstream) + len(c.RefusalReason)
	}
	return n
}
