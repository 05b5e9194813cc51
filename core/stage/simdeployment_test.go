package stage

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/core/catalog"
)

const (
	smallResult = 8_000
	largeResult = 800_000
)

// lognormalCount draws a log-normal integer with a mean, between 1 and most.
func lognormalCount(rng *rand.Rand, mean, deviation float64, most int) int {
	n := mean * math.Exp(deviation*rng.NormFloat64()-deviation*deviation/2)
	return min(most, max(1, int(math.Round(n))))
}

// limitedParams returns the parameters of a replica that runs one call at a time and has
// little memory.
func limitedParams(batch int, pieceTime float64, memoryBytes int64) catalog.StageProfile {
	return catalog.StageProfile{
		Concurrency: 1, Batch: batch, CallTime: 240 * time.Millisecond, PieceTime: time.Duration(pieceTime * float64(time.Millisecond)),
		ResultCapacityBytes: memoryBytes, ResultTTL: 4 * time.Second,
	}
}

// largeStage returns a stage with large results; mean is the average number of pieces.
func largeStage(rng *rand.Rand, mean float64, most int) Stage {
	return Stage{Service: "audit", Pieces: lognormalCount(rng, mean, 0.6, most), ResultBytes: largeResult}
}

// smallChain returns a chain of three stages with small results, beside other stages.
func smallChain(rng *rand.Rand, beside ...Stage) []Stage {
	n := len(beside)
	return append(beside, Stage{Service: "audit", Pieces: 1, ResultBytes: smallResult},
		Stage{Service: "notify", DependsOn: []int{n}, Pieces: 4, ResultBytes: 60_000},
		Stage{Service: "store", DependsOn: []int{n + 1}, Pieces: lognormalCount(rng, 6, 0.4, 15), ResultBytes: 6000})
}

// kindParams holds the parameters of a kind of requests that differ between deployments:
// requests a second, the objective, and the value of an answer on time and late.
type kindParams struct {
	rate                   float64
	objective              time.Duration
	onTimeValue, lateValue float64
}

// threeKinds returns the most and the least urgent kind, whose requests pass through three
// services one after the other, and a kind with large results. scale divides the rates.
func threeKinds(scale int, review, summary, extract kindParams) []*simKind {
	kind := func(name string, f kindParams, priority int, deadline, engine time.Duration, stages func(*rand.Rand) []Stage) *simKind {
		return &simKind{
			name: name, rate: func(time.Duration) float64 { return f.rate / float64(scale) }, priority: priority,
			objective: f.objective, deadline: deadline, engine: engine, onTimeValue: f.onTimeValue, lateValue: f.lateValue, stages: stages,
		}
	}
	kinds := []*simKind{
		kind("review", review, 1, 12*time.Second, 300*time.Millisecond, func(rng *rand.Rand) []Stage {
			if rng.Float64() >= 0.7 {
				return nil
			}
			return []Stage{largeStage(rng, 2.5, 10)}
		}),
		kind("summary", summary, 0, 12*time.Second, 80*time.Millisecond, func(rng *rand.Rand) []Stage { return smallChain(rng) }),
		kind("extract", extract, 2, 6*time.Second, 100*time.Millisecond, func(rng *rand.Rand) []Stage {
			if rng.Float64() >= 0.4 {
				return smallChain(rng)
			}
			return smallChain(rng, largeStage(rng, 1.5, 6))
		}),
	}
	kinds[0].domain = true
	return kinds
}

// newSixDomainSim returns a deployment of six failure domains with little result memory:
// three services, two kinds of requests that pass through all of them one after the other,
// and one with large results. The parameters are a customer's; at the usual rates half of
// the replicas' call time and memory is used. scale divides replicas and rates.
func newSixDomainSim(seed uint64, scale int) *loadSim {
	s := newLoadSim(seed)
	domains := []string{"d0", "d1", "d2", "d3", "d4", "d5"}
	e := Configured{Services: map[string]*catalog.Service{}}
	s.service(&e, "audit", limitedParams(14, 15, 17_000_000), 42/scale, domains)
	s.service(&e, "notify", limitedParams(38, 5.4, 4_200_000), 35/scale, domains)
	s.service(&e, "store", limitedParams(48, 4.3, 530_000), 42/scale, domains)
	s.kinds = threeKinds(scale,
		kindParams{137, 1400 * time.Millisecond, 3.9, 0.58}, kindParams{155, 2200 * time.Millisecond, 2.3, 0.34},
		kindParams{230, 2200 * time.Millisecond, 0.37, 0.056})
	s.configured = e
	s.step(e)
	return s
}

// burst multiplies the rate of a kind during a period.
func (k *simKind) burst(from, length time.Duration, factor float64) {
	usual := k.rate
	k.rate = func(at time.Duration) float64 {
		if at >= from && at < from+length {
			return factor * usual(at)
		}
		return usual(at)
	}
}

// down stops a share of a service's replicas during a period.
func (s *loadSim) down(service string, share float64, from, length time.Duration) {
	s.forShare(service, share, func(r *simReplica) {
		s.at(from, func() {
			r.down = true
			r.incarnation++
			clear(r.results)
			r.usedBytes = 0
		})
		s.at(from+length, func() { r.down = false })
	})
}

// slow makes a share of a service's replicas slower during a period.
func (s *loadSim) slow(service string, share, factor float64, from, length time.Duration) {
	s.forShare(service, share, func(r *simReplica) {
		s.at(from, func() { r.slowFactor = factor })
		s.at(from+length, func() { r.slowFactor = 1 })
	})
}

func (s *loadSim) forShare(service string, share float64, do func(*simReplica)) {
	var all []*simReplica
	for i := range len(s.replicas) {
		if r := s.replicas[fmt.Sprintf("%s-%02d", service, i)]; r != nil {
			all = append(all, r)
		}
	}
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, r := range all[:int(math.Ceil(share*float64(len(all))))] {
		do(r)
	}
}

// losePower has all hosts lose power and return after a while. Running calls and results
// are then known to no planner, and a new planner starts. Callers whose requests were in
// progress, or that arrive meanwhile, retry once.
func (s *loadSim) losePower(from, away time.Duration) {
	s.at(from, func() {
		s.powerLost = true
		for _, id := range slices.Sorted(maps.Keys(s.jobs)) { // in a deterministic order
			j := s.jobs[id]
			delete(s.jobs, id)
			s.retry(j, id)
		}
	})
	s.at(from+away, func() {
		s.powerLost = false
		s.m = New(s.config)
		s.step(s.configured)
	})
}

// randomFaults has bursts of the kinds occur, and replicas of the services be lost or slow,
// within the first fifteen seconds.
func (s *loadSim) randomFaults() {
	between := func(least, most float64) float64 { return least + (most-least)*s.rng.Float64() }
	at := func(least, most float64) time.Duration {
		return time.Duration(between(least, most) * float64(time.Second))
	}
	for _, k := range s.kinds {
		k.burst(at(2, 8), at(2, 6), between(1, 2.6))
	}
	for _, service := range []string{"audit", "notify", "store"} {
		switch s.rng.IntN(3) {
		case 0:
			s.down(service, between(0.1, 0.35), at(3, 9), at(2, 5))
		case 1:
			s.slow(service, between(0.1, 0.35), between(2, 5), at(3, 9), at(2, 5))
		}
	}
}
