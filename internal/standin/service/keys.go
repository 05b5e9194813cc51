package service

import "sync"

// DefaultKeyLimit is the default number of idempotency keys in a KeyStore.
const DefaultKeyLimit = 200_000

// KeyState is the state of the execution of an idempotency key.
type KeyState string

// The key states.
const (
	KeyUnknown KeyState = "unknown"
	KeyRunning KeyState = "running"
	KeyDone    KeyState = "done"
)

// Status is the response to GET /v1/status/{key}.
type Status struct {
	State  KeyState `json:"state"`
	Result *Result  `json:"result,omitempty"`
}

// keyEntry is the entry of an idempotency key. done is closed when its execution
// has ended.
type keyEntry struct {
	status Status
	done   chan struct{}
}

// KeyStore stores the status of idempotency keys. Beyond its limit it removes the
// oldest key. Its methods are safe for concurrent use.
type KeyStore struct {
	limit int

	mu      sync.Mutex
	order   []string
	entries map[string]*keyEntry
}

// NewKeyStore returns an empty KeyStore for limit keys; 0 means DefaultKeyLimit.
func NewKeyStore(limit int) *KeyStore {
	if limit <= 0 {
		limit = DefaultKeyLimit
	}
	return &KeyStore{limit: limit, entries: map[string]*keyEntry{}}
}

// begin registers an execution of key. If the key already has an entry, it returns
// that entry and false.
func (k *KeyStore) begin(key string) (*keyEntry, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e, ok := k.entries[key]; ok {
		return e, false
	}
	if len(k.order) >= k.limit {
		delete(k.entries, k.order[0])
		k.order = k.order[1:]
	}
	e := &keyEntry{status: Status{State: KeyRunning}, done: make(chan struct{})}
	k.entries[key] = e
	k.order = append(k.order, key)
	return e, true
}

// finish records the result of the execution of e.
func (k *KeyStore) finish(e *keyEntry, r Result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e.status = Status{State: KeyDone, Result: &r}
	close(e.done)
}

// status returns the status of key.
func (k *KeyStore) status(key string) Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e, ok := k.entries[key]; ok {
		return e.status
	}
	return Status{State: KeyUnknown}
}

// fail ends an execution that may have taken effect. The key remains in state
// running, so that a status lookup does not report that nothing was executed. e may
// be nil.
func (k *KeyStore) fail(e *keyEntry) {
	if e == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	close(e.done)
}

// abandon removes the entry of an execution that had no effect. e may be nil.
func (k *KeyStore) abandon(key string, e *keyEntry) {
	if e == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.entries[key] == e {
		delete(k.entries, key)
	}
	close(e.done)
}

// entryStatus returns the status of e.
func (k *KeyStore) entryStatus(e *keyEntry) Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return e.status
}
