package retry

import (
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/core/request"
)

// Shared is one daemon's part of a budget that holds over the whole fleet: in
// each window the fleet sends at most ratio times its first attempts, plus
// slack, on top of them. Nobody is asked: the slack is divided by the number of
// daemons. It may be used concurrently.
//
// Half of the part is saved up at most, and half comes back in each window, so
// that no window of any position sees more than the whole.
type Shared struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu         sync.Mutex
	hosts      int
	tokens     float64
	lastRefill time.Time
	withdrawn  uint64
	denied     uint64
}

var _ request.Budget = (*Shared)(nil)

// NewShared returns a full part of a budget of ratio, and slack in each window,
// among so many daemons.
func NewShared(ratio, slack float64, window time.Duration, hosts int) *Shared {
	b := &Shared{ratio: ratio, slack: slack, window: window, hosts: max(1, hosts)}
	b.tokens = b.capacity()
	return b
}

// capacity is what is saved up at most, and comes back in each window.
func (b *Shared) capacity() float64 { return b.slack / float64(b.hosts) / 2 }

// SetHosts changes the number of daemons.
func (b *Shared) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, hosts)
	b.tokens = min(b.tokens, max(1, b.capacity()))
}

// Deposit implements request.Budget.
func (b *Shared) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	// A part under one would never allow anything: what first attempts bring
	// may be saved up to one.
	b.tokens = min(max(1, b.capacity()), b.tokens+b.ratio)
}

// Withdraw implements request.Budget.
func (b *Shared) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	b.withdrawn++
	return true
}

// Owe takes a repeat also where none is left. It is paid back before another one is
// allowed.
func (b *Shared) Owe(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens--
	b.withdrawn++
}

// Return gives back a repeat that was withdrawn and not sent.
func (b *Shared) Return(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(max(1, b.capacity()), b.tokens+1)
	b.withdrawn--
}

// refill brings back what the time since the last call does.
func (b *Shared) refill(now time.Time) {
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) && b.tokens < b.capacity() {
		back := b.capacity() * float64(now.Sub(b.lastRefill)) / float64(b.window)
		b.tokens = min(b.capacity(), b.tokens+back)
	}
	if now.After(b.lastRefill) {
		b.lastRefill = now
	}
}

// Stats returns the budget's figures.
func (b *Shared) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Ratio: b.ratio, Tokens: b.tokens, Taken: b.withdrawn, Denied: b.denied}
}
