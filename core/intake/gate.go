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
	// Named bounds those at replicas that name a limit in their answers.
	Named
	// Leaving bounds them to none at replicas that say in an answer that they leave.
	Leaving
	// Resting bounds them to none for a while at replicas that asked this host for rest.
	Resting
	sourceCount
)

// String names the source in logs and decision records.
func (s Source) String() string {
	return [sourceCount]string{"cold", "limited", "leaving", "resting"}[s]
}

// Part is one host's part of the calls that a replica takes.
type Part struct {
	// Calls may begin in any Window; MaxCalls at most count. Without any, other hosts
	// have the calls, and Window is how long it may be until one begins; 0 if none will.
	Calls  int
	Window time.Duration
	// Probe is from when one call may begin though there is no other, and ProbeEvery
	// how long after it the next; zero for none.
	Probe      time.Time
	ProbeEvery time.Duration
	// Until is when any number of calls may begin again; zero for a part that lasts.
	Until time.Time
}

// MaxCalls is the largest number of calls of a Part that is kept count of.
const MaxTrackedCalls = 16

// Gate tells whether a call may begin at one replica. It is safe for concurrent use.
type Gate struct {
	// bounded says that any part is set, so that the others' picks need no lock.
	bounded atomic.Bool

	mu     sync.Mutex
	quotas [sourceCount]*Part
	// begun are the last calls, newest at newest, also those of before there was a part.
	callTimes [MaxTrackedCalls]time.Time
	newest    int
}

// Begin notes a call.
func (g *Gate) Begin(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.newest = (g.newest + 1) % MaxTrackedCalls
	g.callTimes[g.newest] = now
}

// Refuses says whether a call may not begin, and by whose word.
func (g *Gate) Refuses(now time.Time) (Source, bool) {
	if !g.bounded.Load() {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for s, p := range g.quotas {
		if p != nil && now.Before(g.nextAllowed(p)) {
			return Source(s), true
		}
	}
	return 0, false
}

// Opens returns when a call may begin by all parts, here or, where this host has no
// part, at other hosts; a time that never comes at a replica that leaves. It is the
// given time, or before, if one may now.
func (g *Gate) Opens(now time.Time) time.Time {
	if !g.bounded.Load() {
		return now
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	at := now
	for _, p := range g.quotas {
		if p == nil {
			continue
		}
		opens := g.nextAllowed(p)
		if othersOpen := now.Add(p.Window); p.Until.IsZero() && p.Calls < 1 && p.Window > 0 && opens.After(othersOpen) {
			opens = othersOpen
		}
		if opens.After(at) {
			at = opens
		}
	}
	return at
}

// TurnsAway says whether the replica takes nothing of this host by its own word: it leaves
// or rests. A call that was chosen before it said so is not to be sent.
func (g *Gate) TurnsAway(now time.Time) bool {
	if !g.bounded.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	rest := g.quotas[Resting]
	return g.quotas[Leaving] != nil || rest != nil && now.Before(rest.Until)
}

// Leaves says whether the replica takes no new work any more.
func (g *Gate) Leaves() bool {
	if !g.bounded.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quotas[Leaving] != nil
}

// Bounded says whether there is any part.
func (g *Gate) Bounded() bool { return g.bounded.Load() }

// Rate is how many calls a second this host may begin; false where nothing bounds them.
func (g *Gate) Rate(now time.Time) (perSecond float64, bounded bool) {
	if !g.bounded.Load() {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.quotas {
		if p == nil || !p.Until.IsZero() && !now.Before(p.Until) {
			continue
		}
		var rate float64
		if p.Calls > 0 {
			rate = float64(min(p.Calls, MaxTrackedCalls)) / p.Window.Seconds()
		}
		if !bounded || rate < perSecond {
			perSecond, bounded = rate, true
		}
	}
	return perSecond, bounded
}

// opens returns when a part allows this host's next call; the lock is held.
func (g *Gate) nextAllowed(p *Part) time.Time {
	switch {
	case !p.Until.IsZero():
		return p.Until
	case p.Calls < 1:
		return g.nextProbe(p)
	}
	oldest := g.callTimes[(g.newest+1+MaxTrackedCalls-min(p.Calls, MaxTrackedCalls))%MaxTrackedCalls]
	if oldest.IsZero() {
		return oldest
	}
	return oldest.Add(p.Window)
}

// opensForProbe returns when a part without calls allows one all the same; the lock
// is held.
func (g *Gate) nextProbe(p *Part) time.Time {
	last := g.callTimes[g.newest]
	switch {
	case p.Probe.IsZero():
		return farFuture
	case last.Before(p.Probe):
		return p.Probe
	}
	return last.Add(p.ProbeEvery)
}

// never is later than any time that is asked about.
var farFuture = time.Unix(1<<40, 0)

// set replaces the part of a source; nil for no bound.
func (g *Gate) setQuota(s Source, p *Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quotas[s] = p
	g.bounded.Store(g.quotas != [sourceCount]*Part{})
}

// Gates are the gates of all replicas, by name. They are safe for concurrent use.
type Gates struct {
	mu     sync.Mutex
	gates  map[string]*Gate
	quotas [sourceCount]map[string]Part
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
		for s := range gs.quotas {
			gs.applyQuota(Source(s), replica, g)
		}
	}
	return g
}

// SetParts replaces the parts of a source, by replica.
func (gs *Gates) SetParts(s Source, parts map[string]Part) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.quotas[s] = parts
	for replica, g := range gs.gates {
		gs.applyQuota(s, replica, g)
	}
}

// apply passes the part of a source on to a gate; the lock is held.
func (gs *Gates) applyQuota(s Source, replica string, g *Gate) {
	if p, ok := gs.quotas[s][replica]; ok {
		g.setQuota(s, &p)
		return
	}
	g.setQuota(s, nil)
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
