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

// newCustomerSim returns a deployment of three failure domains whose 16 customers compete
// for stage capacity: deployment A of docs/design/uneven-load.md. The load of the customers
// follows a Zipf law with the given exponent. The times of the engines are estimates.
func newCustomerSim(seed uint64, c Config, exponent float64) *loadSim {
	s := newConfiguredLoadSim(seed, c)
	// The same requests arrive whatever becomes of them.
	s.arrivals = rand.New(rand.NewPCG(seed, 13))
	domains := []string{"d0", "d1", "d2"}
	e := Configured{Services: map[string]*catalog.Service{}}
	params := func(batch int, pieceTime float64, memoryBytes int64) catalog.StageProfile {
		f := limitedParams(batch, pieceTime, memoryBytes)
		f.CallTime = 150 * time.Millisecond
		return f
	}
	s.service(&e, "audit", params(14, 9.2, 80_000_000), 19, domains)
	s.service(&e, "notify", params(62, 2.1, 11_000_000), 15, domains)
	s.service(&e, "store", params(96, 1.3, 1_700_000), 19, domains)
	large := func(rng *rand.Rand, mean float64) Stage {
		return Stage{Service: "audit", Pieces: lognormalCount(rng, mean, 0.6, 10), ResultBytes: 3_000_000}
	}
	chain := func(beside ...Stage) []Stage {
		n := len(beside)
		return append(beside, Stage{Service: "audit", Pieces: 1, ResultBytes: smallResult},
			Stage{Service: "notify", DependsOn: []int{n}, Pieces: 8, ResultBytes: 60_000},
			Stage{Service: "store", DependsOn: []int{n + 1}, Pieces: 16, ResultBytes: 6000})
	}
	kind := func(name string, rate float64, priority int, objective, deadline, engine time.Duration, stages func(*rand.Rand) []Stage) *simKind {
		return &simKind{
			name: name, rate: func(time.Duration) float64 { return rate }, priority: priority,
			objective: objective, deadline: deadline, engine: engine, onTimeValue: 1, lateValue: 0.15, stages: stages,
		}
	}
	s.kinds = []*simKind{
		kind("review", 171, 0, 600*time.Millisecond, 5*time.Second, 100*time.Millisecond, func(rng *rand.Rand) []Stage {
			if rng.Float64() >= 0.7 {
				return nil
			}
			return []Stage{large(rng, 2.5)}
		}),
		kind("digest", 182, 2, 3*time.Second, 5*time.Second, 100*time.Millisecond, func(*rand.Rand) []Stage { return chain() }),
		kind("chat", 30, 1, 1200*time.Millisecond, 12*time.Second, 100*time.Millisecond, func(rng *rand.Rand) []Stage {
			if rng.Float64() >= 0.4 {
				return chain()
			}
			return chain(large(rng, 1.5))
		}),
	}
	for i := range 16 {
		s.customers = append(s.customers, &simCustomer{name: fmt.Sprint("c", i), weight: math.Pow(float64(i+1), -exponent), kinds: map[string]tallies{}})
	}
	s.configured = e
	s.step(e)
	return s
}

// burstOf adds requests of one kind and customer during a period, so that the customer
// sends factor times as many of them as usual.
func (s *loadSim) burstOf(c *simCustomer, kind int, from, length time.Duration, factor float64) {
	var sum float64
	for _, o := range s.customers {
		sum += o.weight
	}
	s.at(from, func() {
		usual := s.kinds[kind]
		added := *usual // counts its outcomes with the usual ones
		added.name, added.customer = usual.name+"-burst", c
		added.rate = func(at time.Duration) float64 { return usual.rate(at) * c.weight / sum * (factor - 1) }
		s.generateArrivals(&added, from+length, 0)
	})
}

// losePlanner has another planner take over, to which the owners submit the jobs that are
// in progress with the results that they know of.
func (s *loadSim) losePlanner(at time.Duration) {
	s.at(at, func() {
		s.m = New(s.config)
		s.step(s.configured)
		for _, id := range slices.Sorted(maps.Keys(s.jobs)) { // in a deterministic order
			if j := s.jobs[id]; !j.answered {
				j.job.Completed = s.completed[id]
				s.step(Submitted{j.job})
			}
		}
	})
}

// total sums the outcomes between two seconds.
func (b tallies) total(from, to int) simTally {
	var sum simTally
	for sec := from; sec < to; sec++ {
		if t := b[sec]; t != nil {
			sum.add(*t)
		}
	}
	return sum
}

// total sums the outcomes of the customer's requests of some kinds between two seconds.
func (c *simCustomer) total(from, to int, kinds ...string) simTally {
	var sum simTally
	for _, k := range kinds {
		sum.add(c.kinds[k].total(from, to))
	}
	return sum
}

// onTimeShare and answeredShare return the parts of the requests that were answered on time
// and at all.
func (t simTally) onTimeShare() float64 { return float64(t.onTime) / float64(max(1, t.arrived)) }
func (t simTally) answeredShare() float64 {
	return float64(t.onTime+t.late) / float64(max(1, t.arrived))
}

// customerTable formats the outcomes of the customers' requests between two seconds.
func (s *loadSim) customerTable(from, to int) string {
	var sum simTally
	out := "\n"
	for _, c := range append(slices.Clone(s.customers), &simCustomer{name: "all"}) {
		t := c.total(from, to, "review", "digest", "chat", "digest-burst")
		if c.name == "all" {
			t = sum
		}
		sum.add(t)
		out += fmt.Sprintf("%4s %5d arrived, %5d on time (%.2f), %4d late, %5d refused\n", c.name, t.arrived, t.onTime, t.onTimeShare(), t.late, t.refused)
	}
	return out
}
