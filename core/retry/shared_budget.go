package retry

import (
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/core/request"
)

// SharedBudget is one daemon's share of a budget that covers the whole fleet: in each
// window the fleet sends at most ratio extra attempts per first attempt, plus slack. The
// daemons need no coordination, since the slack is divided by their number. A SharedBudget
// is safe for concurrent use.
//
// A daemon accumulates at most half of its share of the slack and refills half of it per
// window, so that no window, wherever it begins, allows more than the whole share.
type SharedBudget struct {
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

var _ request.Budget = (*SharedBudget)(nil)

// NewSharedBudget returns a full share of a budget of ratio extra attempts per first
// attempt, plus slack extra attempts per window, which is divided among the given number of
// hosts.
func NewSharedBudget(ratio, slack float64, window time.Duration, hosts int) *SharedBudget {
	b := &SharedBudget{ratio: ratio, slack: slack, window: window, hosts: max(1, hosts)}
	b.tokens = b.capacity()
	return b
}

// capacity is the maximum number of tokens from the slack that accumulate, and the number
// that is refilled per window.
func (b *SharedBudget) capacity() float64 { return b.slack / float64(b.hosts) / 2 }

// SetHosts changes the number of daemons that share the budget.
func (b *SharedBudget) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, hosts)
	b.tokens = min(b.tokens, max(1, b.capacity()))
}

// Deposit implements request.Budget.
func (b *SharedBudget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	// A capacity below one token would never allow an extra attempt, so deposits may
	// accumulate up to one token.
	b.tokens = min(max(1, b.capacity()), b.tokens+b.ratio)
}

// Withdraw implements request.Budget.
func (b *SharedBudget) Withdraw(now time.Time) bool {
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

// ForceWithdraw withdraws an extra attempt even if no token is left. The balance then
// becomes negative and must be refilled before another extra attempt is allowed.
func (b *SharedBudget) ForceWithdraw(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens--
	b.withdrawn++
}

// Refund refunds an extra attempt that was withdrawn but not sent.
func (b *SharedBudget) Refund(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(max(1, b.capacity()), b.tokens+1)
	b.withdrawn--
}

// refill adds the tokens of the slack that are due for the time since the last call.
func (b *SharedBudget) refill(now time.Time) {
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) && b.tokens < b.capacity() {
		back := b.capacity() * float64(now.Sub(b.lastRefill)) / float64(b.window)
		b.tokens = min(b.capacity(), b.tokens+back)
	}
	if now.After(b.lastRefill) {
		b.lastRefill = now
	}
}

// Stats returns the current state of the budget.
func (b *SharedBudget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Ratio: b.ratio, Tokens: b.tokens, Taken: b.withdrawn, Denied: b.denied}
}
