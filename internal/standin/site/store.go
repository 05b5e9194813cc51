package site

import (
	"encoding/json"
	"net/http"
	"slices"
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
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{PageSize: 50, items: map[string]item{}}
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

// Delete removes a key.
func (s *Store) Delete(key string) { s.write(item{Key: key, Tombstone: true}) }

func (s *Store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
}

// Fail answers every call with a status until it is called with 0.
func (s *Store) Fail(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// Delay makes every call take that long.
func (s *Store) Delay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
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
	default:
		w.WriteHeader(http.StatusNotFound)
	}
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
