package site

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store as encoded on the wire.
type item struct {
	Key       string `json:"key"`
	Data      []byte `json:"data,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is a fake of the platform's metadata store. It is safe for concurrent use.
type Store struct {
	// PageSize limits the number of entries in a list response. Default: 50.
	PageSize int
	// Retention is for how long changes are kept; watches from before get status 410.
	// Default: 20 s.
	Retention time.Duration

	mu         sync.Mutex
	items      map[string]item
	revision   uint64
	failStatus int
	delay      time.Duration
	calls      int
	// tombstones has the deleted keys. changed is closed by every write.
	tombstones map[string]item
	changed    chan struct{}
	// log has the retained changes in the order of their revisions.
	log []change
	// compactedRevision is the revision up to which changes are no longer retained.
	compactedRevision uint64
	// era counts the restores; every answer names it. restoredTo is the revision of the last one.
	era, restoredTo uint64
}

// change is a write or a deletion, and when it was made.
type change struct {
	item
	at time.Time
}

// defaultRetention is the Retention of a new store.
const defaultRetention = 20 * time.Second

// Snapshot is a copy of a store's content.
type Snapshot struct {
	items, tombstones           map[string]item
	log                         []change
	revision, compactedRevision uint64
}

// Snapshot returns a copy of the content.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{maps.Clone(s.items), maps.Clone(s.tombstones), slices.Clone(s.log), s.revision, s.compactedRevision}
}

// Restore replaces the content by a snapshot, and begins the next era: what was written since
// is lost, and its revisions are given out again.
func (s *Store) Restore(from Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.tombstones = maps.Clone(from.items), maps.Clone(from.tombstones)
	s.log = slices.Clone(from.log)
	s.revision, s.compactedRevision = from.revision, from.compactedRevision
	s.restoredTo = from.revision
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{PageSize: 50, Retention: defaultRetention, items: map[string]item{}, tombstones: map[string]item{}, changed: make(chan struct{})}
}

// WriteAgain writes what a snapshot has and the store, since it was restored, has not: for keys
// that have not been written since, values that differ and deletions.
func (s *Store) WriteAgain(latest Snapshot) {
	s.mu.Lock()
	restoredTo := s.restoredTo
	var writes []item
	for key, i := range latest.items {
		if now, ok := s.items[key]; s.lastWrite(key) <= restoredTo && (!ok || !bytes.Equal(now.Data, i.Data)) {
			writes = append(writes, item{Key: key, Data: i.Data})
		}
	}
	for key, i := range s.items {
		if _, ok := latest.items[key]; !ok && i.Revision <= restoredTo {
			writes = append(writes, item{Key: key, Tombstone: true})
		}
	}
	s.mu.Unlock()
	for _, i := range writes {
		s.write(i)
	}
}

// lastWrite returns the revision at which a key was last written or deleted; mu must be held.
func (s *Store) lastWrite(key string) uint64 {
	return max(s.items[key].Revision, s.tombstones[key].Revision)
}

// Put writes a value. v is encoded as JSON unless it is a []byte.
func (s *Store) Put(key string, v any) {
	data, ok := v.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(v); err != nil {
			panic(err)
		}
	}
	s.write(item{Key: key, Data: data})
}

// evacuatePrefix is the key prefix of evacuation orders for failure domains.
const evacuatePrefix = "op/evacuate/"

// Evacuate writes the order to evacuate a failure domain: its replicas get no new
// work until CancelEvacuation withdraws the order.
func (s *Store) Evacuate(domain string) { s.Put(evacuatePrefix+domain, map[string]any{}) }

// CancelEvacuation withdraws the evacuation order for a failure domain.
func (s *Store) CancelEvacuation(domain string) { s.Delete(evacuatePrefix + domain) }

// Delete deletes a key and leaves a tombstone for watches.
func (s *Store) Delete(key string) { s.write(item{Key: key, Tombstone: true}) }

func (s *Store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
		s.tombstones[i.Key] = i
	} else {
		s.items[i.Key] = i
		delete(s.tombstones, i.Key)
	}
	s.log = append(s.log, change{i, time.Now()})
	s.expire()
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire discards changes that are older than Retention; mu must be held.
func (s *Store) expire() {
	oldest := time.Now().Add(-s.Retention)
	kept := slices.IndexFunc(s.log, func(c change) bool { return c.at.After(oldest) })
	if kept < 0 {
		kept = len(s.log)
	}
	s.discard(kept)
}

// discard discards the first n changes of the log; mu must be held.
func (s *Store) discard(n int) {
	if n > 0 {
		s.compactedRevision = s.log[n-1].Revision
		s.log = slices.Delete(s.log, 0, n)
	}
}

// Compact discards the history of changes so far. Watches from an earlier revision
// get status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discard(len(s.log))
	s.compactedRevision = s.revision
}

// SetFailure makes every call fail with the given status until it is called with 0.
func (s *Store) SetFailure(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failStatus = status
}

// SetDelay delays every call by d.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// CallCount returns the number of calls so far.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	status, delay := s.failStatus, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	switch r.URL.Path {
	case "/-/kv-key":
		s.get(w, r.URL.Query().Get("key"))
	case "/-/kv-range":
		s.list(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case "/-/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// watch responds with the changes under a prefix after a revision as soon as there
// are any, or without changes after wait_ms.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if errors.Join(err, waitErr) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		events, revision, changed, retained := s.changesSince(query.Get("prefix"), after)
		if !retained {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || !waiting {
			writeJSON(w, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns all changes under a prefix after a revision, the current
// revision, a channel that is closed by the next write, and whether the changes since
// that revision are still retained.
func (s *Store) changesSince(prefix string, after uint64) (events []item, revision uint64, changed chan struct{}, retained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	events = []item{}
	for _, c := range s.log {
		if strings.HasPrefix(c.Key, prefix) && c.Revision > after {
			events = append(events, c.item)
		}
	}
	return events, s.revision, s.changed, after >= s.compactedRevision && after <= s.revision
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

func (s *Store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{i, s.revision})
}

func (s *Store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	response := struct {
		Entries []item `json:"entries"`
		HasMore bool   `json:"has_more"`
		AsOf    uint64 `json:"as_of"`
	}{Entries: []item{}, HasMore: len(keys) > s.PageSize, AsOf: s.revision}
	for _, k := range keys[:min(len(keys), s.PageSize)] {
		response.Entries = append(response.Entries, s.items[k])
	}
	writeJSON(w, response)
}
