package service

import "sync"

// DefaultKeys is the number of idempotency keys that Keys remembers.
const DefaultKeys = 200_000

// KeyState says what became of an idempotency key.
type KeyState string

// The key states.
const (
	KeyUnknown KeyState = "unknown"
	KeyRunning KeyState = "running"
	KeyDone    KeyState = "done"
)

// Status is the answer to GET /v1/status/{key}.
type Status struct {
	State  KeyState `json:"state"`
	Result *Result  `json:"result,omitempty"`
}

type keyEntry struct {
	status Status
	done   chan struct{}
}

// Keys remembers what became of idempotency keys. Beyond its limit the oldest
// key is forgotten. Its methods are safe for concurrent use.
type Keys struct {
	limit int

	mu      sync.Mutex
	order   []string
	entries map[string]*keyEntry
}

// NewKeys returns an empty Keys of limit keys; 0 stands for DefaultKeys.
func NewKeys(limit int) *Keys {
	if limit <= 0 {
		limit = DefaultKeys
	}
	return &Keys{limit: limit, entries: map[string]*keyEntry{}}
}

// begin registers an execution of key. It returns false, and the entry of the
// execution before, when the key is known.
func (k *Keys) begin(key string) (*keyEntry, bool) {
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

// finish records the result of the execution that began e.
func (k *Keys) finish(e *keyEntry, r Result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e.status = Status{State: KeyDone, Result: &r}
	close(e.done)
}

// status returns what became of key.
func (k *Keys) status(key string) Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e, ok := k.entries[key]; ok {
		return e.status
	}
	return Status{State: KeyUnknown}
}

// fail ends an execution whose effect is unknown; its key stays running, so
// that a look-up does not tell that nothing was executed. e may be nil.
func (k *Keys) fail(e *keyEntry) {
	if e == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	close(e.done)
}

// abandon forgets an execution of key that had no effect; e may be nil.
func (k *Keys) abandon(key string, e *keyEntry) {
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

// read returns the status held by e.
func (k *Keys) read(e *keyEntry) Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return e.status
}
