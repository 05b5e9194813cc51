// Package ledger records every execution that a fake replica starts, so that
// tests and replays can check what was executed rather than what was reported in
// responses.
package ledger

import (
	"sync"
	"time"
)

// DefaultLimit is the default number of entries that a Ledger keeps.
const DefaultLimit = 1_000_000

// State is the state of an execution.
type State string

// The states. A failed execution may have taken effect.
const (
	Running   State = "running"
	Done      State = "done"
	Cancelled State = "cancelled"
	Failed    State = "failed"
)

// Entry is one execution.
type Entry struct {
	// Key is the idempotency key of the call; empty if it had none.
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Stage     string `json:"stage"`
	Customer  string `json:"customer"`
	// Upstream is the name of the replica that executed the call.
	Upstream       string `json:"upstream,omitempty"`
	StartedUnixMS  int64  `json:"started_unix_ms"`
	FinishedUnixMS int64  `json:"finished_unix_ms"`
	State          State  `json:"state"`
	// EngineMS is the replica time used by the execution in milliseconds,
	// before any time scale. For an engine it is the share of the batch steps.
	EngineMS float64 `json:"engine_ms"`
	Tokens   int     `json:"tokens"`
	// Leaving reports whether the replica was leaving when the execution
	// started.
	Leaving bool `json:"leaving,omitempty"`
}

// ID identifies an entry of a Ledger.
type ID int

// Ledger is a bounded list of executions. Beyond its limit, new entries overwrite
// the oldest ones, which are counted. Its methods are safe for concurrent use.
type Ledger struct {
	limit int

	mu           sync.Mutex
	firstID      ID
	nextID       ID
	entries      []Entry
	deduplicated int
}

// New returns an empty Ledger that keeps at most limit entries; 0 means
// DefaultLimit.
func New(limit int) *Ledger {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Ledger{limit: limit}
}

// Begin adds an entry for an execution that starts now.
func (l *Ledger) Begin(e Entry) ID {
	e.StartedUnixMS = time.Now().UnixMilli()
	e.State = Running
	l.mu.Lock()
	defer l.mu.Unlock()
	id := l.nextID
	l.nextID++
	if len(l.entries) < l.limit {
		l.entries = append(l.entries, e)
		return id
	}
	l.entries[l.index(id)] = e
	return id
}

// End records the final state of an execution. It does nothing if the entry was
// overwritten or reset in the meantime.
func (l *Ledger) End(id ID, s State, engineMS float64, tokens int) {
	now := time.Now().UnixMilli()
	l.mu.Lock()
	defer l.mu.Unlock()
	if id < l.oldestID() {
		return
	}
	e := &l.entries[l.index(id)]
	e.State, e.FinishedUnixMS, e.EngineMS, e.Tokens = s, now, engineMS, tokens
}

// CountDeduplicated counts a call that was answered with the result of an earlier
// execution.
func (l *Ledger) CountDeduplicated() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deduplicated++
}

// Reset empties the ledger, including the entries of executions still running.
func (l *Ledger) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstID, l.entries, l.deduplicated = l.nextID, nil, 0
}

// Entries returns a copy of all entries, oldest first.
func (l *Ledger) Entries() []Entry { return l.filtered(filter{}) }

// filter selects entries; an empty field matches all of them.
type filter struct{ key, requestID, upstream string }

func (f filter) matches(e *Entry) bool {
	return (f.key == "" || f.key == e.Key) &&
		(f.requestID == "" || f.requestID == e.RequestID) &&
		(f.upstream == "" || f.upstream == e.Upstream)
}

// filtered returns copies of the entries that match f, oldest first.
func (l *Ledger) filtered(f filter) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Entry{}
	for id := l.oldestID(); id < l.nextID; id++ {
		if e := &l.entries[l.index(id)]; f.matches(e) {
			out = append(out, *e)
		}
	}
	return out
}

// index returns the position of an entry in the ring buffer entries.
func (l *Ledger) index(id ID) int { return int(id-l.firstID) % l.limit }

// oldestID returns the id of the oldest entry that is kept.
func (l *Ledger) oldestID() ID { return l.nextID - ID(len(l.entries)) }
