package stages

import (
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// freeDelay is how long results that are of no more use are kept back, so that
// one call gives many up. The room that they take is needed by the next call to
// their replica, which has them given up first; nobody else needs it. With 700
// jobs a second a planner made some 1,300 such calls a second, and now at most
// ten for each replica, beside those before its calls for pieces.
const freeDelay = 100 * time.Millisecond

// freeing gives results up at their replicas, many in one call, and knows where
// that is under way: a call for pieces that overtook it would find no room. It is
// safe for concurrent use.
type freeing struct {
	// send makes one call and returns when it has ended.
	send func(stage.Release)

	mu sync.Mutex
	at map[string]*giving // by replica
}

// giving is what is being given up at one replica.
type giving struct {
	// held is kept back; its call is due when timer fires.
	held  stage.Release
	timer *clock.Timer
	// calls are under way, done is closed when none is left.
	calls int
	done  chan struct{}
}

func newFreeing(send func(stage.Release)) *freeing {
	return &freeing{send: send, at: map[string]*giving{}}
}

// add has results given up, soon or with the next call for pieces.
func (f *freeing) add(a stage.Release) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.at[a.Replica]
	if g == nil {
		g = &giving{}
		f.at[a.Replica] = g
	}
	g.held.Replica, g.held.Address = a.Replica, a.Address
	g.held.Handles = append(g.held.Handles, a.Handles...)
	if g.timer == nil {
		g.timer = clock.AfterFunc(freeDelay, func() { f.flush(a.Replica) })
	}
}

// nothing is closed: no results are being given up.
var nothing = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// flush gives up at once what is kept back for a replica. The channel is closed
// when nothing is being given up there any more.
func (f *freeing) flush(replica string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.at[replica]
	if g == nil {
		return nothing
	}
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	if len(g.held.Handles) == 0 {
		return g.done
	}
	if g.calls == 0 {
		g.done = make(chan struct{})
	}
	g.calls++
	go f.call(g, g.held)
	g.held.Handles = nil
	return g.done
}

// call makes one call.
func (f *freeing) call(g *giving, a stage.Release) {
	f.send(a)
	f.mu.Lock()
	defer f.mu.Unlock()
	if g.calls--; g.calls > 0 {
		return
	}
	close(g.done)
	if len(g.held.Handles) == 0 {
		delete(f.at, a.Replica)
	}
}
