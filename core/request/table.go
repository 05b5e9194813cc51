package request

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tableShards is the number of shards: a power of two well above the number of
// processor cores.
const tableShards = 64

// Table holds the machines of the requests in flight in shards, each under its own
// lock. It is safe for concurrent use.
type Table struct {
	shards [tableShards]tableShard
}

type tableShard struct {
	mu            sync.Mutex
	machines      map[string]*Machine
	droppedEvents uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].machines = make(map[string]*Machine)
	}
	return t
}

func (t *Table) shard(id string) *tableShard {
	return &t.shards[xxhash.Sum64String(id)%tableShards]
}

// Insert adds a machine. Its request ID must not be in the table yet.
func (t *Table) Insert(m *Machine) {
	s := t.shard(m.spec.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines[m.spec.ID] = m
}

// Deliver passes an event to the machine of a request and returns the resulting
// actions. If the request is not in the table, the event is dropped and counted
// and Deliver returns false.
func (t *Table) Deliver(now time.Time, id string, ev Event) ([]Action, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.machines[id]
	if !ok {
		s.droppedEvents++
		return nil, false
	}
	actions := m.Step(now, ev)
	if m.Finished() && m.Idle() {
		s.droppedEvents += uint64(m.Dropped())
		delete(s.machines, id)
	}
	return actions, true
}

// Len returns the number of requests in flight, including those that are answered
// but still have running calls.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.machines)
		s.mu.Unlock()
	}
	return n
}

// Dropped returns the number of events for requests or attempts that had already
// ended or were unknown. Events that a machine in the table has dropped are counted
// once the machine is removed.
func (t *Table) Dropped() uint64 {
	var n uint64
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += s.droppedEvents
		s.mu.Unlock()
	}
	return n
}

// Overview describes a request in flight.
type Overview struct {
	ID       string    `json:"id"`
	Customer string    `json:"customer"`
	Pipeline string    `json:"pipeline"`
	Stage    string    `json:"stage"`
	Attempts int       `json:"attempts"`
	Deadline time.Time `json:"deadline"`
	Answered bool      `json:"answered"`
}

// Overviews returns descriptions of at most limit requests in flight.
func (t *Table) Overviews(limit int) []Overview {
	var all []Overview
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, m := range s.machines {
			if len(all) < limit {
				all = append(all, m.overview())
			}
		}
		s.mu.Unlock()
	}
	return all
}

func (m *Machine) overview() Overview {
	return Overview{
		ID: m.spec.ID, Customer: m.spec.Customer, Pipeline: m.spec.Pipeline.Name,
		Stage: m.stageName(), Attempts: m.nextAttempt,
		Deadline: m.spec.Deadline, Answered: m.Finished(),
	}
}
