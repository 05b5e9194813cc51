package service

import (
	"context"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin"
)

// slots limits the numbers of running and queued calls and reports both.
type slots struct {
	occupied chan struct{}

	mu           sync.Mutex
	running      int
	queued       int
	queueLimit   int
	leaving      bool
	loadReporter *standin.LoadReporter
}

func newSlots(n, queue int, lag time.Duration) *slots {
	return &slots{
		occupied:     make(chan struct{}, n),
		queueLimit:   queue,
		loadReporter: standin.NewLoadReporter(lag, standin.Load{Slots: n}),
	}
}

// slotResult is the outcome of waiting for a slot.
type slotResult uint8

const (
	slotGranted slotResult = iota
	slotQueueFull
	slotAbandoned
)

// acquire waits for a slot until ctx is done or the replica goes down.
func (s *slots) acquire(ctx context.Context, down <-chan struct{}) slotResult {
	if !s.enqueue() {
		return slotQueueFull
	}
	select {
	case s.occupied <- struct{}{}:
		s.adjust(1, -1)
		return slotGranted
	case <-ctx.Done():
	case <-down:
	}
	s.adjust(0, -1)
	return slotAbandoned
}

func (s *slots) release() {
	<-s.occupied
	s.adjust(-1, 0)
}

func (s *slots) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running+s.queued >= cap(s.occupied)+s.queueLimit {
		return false
	}
	s.queued++
	s.update()
	return true
}

func (s *slots) adjust(running, queued int) {
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

// update records the current load for load reports. The caller holds mu.
func (s *slots) update() {
	s.loadReporter.Update(time.Now(), standin.Load{
		Running: s.running,
		Queued:  s.queued,
		Slots:   cap(s.occupied),
		Leaving: s.leaving,
	})
}
