package tunnel

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/core/detour"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/replica"
)

// PathsConfig holds the dependencies of Paths.
type PathsConfig struct {
	// Self is the name of this host.
	Self string
	// Peers returns the names of the hosts that may be asked, without this one.
	Peers func() []string
	// Sample returns some addresses of replicas at random, Count the number of all, and
	// IsReplica reports whether an address is one.
	Sample    func(n int) []string
	Count     func() int
	IsReplica func(address string) bool
	// OnChange is called when this host becomes or ceases to be cut off or stranded. It
	// must not block.
	OnChange func(before, now State)
}

// State is what a host knows about its ways to replicas.
type State struct {
	// CutOff: replicas are reached only through peers. Stranded: not even through these.
	CutOff, Stranded bool
	// Since is since when.
	Since time.Time
	// Detours is the number of addresses that are reached through peers.
	Detours int
}

// Paths is what this host knows about its ways to replicas. It is safe for concurrent use.
type Paths struct {
	cfg PathsConfig

	mu       sync.Mutex
	table    *detour.Table
	reported State
}

// NewPaths returns Paths without knowledge.
func NewPaths(cfg PathsConfig) *Paths {
	return &Paths{cfg: cfg, table: detour.New(cfg.Self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
}

// update runs f on the table at the current time, and reports a change of the state.
func (p *Paths) update(f func(now time.Time, t *detour.Table)) {
	now := clock.Now()
	p.mu.Lock()
	f(now, p.table)
	s := p.state()
	before := p.reported
	changed := s.CutOff != before.CutOff || s.Stranded != before.Stranded
	if changed {
		p.reported = s
	}
	p.mu.Unlock()
	if changed {
		p.cfg.OnChange(before, s)
	}
}

// state returns the state; mu must be held.
func (p *Paths) state() State {
	s := State{CutOff: p.table.CutOff(), Stranded: p.table.Stranded(), Since: p.table.Since()}
	if s.CutOff || s.Stranded {
		s.Detours = p.table.Detours()
	}
	return s
}

// State returns the state.
func (p *Paths) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state()
	s.Detours = p.table.Detours()
	return s
}

// Stranded reports whether this host reaches no replica, directly or through peers.
func (p *Paths) Stranded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Stranded()
}

func (p *Paths) reach() detour.Reach {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Reach(clock.Now())
}

func (p *Paths) mayVote() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.MayVote(clock.Now())
}

func (p *Paths) hints() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Hints(clock.Now())
}

// next returns the next step of an attempt, with a current list of peers if it may ask one.
func (p *Paths) next(a *detour.Attempt) (step detour.Step) {
	now := clock.Now()
	p.mu.Lock()
	expired := a.NeedsPeers(now) && p.table.PeersExpired(now)
	p.mu.Unlock()
	var peers []string
	if expired {
		peers = p.cfg.Peers()
	}
	p.update(func(now time.Time, t *detour.Table) {
		if expired {
			t.SetPeers(now, peers)
		}
		step = t.Next(now, a)
	})
	return step
}

// dialDirect connects directly and records the result, unless ctx or a suspension of this
// host ended the attempt.
func (p *Paths) dialDirect(ctx context.Context, dial replica.DialFunc, address string) (net.Conn, error) {
	suspended := clock.SuspendedTime()
	conn, err := dial(ctx, address)
	switch {
	case err == nil:
		p.update(func(now time.Time, t *detour.Table) { t.DirectConnected(now, address) })
	case ctx.Err() == nil && clock.SuspendedTime() == suspended && isPathFailure(err):
		p.update(func(now time.Time, t *detour.Table) { t.DirectFailed(now, address) })
	}
	return conn, err
}

// probe connects to an address directly, sends nothing, and reports whether it connected.
func (p *Paths) probe(ctx context.Context, dial replica.DialFunc, address string) bool {
	conn, err := p.dialDirect(ctx, dial, address)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent
	return true
}
