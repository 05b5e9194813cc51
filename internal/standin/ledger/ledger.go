// Package ledger keeps every execution that a stand-in began, so that tests and
// replays judge by what was really run and not by what was answered.
package ledger

import (
	"sync"
	"time"
)

// DefaultLimit is the number of entries that a Ledger keeps.
const DefaultLimit = 1_000_000

// State says how far an execution came.
type State string

// The states. An execution that failed may have had its effect.
const (
	Running   State = "running"
	Done      State = "done"
	Cancelled State = "cancelled"
	Failed    State = "failed"
)

// Entry is one execution.
type Entry struct {
	// Key is the idempotency key that came with the call; may be empty.
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Stage     string `json:"stage"`
	Customer  string `json:"customer"`
	// Upstream is the name of the replica that executed.
	Upstream       string `json:"upstream,omitempty"`
	StartedUnixMS  int64  `json:"started_unix_ms"`
	FinishedUnixMS int64  `json:"finished_unix_ms"`
	State          State  `json:"state"`
	// EngineMS is the execution's cost in milliseconds of its replica,
	// before any time scale; for an engine its share of each batch.
	EngineMS float64 `json:"engine_ms"`
	Tokens   int     `json:"tokens"`
	// Leaving says that the replica was leaving when the execution began.
	Leaving bool `json:"leaving,omitempty"`
}

// ID names one entry of a Ledger.
type ID int

// Ledger is a bounded list of executions; beyond its limit the oldest entries
// are overwritten and counted. Its methods are safe for concurrent use.
type Ledger struct {
	limit int

	mu      sync.Mutex
	first   ID
	next    ID
	entries []Entry
	repeats int
}

// New returns an empty Ledger of limit entries; 0 stands for DefaultLimit.
func New(limit int) *Ledger {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Ledger{limit: limit}
}

// Begin enters an execution that starts now.
func (l *Ledger) Begin(e Entry) ID {
	e.StartedUnixMS = time.Now().UnixMilli()
	e.State = Running
	l.mu.Lock()
	defer l.mu.Unlock()
	id := l.next
	l.next++
	if len(l.entries) < l.limit {
		l.entries = append(l.entries, e)
		return id
	}
	l.entries[l.slot(id)] = e
	return id
}

// End closes the entry id, unless it was overwritten or reset meanwhile.
func (l *Ledger) End(id ID, s State, engineMS float64, tokens int) {
	now := time.Now().UnixMilli()
	l.mu.Lock()
	defer l.mu.Unlock()
	if id < l.oldest() {
		return
	}
	e := &l.entries[l.slot(id)]
	e.State, e.FinishedUnixMS, e.EngineMS, e.Tokens = s, now, engineMS, tokens
}

// Deduplicated counts a call that was answered from an earlier execution.
func (l *Ledger) Deduplicated() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repeats++
}

// Reset empties the ledger; executions still running are forgotten.
func (l *Ledger) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first, l.entries, l.repeats = l.next, nil, 0
}

// Entries returns a copy of all entries, oldest first.
func (l *Ledger) Entries() []Entry { return l.filtered(filter{}) }

// filter narrows the entries; an empty field matches all.
type filter struct{ key, request, upstream string }

func (f filter) matches(e *Entry) bool {
	return (f.key == "" || f.key == e.Key) &&
		(f.request == "" || f.request == e.RequestID) &&
		(f.upstream == "" || f.upstream == e.Upstream)
}

// filtered returns copies of the entries that match f, oldest first.
func (l *Ledger) filtered(f filter) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Entry{}
	for id := l.oldest(); id < l.next; id++ {
		if e := &l.entries[l.slot(id)]; f.matches(e) {
			out = append(out, *e)
		}
	}
	return out
}

func (l *Ledger) slot(id ID) int { return int(id-l.first) % l.limit }

func (l *Ledger) oldest() ID { return l.next - ID(len(l.entries)) }
