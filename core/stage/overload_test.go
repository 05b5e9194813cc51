package stage

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The bounds stand for 24 simulated seconds of a third of newHalls, a little under
// what was measured.
var _ = Describe("a burst in six halls", func() {
	const end = 24
	play := func(trouble func(s *loadSim)) *loadSim {
		s := newSixDomainSim(1, 3)
		trouble(s)
		s.run(end * time.Second)
		return s
	}
	const review, summary, extract = 0, 1, 2

	// The most urgent kind comes two and a half times as often as usual, just after
	// a third of the replicas of its second stage were lost.
	It("of the most urgent kind costs the least urgent one, and nothing else", func() {
		s := play(func(s *loadSim) {
			s.kinds[summary].burst(8*time.Second, 6900*time.Millisecond, 2.5)
			s.down("notify", 0.3, 5*time.Second, 4*time.Second)
		})
		Expect(s.kinds[summary].attainedValue(0, end)).To(BeNumerically(">", 0.98), s.table(end))
		Expect(s.kinds[review].attainedValue(0, end)).To(BeNumerically(">", 0.99), s.table(end))
		Expect(s.attainedValue(8, 15)).To(BeNumerically(">", 0.93), s.table(end))
		Expect(s.attainedValue(17, end)).To(BeNumerically(">", 0.98), "two seconds after it all are served as before\n"+s.table(end))
	})

	// The kind with the large results comes more often while a third of the
	// replicas that make them are lost.
	It("of large results beside lost replicas leaves the rest alone", func() {
		s := play(func(s *loadSim) {
			s.kinds[review].burst(8*time.Second, 6500*time.Millisecond, 2.5)
			s.down("audit", 0.3, 9*time.Second, 5*time.Second)
		})
		Expect(s.attainedValue(8, 16)).To(BeNumerically(">", 0.9), s.table(end))
		Expect(s.kinds[summary].attainedValue(0, end)).To(BeNumerically(">", 0.99), s.table(end))
		Expect(s.attainedValue(17, end)).To(BeNumerically(">", 0.98), s.table(end))
	})

	// All kinds come more than twice as often, which is over what the replicas can
	// make: what is over is refused or late, from the least urgent kind on.
	It("of all kinds is served in the order of urgency", func() {
		s := play(func(s *loadSim) {
			for _, k := range s.kinds {
				k.burst(6*time.Second, 8*time.Second, 2.2)
			}
		})
		Expect(s.kinds[summary].attainedValue(6, 14)).To(BeNumerically(">", s.kinds[extract].attainedValue(6, 14)), s.table(end))
		Expect(s.kinds[summary].attainedValue(6, 14)).To(BeNumerically(">", 0.95), s.table(end))
		Expect(s.attainedValue(6, 14)).To(BeNumerically(">", 0.88), s.table(end))
		Expect(s.attainedValue(17, end)).To(BeNumerically(">", 0.98), s.table(end))
	})

	// Whatever comes at random, and whichever replicas are lost or slow meanwhile, a
	// kind is served no less than one that is less urgent: both pass through the
	// same services, and room that one has the other could have.
	It("serves no kind less than a less urgent one, under random loads", func() {
		for seed := range uint64(8) {
			s := newSixDomainSim(seed, 3)
			s.randomFaults()
			s.run(end * time.Second)
			for _, urgent := range []int{review, summary} {
				Expect(s.kinds[urgent].attainedValue(0, end)).To(BeNumerically(">", s.kinds[extract].attainedValue(0, end)-0.02), s.table(end))
				Expect(s.kinds[urgent].answeredShare(0, end)).To(BeNumerically(">", s.kinds[extract].answeredShare(0, end)-0.02), s.table(end))
			}
			Expect(s.attainedValue(18, end)).To(BeNumerically(">", 0.95), "three seconds after the last trouble\n"+s.table(end))
		}
	})

	// All hosts lose power inside a burst: for four seconds the rooms are full of
	// results that nobody can name, and all callers come back. Replicas that are
	// asked for their room are used as soon as those results go. Sums of three
	// seeds, without that and with it: 656 and 112 pieces found no room, and of the
	// requests of the most urgent kind that came in the second to fourth second
	// after the return 43 and 77 in 100 were on time.
	It("in which all hosts lose power is over when the lost results are", func() {
		const back = 12200 * time.Millisecond
		var sum simTally
		noRoom := 0
		for seed := range uint64(3) {
			s := newSixDomainSim(seed, 3)
			s.kinds[summary].burst(3*time.Second, 7*time.Second, 1.6)
			s.losePower(10*time.Second, back-10*time.Second)
			s.run(end * time.Second)
			noRoom += s.outOfMemory
			sum.add(s.kinds[summary].total(13, 16))
			Expect(s.attainedValue(16, end)).To(BeNumerically(">", 0.95), "four seconds after the return\n"+s.table(end))
		}
		Expect(noRoom).To(BeNumerically("<", 300))
		Expect(float64(sum.onTime) / float64(sum.arrived)).To(BeNumerically(">", 0.7))
	})
})
