package admit

import (
	"time"

	"github.com/wheatseam/wheatseam/core/request"
)

// reservedReach is the part of its slack that a request of a customer that has
// all planned work to itself may not spend waiting: it is left for customers
// that come back for their share, so that admitted work still finishes. A
// customer within its fair share of the plan may spend all of its slack.
const reservedSlackFraction = 0.5

// planKey names the call that a request has yet to make.
type reservationKey struct {
	request string
	stage   string
}

// planned is the work that admitted requests still have to do at a pool.
// It is guarded by the lock of its pool.
type reservations struct {
	calls     map[reservationKey]reservation
	customers map[string]*customerReservations
	weights   float64 // sum over customers
	seconds   float64 // sum of expected service times
}

type reservation struct {
	customer string
	seconds  float64
}

type customerReservations struct {
	calls  int
	weight float64
}

func newReservations() *reservations {
	return &reservations{calls: map[reservationKey]reservation{}, customers: map[string]*customerReservations{}}
}

func (p *reservations) add(k reservationKey, customer string, weight float64, expected time.Duration) {
	if _, ok := p.calls[k]; ok {
		return
	}
	seconds := expected.Seconds()
	p.calls[k] = reservation{customer, seconds}
	p.seconds += seconds
	c := p.customers[customer]
	if c == nil {
		c = &customerReservations{weight: weight}
		p.customers[customer] = c
		p.weights += weight
	}
	c.calls++
}

func (p *reservations) remove(k reservationKey) {
	call, ok := p.calls[k]
	if !ok {
		return
	}
	delete(p.calls, k)
	p.seconds -= call.seconds
	c := p.customers[call.customer]
	c.calls--
	if c.calls == 0 {
		delete(p.customers, call.customer)
		p.weights -= c.weight
	}
	if len(p.calls) == 0 {
		p.seconds, p.weights = 0, 0
	}
}

// forecast is what a pool foresees for one more call.
type poolForecast struct {
	// wait is the time until a slot is free for the call, in seconds, counted
	// from now.
	wait float64
	// borrowed is how far the customer is over its fair share of the plan: 0
	// when it is not, 1 when the plan is all its own.
	borrowed float64
	// most is what the call takes in all but few cases, in seconds.
	highServiceTime float64
}

// foresee predicts the wait of one more call of customer, given slots that
// each take service seconds a call. The call waits for everything planned
// before it, or, where that is sooner, for its customer's own calls at the
// customer's fair share of the slots.
func (p *reservations) forecastWait(customer string, weight, slots, service float64) poolForecast {
	total := len(p.calls)
	own, weights := 0, p.weights
	if c := p.customers[customer]; c != nil {
		own = c.calls
	} else {
		weights += weight
	}
	fair := slots * weight / weights
	wait := min(waitBehind(total, slots, service), waitBehind(own, fair, service))
	return poolForecast{wait: wait, borrowed: borrowedFraction(own+1, total+1, weight, weights)}
}

// borrowed compares a customer's part of the plan with its fair part, counted
// as if one more customer of its weight were there.
func borrowedFraction(own, total int, weight, weights float64) float64 {
	fair := weight / (weights + weight)
	return max(0, float64(own)/float64(total)-fair) / (1 - fair)
}

// waitFor returns how long calls ahead keep all slots busy, in seconds.
func waitBehind(ahead int, slots, service float64) float64 {
	return max(0, float64(ahead)-slots+1) * service / slots
}

// planKeyOf returns the key of one need of a plan.
func reservationKeyOf(p request.Plan, n request.PlannedStage) reservationKey {
	return reservationKey{p.Request, n.Stage}
}
