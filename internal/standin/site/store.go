package site

import (
	"cmp"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store as it is written on the wire.
type item struct {
	Key       string `json:"key"`
	Data      []byte `json:"data,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is the platform's metadata store. It is safe for concurrent use.
type Store struct {
	// PageSize bounds the entries of one answer. Default 50.
	PageSize int

	mu       sync.Mutex
	items    map[string]item
	revision uint64
	status   int
	delay    time.Duration
	calls    int
	// removed are the tombstones; changed is closed with every write.
	removed map[string]item
	changed chan struct{}
	// forgotten is the revision up to which changes are not known any more.
	forgotten uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{PageSize: 50, items: map[string]item{}, removed: map[string]item{}, changed: make(chan struct{})}
}

// Put writes a value; v is encoded as JSON unless it is bytes.
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

// evacuatePrefix is the prefix of the orders to evacuate a failure domain.
const evacuatePrefix = "op/evacuate/"

// Evacuate orders that the replicas of a failure domain get no new work, and TakeBack
// withdraws the order.
func (s *Store) Evacuate(domain string) { s.Put(evacuatePrefix+domain, map[string]any{}) }

// TakeBack withdraws the order of Evacuate.
func (s *Store) CancelEvacuation(domain string) { s.Delete(evacuatePrefix + domain) }

// Delete removes a key.
func (s *Store) Delete(key string) { s.write(item{Key: key, Tombstone: true}) }

func (s *Store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
		s.removed[i.Key] = i
	} else {
		s.items[i.Key] = i
		delete(s.removed, i.Key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact forgets all changes so far: watches from before get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.revision
}

// Fail answers every call with a status until it is called with 0.
func (s *Store) SetFailure(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// Delay makes every call take that long.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Calls returns the number of calls so far.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	status, delay := s.status, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
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

// watch answers with the changes under a prefix after a revision, at once or
// when there are some.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("wait_ms"))
	if errors.Join(err, err2) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		events, revision, changed, known := s.since(query.Get("prefix"), after)
		if !known {
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

// since returns the changes under a prefix after a revision, what is closed with
// the next change, and whether the history reaches back that far.
func (s *Store) since(prefix string, after uint64) (events []item, revision uint64, changed chan struct{}, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []item{}
	for _, of := range []map[string]item{s.items, s.removed} {
		for key, i := range of {
			if strings.HasPrefix(key, prefix) && i.Revision > after {
				events = append(events, i)
			}
		}
	}
	slices.SortFunc(events, func(a, b item) int { return cmp.Compare(a.Revision, b.Revision) })
	return events, s.revision, s.changed, after >= s.forgotten
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a client that is gone needs no answer
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
	answer := struct {
		Entries []item `json:"entries"`
		HasMore bool   `json:"has_more"`
		AsOf    uint64 `json:"as_of"`
	}{Entries: []item{}, HasMore: len(keys) > s.PageSize, AsOf: s.revision}
	for _, k := range keys[:min(len(keys), s.PageSize)] {
		answer.Entries = append(answer.Entries, s.items[k])
	}
	writeJSON(w, answer)
}
