package stage

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The expected values hold for 24 simulated seconds of a third of newSixDomainSim, and are
// a little below the measured ones.
var _ = Describe("a burst in six failure domains", func() {
	const end = 24
	runWith := func(faults func(s *loadSim)) *loadSim {
		s := newSixDomainSim(1, 3)
		faults(s)
		s.run(end * time.Second)
		return s
	}
	const review, summary, extract = 0, 1, 2

	// The most urgent kind arrives two and a half times as often as usual, just after a
	// third of the replicas of its second stage were lost.
	It("of the most urgent kind degrades only the least urgent one", func() {
		s := runWith(func(s *loadSim) {
			s.kinds[summary].burst(8*time.Second, 6900*time.Millisecond, 2.5)
			s.down("notify", 0.3, 5*time.Second, 4*time.Second)
		})
		Expect(s.kinds[summary].attainedValue(0, end)).To(BeNumerically(">", 0.98), s.table(end))
		Expect(s.kinds[review].attainedValue(0, end)).To(BeNumerically(">", 0.99), s.table(end))
		Expect(s.attainedValue(8, 15)).To(BeNumerically(">", 0.93), s.table(end))
		Expect(s.attainedValue(17, end)).To(BeNumerically(">", 0.98), "two seconds after the burst all are served as before\n"+s.table(end))
	})

	// The kind with the large results arrives more often while a third of the replicas that
	// compute them are lost.
	It("of large results with lost replicas does not degrade the most urgent kind", func() {
		s := runWith(func(s *loadSim) {
			s.kinds[review].burst(8*time.Second, 6500*time.Millisecond, 2.5)
			s.down("audit", 0.3, 9*time.Second, 5*time.Second)
		})
		Expect(s.attainedValue(8, 16)).To(BeNumerically(">", 0.9), s.table(end))
		Expect(s.kinds[summary].attainedValue(0, end)).To(BeNumerically(">", 0.99), s.table(end))
		Expect(s.attainedValue(17, end)).To(BeNumerically(">", 0.98), s.table(end))
	})

	// All kinds arrive more than twice as often, which exceeds the capacity of the
	// replicas: the excess is refused or late, starting with the least urgent kind.
	It("of all kinds degrades the least urgent kind more than the most urgent one", func() {
		s := runWith(func(s *loadSim) {
			for _, k := range s.kinds {
				k.burst(6*time.Second, 8*time.Second, 2.2)
			}
		})
		Expect(s.kinds[summary].attainedValue(6, 14)).To(BeNumerically(">", s.kinds[extract].attainedValue(6, 14)), s.table(end))
		Expect(s.kinds[summary].attainedValue(6, 14)).To(BeNumerically(">", 0.95), s.table(end))
		Expect(s.attainedValue(6, 14)).To(BeNumerically(">", 0.88), s.table(end))
		Expect(s.attainedValue(17, end)).To(BeNumerically(">", 0.98), s.table(end))
	})

	// Under random load, and with random replicas lost or slow, a kind is served no less
	// than a less urgent one: both pass through the same services, so capacity that one
	// gets the other could have.
	It("under random load serves no kind less than a less urgent one", func() {
		for seed := range uint64(8) {
			s := newSixDomainSim(seed, 3)
			s.randomFaults()
			s.run(end * time.Second)
			for _, urgent := range []int{review, summary} {
				Expect(s.kinds[urgent].attainedValue(0, end)).To(BeNumerically(">", s.kinds[extract].attainedValue(0, end)-0.02), s.table(end))
				Expect(s.kinds[urgent].answeredShare(0, end)).To(BeNumerically(">", s.kinds[extract].answeredShare(0, end)-0.02), s.table(end))
			}
			Expect(s.attainedValue(18, end)).To(BeNumerically(">", 0.95), "three seconds after the last fault\n"+s.table(end))
		}
	})

	// All hosts lose power during a burst: for four seconds the memory is full of results
	// that no planner knows of, and all callers retry. Replicas that are queried for their
	// free memory are used as soon as those results expire. Sums of three seeds without and
	// with the queries: 656 and 112 pieces found no memory, and 43% and 77% of the requests
	// of the most urgent kind that arrived in the second to fourth second after the return
	// were on time.
	It("in which all hosts lose power ends when the lost results expire", func() {
		const back = 12200 * time.Millisecond
		var sum simTally
		outOfMemory := 0
		for seed := range uint64(3) {
			s := newSixDomainSim(seed, 3)
			s.kinds[summary].burst(3*time.Second, 7*time.Second, 1.6)
			s.losePower(10*time.Second, back-10*time.Second)
			s.run(end * time.Second)
			outOfMemory += s.outOfMemory
			sum.add(s.kinds[summary].total(13, 16))
			Expect(s.attainedValue(16, end)).To(BeNumerically(">", 0.95), "four seconds after the return\n"+s.table(end))
		}
		Expect(outOfMemory).To(BeNumerically("<", 300))
		Expect(float64(sum.onTime) / float64(sum.arrived)).To(BeNumerically(">", 0.7))
	})
})
