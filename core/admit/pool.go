package admit

import (
	"math"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/problem"
)

// pool is the admission state of one pool of the bundle. It is one shard of the
// Controller; mu guards all fields except name and cfg.
type pool struct {
	name string
	cfg  Config

	mu           sync.Mutex
	limiter      *limiter
	queue        *queue
	reservations *reservations
	inFlight     int
	// evicted holds the refusals of tickets that were evicted from the queue. The
	// next Tick or Release returns them.
	evicted []request.Grant
	// offeredWork is the expected service time of arriving requests, in seconds,
	// including those that are refused.
	offeredWork decayingSum
	// finishedCalls counts calls that released their slot.
	finishedCalls decayingSum
}

func newPool(p *bundle.Pool, cfg Config) *pool {
	return &pool{name: p.Name, cfg: cfg, limiter: newLimiter(p), queue: newQueue(), reservations: newReservations()}
}

// unused reports whether nothing refers to the pool any more. The caller must hold mu.
func (p *pool) unused() bool {
	return p.inFlight == 0 && p.queue.len() == 0 && len(p.evicted) == 0 && len(p.reservations.calls) == 0
}

// slots returns this daemon's concurrency limit for the pool, which is at least 1.
// share is this daemon's share of the pool. The caller must hold mu.
func (p *pool) slots(share float64) float64 {
	return max(1, p.limiter.estimate*share)
}

// overShareDeviations is the number of standard deviations by which the calls at one
// host may exceed its share of the pool. See atLimit.
const overShareDeviations = 2.0

// atLimit reports whether all slots of this daemon are in use. A fractional limit is
// rounded to the nearest integer. The caller must hold mu.
//
// The number of the pool's calls that run at one host varies randomly. Without an
// allowance for that, calls would wait at one host while slots of other hosts are
// idle. With it, a few calls wait at the upstreams when the whole pool is at its
// limit. A host with the whole pool as its share gets no allowance.
func (p *pool) atLimit(share float64) bool {
	spread := math.Sqrt(p.limiter.estimate * share * max(0, 1-share))
	return float64(p.inFlight) > p.slots(share)+overShareDeviations*spread-0.5
}

// meanServiceTime returns the measured mean service time in seconds, or the expected
// one if nothing was measured yet. The caller must hold mu.
func (p *pool) meanServiceTime(expected time.Duration) float64 {
	if p.limiter.latency.mean > 0 {
		return p.limiter.latency.mean
	}
	return expected.Seconds()
}

// enqueue adds t to the queue. If the queue is full, it evicts a ticket of the
// customer with the longest queue relative to its weight. It returns false, and t is
// not queued, if that is t's own customer, or if the queue of t's customer would
// become at least as long with t. The caller must hold mu.
func (p *pool) enqueue(now time.Time, t request.Ticket, latestStart time.Time, weight, slots float64) bool {
	bound := max(p.cfg.MinQueue, int(slots)*p.cfg.QueuePerSlot)
	if p.queue.len() >= bound && !p.evictFor(t.Customer, weight, slots) {
		return false
	}
	p.queue.push(&queuedTicket{ticket: t, latestStart: latestStart, queuedAt: now}, weight)
	return true
}

func (p *pool) evictFor(customer string, weight, slots float64) bool {
	heaviest := p.queue.heaviest()
	if heaviest == nil || heaviest.customer == customer {
		return false
	}
	load := 1 / weight
	if ownQueue := p.queue.customers[customer]; ownQueue != nil {
		load += ownQueue.weightedLength()
	}
	if heaviest.weightedLength() <= load {
		return false
	}
	it := heaviest.leastUrgent()
	p.queue.remove(it)
	p.evicted = append(p.evicted, request.Grant{Ticket: it.ticket, Err: p.queueFullError(it.ticket, slots)})
	return true
}

// processQueue returns the refusals of evicted tickets and of tickets that can no
// longer meet their deadline, then grants free slots. The caller must hold mu.
func (p *pool) processQueue(now time.Time, share float64) []request.Grant {
	slots := p.slots(share)
	out := p.evicted
	p.evicted = nil
	for _, it := range p.queue.removeExpired(now) {
		err := p.overloadedError(it.ticket, slots, "no slot of pool %s became free in time", p.name)
		out = append(out, request.Grant{Ticket: it.ticket, Err: err})
	}
	for !p.atLimit(share) {
		it := p.queue.pop()
		if it == nil {
			break
		}
		p.inFlight++
		out = append(out, request.Grant{Ticket: it.ticket})
	}
	return out
}

// overloadedError returns the refusal of a ticket. Its RetryAfter is the time to drain
// the queue at the mean service time. The caller must hold mu.
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
