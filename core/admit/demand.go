package admit

import "time"

// Demand is what callers ask of this daemon, as fractions of the whole
// fleet's limits; more than 1 means that the limit cannot hold it.
type Demand struct {
	// Pools holds, over each pool's slots, the service time offered a second or
	// the calls planned, whichever is more: a backlog wants slots as well.
	Pools map[string]float64
	// Customers holds each limited customer's arrivals over its limit.
	Customers map[string]float64
}

// Demand measures the demand of the last seconds; idle entries are left out.
func (c *Controller) Demand(now time.Time) Demand {
	v := c.state.Load()
	d := Demand{Pools: map[string]float64{}, Customers: map[string]float64{}}
	for name, perSecond := range c.customers.demand(now) {
		if cust := v.customers[name]; cust != nil && cust.RequestsPerSecond > 0 {
			d.Customers[name] = perSecond / cust.RequestsPerSecond
		}
	}
	for _, p := range v.poolsByName {
		p.mu.Lock()
		wanted := max(p.offeredWork.rate(now), float64(len(p.reservations.calls))) / p.limiter.estimate
		p.mu.Unlock()
		if wanted > minDemand {
			d.Pools[p.name] = wanted
		}
	}
	return d
}

// PoolState is what a dump shows of a pool.
type PoolState struct {
	Pool     string  `json:"pool"`
	Share    float64 `json:"share"`
	Limit    float64 `json:"limit"`
	InFlight int     `json:"in_flight"`
	Queued   int     `json:"queued"`
	Planned  int     `json:"planned"`
	// ServiceMS is the smoothed latency of successful calls.
	ServiceMS float64 `json:"service_ms"`
	// FinishedPerSecond is the measured drain rate.
	FinishedPerSecond float64 `json:"finished_per_second"`
}

// State returns the state of every pool, ordered by name.
func (c *Controller) State(now time.Time) []PoolState {
	v := c.state.Load()
	out := make([]PoolState, 0, len(v.poolsByName))
	for _, p := range v.poolsByName {
		share := c.poolShare(now, p.name)
		p.mu.Lock()
		out = append(out, PoolState{
			Pool: p.name, Share: share, Limit: p.slots(share),
			InFlight: p.inFlight, Queued: p.queue.len(), Planned: len(p.reservations.calls),
			ServiceMS:         p.limiter.latency.mean * 1000,
			FinishedPerSecond: p.finishedCalls.rate(now),
		})
		p.mu.Unlock()
	}
	return out
}
