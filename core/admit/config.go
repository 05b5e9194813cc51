package admit

import (
	"time"

	"github.com/wheatseam/wheatseam/bundle"
)

// Defaults of Config.
const (
	defaultQueuePerSlot  = 16
	defaultMinQueue      = 64
	defaultMaxRetryAfter = 30 * time.Second
)

// Config holds the settings of a Controller; zero fields take the defaults.
type Config struct {
	// QueuePerSlot bounds a pool's queue as a multiple of its limit.
	QueuePerSlot int
	// MinQueue is the least bound of a pool's queue, in tickets.
	MinQueue int
	// MaxRetryAfter caps the advice to come back later.
	MaxRetryAfter time.Duration
}

func (c Config) withDefaults() Config {
	if c.QueuePerSlot == 0 {
		c.QueuePerSlot = defaultQueuePerSlot
	}
	if c.MinQueue == 0 {
		c.MinQueue = defaultMinQueue
	}
	if c.MaxRetryAfter == 0 {
		c.MaxRetryAfter = defaultMaxRetryAfter
	}
	return c
}

// Shares says which fraction, 0 to 1, of the fleet's limits this daemon may
// use at a time. Implementations are immutable and safe for concurrent use.
type Shares interface {
	// Pool returns the fraction of a pool's concurrency.
	Pool(now time.Time, pool string) float64
	// Customer returns the fraction of a customer's requests per second.
	Customer(now time.Time, customer string) float64
}

// equalShares gives each host of the bundle the same fraction. Its sum over
// the fleet keeps every limit without a word from another daemon.
type equalShares float64

func (s equalShares) Pool(time.Time, string) float64     { return float64(s) }
func (s equalShares) Customer(time.Time, string) float64 { return float64(s) }

// The margins on expected service times, between which the objective weighs.
const (
	// minMargin applies when only attainment counts: a request is tried
	// while it is expected to make it.
	minServiceMargin = 0.05
	// maxMargin applies when only cost counts: a request is tried only when
	// it is rather sure to make it, so that less work is wasted.
	maxServiceMargin = 0.25
)

// margin returns by how much expected service times are raised in every
// prediction, as a fraction of them.
func serviceMargin(o bundle.Objective) float64 {
	sum := o.Attainment + o.CostByStage
	if sum <= 0 {
		return minServiceMargin
	}
	return minServiceMargin + (maxServiceMargin-minServiceMargin)*o.CostByStage/sum
}
