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

// maxEvents limits the number of cache events kept, maxEventsPerResponse the number
// in a response.
const (
	maxEvents            = 8192
	maxEventsPerResponse = 1024
)

// EventKind is the kind of change to the prefix cache.
type EventKind string

// The event kinds.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
)

// Event is a change of the prefix cache. Sequence numbers count all changes, so a
// gap in them indicates events that were not published.
type Event struct {
	Sequence uint64    `json:"sequence"`
	Kind     EventKind `json:"kind"`
	// Block is the hash of the block and all blocks before it, in hex.
	Block    string `json:"block"`
	AtUnixMS int64  `json:"at_unix_ms"`
}

// Events is the response to GET /v1/cache-events.
type Events struct {
	Events []Event `json:"events"`
}

// eventLog keeps the newest events and publishes them after a lag.
type eventLog struct {
	lag       time.Duration
	lossRatio float64

	mu           sync.Mutex
	random       *rand.Rand
	lastSequence uint64
	events       []Event
}

func newEventLog(lag time.Duration, lossRatio float64, seed uint64) *eventLog {
	return &eventLog{lag: lag, lossRatio: lossRatio, random: rand.New(rand.NewPCG(seed, 1))}
}

func (l *eventLog) add(kind EventKind, block uint64) {
	now := time.Now().UnixMilli()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSequence++
	if l.lossRatio > 0 && l.random.Float64() < l.lossRatio {
		return
	}
	if len(l.events) >= maxEvents {
		l.events = slices.Delete(l.events, 0, maxEvents/2)
	}
	l.events = append(l.events, Event{
		Sequence: l.lastSequence,
		Kind:     kind,
		Block:    fmt.Sprintf("%016x", block),
		AtUnixMS: now,
	})
}

// since returns the events published by now whose sequence number exceeds after.
func (l *eventLog) since(now time.Time, after uint64) []Event {
	publishedUntilMS := now.Add(-l.lag).UnixMilli()
	out := []Event{}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.events {
		if e.AtUnixMS > publishedUntilMS || len(out) == maxEventsPerResponse {
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
			standin.WriteJSON(w, http.StatusBadRequest, standin.ErrorBody{Error: "bad after"})
			return
		}
	}
	if e.faults.ApplyRequestFaults(w, r) {
		standin.WriteJSON(w, http.StatusOK, Events{Events: e.events.since(time.Now(), after)})
	}
}
