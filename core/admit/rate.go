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
	// demandTimeConstant is the default time constant of measured rates.
	demandTimeConstant = 2 * time.Second
	// steadyTimeConstant is the time constant for the usual rate of a customer. It
	// is longer because a few arrivals per second give a usable rate only over a
	// longer time.
	steadyTimeConstant = 10 * time.Second
	// A customer may send a burst of the requests that its limit allows in
	// burstPeriod, plus burstDeviations standard deviations of the number of random
	// arrivals in that time.
	burstPeriod     = time.Second
	burstDeviations = 2.0
)

// decayingSum measures a rate per second as a sum that decays exponentially with
// timeConstant, or with demandTimeConstant if that is zero.
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

// value returns the sum decayed to the time now.
func (d *decayingSum) value(now time.Time) float64 {
	elapsed := now.Sub(d.at)
	if d.sum == 0 || elapsed <= 0 {
		return d.sum
	}
	return d.sum * math.Exp(-elapsed.Seconds()/d.timeConstantSeconds())
}

// rate returns the measured rate per second.
func (d *decayingSum) rate(now time.Time) float64 {
	return d.value(now) / d.timeConstantSeconds()
}

// ratePlusDeviation returns the measured rate per second plus one standard deviation,
// for sums that count random arrivals.
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
	// limiter is nil if the customer has no limit.
	limiter *rate.Limiter
	limit   float64
}

// customerTable holds the state of all customers in shards.
type customerTable [customerShards]customerShard

func (c *customerTable) shard(customer string) *customerShard {
	return &c[xxhash.Sum64String(customer)%customerShards]
}

// countArrival counts an arrival and, if limited is set, checks it against limit, the
// customer's limit on this daemon in requests per second. It returns 0 if the request
// is within the limit, and otherwise the time that the customer has to wait until its
// next request is. A limit of 0 admits nothing beyond the burst.
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

// setLimit changes the limit. Unused tokens are kept up to the burst size.
func (s *customerState) setLimit(now time.Time, limit float64) {
	usual := limit * burstPeriod.Seconds()
	// The limit is split over hosts. Without the additional burst, a host would refuse
	// random peaks of arrivals while other hosts are below their limits.
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

// demand returns the arrivals per second of each customer. It overestimates rather than
// underestimates the rate, and omits customers without recent arrivals.
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

// minDemand is the demand up to which a customer, in arrivals per second, or a pool,
// as a fraction of its limit, counts as idle.
const minDemand = 0.001
