package admit

import (
	"time"

	"github.com/wheatseam/wheatseam/core/request"
)

// reservedSlackFraction is the fraction of its slack that a request must not spend
// waiting if its customer has all of the reserved work at a pool. This leaves time
// for other customers that start to use their share again, so that the admitted work
// still meets its deadlines. The fraction falls to 0 for a customer within its fair
// share, which may spend all of its slack waiting.
const reservedSlackFraction = 0.5

// reservationKey identifies a reservation: a call that a request still has to make.
type reservationKey struct {
	request string
	stage   string
}

// reservations holds the calls that admitted requests still have to make at a pool.
// The lock of the pool guards it.
type reservations struct {
	calls     map[reservationKey]reservation
	customers map[string]*customerReservations
	weights   float64 // sum of the weights of customers
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

func (r *reservations) add(k reservationKey, customer string, weight float64, expected time.Duration) {
	if _, ok := r.calls[k]; ok {
		return
	}
	seconds := expected.Seconds()
	r.calls[k] = reservation{customer, seconds}
	r.seconds += seconds
	c := r.customers[customer]
	if c == nil {
		c = &customerReservations{weight: weight}
		r.customers[customer] = c
		r.weights += weight
	}
	c.calls++
}

func (r *reservations) remove(k reservationKey) {
	call, ok := r.calls[k]
	if !ok {
		return
	}
	delete(r.calls, k)
	r.seconds -= call.seconds
	c := r.customers[call.customer]
	c.calls--
	if c.calls == 0 {
		delete(r.customers, call.customer)
		r.weights -= c.weight
	}
	if len(r.calls) == 0 {
		r.seconds, r.weights = 0, 0
	}
}

// poolForecast is the predicted execution of one more call at a pool.
type poolForecast struct {
	// wait is the time from now until a slot is free for the call, in seconds.
	wait float64
	// borrowed says how far the customer exceeds its fair share of the reserved
	// calls: 0 if it does not, 1 if all reserved calls are its own.
	borrowed float64
	// highServiceTime is a service time that the call rarely exceeds, in seconds.
	highServiceTime float64
}

// forecastWait predicts the wait of one more call of customer if each call takes a
// slot for serviceTime seconds. The wait is the shorter of two times: the time until all
// calls reserved so far have a slot, and the time until the customer's own calls have
// one if it uses only its fair share of the slots.
func (r *reservations) forecastWait(customer string, weight, slots, serviceTime float64) poolForecast {
	total := len(r.calls)
	ownCalls, weights := 0, r.weights
	if c := r.customers[customer]; c != nil {
		ownCalls = c.calls
	} else {
		weights += weight
	}
	fairSlots := slots * weight / weights
	wait := min(waitBehind(total, slots, serviceTime), waitBehind(ownCalls, fairSlots, serviceTime))
	return poolForecast{wait: wait, borrowed: borrowedFraction(ownCalls+1, total+1, weight, weights)}
}

// borrowedFraction returns by how much a customer's part of the reserved calls exceeds
// its fair part, on a scale from 0 to 1. The fair part is calculated as if there were
// one more customer with the same weight.
func borrowedFraction(ownCalls, totalCalls int, weight, weights float64) float64 {
	fairFraction := weight / (weights + weight)
	return max(0, float64(ownCalls)/float64(totalCalls)-fairFraction) / (1 - fairFraction)
}

// waitBehind returns the time for which the calls ahead keep all slots busy, in
// seconds.
func waitBehind(ahead int, slots, serviceTime float64) float64 {
	return max(0, float64(ahead)-slots+1) * serviceTime / slots
}

// reservationKeyOf returns the key of the reservation for one stage of a plan.
func reservationKeyOf(p request.Plan, stage request.PlannedStage) reservationKey {
	return reservationKey{p.Request, stage.Stage}
}
