package stage

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// newFourDomains is a deployment of four failure domains whose rooms bind before its
// calls: the most urgent kind passes through three services one after the other, as
// does the least urgent one, and the kind with the large results through the first.
func newFourDomains(seed uint64) *loadSim {
	s := newLoadSim(seed)
	domains := []string{"d0", "d1", "d2", "d3"}
	e := Configured{Services: map[string]*catalog.Service{}}
	figures := func(batch int, pieceTime float64, room int64) catalog.Pieces {
		return catalog.Pieces{
			Concurrency: 1, Batch: batch, CallTime: 240 * time.Millisecond, PieceTime: time.Duration(pieceTime * float64(time.Millisecond)),
			RoomBytes: room, ResultLife: 4 * time.Second,
		}
	}
	s.service(&e, "audit", figures(14, 15, 17_000_000), 18, domains)
	s.service(&e, "notify", figures(40, 5.1, 4_400_000), 15, domains)
	s.service(&e, "store", figures(50, 4.1, 550_000), 18, domains)
	large := func(rng *rand.Rand, mean float64, most int) Stage {
		return Stage{Service: "audit", Pieces: spread(rng, mean, 0.6, most), ResultBytes: largeResult}
	}
	chain := func(rng *rand.Rand, before ...Stage) []Stage {
		n := len(before)
		return append(before, Stage{Service: "audit", Pieces: 1, ResultBytes: smallResult},
			Stage{Service: "notify", After: []int{n}, Pieces: 4, ResultBytes: 60_000},
			Stage{Service: "store", After: []int{n + 1}, Pieces: spread(rng, 6, 0.4, 15), ResultBytes: 6000})
	}
	steady := func(rate float64) func(time.Duration) float64 { return func(time.Duration) float64 { return rate } }
	s.kinds = []*simKind{
		{
			name: "review", rate: steady(41.3), priority: 1, objective: 1700 * time.Millisecond, deadline: 12 * time.Second,
			engine: 300 * time.Millisecond, onTime: 4.5, late: 0.67, domain: true,
			stages: func(rng *rand.Rand) []Stage {
				if rng.Float64() >= 0.7 {
					return nil
				}
				return []Stage{large(rng, 2.5, 10)}
			},
		},
		{
			name: "summary", rate: steady(116), priority: 0, objective: 2200 * time.Millisecond, deadline: 12 * time.Second,
			engine: 80 * time.Millisecond, onTime: 1.9, late: 0.28,
			stages: func(rng *rand.Rand) []Stage { return chain(rng) },
		},
		{
			name: "extract", rate: steady(61.6), priority: 2, objective: 2300 * time.Millisecond, deadline: 6 * time.Second,
			engine: 100 * time.Millisecond, onTime: 0.48, late: 0.072,
			stages: func(rng *rand.Rand) []Stage {
				if rng.Float64() >= 0.4 {
					return chain(rng)
				}
				return chain(rng, large(rng, 1.5, 6))
			},
		},
	}
	s.configured = e
	s.step(e)
	return s
}

// The pattern: the most urgent kind comes 2.4 times as often as usual for six seconds,
// which is as much as the calls can make and more than the rooms let through.
var _ = Describe("a burst of the most urgent kind where rooms bind", func() {
	const end, review, summary, extract = 20, 0, 1, 2
	for seed := range uint64(4) {
		It("costs the least urgent kind, is refused early, and is over soon after", func() {
			s := newFourDomains(seed)
			s.kinds[summary].burst(5*time.Second, 6*time.Second, 2.4)
			s.play(end * time.Second)
			Expect(s.kinds[review].earned(0, end)).To(BeNumerically(">", 0.98), s.table(end))
			Expect(s.kinds[summary].earned(4, 12)).To(BeNumerically(">", s.kinds[extract].earned(4, 12)), s.table(end))
			Expect(s.kinds[summary].served(4, 12)).To(BeNumerically(">", 0.95), s.table(end))
			Expect(s.kinds[summary].earned(4, 12)).To(BeNumerically(">", 0.75), "what is over capacity is a quarter\n"+s.table(end))
			Expect(s.worth(13, end)).To(BeNumerically(">", 0.95), "two seconds after the burst\n"+s.table(end))
			Expect(s.overtaken).To(BeNumerically("<", s.kinds[extract].total(0, end).asked/50), "refused after they were admitted")
		})
	}
})
