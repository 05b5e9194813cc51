package engine

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin"
)

// maxEvents bounds the cache events kept, and maxEventsAnswered those of one
// answer.
const (
	maxEvents         = 8192
	maxEventsAnswered = 1024
)

// EventKind says what happened to a cached block.
type EventKind string

// The event kinds.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
)

// Event is one change of the prefix cache. Sequence numbers count all changes,
// so that a gap in them shows unpublished events.
type Event struct {
	Sequence uint64    `json:"sequence"`
	Kind     EventKind `json:"kind"`
	// Block is the hash of the block and all before it, in hex.
	Block    string `json:"block"`
	AtUnixMS int64  `json:"at_unix_ms"`
}

// Events is the answer to GET /v1/cache-events.
type Events struct {
	Events []Event `json:"events"`
}

// eventLog keeps the newest events and publishes them late.
type eventLog struct {
	lag time.Duration
	gap float64

	mu     sync.Mutex
	random *rand.Rand
	last   uint64
	events []Event
}

func newEventLog(lag time.Duration, gap float64, seed uint64) *eventLog {
	return &eventLog{lag: lag, gap: gap, random: rand.New(rand.NewPCG(seed, 1))}
}

func (l *eventLog) add(kind EventKind, block uint64) {
	now := time.Now().UnixMilli()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	if l.gap > 0 && l.random.Float64() < l.gap {
		return
	}
	if len(l.events) >= maxEvents {
		l.events = slices.Delete(l.events, 0, maxEvents/2)
	}
	l.events = append(l.events, Event{
		Sequence: l.last,
		Kind:     kind,
		Block:    fmt.Sprintf("%016x", block),
		AtUnixMS: now,
	})
}

// since returns the published events after a sequence number.
func (l *eventLog) since(now time.Time, after uint64) []Event {
	published := now.Add(-l.lag).UnixMilli()
	out := []Event{}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.events {
		if e.AtUnixMS > published || len(out) == maxEventsAnswered {
			break
		}
		if e.Sequence > after {
			out = append(out, e)
		}
	}
	return out
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if q := r.URL.Query().Get("after"); q != "" {
		var err error
		if after, err = strconv.ParseUint(q, 10, 64); err != nil {
			standin.WriteJSON(w, http.StatusBadRequest, standin.Refusal{Error: "bad after"})
			return
		}
	}
	if e.faults.Gate(w, r) {
		standin.WriteJSON(w, http.StatusOK, Events{Events: e.events.since(time.Now(), after)})
	}
}
