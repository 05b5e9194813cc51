package admit

import (
	"container/heap"
	"time"

	"github.com/wheatseam/wheatseam/core/request"
)

// fairnessWindow is how far a customer's virtual time may be ahead of the lowest one
// for its ticket to be chosen as the most urgent. The unit is the mean, over the waiting
// customers, of the service time of their first ticket divided by their weight.
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

// queuedTicket is a ticket in a queue.
type queuedTicket struct {
	ticket request.Ticket
	// latestStart is the latest time at which the call can start and still meet
	// the deadline.
	latestStart time.Time
	queuedAt    time.Time
	index       int
	queue       *customerQueue
}

// customerQueue is the queue of one customer, a heap ordered by latest start.
type customerQueue struct {
	customer string
	weight   float64
	// virtualTime is the expected service time of the customer's granted tickets,
	// in seconds, divided by its weight.
	virtualTime float64
	items       []*queuedTicket
	// activeIndex is the index in queue.active, or -1 if the queue is empty.
	activeIndex int
}

func (cq *customerQueue) Len() int { return len(cq.items) }
func (cq *customerQueue) Less(i, j int) bool {
	return cq.items[i].latestStart.Before(cq.items[j].latestStart)
}
func (cq *customerQueue) Swap(i, j int) {
	cq.items[i], cq.items[j] = cq.items[j], cq.items[i]
	cq.items[i].index, cq.items[j].index = i, j
}

// Push implements heap.Interface.
func (cq *customerQueue) Push(x any) {
	it := x.(*queuedTicket)
	it.index = len(cq.items)
	cq.items = append(cq.items, it)
}

// Pop implements heap.Interface.
func (cq *customerQueue) Pop() any {
	last := len(cq.items) - 1
	it := cq.items[last]
	cq.items[last] = nil
	cq.items = cq.items[:last]
	return it
}

// queue holds the waiting tickets of a pool. It schedules customers by virtual time,
// so that each gets its weighted share while all have waiting tickets. Among the
// customers whose virtual time is within fairnessWindow of the lowest, the ticket
// with the earliest latestStart goes first. The lock of the pool guards the queue.
type queue struct {
	byKey     map[ticketKey]*queuedTicket
	customers map[string]*customerQueue
	active    []*customerQueue
	// virtualTime is the lowest virtual time of the active customers at the last
	// pop. A customer whose queue was empty starts at least there, so that it gets
	// no credit for the time without waiting tickets.
	virtualTime float64
}

func newQueue() *queue {
	return &queue{byKey: map[ticketKey]*queuedTicket{}, customers: map[string]*customerQueue{}}
}

func (q *queue) len() int { return len(q.byKey) }

func (q *queue) push(it *queuedTicket, weight float64) {
	cq := q.customers[it.ticket.Customer]
	if cq == nil {
		cq = &customerQueue{customer: it.ticket.Customer, activeIndex: -1}
		q.customers[cq.customer] = cq
	}
	cq.weight = weight
	if cq.activeIndex < 0 {
		cq.virtualTime = max(cq.virtualTime, q.virtualTime)
		cq.activeIndex = len(q.active)
		q.active = append(q.active, cq)
	}
	it.queue = cq
	heap.Push(cq, it)
	q.byKey[ticketKeyOf(it.ticket)] = it
}

func (q *queue) remove(it *queuedTicket) {
	cq := it.queue
	heap.Remove(cq, it.index)
	delete(q.byKey, ticketKeyOf(it.ticket))
	if len(cq.items) > 0 {
		return
	}
	last := q.active[len(q.active)-1]
	q.active[cq.activeIndex] = last
	last.activeIndex = cq.activeIndex
	q.active = q.active[:len(q.active)-1]
	cq.activeIndex = -1
}

// pop removes the next ticket and adds its service time to its customer's virtual
// time. It returns nil if the queue is empty.
func (q *queue) pop() *queuedTicket {
	if len(q.active) == 0 {
		return nil
	}
	it := q.choose()
	cq := it.queue
	cq.virtualTime += it.ticket.Expected.Seconds() / cq.weight
	q.remove(it)
	return it
}

// choose returns the ticket to grant next.
func (q *queue) choose() *queuedTicket {
	minVirtualTime, weightedService := q.active[0].virtualTime, 0.0
	for _, cq := range q.active {
		minVirtualTime = min(minVirtualTime, cq.virtualTime)
		weightedService += cq.items[0].ticket.Expected.Seconds() / cq.weight
	}
	q.virtualTime = minVirtualTime
	bound := minVirtualTime + fairnessWindow*weightedService/float64(len(q.active))
	var best *queuedTicket
	for _, cq := range q.active {
		head := cq.items[0]
		if cq.virtualTime <= bound && (best == nil || startsBefore(head, best)) {
			best = head
		}
	}
	return best
}

// startsBefore orders tickets by latest start, then by customer to make decisions
// deterministic.
func startsBefore(a, b *queuedTicket) bool {
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.Before(b.latestStart)
	}
	return a.queue.customer < b.queue.customer
}

// heaviest returns the customer queue that is longest relative to its weight.
func (q *queue) heaviest() *customerQueue {
	var heaviest *customerQueue
	for _, cq := range q.active {
		if heaviest == nil || cq.weightedLength() > heaviest.weightedLength() ||
			cq.weightedLength() == heaviest.weightedLength() && cq.customer < heaviest.customer {
			heaviest = cq
		}
	}
	return heaviest
}

func (cq *customerQueue) weightedLength() float64 { return float64(len(cq.items)) / cq.weight }

// leastUrgent returns the ticket with the latest latestStart.
func (cq *customerQueue) leastUrgent() *queuedTicket {
	latest := cq.items[0]
	for _, it := range cq.items {
		if it.latestStart.After(latest.latestStart) {
			latest = it
		}
	}
	return latest
}

// removeExpired removes and returns all tickets whose latestStart has passed.
func (q *queue) removeExpired(now time.Time) []*queuedTicket {
	var out []*queuedTicket
	for i := len(q.active) - 1; i >= 0; i-- {
		cq := q.active[i]
		for len(cq.items) > 0 && cq.items[0].latestStart.Before(now) {
			it := cq.items[0]
			q.remove(it)
			out = append(out, it)
		}
	}
	return out
}
