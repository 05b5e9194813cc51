// Package workqueue runs functions one after the other in a single goroutine.
package workqueue

import (
	"context"
	"sync"
	"time"
)

// Queue is an unbounded queue of functions for one goroutine. Its producers are
// bounded elsewhere: each handler waits for its result before it adds more, the
// number of calls is limited, and each timer adds one event at a time.
type Queue struct {
	mu        sync.Mutex
	work      []func()
	available chan struct{}
}

// New returns an empty queue.
func New() *Queue { return &Queue{available: make(chan struct{}, 1)} }

// Add appends f to the queue. It does not block.
func (q *Queue) Add(f func()) {
	q.mu.Lock()
	q.work = append(q.work, f)
	q.mu.Unlock()
	select {
	case q.available <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all queued functions.
func (q *Queue) takeAll() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	work := q.work
	q.work = nil
	return work
}

// Run calls the queued functions, and tick at an interval, until ctx is done.
func (q *Queue) Run(ctx context.Context, interval time.Duration, tick func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.available:
			for _, f := range q.takeAll() {
				f()
			}
		case <-ticker.C:
			tick()
		}
	}
}

// RunAndWait calls f in the goroutine of Run and waits until f has returned or ctx is
// done. In the latter case f may still be called later.
func (q *Queue) RunAndWait(ctx context.Context, f func()) {
	done := make(chan struct{})
	q.Add(func() { f(); close(done) })
	select {
	case <-done:
	case <-ctx.Done():
	}
}
