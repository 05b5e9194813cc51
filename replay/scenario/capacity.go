package scenario

import (
	"math"

	"github.com/wheatseam/wheatseam/bundle"
)

// Capacity estimates how many requests per second the bundle's pools can serve if
// pipelines are requested by pipelineWeights (name to relative frequency). It is the
// rate at which all slots of the busiest pool are in use, calculated from the
// expected durations of the stages; the rate that a fleet really sustains must be
// measured with a replay. It is +Inf if no pipeline uses a pool.
func Capacity(b *bundle.Bundle, pipelineWeights map[string]float64) float64 {
	shares := pipelineShares(b, pipelineWeights)
	lowestRate := math.Inf(1)
	for _, pool := range b.Pools {
		slotSeconds := slotSecondsPerRequest(b, pool.Name, shares)
		if slotSeconds == 0 {
			continue
		}
		slots := float64(len(pool.Upstreams) * pool.Concurrency)
		lowestRate = math.Min(lowestRate, slots/slotSeconds)
	}
	return lowestRate
}

// BusiestPool returns the pool that limits Capacity: the one with the highest
// utilization.
func BusiestPool(b *bundle.Bundle, pipelineWeights map[string]float64) bundle.Pool {
	shares := pipelineShares(b, pipelineWeights)
	var busiest bundle.Pool
	highestUtilization := -1.0
	for _, pool := range b.Pools {
		utilization := slotSecondsPerRequest(b, pool.Name, shares) / float64(len(pool.Upstreams)*pool.Concurrency)
		if utilization > highestUtilization {
			busiest, highestUtilization = pool, utilization
		}
	}
	return busiest
}

// pipelineShares returns the share of requests of each pipeline. It follows
// addRandomRequest, which chooses a customer by weight and then one of the customer's
// pipelines by weight.
func pipelineShares(b *bundle.Bundle, pipelineWeights map[string]float64) map[string]float64 {
	weights := 0.0
	for _, c := range b.Customers {
		weights += c.Weight
	}
	shares := map[string]float64{}
	for _, c := range b.Customers {
		sum := 0.0
		for _, p := range c.Pipelines {
			sum += pipelineWeights[p]
		}
		for _, p := range c.Pipelines {
			if sum > 0 {
				shares[p] += c.Weight / weights * pipelineWeights[p] / sum
			}
		}
	}
	return shares
}

// slotSecondsPerRequest returns how long a request occupies slots of the pool on
// average, in seconds.
func slotSecondsPerRequest(b *bundle.Bundle, pool string, shares map[string]float64) float64 {
	slotSeconds := 0.0
	for _, p := range b.Pipelines {
		for _, s := range p.Stages {
			if s.Pool == pool {
				slotSeconds += shares[p.Name] * s.Expected.Seconds()
			}
		}
	}
	return slotSeconds
}
