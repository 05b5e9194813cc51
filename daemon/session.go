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

// maxQueuedOutput bounds the parts of a stream that are queued for a slow caller.
const maxQueuedOutput = 64

// session holds the I/O state of one request: its running calls, its timers and the
// output to its caller.
type session struct {
	id      string
	sub     caller.Submission
	digest  [32]byte
	clients *clients

	// forwardedAttempt is the attempt whose stream is sent to the caller, or 0.
	forwardedAttempt atomic.Int64
	output           chan outputPart
	finalAnswers     chan finalAnswer
	// done is closed when the request has its final answer.
	done chan struct{}

	// trialFingerprint allows one call of the quarantined stage with that
	// fingerprint; nil if no trial was granted.
	trialFingerprint atomic.Pointer[poison.Fingerprint]

	mu          sync.Mutex
	cancelFuncs map[int]context.CancelFunc
	timers      []*clock.Timer
}

// outputPart is a part of a stream, or a reset of the stream.
type outputPart struct {
	text  string
	reset bool
}

// finalAnswer is the outcome of a request. Exactly one field is set.
type finalAnswer struct {
	answer *request.Answer
	err    *problem.Error
}

func newSession(sub caller.Submission, digest [32]byte, c *clients) *session {
	// Only streaming requests need the queue, which takes 1.5 kB per request.
	queue := 0
	if sub.Stream {
		queue = maxQueuedOutput
	}
	return &session{
		id: sub.RequestID, sub: sub, digest: digest, clients: c,
		output: make(chan outputPart, queue), finalAnswers: make(chan finalAnswer, 1),
		done: make(chan struct{}), cancelFuncs: make(map[int]context.CancelFunc),
	}
}

// sendOutput queues a part for the caller and blocks while the queue is full.
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
	s.cancelFuncs[attempt] = cancel
}

// cancel cancels a call. It does nothing if the call has already ended.
func (s *session) cancel(attempt int) {
	s.mu.Lock()
	cancel := s.cancelFuncs[attempt]
	delete(s.cancelFuncs, attempt)
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

const sessionShards = 64

// sessionTable maps request ids to sessions.
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
