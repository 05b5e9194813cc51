package admit

import (
	"time"

	"github.com/wheatseam/wheatseam/bundle"
)

// Default values of Config.
const (
	defaultQueuePerSlot  = 16
	defaultMinQueue      = 64
	defaultMaxRetryAfter = 30 * time.Second
)

// Config holds the settings of a Controller. Zero fields are replaced by defaults.
type Config struct {
	// QueuePerSlot is the maximum length of a pool's queue, in tickets per slot
	// of the pool's concurrency limit.
	QueuePerSlot int
	// MinQueue is a lower bound for the maximum length of a pool's queue, in
	// tickets.
	MinQueue int
	// MaxRetryAfter is the maximum RetryAfter of a refusal.
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

// Shares returns the fraction, from 0 to 1, of each fleet-wide limit that this
// daemon may use at a given time. Implementations are immutable and safe for
// concurrent use.
type Shares interface {
	// Pool returns the share of a pool's concurrency limit.
	Pool(now time.Time, pool string) float64
	// Customer returns the share of a customer's limit on requests per second.
	Customer(now time.Time, customer string) float64
}

// equalShares gives each host of the bundle the same share. The shares of all
// hosts add up to 1, so the fleet keeps every limit even if the daemons do not
// communicate.
type equalShares float64

func (s equalShares) Pool(time.Time, string) float64     { return float64(s) }
func (s equalShares) Customer(time.Time, string) float64 { return float64(s) }

// Safety margins on expected service times, as a fraction of them. The objective's
// weights interpolate between the two.
const (
	// minServiceMargin applies if only attainment has weight: a request is admitted
	// as long as it is expected to meet its deadline.
	minServiceMargin = 0.05
	// maxServiceMargin applies if only cost has weight: a request is admitted only
	// if it is likely to meet its deadline, so that less work is wasted.
	maxServiceMargin = 0.25
)

// serviceMargin returns the fraction by which every forecast increases the expected
// service times.
func serviceMargin(o bundle.Objective) float64 {
	sum := o.Attainment + o.CostByStage
	if sum <= 0 {
		return minServiceMargin
	}
	return minServiceMargin + (maxServiceMargin-minServiceMargin)*o.CostByStage/sum
}
