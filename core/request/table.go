package request

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tableShards is the number of shards; a power of two well above the cores.
const tableShards = 64

// Table holds the requests in flight in shards, each under its own lock. It is
// safe for concurrent use.
type Table struct {
	shards [tableShards]tableShard
}

type tableShard struct {
	mu       sync.Mutex
	machines map[string]*Machine
	dropped  uint64
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

// Insert adds a machine. Its id must be new.
func (t *Table) Insert(m *Machine) {
	s := t.shard(m.spec.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines[m.spec.ID] = m
}

// Deliver passes an event to a request and returns the actions. An event for a
// request that is gone is dropped and counted, and false returned.
func (t *Table) Deliver(now time.Time, id string, ev Event) ([]Action, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.machines[id]
	if !ok {
		s.dropped++
		return nil, false
	}
	actions := m.Step(now, ev)
	if m.Finished() && m.Idle() {
		s.dropped += uint64(m.Dropped())
		delete(s.machines, id)
	}
	return actions, true
}

// Len returns the number of requests in flight, including those that are
// answered but whose calls are not over.
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

// Dropped returns the number of events that came for a request or attempt
// that was over.
func (t *Table) Dropped() uint64 {
	var n uint64
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += s.dropped
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

// Overviews describes at most limit requests in flight.
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
