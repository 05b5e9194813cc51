package admit

import (
	"math"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/problem"
)

// pool is one shard: everything that admission knows of one pool.
type pool struct {
	name string
	cfg  Config

	mu           sync.Mutex
	limiter      *limiter
	queue        *queue
	reservations *reservations
	inFlight     int
	// answered holds tickets that lost their place, until the next Tick or
	// Release carries them out.
	evicted []request.Grant
	// offered is the service time, in seconds, that arrivals asked for.
	offeredWork decayingSum
	// finished counts calls that released their slot.
	finishedCalls decayingSum
}

func newPool(p *bundle.Pool, cfg Config) *pool {
	return &pool{name: p.Name, cfg: cfg, limiter: newLimiter(p), queue: newQueue(), reservations: newReservations()}
}

// idle says that nothing refers to the pool any more. The caller holds mu.
func (p *pool) unused() bool {
	return p.inFlight == 0 && p.queue.len() == 0 && len(p.evicted) == 0 && len(p.reservations.calls) == 0
}

// slots returns this daemon's concurrency limit, never below 1. The caller
// holds mu.
func (p *pool) slots(fraction float64) float64 {
	return max(1, p.limiter.estimate*fraction)
}

// spreadDeviations is how many standard deviations of its random part of the
// pool's calls a host may exceed its share by.
const burstDeviationsPerHost = 2.0

// full says whether every slot is in use. A limit that is not whole is
// rounded to the nearest. The caller holds mu.
//
// Of the calls that the whole pool runs, the part that is at one host varies by
// chance. Without an allowance for it calls would wait at one host for slots
// that others leave idle; with it, a few wait at the upstreams when the pool is
// full. A host that has the whole pool needs none.
func (p *pool) atLimit(fraction float64) bool {
	spread := math.Sqrt(p.limiter.estimate * fraction * max(0, 1-fraction))
	return float64(p.inFlight) > p.slots(fraction)+burstDeviationsPerHost*spread-0.5
}

// service returns the usual service time in seconds: measured, or else the
// given expectation. The caller holds mu.
func (p *pool) meanServiceTime(expected time.Duration) float64 {
	if p.limiter.latency.mean > 0 {
		return p.limiter.latency.mean
	}
	return expected.Seconds()
}

// enqueue queues t, making room at the cost of the customer with the longest
// queue for its weight. It returns false when that is t's own customer. The
// caller holds mu.
func (p *pool) enqueue(now time.Time, t request.Ticket, startBy time.Time, weight, slots float64) bool {
	bound := max(p.cfg.MinQueue, int(slots)*p.cfg.QueuePerSlot)
	if p.queue.len() >= bound && !p.evictFor(t.Customer, weight, slots) {
		return false
	}
	p.queue.push(&queuedTicket{ticket: t, latestStart: startBy, queuedAt: now}, weight)
	return true
}

func (p *pool) evictFor(customer string, weight, slots float64) bool {
	worst := p.queue.heaviest()
	if worst == nil || worst.customer == customer {
		return false
	}
	own := 1 / weight
	if b := p.queue.customers[customer]; b != nil {
		own += b.weightedLength()
	}
	if worst.weightedLength() <= own {
		return false
	}
	it := worst.leastUrgent()
	p.queue.remove(it)
	p.evicted = append(p.evicted, request.Grant{Ticket: it.ticket, Err: p.queueFullError(it.ticket, slots)})
	return true
}

// pump answers tickets that can no longer make it, then grants free slots.
// The caller holds mu.
func (p *pool) processQueue(now time.Time, fraction float64) []request.Grant {
	slots := p.slots(fraction)
	out := p.evicted
	p.evicted = nil
	for _, it := range p.queue.removeExpired(now) {
		err := p.overloadedError(it.ticket, slots, "no slot of pool %s became free in time", p.name)
		out = append(out, request.Grant{Ticket: it.ticket, Err: err})
	}
	for !p.atLimit(fraction) {
		it := p.queue.pop()
		if it == nil {
			break
		}
		p.inFlight++
		out = append(out, request.Grant{Ticket: it.ticket})
	}
	return out
}

// overloaded refuses a ticket and says how long the queue takes to drain at the
// measured rate. The caller holds mu.
func (p *pool) overloadedError(t request.Ticket, slots float64, format string, args ...any) *problem.Error {
	err := problem.New(problem.Overloaded, format, args...)
	drain := seconds(float64(p.queue.len()+1) * p.meanServiceTime(t.Expected) / slots)
	err.RetryAfter = min(drain, p.cfg.MaxRetryAfter)
	return err
}

func (p *pool) queueFullError(t request.Ticket, slots float64) *problem.Error {
	return p.overloadedError(t, slots, "the queue of pool %s is full", p.name)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
