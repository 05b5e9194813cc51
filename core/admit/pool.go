package admit

import (
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/problem"
)

// pool is one shard: everything that admission knows of one pool.
type pool struct {
	name string

	mu       sync.Mutex
	limiter  *limiter
	queue    *queue
	planned  *planned
	inFlight int
	// answered holds tickets that lost their place, until the next Tick or
	// Release carries them out.
	answered []request.Grant
	// offered is the service time, in seconds, that arrivals asked for.
	offered decayed
	// finished counts calls that released their slot.
	finished decayed
}

func newPool(p *bundle.Pool) *pool {
	return &pool{name: p.Name, limiter: newLimiter(p), queue: newQueue(), planned: newPlanned()}
}

// idle says that nothing refers to the pool any more. The caller holds mu.
func (p *pool) idle() bool {
	return p.inFlight == 0 && p.queue.len() == 0 && len(p.answered) == 0 && len(p.planned.calls) == 0
}

// slots returns this daemon's concurrency limit, never below 1. The caller
// holds mu.
func (p *pool) slots(fraction float64) float64 {
	return max(1, p.limiter.estimate*fraction)
}

// full says whether every slot is in use. A limit that is not whole is
// rounded to the nearest. The caller holds mu.
func (p *pool) full(slots float64) bool {
	return float64(p.inFlight) > slots-0.5
}

// service returns the usual service time in seconds: measured, or else the
// given expectation. The caller holds mu.
func (p *pool) service(expected time.Duration) float64 {
	if p.limiter.mean > 0 {
		return p.limiter.mean
	}
	return expected.Seconds()
}

// enqueue queues t, making room at the cost of the customer with the longest
// queue for its weight. It returns false when that is t's own customer. The
// caller holds mu.
func (p *pool) enqueue(now time.Time, t request.Ticket, startBy time.Time, weight float64, bound int) bool {
	if p.queue.len() >= bound && !p.makeRoom(t.Customer, weight) {
		return false
	}
	p.queue.push(&item{ticket: t, startBy: startBy, queued: now}, weight)
	return true
}

func (p *pool) makeRoom(customer string, weight float64) bool {
	worst := p.queue.longest()
	if worst == nil || worst.customer == customer {
		return false
	}
	own := 1 / weight
	if b := p.queue.customers[customer]; b != nil {
		own += b.load()
	}
	if worst.load() <= own {
		return false
	}
	it := worst.leastUrgent()
	p.queue.remove(it)
	err := problem.New(problem.Overloaded, "the queue of pool %s is full", p.name)
	p.answered = append(p.answered, request.Grant{Ticket: it.ticket, Err: err})
	return true
}

// pump answers tickets that can no longer make it, then grants free slots.
// The caller holds mu.
func (p *pool) pump(now time.Time, slots float64, retryAfter time.Duration) []request.Grant {
	out := p.answered
	p.answered = nil
	for _, it := range p.queue.expired(now) {
		err := problem.New(problem.Overloaded, "no slot of pool %s became free in time", p.name)
		err.RetryAfter = retryAfter
		out = append(out, request.Grant{Ticket: it.ticket, Err: err})
	}
	for !p.full(slots) {
		it := p.queue.pop()
		if it == nil {
			break
		}
		p.inFlight++
		out = append(out, request.Grant{Ticket: it.ticket})
	}
	return out
}

// drainTime returns how long the queue takes to empty at the measured rate.
// The caller holds mu.
func (p *pool) drainTime(slots float64) time.Duration {
	return seconds(float64(p.queue.len()+1) * p.service(0) / slots)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
