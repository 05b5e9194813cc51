package retry

import (
	"math"
	"slices"
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
//
// In a large fleet half of a share is less than one extra attempt, which would allow none.
// The slack is then divided into whole extra attempts, of which some daemons have one more
// than others, and each daemon sends at most its number in any window.
//
// A daemon that restarts does not know what its earlier process has sent. Its share of the
// slack then begins empty and is refilled from its start; a whole extra attempt is allowed
// after a window. Otherwise daemons that restart several times within a window would send
// the slack each time.
type SharedBudget struct {
	ratio  float64
	slack  float64
	window time.Duration
	// recordedSince is the time since which this daemon knows the extra attempts that its
	// host has sent; zero if it knows them all.
	recordedSince time.Time

	mu     sync.Mutex
	hosts  int
	tokens float64
	// units is this daemon's number of whole extra attempts per window, and unitsUsed are
	// the times of the last ones. They apply while half of a share is less than one.
	units      int
	unitsUsed  []time.Time
	lastRefill time.Time
	// divided says that SetHosts has been called.
	divided   bool
	withdrawn uint64
	denied    uint64
}

var _ request.Budget = (*SharedBudget)(nil)

// NewSharedBudget returns a share of a budget of ratio extra attempts per first attempt,
// plus slack extra attempts per window, which is divided among the given number of hosts.
// recordedSince is the start of the daemon, or zero if no earlier process of its host can
// have sent extra attempts: the share is then full.
func NewSharedBudget(ratio, slack float64, window time.Duration, hosts int, recordedSince time.Time) *SharedBudget {
	b := &SharedBudget{ratio: ratio, slack: slack, window: window, hosts: max(1, hosts), recordedSince: recordedSince, lastRefill: recordedSince}
	if recordedSince.IsZero() {
		b.tokens = b.capacity()
	}
	return b
}

// capacity is the maximum number of tokens from the slack that accumulate, and the number
// that is refilled per window. It is 0 while the slack is divided into whole attempts.
func (b *SharedBudget) capacity() float64 {
	if half := b.slack / float64(b.hosts) / 2; half >= 1 {
		return half
	}
	return 0
}

// SetHosts changes the number of daemons that share the budget. units returns how many of a
// number of extra attempts per window, which all daemons together may send, this daemon may
// send; it is called only if the number of daemons changes.
func (b *SharedBudget) SetHosts(hosts int, units func(total int) int) {
	hosts = max(1, hosts)
	b.mu.Lock()
	defer b.mu.Unlock()
	if hosts == b.hosts && b.divided {
		return
	}
	b.hosts, b.divided = hosts, true
	b.tokens = min(b.tokens, max(1, b.capacity()))
	b.units = 0
	if b.capacity() == 0 {
		b.units = units(int(b.slack))
	}
}

// takeUnit takes one of this daemon's whole extra attempts, if any is left in the window
// that ends now.
func (b *SharedBudget) takeUnit(now time.Time) bool {
	b.unitsUsed = slices.DeleteFunc(b.unitsUsed, func(at time.Time) bool { return now.Sub(at) >= b.window })
	if len(b.unitsUsed) >= b.units || !b.recordedSince.IsZero() && now.Sub(b.recordedSince) < b.window {
		return false
	}
	b.unitsUsed = append(b.unitsUsed, now)
	return true
}

// Deposit implements request.Budget.
func (b *SharedBudget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	// A capacity below one token would never allow an extra attempt, so that deposits may
	// accumulate up to one.
	b.tokens = min(max(1, b.capacity()), b.tokens+b.ratio)
}

// Withdraw implements request.Budget.
func (b *SharedBudget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	switch {
	case b.tokens >= 1:
		b.tokens--
	case b.takeUnit(now):
	default:
		b.denied++
		return false
	}
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
	if b.units > 0 && !b.lastRefill.IsZero() && now.After(b.lastRefill) && b.tokens > 0 {
		// What first attempts deposited counts for about a window. Kept for longer, it would
		// add one extra attempt for every host of a large fleet to those of one window.
		b.tokens *= math.Exp(-float64(now.Sub(b.lastRefill)) / float64(b.window))
	}
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
