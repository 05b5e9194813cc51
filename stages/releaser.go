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
const releaseDelay = 100 * time.Millisecond

// freeing gives results up at their replicas, many in one call, and knows where
// that is under way: a call for pieces that overtook it would find no room. It is
// safe for concurrent use.
type releaser struct {
	// send makes one call and returns when it has ended.
	send func(stage.Free)

	mu        sync.Mutex
	byReplica map[string]*replicaReleases // by replica
}

// giving is what is being given up at one replica.
type replicaReleases struct {
	// held is kept back; its call is due when timer fires.
	pending stage.Free
	timer   *clock.Timer
	// calls are under way, done is closed when none is left.
	runningCalls int
	done         chan struct{}
}

func newReleaser(send func(stage.Free)) *releaser {
	return &releaser{send: send, byReplica: map[string]*replicaReleases{}}
}

// add has results given up, soon or with the next call for pieces.
func (f *releaser) add(a stage.Free) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.byReplica[a.Replica]
	if g == nil {
		g = &replicaReleases{}
		f.byReplica[a.Replica] = g
	}
	g.pending.Replica, g.pending.Address = a.Replica, a.Address
	g.pending.Handles = append(g.pending.Handles, a.Handles...)
	if g.timer == nil {
		g.timer = clock.AfterFunc(releaseDelay, func() { f.flush(a.Replica) })
	}
}

// nothing is closed: no results are being given up.
var closedChannel = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// flush gives up at once what is kept back for a replica. The channel is closed
// when nothing is being given up there any more.
func (f *releaser) flush(replica string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.byReplica[replica]
	if g == nil {
		return closedChannel
	}
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	if len(g.pending.Handles) == 0 {
		return g.done
	}
	if g.runningCalls == 0 {
		g.done = make(chan struct{})
	}
	g.runningCalls++
	go f.call(g, g.pending)
	g.pending.Handles = nil
	return g.done
}

// call makes one call.
func (f *releaser) call(g *replicaReleases, a stage.Free) {
	f.send(a)
	f.mu.Lock()
	defer f.mu.Unlock()
	if g.runningCalls--; g.runningCalls > 0 {
		return
	}
	close(g.done)
	if len(g.pending.Handles) == 0 {
		delete(f.byReplica, a.Replica)
	}
}
