package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/holdings"
	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/logging"
)

// heldMemoryRatio is the fraction of limits.memory_mb that this host holds for others at most. The
// rest is for its own state, for garbage that is not yet collected, and for bytes in sockets.
const heldMemoryRatio = 0.4

// pieceMemoryRatio is the fraction of the held memory for the pieces of planned jobs.
const pieceMemoryRatio = 0.25

// maxGrowthWait is how long a buffer of unknown final size waits for more memory: incomplete ones
// may all wait for each other.
const maxGrowthWait = time.Second

// heldBytes is the number of bytes that a host of the settings holds for others at most.
func heldBytes(s *Settings) int64 {
	return int64(heldMemoryRatio * float64(s.Limits.memoryBytes()))
}

// maxPieces is the number of pieces that a host of the settings plans at most.
func maxPieces(s *Settings) int {
	return int(pieceMemoryRatio * float64(heldBytes(s)) / stage.PieceBytes)
}

// memory is the account of the bytes that this host holds for others. It is safe for concurrent
// use.
type memory struct {
	metrics *metrics.Set
	// measure sets the bytes of the kinds that other parts of the host measure. It must not block.
	measure func(a *holdings.Account)

	mu      sync.Mutex
	account *holdings.Account
	// waiting has the channels that are closed when an ask is granted.
	waiting map[uint64]chan struct{}
	// retained has the functions that give a copy up, by the ID under which it is retained. They
	// are called without mu.
	retained map[uint64]func()
	nextID   uint64
}

func newMemory(limit int64, set *metrics.Set) *memory {
	return &memory{
		metrics: set, account: holdings.New(holdings.Config{Limit: limit}), waiting: map[uint64]chan struct{}{}, retained: map[uint64]func(){},
	}
}

// memoryRefusal says that an ask was not granted.
type memoryRefusal struct {
	ask holdings.Ask
	// expectedWait is the time after which there is expected to be room; 0 if it is not known.
	expectedWait time.Duration
	waited       time.Duration
}

// Error implements error.
func (e *memoryRefusal) Error() string {
	return fmt.Sprintf("%v: %d bytes for %s, waited %v, room expected after %v", httpbody.ErrNoMemory, e.ask.Bytes, e.ask.Kind, e.waited.Round(time.Millisecond), e.expectedWait.Round(time.Millisecond))
}

// Unwrap returns httpbody.ErrNoMemory.
func (e *memoryRefusal) Unwrap() error { return httpbody.ErrNoMemory }

// take takes memory, and waits for it if need be. It returns how long it waited, and a
// *memoryRefusal if there is none by then.
func (m *memory) take(ctx context.Context, q holdings.Ask) (waited time.Duration, err error) {
	began := clock.Now()
	m.mu.Lock()
	m.updateMeasured()
	d := m.account.Ask(began, q)
	m.notify(d.Others)
	var granted chan struct{}
	if d.Verdict == holdings.Waits {
		granted = make(chan struct{})
		m.waiting[d.ID] = granted
	}
	giveUp := m.takeRetained(d.GiveUp)
	m.mu.Unlock()
	for _, f := range giveUp {
		f()
	}
	switch d.Verdict {
	case holdings.Granted:
		return 0, nil
	case holdings.Refused:
		m.count("wheatseam_memory_refused_total", q.Kind)
		return 0, &memoryRefusal{ask: q, expectedWait: d.ExpectedWait}
	}
	m.count("wheatseam_memory_waits_total", q.Kind)
	if m.awaitGrant(ctx, d.ID, granted, q.WaitUntil) {
		return clock.Since(began), nil
	}
	m.count("wheatseam_memory_refused_total", q.Kind)
	return clock.Since(began), &memoryRefusal{ask: q, expectedWait: d.ExpectedWait, waited: clock.Since(began)}
}

// awaitGrant waits until an ask is granted, and reports whether it was.
func (m *memory) awaitGrant(ctx context.Context, id uint64, granted <-chan struct{}, until time.Time) bool {
	timer := clock.NewTimer(clock.Until(until))
	defer timer.Stop()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	withdrawn, others := m.account.Withdraw(id)
	delete(m.waiting, id)
	m.notify(others)
	return !withdrawn
}

// release returns memory that was taken.
func (m *memory) release(k holdings.Kind, customer string, bytes int64) {
	if bytes == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateMeasured()
	m.notify(m.account.Release(clock.Now(), k, customer, bytes))
}

// notify wakes asks that were granted. mu must be held.
func (m *memory) notify(granted []uint64) {
	for _, id := range granted {
		if c := m.waiting[id]; c != nil {
			close(c)
			delete(m.waiting, id)
		}
	}
}

// updateMeasured updates what is measured elsewhere. mu must be held.
func (m *memory) updateMeasured() {
	if m.measure != nil {
		m.measure(m.account)
	}
}

// retain notes that only a retry would need a body. giveUp is called at most once, by another
// goroutine, if the memory is wanted. need ends it.
func (m *memory) retain(customer string, bytes int64, giveUp func()) (need func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextID++
	id := m.nextID
	m.retained[id] = giveUp
	m.account.Retain(id, customer, bytes)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.account.Need(id)
		delete(m.retained, id)
	}
}

// takeRetained removes and returns the functions that give copies up. mu must be held.
func (m *memory) takeRetained(ids []uint64) (giveUp []func()) {
	for _, id := range ids {
		if f := m.retained[id]; f != nil {
			giveUp = append(giveUp, f)
			delete(m.retained, id)
		}
	}
	return giveUp
}

func (m *memory) count(name string, k holdings.Kind) {
	m.metrics.GetOrCreateCounter(fmt.Sprintf("%s{kind=%q}", name, k)).Inc()
}

// maxDumpedCustomers bounds the customers in a state dump.
const maxDumpedCustomers = 20

func (m *memory) state() holdings.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateMeasured()
	return m.account.State(clock.Now(), maxDumpedCustomers)
}

// registerGauges registers the gauges of the account.
func (m *memory) registerGauges() {
	gauge := func(name string, f func(a *holdings.Account) float64) {
		m.metrics.GetOrCreateGauge(name, func() float64 {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.updateMeasured()
			return f(m.account)
		})
	}
	for _, k := range holdings.Kinds() {
		gauge(fmt.Sprintf("wheatseam_memory_held_bytes{kind=%q}", k), func(a *holdings.Account) float64 { return float64(a.Held(k)) })
	}
	gauge("wheatseam_memory_limit_bytes", func(a *holdings.Account) float64 { return float64(a.Limit()) })
	gauge("wheatseam_memory_waiting", func(a *holdings.Account) float64 { return float64(a.Waiting()) })
}

// buffer is memory for one buffer. It is used by one goroutine and implements httpbody.Memory. The
// zero value has no limit.
type buffer struct {
	m        *memory
	ctx      context.Context
	kind     holdings.Kind
	customer string
	route    string
	// until is how long the buffer may wait for memory.
	until time.Time
	held  int64
	// waited is how long it has waited.
	waited time.Duration
}

// Take implements httpbody.Memory.
func (b *buffer) Take(n int64) error {
	if b.m == nil {
		return nil
	}
	until := b.until
	if limit := clock.Now().Add(maxGrowthWait); b.held > 0 && until.After(limit) {
		until = limit
	}
	waited, err := b.m.take(b.ctx, holdings.Ask{Kind: b.kind, Customer: b.customer, Route: b.route, Bytes: n, WaitUntil: until})
	b.waited += waited
	if err != nil {
		return err
	}
	b.held += n
	return nil
}

// Release implements httpbody.Memory.
func (b *buffer) Release(n int64) {
	if b.m == nil {
		return
	}
	b.held -= n
	b.m.release(b.kind, b.customer, n)
}

// releaseAll releases what is held.
func (b *buffer) releaseAll() { b.Release(b.held) }

// logMemory logs that a buffer waited for memory, or was denied it.
func (x *exchange) logMemory(b *buffer, bytes int64, err error) {
	var refusal *memoryRefusal
	switch {
	case errors.As(err, &refusal):
		x.g.log.Warn("no memory for others' bytes", logging.Request(x.req.ID), zap.Stringer("kind", b.kind), zap.String("customer", b.customer),
			zap.Int64("bytes", bytes), zap.Duration("waited", b.waited), zap.Duration("room_after", refusal.expectedWait))
	case b.waited > 0:
		x.g.log.Info("waited for memory", logging.Request(x.req.ID), zap.Stringer("kind", b.kind), zap.String("customer", b.customer),
			zap.Int64("bytes", bytes), zap.Duration("waited", b.waited))
	}
}
