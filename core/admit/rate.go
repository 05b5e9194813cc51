package admit

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

const (
	customerShards = 16
	// demandSpan is the time constant of measured rates.
	demandTimeConstant = 2 * time.Second
	// steadySpan is the time constant for customers' usual rates, which a few
	// arrivals a second show only over a longer time.
	steadyTimeConstant = 10 * time.Second
	// burstSpan is how much of its rate a customer may use at once, beside
	// burstDeviations of what arrives at random in that time.
	burstPeriod     = time.Second
	burstDeviations = 2.0
)

// decayed measures a rate a second with exponential decay over span, which is
// demandSpan when it is zero.
type decayingSum struct {
	sum          float64
	at           time.Time
	timeConstant time.Duration
}

func (d *decayingSum) timeConstantSeconds() float64 {
	if d.timeConstant == 0 {
		return demandTimeConstant.Seconds()
	}
	return d.timeConstant.Seconds()
}

func (d *decayingSum) add(now time.Time, x float64) {
	d.sum = d.value(now) + x
	d.at = now
}

// value returns the decayed sum.
func (d *decayingSum) value(now time.Time) float64 {
	elapsed := now.Sub(d.at)
	if d.sum == 0 || elapsed <= 0 {
		return d.sum
	}
	return d.sum * math.Exp(-elapsed.Seconds()/d.timeConstantSeconds())
}

// rate returns the sum a second.
func (d *decayingSum) rate(now time.Time) float64 {
	return d.value(now) / d.timeConstantSeconds()
}

// upper returns the sum a second and one standard deviation of it, for sums of
// random arrivals.
func (d *decayingSum) ratePlusDeviation(now time.Time) float64 {
	sum := d.value(now)
	return (sum + math.Sqrt(sum)) / d.timeConstantSeconds()
}

// customerShard holds the rate limits of some of the customers.
type customerShard struct {
	mu        sync.Mutex
	customers map[string]*customerState
}

// customerState is guarded by the lock of its shard.
type customerState struct {
	arrivals       decayingSum
	steadyArrivals decayingSum
	// limiter is nil while the customer has no limit.
	limiter *rate.Limiter
	limit   float64
}

// customers is the sharded table of customers.
type customerTable [customerShards]customerShard

func (c *customerTable) shard(customer string) *customerShard {
	return &c[xxhash.Sum64String(customer)%customerShards]
}

// take counts an arrival and takes it from the customer's limit, in requests
// a second on this daemon; a limit of 0 is none. It returns how long the
// customer has to wait for its next request, 0 when this one is within.
func (c *customerTable) countArrival(now time.Time, customer string, limit float64, limited bool) time.Duration {
	s := c.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.customers == nil {
		s.customers = map[string]*customerState{}
	}
	state := s.customers[customer]
	if state == nil {
		state = &customerState{steadyArrivals: decayingSum{timeConstant: steadyTimeConstant}}
		s.customers[customer] = state
	}
	state.arrivals.add(now, 1)
	state.steadyArrivals.add(now, 1)
	if !limited {
		state.limiter = nil
		return 0
	}
	state.setLimit(now, limit)
	r := state.limiter.ReserveN(now, 1)
	if !r.OK() {
		return rate.InfDuration
	}
	delay := r.DelayFrom(now)
	if delay > 0 {
		r.CancelAt(now)
	}
	return delay
}

// set makes limit the limit in force. What is saved up stays within the burst.
func (s *customerState) setLimit(now time.Time, limit float64) {
	usual := limit * burstPeriod.Seconds()
	// A limit that is split over hosts would refuse what comes at random to one
	// of them while the others have room.
	burst := int(usual + burstDeviations*math.Sqrt(usual) + 1)
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(limit), burst)
		s.limit = limit
		return
	}
	if s.limit == limit {
		return
	}
	s.limiter.SetLimitAt(now, rate.Limit(limit))
	s.limiter.SetBurstAt(now, burst)
	s.limit = limit
}

// demand returns the arrivals a second, rather too many than too few, of each customer heard of lately
// leaves out the others.
func (c *customerTable) demand(now time.Time) map[string]float64 {
	out := map[string]float64{}
	for i := range c {
		s := &c[i]
		s.mu.Lock()
		for name, state := range s.customers {
			if r := max(state.arrivals.rate(now), state.steadyArrivals.ratePlusDeviation(now)); r > minDemand {
				out[name] = r
			}
		}
		s.mu.Unlock()
	}
	return out
}

// leastDemand is the rate a second under which a customer counts as idle.
const minDemand = 0.001
