// Package retry bounds the extra attempts (retries and hedges) that a daemon sends. It is
// deterministic: it does no I/O, reads no clock and starts no goroutine.
//
// A Budget allows extra attempts as a ratio of the first attempts, instead of a fixed count
// per request: when all calls fail, each request may still want three attempts, but the
// daemon sends only the given ratio on top of its first attempts. Each daemon keeps its own
// budget without coordination. Since the extra attempts of every daemon stay within the
// ratio of its own first attempts, those of the whole fleet stay within the same ratio,
// however the load balancer spreads the requests and however the network is partitioned.
// Only the floors add up, to the floor times the number of daemons.
package retry

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wheatseam/wheatseam/core/request"
)

const (
	// DefaultFloor is the number of extra attempts per second that a daemon may send
	// regardless of its traffic. Without it, a daemon with few requests could send none.
	DefaultFloor = 0.2
	// floorBurst is the maximum number of extra attempts that the floor accumulates.
	floorBurst = 1
	// DefaultBurst is the maximum number of extra attempts that a budget accumulates while
	// they are not used.
	DefaultBurst = 20
)

// Budget implements request.Budget as a token bucket that first attempts fill. It is safe
// for concurrent use.
type Budget struct {
	mu        sync.Mutex
	ratio     float64
	burst     float64
	tokens    float64
	floor     *rate.Limiter
	withdrawn uint64
	denied    uint64
}

var _ request.Budget = (*Budget)(nil)

// New returns a budget of ratio (0 to 1) extra attempts per first attempt, of which at most
// burst accumulate, plus floor extra attempts per second. A ratio of 0 allows no extra
// attempts, not even those of the floor.
func New(ratio, floor, burst float64) *Budget {
	b := &Budget{burst: max(1, burst), floor: rate.NewLimiter(rate.Limit(floor), floorBurst)}
	if floor <= 0 {
		b.floor.SetBurst(0)
	}
	b.SetRatio(ratio)
	return b
}

// SetRatio changes the ratio when a new bundle is applied. Accumulated tokens are kept.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if math.IsNaN(ratio) {
		ratio = 0
	}
	b.ratio = min(1, max(0, ratio))
}

// Deposit implements request.Budget.
func (b *Budget) Deposit(time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Withdraw implements request.Budget.
func (b *Budget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.takeToken(now) {
		b.denied++
		return false
	}
	b.withdrawn++
	return true
}

func (b *Budget) takeToken(now time.Time) bool {
	if b.ratio == 0 {
		return false
	}
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	return b.floor.AllowN(now, 1)
}

// Stats is the state of a budget as shown in the state dump.
type Stats struct {
	Ratio  float64 `json:"ratio"`
	Tokens float64 `json:"tokens"`
	// Taken and Denied count allowed and denied extra attempts since the start of the
	// daemon.
	Taken  uint64 `json:"taken"`
	Denied uint64 `json:"denied"`
}

// Stats returns the current state of the budget.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Ratio: b.ratio, Tokens: b.tokens, Taken: b.withdrawn, Denied: b.denied}
}

// Budgets are the retry and hedge budgets of a daemon. They are separate so that a surge of
// retries cannot use up the budget of hedges, nor hedges that of retries.
type Budgets struct {
	Retry *Budget
	Hedge *Budget
}

// NewBudgets returns both budgets with the given ratios and the default floor and burst.
func NewBudgets(retryRatio, hedgeRatio float64) Budgets {
	return Budgets{
		Retry: New(retryRatio, DefaultFloor, DefaultBurst),
		Hedge: New(hedgeRatio, DefaultFloor, DefaultBurst),
	}
}
