// Package workqueue passes work to one goroutine.
package workqueue

import (
	"context"
	"sync"
	"time"
)

// Queue is an unbounded queue of work for one goroutine. What fills it is
// bounded elsewhere: handlers wait for their answers, calls have places, and
// timers post one event at a time.
type Queue struct {
	mu        sync.Mutex
	work      []func()
	available chan struct{}
}

// New returns an empty queue.
func New() *Queue { return &Queue{available: make(chan struct{}, 1)} }

// Add appends work.
func (q *Queue) Add(f func()) {
	q.mu.Lock()
	q.work = append(q.work, f)
	q.mu.Unlock()
	select {
	case q.available <- struct{}{}:
	default:
	}
}

// take empties the queue.
func (q *Queue) takeAll() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	work := q.work
	q.work = nil
	return work
}

// Run does the work, and tick at intervals, until ctx ends.
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

// Inspect runs f in the queue's goroutine and waits for it, at most until ctx
// ends.
func (q *Queue) Inspect(ctx context.Context, f func()) {
	done := make(chan struct{})
	q.Add(func() { f(); close(done) })
	select {
	case <-done:
	case <-ctx.Done():
	}
}
