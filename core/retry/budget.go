// Package retry bounds the extra attempts, retries and hedges, that a daemon
// sends: decision core without I/O, clock or goroutine.
//
// A Budget is a share of the first attempts, not a count by request: when all
// calls fail, each request may still want its three attempts, but the daemon
// sends no more than the share on top of its first attempts. Each daemon keeps
// its own budget and tells nobody. Since every daemon's extra attempts are at
// most the share of its own first attempts, the fleet's are at most the same
// share of the fleet's, however the balancer spreads the requests and however
// the network is cut; only the floors add up, floor times the daemons.
package retry

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wheatseam/wheatseam/core/request"
)

const (
	// DefaultFloor is the number of extra attempts a second that a daemon may
	// send whatever its traffic: a share of a few requests would be none.
	DefaultFloor = 0.2
	// floorBurst is the number of extra attempts that the floor saves up.
	floorBurst = 1
	// DefaultBurst is the number of extra attempts that a quiet time saves up.
	DefaultBurst = 20
)

// Budget implements request.Budget as a token bucket that first attempts fill.
// It may be used concurrently.
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

// New returns a budget of ratio (0 to 1) extra attempts for each first attempt,
// of which burst at most are saved up, and floor extra attempts a second on
// top. A ratio of 0 allows none at all, the floor's neither.
func New(ratio, floor, burst float64) *Budget {
	b := &Budget{burst: max(1, burst), floor: rate.NewLimiter(rate.Limit(floor), floorBurst)}
	if floor <= 0 {
		b.floor.SetBurst(0)
	}
	b.SetRatio(ratio)
	return b
}

// SetRatio changes the ratio, for a new bundle; what is saved up stays.
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

// Stats is a budget as the state dump shows it.
type Stats struct {
	Ratio  float64 `json:"ratio"`
	Tokens float64 `json:"tokens"`
	// Taken and Denied count extra attempts since the start.
	Taken  uint64 `json:"taken"`
	Denied uint64 `json:"denied"`
}

// Stats returns the budget's figures.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Ratio: b.ratio, Tokens: b.tokens, Taken: b.withdrawn, Denied: b.denied}
}

// Budgets are the two budgets of a daemon. They are kept apart so that a storm
// of retries does not take the hedges' share, and hedges not that of retries.
type Budgets struct {
	Retry *Budget
	Hedge *Budget
}

// NewBudgets returns both budgets with the given ratios and the defaults.
func NewBudgets(retryRatio, hedgeRatio float64) Budgets {
	return Budgets{
		Retry: New(retryRatio, DefaultFloor, DefaultBurst),
		Hedge: New(hedgeRatio, DefaultFloor, DefaultBurst),
	}
}
