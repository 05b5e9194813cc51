package admit

import (
	"container/heap"
	"time"

	"github.com/wheatseam/wheatseam/core/request"
)

// fairWindow is how many mean services a customer may be served ahead of the
// least served one when its ticket is more urgent.
const fairnessWindow = 2.0

// ticketKey identifies a ticket.
type ticketKey struct {
	request string
	stage   string
	attempt int
}

func ticketKeyOf(t request.Ticket) ticketKey {
	return ticketKey{t.Request, t.Stage, t.Attempt}
}

// item is one queued ticket.
type queuedTicket struct {
	ticket request.Ticket
	// startBy is the last time at which a start still meets the deadline.
	latestStart time.Time
	queuedAt    time.Time
	index       int
	queue       *customerQueue
}

// backlog is the queue of one customer, earliest feasible start first.
type customerQueue struct {
	customer string
	weight   float64
	// served is the customer's virtual time: service seconds over weight.
	virtualTime float64
	items       []*queuedTicket
	// slot is the position in queue.active, -1 while empty.
	activeIndex int
}

func (b *customerQueue) Len() int { return len(b.items) }
func (b *customerQueue) Less(i, j int) bool {
	return b.items[i].latestStart.Before(b.items[j].latestStart)
}
func (b *customerQueue) Swap(i, j int) {
	b.items[i], b.items[j] = b.items[j], b.items[i]
	b.items[i].index, b.items[j].index = i, j
}

// Push implements heap.Interface.
func (b *customerQueue) Push(x any) {
	it := x.(*queuedTicket)
	it.index = len(b.items)
	b.items = append(b.items, it)
}

// Pop implements heap.Interface.
func (b *customerQueue) Pop() any {
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
	byKey     map[ticketKey]*queuedTicket
	customers map[string]*customerQueue
	active    []*customerQueue
	// virtual is the virtual time of the least served customer at the last
	// pop; a customer that was idle starts from there, not from its past.
	virtualTime float64
}

func newQueue() *queue {
	return &queue{byKey: map[ticketKey]*queuedTicket{}, customers: map[string]*customerQueue{}}
}

func (q *queue) len() int { return len(q.byKey) }

func (q *queue) push(it *queuedTicket, weight float64) {
	b := q.customers[it.ticket.Customer]
	if b == nil {
		b = &customerQueue{customer: it.ticket.Customer, activeIndex: -1}
		q.customers[b.customer] = b
	}
	b.weight = weight
	if b.activeIndex < 0 {
		b.virtualTime = max(b.virtualTime, q.virtualTime)
		b.activeIndex = len(q.active)
		q.active = append(q.active, b)
	}
	it.queue = b
	heap.Push(b, it)
	q.byKey[ticketKeyOf(it.ticket)] = it
}

func (q *queue) remove(it *queuedTicket) {
	b := it.queue
	heap.Remove(b, it.index)
	delete(q.byKey, ticketKeyOf(it.ticket))
	if len(b.items) > 0 {
		return
	}
	last := q.active[len(q.active)-1]
	q.active[b.activeIndex] = last
	last.activeIndex = b.activeIndex
	q.active = q.active[:len(q.active)-1]
	b.activeIndex = -1
}

// pop takes the next ticket out and charges its customer for it; nil when
// nothing waits.
func (q *queue) pop() *queuedTicket {
	if len(q.active) == 0 {
		return nil
	}
	it := q.choose()
	b := it.queue
	b.virtualTime += it.ticket.Expected.Seconds() / b.weight
	q.remove(it)
	return it
}

// next chooses the ticket to serve.
func (q *queue) choose() *queuedTicket {
	least, allowance := q.active[0].virtualTime, 0.0
	for _, b := range q.active {
		least = min(least, b.virtualTime)
		allowance += b.items[0].ticket.Expected.Seconds() / b.weight
	}
	q.virtualTime = least
	bound := least + fairnessWindow*allowance/float64(len(q.active))
	var best *queuedTicket
	for _, b := range q.active {
		head := b.items[0]
		if b.virtualTime <= bound && (best == nil || startsBefore(head, best)) {
			best = head
		}
	}
	return best
}

// before orders by earliest feasible start, then by customer so that equal
// inputs give equal decisions.
func startsBefore(a, b *queuedTicket) bool {
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.Before(b.latestStart)
	}
	return a.queue.customer < b.queue.customer
}

// longest returns the customer whose queue is longest for its weight.
func (q *queue) heaviest() *customerQueue {
	var worst *customerQueue
	for _, b := range q.active {
		if worst == nil || b.weightedLength() > worst.weightedLength() ||
			b.weightedLength() == worst.weightedLength() && b.customer < worst.customer {
			worst = b
		}
	}
	return worst
}

func (b *customerQueue) weightedLength() float64 { return float64(len(b.items)) / b.weight }

// leastUrgent returns the ticket with the latest feasible start.
func (b *customerQueue) leastUrgent() *queuedTicket {
	worst := b.items[0]
	for _, it := range b.items {
		if it.latestStart.After(worst.latestStart) {
			worst = it
		}
	}
	return worst
}

// expired takes out every ticket whose feasible start has passed.
func (q *queue) removeExpired(now time.Time) []*queuedTicket {
	var out []*queuedTicket
	for i := len(q.active) - 1; i >= 0; i-- {
		b := q.active[i]
		for len(b.items) > 0 && b.items[0].latestStart.Before(now) {
			it := b.items[0]
			q.remove(it)
			out = append(out, it)
		}
	}
	return out
}
