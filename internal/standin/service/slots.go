package service

import (
	"context"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin"
)

// slots bounds the calls that run and those that wait, and reports both.
type slots struct {
	free chan struct{}

	mu      sync.Mutex
	running int
	queued  int
	limit   int
	leaving bool
	report  *standin.LoadReporter
}

func newSlots(n, queue int, lag time.Duration) *slots {
	return &slots{
		free:   make(chan struct{}, n),
		limit:  queue,
		report: standin.NewLoadReporter(lag, standin.Load{Slots: n}),
	}
}

// slotResult says how the wait for a slot ended.
type slotResult uint8

const (
	slotGranted slotResult = iota
	slotQueueFull
	slotGivenUp
)

// acquire waits for a slot until ctx ends or the replica is down.
func (s *slots) acquire(ctx context.Context, down <-chan struct{}) slotResult {
	if !s.enqueue() {
		return slotQueueFull
	}
	select {
	case s.free <- struct{}{}:
		s.count(1, -1)
		return slotGranted
	case <-ctx.Done():
	case <-down:
	}
	s.count(0, -1)
	return slotGivenUp
}

func (s *slots) release() {
	<-s.free
	s.count(-1, 0)
}

func (s *slots) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running+s.queued >= cap(s.free)+s.limit {
		return false
	}
	s.queued++
	s.update()
	return true
}

func (s *slots) count(running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.queued += queued
	s.update()
}

func (s *slots) setLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
	s.update()
}

// update tells the reporter the load; the caller holds mu.
func (s *slots) update() {
	s.report.Update(time.Now(), standin.Load{
		Running: s.running,
		Queued:  s.queued,
		Slots:   cap(s.free),
		Leaving: s.leaving,
	})
}
