package scenario

import (
	"math"

	"github.com/wheatseam/wheatseam/bundle"
)

// Capacity returns the requests a second that the bundle's pools carry at a mix
// of pipelines (name to weight): the rate at which the busiest pool has all of
// its slots taken, by the expected durations of the stages. It is an estimate;
// a replay shows what is really carried.
func Capacity(b *bundle.Bundle, mix map[string]float64) float64 {
	shares := pipelineShares(b, mix)
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

// BusiestPool returns the pool that limits Capacity.
func BusiestPool(b *bundle.Bundle, mix map[string]float64) bundle.Pool {
	shares := pipelineShares(b, mix)
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

// pipelineShares returns the share of the requests that each pipeline gets, as
// arrive draws them: a customer by its weight, then one of its pipelines.
func pipelineShares(b *bundle.Bundle, mix map[string]float64) map[string]float64 {
	weights := 0.0
	for _, c := range b.Customers {
		weights += c.Weight
	}
	shares := map[string]float64{}
	for _, c := range b.Customers {
		sum := 0.0
		for _, p := range c.Pipelines {
			sum += mix[p]
		}
		for _, p := range c.Pipelines {
			if sum > 0 {
				shares[p] += c.Weight / weights * mix[p] / sum
			}
		}
	}
	return shares
}

// poolNeed returns the seconds of a pool's slots that a mean request needs.
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
