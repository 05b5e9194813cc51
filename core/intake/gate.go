package intake

import (
	"sync"
	"sync/atomic"
	"time"
)

// Source says by whose word the calls at a replica are bounded.
type Source uint8

// The sources of bounds. All hold beside each other.
const (
	// Cold bounds the calls at replicas that have just started.
	Cold Source = iota
	sources
)

// String names the source in logs and decision records.
func (s Source) String() string { return [sources]string{"cold"}[s] }

// Part is one host's part of the calls that a replica takes.
type Part struct {
	// Calls may begin in any Window; MaxCalls at most count.
	Calls  int
	Window time.Duration
}

// MaxCalls is the largest number of calls of a Part that is kept count of.
const MaxCalls = 16

// Gate tells whether a call may begin at one replica. It is safe for concurrent use.
type Gate struct {
	// bounded says that any part is set, so that the others' picks need no lock.
	bounded atomic.Bool

	mu    sync.Mutex
	parts [sources]*Part
	// begun are the last calls, newest at newest, also those of before there was a part.
	begun  [MaxCalls]time.Time
	newest int
}

// Begin notes a call.
func (g *Gate) Begin(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.newest = (g.newest + 1) % MaxCalls
	g.begun[g.newest] = now
}

// Refuses says whether a call may not begin, and by whose word.
func (g *Gate) Refuses(now time.Time) (Source, bool) {
	if !g.bounded.Load() {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for s, p := range g.parts {
		if p != nil && now.Before(g.opens(p)) {
			return Source(s), true
		}
	}
	return 0, false
}

// opens returns when a part allows the next call; the lock is held.
func (g *Gate) opens(p *Part) time.Time {
	if p.Calls < 1 {
		return never
	}
	oldest := g.begun[(g.newest+1+MaxCalls-min(p.Calls, MaxCalls))%MaxCalls]
	if oldest.IsZero() {
		return oldest
	}
	return oldest.Add(p.Window)
}

// never is later than any time that is asked about.
var never = time.Unix(1<<40, 0)

// set replaces the part of a source; nil for no bound.
func (g *Gate) set(s Source, p *Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.parts[s] = p
	g.bounded.Store(g.parts != [sources]*Part{})
}

// Gates are the gates of all replicas, by name. They are safe for concurrent use.
type Gates struct {
	mu    sync.Mutex
	gates map[string]*Gate
	parts [sources]map[string]Part
}

// NewGates returns gates that bound nothing.
func NewGates() *Gates { return &Gates{gates: map[string]*Gate{}} }

// Of returns the gate of a replica; the same as long as it is kept.
func (gs *Gates) Of(replica string) *Gate {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	g := gs.gates[replica]
	if g == nil {
		g = &Gate{}
		gs.gates[replica] = g
		for s := range gs.parts {
			gs.apply(Source(s), replica, g)
		}
	}
	return g
}

// Bound gives the parts of a source, by replica; it replaces what was given before.
func (gs *Gates) Bound(s Source, parts map[string]Part) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.parts[s] = parts
	for replica, g := range gs.gates {
		gs.apply(s, replica, g)
	}
}

// apply passes the part of a source on to a gate; the lock is held.
func (gs *Gates) apply(s Source, replica string, g *Gate) {
	if p, ok := gs.parts[s][replica]; ok {
		g.set(s, &p)
		return
	}
	g.set(s, nil)
}

// Keep drops the gates of replicas that are not listed.
func (gs *Gates) Keep(listed func(replica string) bool) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	for replica := range gs.gates {
		if !listed(replica) {
			delete(gs.gates, replica)
		}
	}
}
