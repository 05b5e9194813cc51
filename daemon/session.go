package daemon

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/caller"
	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/problem"
)

// outputQueue bounds the parts of a stream that wait for a slow caller.
const maxQueuedOutput = 64

// session is the I/O side of one request: its running calls, its timers and
// the way to its caller.
type session struct {
	id      string
	sub     caller.Submission
	digest  [32]byte
	clients *clients

	// forward is the attempt whose stream the caller gets.
	forwardedAttempt atomic.Int64
	output           chan outputPart
	finalAnswers     chan finalAnswer
	// closed ends when the caller has its answer.
	done chan struct{}

	// trial allows one call of the stage with that content, which is condemned; nil
	// for none.
	trialFingerprint atomic.Pointer[poison.Fingerprint]

	mu      sync.Mutex
	cancels map[int]context.CancelFunc
	timers  []*clock.Timer
}

// outputPart is a part of a stream, or a reset.
type outputPart struct {
	text  string
	reset bool
}

// finalAnswer is what ends a request; one field is set.
type finalAnswer struct {
	answer *request.Answer
	err    *problem.Error
}

func newSession(sub caller.Submission, digest [32]byte, c *clients) *session {
	// Only a stream needs room for its parts: 1.5 kB a request.
	queue := 0
	if sub.Stream {
		queue = maxQueuedOutput
	}
	return &session{
		id: sub.RequestID, sub: sub, digest: digest, clients: c,
		output: make(chan outputPart, queue), finalAnswers: make(chan finalAnswer, 1),
		done: make(chan struct{}), cancels: make(map[int]context.CancelFunc),
	}
}

// pass delivers a part to the caller, waiting while the caller is slow.
func (s *session) sendOutput(ctx context.Context, part outputPart) {
	select {
	case s.output <- part:
	case <-s.done:
	case <-ctx.Done():
	}
}

func (s *session) addCancel(attempt int, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[attempt] = cancel
}

// cancel gives up a call; one that is over is left alone.
func (s *session) cancel(attempt int) {
	s.mu.Lock()
	cancel := s.cancels[attempt]
	delete(s.cancels, attempt)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (s *session) addTimer(t *clock.Timer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timers = append(s.timers, t)
}

func (s *session) stopTimers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.timers {
		t.Stop()
	}
	s.timers = nil
}

// sessionShards is the number of shards of the sessions.
const sessionShards = 64

// sessions finds sessions by request id.
type sessionTable struct {
	shards [sessionShards]sessionShard
}

type sessionShard struct {
	mu   sync.Mutex
	byID map[string]*session
}

func (t *sessionTable) init() {
	for i := range t.shards {
		t.shards[i].byID = make(map[string]*session)
	}
}

func (t *sessionTable) shard(id string) *sessionShard {
	return &t.shards[xxhash.Sum64String(id)%sessionShards]
}

func (t *sessionTable) insert(s *session) {
	shard := t.shard(s.id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.byID[s.id] = s
}

func (t *sessionTable) get(id string) *session {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.byID[id]
}

func (t *sessionTable) remove(id string) {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.byID, id)
}
