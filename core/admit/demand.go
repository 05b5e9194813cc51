package admit

import "time"

// Demand is the load that callers offer to this daemon, as fractions of the limits
// of the whole fleet. A value above 1 exceeds the limit.
type Demand struct {
	// Pools holds, by pool name, the larger of the offered service time per
	// second and the number of reserved calls, divided by the pool's concurrency
	// limit. Reserved calls are included because a backlog needs slots too.
	Pools map[string]float64
	// Customers holds, by the name of each customer with a limit, the arrivals per
	// second divided by the limit.
	Customers map[string]float64
}

// Demand returns the demand of the last few seconds. Idle pools and customers are
// omitted.
func (c *Controller) Demand(now time.Time) Demand {
	state := c.state.Load()
	d := Demand{Pools: map[string]float64{}, Customers: map[string]float64{}}
	for name, perSecond := range c.customers.demand(now) {
		if cust := state.customers[name]; cust != nil && cust.RequestsPerSecond > 0 {
			d.Customers[name] = perSecond / cust.RequestsPerSecond
		}
	}
	for _, p := range state.poolsByName {
		p.mu.Lock()
		wanted := max(p.offeredWork.rate(now), float64(len(p.reservations.calls))) / p.limiter.estimate
		p.mu.Unlock()
		if wanted > minDemand {
			d.Pools[p.name] = wanted
		}
	}
	return d
}

// PoolState is the state of a pool in a state dump.
type PoolState struct {
	Pool     string  `json:"pool"`
	Share    float64 `json:"share"`
	Limit    float64 `json:"limit"`
	InFlight int     `json:"in_flight"`
	Queued   int     `json:"queued"`
	Planned  int     `json:"planned"`
	// ServiceMS is the smoothed latency of successful calls, in milliseconds.
	ServiceMS float64 `json:"service_ms"`
	// FinishedPerSecond is the measured rate of calls that release their slot.
	FinishedPerSecond float64 `json:"finished_per_second"`
}

// State returns the state of every pool, ordered by name.
func (c *Controller) State(now time.Time) []PoolState {
	state := c.state.Load()
	out := make([]PoolState, 0, len(state.poolsByName))
	for _, p := range state.poolsByName {
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
