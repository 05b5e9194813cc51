package admit

import (
	"container/heap"
	"time"

	"github.com/wheatseam/wheatseam/core/request"
)

// fairWindow is how many mean services a customer may be served ahead of the
// least served one when its ticket is more urgent.
const fairWindow = 2.0

// ticketKey identifies a ticket.
type ticketKey struct {
	request string
	stage   string
	attempt int
}

func keyOf(t request.Ticket) ticketKey {
	return ticketKey{t.Request, t.Stage, t.Attempt}
}

// item is one queued ticket.
type item struct {
	ticket request.Ticket
	// startBy is the last time at which a start still meets the deadline.
	startBy time.Time
	queued  time.Time
	index   int
	owner   *backlog
}

// backlog is the queue of one customer, earliest feasible start first.
type backlog struct {
	customer string
	weight   float64
	// served is the customer's virtual time: service seconds over weight.
	served float64
	items  []*item
	// slot is the position in queue.active, -1 while empty.
	slot int
}

func (b *backlog) Len() int           { return len(b.items) }
func (b *backlog) Less(i, j int) bool { return b.items[i].startBy.Before(b.items[j].startBy) }
func (b *backlog) Swap(i, j int) {
	b.items[i], b.items[j] = b.items[j], b.items[i]
	b.items[i].index, b.items[j].index = i, j
}

// Push implements heap.Interface.
func (b *backlog) Push(x any) {
	it := x.(*item)
	it.index = len(b.items)
	b.items = append(b.items, it)
}

// Pop implements heap.Interface.
func (b *backlog) Pop() any {
	last := len(b.items) - 1
	it := b.items[last]
	b.items[last] = nil
	b.items = b.items[:last]
	return it
}

// queue holds the waiting tickets of a pool. Customers are served by virtual
// time, so that each gets its weighted share while all are backlogged; among
// those within fairWindow of the least served, the earliest feasible start
// goes first. It is guarded by the lock of its pool.
type queue struct {
	byKey     map[ticketKey]*item
	customers map[string]*backlog
	active    []*backlog
	// virtual is the virtual time of the least served customer at the last
	// pop; a customer that was idle starts from there, not from its past.
	virtual float64
}

func newQueue() *queue {
	return &queue{byKey: map[ticketKey]*item{}, customers: map[string]*backlog{}}
}

func (q *queue) len() int { return len(q.byKey) }

func (q *queue) push(it *item, weight float64) {
	b := q.customers[it.ticket.Customer]
	if b == nil {
		b = &backlog{customer: it.ticket.Customer, slot: -1}
		q.customers[b.customer] = b
	}
	b.weight = weight
	if b.slot < 0 {
		b.served = max(b.served, q.virtual)
		b.slot = len(q.active)
		q.active = append(q.active, b)
	}
	it.owner = b
	heap.Push(b, it)
	q.byKey[keyOf(it.ticket)] = it
}

func (q *queue) remove(it *item) {
	b := it.owner
	heap.Remove(b, it.index)
	delete(q.byKey, keyOf(it.ticket))
	if len(b.items) > 0 {
		return
	}
	last := q.active[len(q.active)-1]
	q.active[b.slot] = last
	last.slot = b.slot
	q.active = q.active[:len(q.active)-1]
	b.slot = -1
}

// pop takes the next ticket out and charges its customer for it; nil when
// nothing waits.
func (q *queue) pop() *item {
	if len(q.active) == 0 {
		return nil
	}
	it := q.next()
	b := it.owner
	b.served += it.ticket.Expected.Seconds() / b.weight
	q.remove(it)
	return it
}

// next chooses the ticket to serve.
func (q *queue) next() *item {
	least, allowance := q.active[0].served, 0.0
	for _, b := range q.active {
		least = min(least, b.served)
		allowance += b.items[0].ticket.Expected.Seconds() / b.weight
	}
	q.virtual = least
	bound := least + fairWindow*allowance/float64(len(q.active))
	var best *item
	for _, b := range q.active {
		head := b.items[0]
		if b.served <= bound && (best == nil || before(head, best)) {
			best = head
		}
	}
	return best
}

// before orders by earliest feasible start, then by customer so that equal
// inputs give equal decisions.
func before(a, b *item) bool {
	if !a.startBy.Equal(b.startBy) {
		return a.startBy.Before(b.startBy)
	}
	return a.owner.customer < b.owner.customer
}

// longest returns the customer whose queue is longest for its weight.
func (q *queue) longest() *backlog {
	var worst *backlog
	for _, b := range q.active {
		if worst == nil || b.load() > worst.load() ||
			b.load() == worst.load() && b.customer < worst.customer {
			worst = b
		}
	}
	return worst
}

func (b *backlog) load() float64 { return float64(len(b.items)) / b.weight }

// leastUrgent returns the ticket with the latest feasible start.
func (b *backlog) leastUrgent() *item {
	worst := b.items[0]
	for _, it := range b.items {
		if it.startBy.After(worst.startBy) {
			worst = it
		}
	}
	return worst
}

// expired takes out every ticket whose feasible start has passed.
func (q *queue) expired(now time.Time) []*item {
	var out []*item
	for i := len(q.active) - 1; i >= 0; i-- {
		b := q.active[i]
		for len(b.items) > 0 && b.items[0].startBy.Before(now) {
			it := b.items[0]
			q.remove(it)
			out = append(out, it)
		}
	}
	return out
}
