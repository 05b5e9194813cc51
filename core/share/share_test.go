package share

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func customersOf(n int) []Resource {
	var out []Resource
	for i := range n {
		out = append(out, Resource{Customer, fmt.Sprintf("customer-%03d", i)})
	}
	return out
}

// watch returns a check that no sum of shares ever exceeds Full plus slack,
// and the highest sum seen.
func watch(f *fleet, slack func() int64) (func(), *int64) {
	highest := new(int64)
	return func() {
		for _, r := range f.resources {
			sum := f.sum(r)
			*highest = max(*highest, sum)
			if limit := FullShare + slack(); sum > limit {
				Fail(fmt.Sprintf("at %v the shares of %v sum to %d, the bound is %d", f.now, r, sum, limit))
			}
		}
	}, highest
}

func noSlack() int64 { return 0 }

var _ = Describe("the shares of a fleet", func() {
	It("are equal and keep the limit before anybody is heard", func() {
		f := newFleet(7, customersOf(1), 1)
		f.loss = 1
		f.nodes[f.names[0]].demand[f.resources[0]] = 2
		check, _ := watch(f, noSlack)
		f.run(20*time.Second, check)
		for _, n := range f.names {
			Expect(f.share(n, f.resources[0])).To(BeEquivalentTo(FullShare / 7))
		}
	})

	It("follow demand within seconds and return what was lent", func() {
		f := newFleet(7, customersOf(1), 2)
		r := f.resources[0]
		check, _ := watch(f, noSlack)
		f.run(10*time.Second, check)
		greedy, idle := f.names[3], f.names[5]
		f.nodes[greedy].demand[r] = 2
		lent := f.until(func() bool { return f.share(greedy, r) >= 700_000 }, check)
		f.nodes[idle].demand[r] = 0.1
		returned := f.until(func() bool { return f.share(idle, r) >= 100_000 }, check)
		AddReportEntry("convergence", fmt.Sprintf("lent in %v, returned in %v", lent, returned))
		Expect(lent).To(BeNumerically("<=", 2*time.Second))
		Expect(returned).To(BeNumerically("<=", 2*time.Second))
	})

	It("keep at least the equal share of whoever wants it", func() {
		f := newFleet(7, customersOf(1), 3)
		r := f.resources[0]
		for _, n := range f.names {
			f.nodes[n].demand[r] = 1
		}
		f.nodes[f.names[0]].demand[r] = 10
		check, _ := watch(f, noSlack)
		f.run(20*time.Second, check)
		for _, n := range f.names {
			Expect(f.share(n, r)).To(BeNumerically(">=", FullShare/7))
		}
	})

	It("lend on each side of a partition without exceeding the limit together", func() {
		f := newFleet(7, customersOf(5), 4)
		for i, r := range f.resources {
			f.nodes[f.names[i]].demand[r] = 2
		}
		check, highest := watch(f, noSlack)
		f.run(20*time.Second, check)
		for i, n := range f.names {
			f.side[n] = i % 2
		}
		f.run(30*time.Second, check)
		Expect(*highest).To(BeNumerically(">", FullShare*8/10), "nothing was lent")
		for _, n := range f.names[:5] {
			f.step(n, LiveHostsChanged{f.reachable(n)})
		}
		f.run(30*time.Second, check)
	})

	DescribeTable("never exceed the limit under delay, loss, reordering, partition and pauses",
		func(seed uint64) {
			f := newFleet(9, customersOf(4), seed)
			check, highest := watch(f, noSlack)
			for range 60 {
				f.disturb()
				f.run(time.Duration(200+f.rng.IntN(4000))*time.Millisecond, check)
			}
			Expect(*highest).To(BeNumerically(">", FullShare*7/10), "nothing was lent")
		},
		Entry(nil, uint64(11)), Entry(nil, uint64(12)), Entry(nil, uint64(13)),
		// These two fail when a report counts while an answer is on its way.
		Entry(nil, uint64(1019)), Entry(nil, uint64(1041)),
		// These two showed that an answer which is dropped as out of order must
		// not be taken for adopted.
		Entry(nil, uint64(1029)), Entry(nil, uint64(1159)),
	)

	It("exceed the limit by an equal share at most for each restart, and not for long", func() {
		f := newFleet(9, customersOf(2), 21)
		var restarts []time.Duration
		slack := func() int64 {
			recent := 0
			for _, at := range restarts {
				if f.now-at < 11*f.nodes[f.names[0]].m.cfg.Interval {
					recent++
				}
			}
			return int64(recent) * FullShare / 9
		}
		check, _ := watch(f, slack)
		for range 40 {
			f.disturb()
			f.restart(f.names[f.rng.IntN(9)])
			restarts = append(restarts, f.now)
			f.run(time.Duration(500+f.rng.IntN(6000))*time.Millisecond, check)
		}
	})

	It("keep the limit while clocks run at different rates and only the allocator is heard", func() {
		f := newFleet(7, customersOf(1), 31)
		r := f.resources[0]
		allocator := f.allocator(r)
		greedy := f.names[0]
		if greedy == allocator {
			greedy = f.names[1]
		}
		for _, n := range f.names {
			f.nodes[n].rate = 1.02
		}
		f.nodes[allocator].rate, f.nodes[greedy].rate = 0.98, 0.98
		f.nodes[greedy].demand[r] = 2
		check, highest := watch(f, noSlack)
		for range 20 {
			f.run(12*time.Second, check)
			for _, n := range f.names {
				f.side[n] = 1
			}
			f.side[allocator], f.side[greedy] = 0, 0
			f.run(12*time.Second, check)
			for _, n := range f.names {
				f.side[n] = 0
			}
		}
		Expect(*highest).To(BeNumerically(">", FullShare*9/10), "nothing was lent")
	})

	It("leave a margin for clock rates on both ends of a loan and a cession", func() {
		f := newFleet(7, customersOf(1), 33)
		r := f.resources[0]
		greedy, idle := f.names[0], f.names[1]
		f.nodes[greedy].demand[r] = 2
		f.until(func() bool { return f.share(greedy, r) > FullShare/2 }, func() {})
		cfg := f.nodes[greedy].m.cfg
		loan := f.nodes[greedy].m.holdings[r.ID()]
		Expect(loan.loanUntil.Sub(f.clock(greedy))).To(BeNumerically("<=", cfg.Loan*19/20))
		ceder := f.nodes[idle].m
		ceder.holdings[r.ID()].due = f.clock(idle)
		f.step(idle, TimerFired{}) // renews the cession
		cession := ceder.holdings[r.ID()].ceilingUntil.Sub(ceder.heard[f.allocator(r)].at)
		Expect(cession).To(BeNumerically(">=", cfg.Cession*21/20))
	})

	It("keep the limit but for the allocator's own share when an allocator is restarted", func() {
		f := newFleet(7, customersOf(1), 32)
		r := f.resources[0]
		allocator := f.allocator(r)
		var others []string
		for _, n := range f.names {
			if n != allocator {
				others = append(others, n)
			}
		}
		// The restarted daemon forgets its own cession, the loans it made not.
		check, _ := watch(f, func() int64 { return FullShare / 7 * (leastPart - 1) / leastPart })
		for round := range 12 {
			before, after := others[round%6], others[(round+1)%6]
			f.nodes[before].demand[r] = 3
			Expect(f.until(func() bool { return f.share(before, r) > FullShare/2 }, check)).To(BeNumerically("<", 20*time.Second))
			f.side[before] = 1
			f.restart(allocator)
			f.nodes[before].demand[r], f.nodes[after].demand[r] = 0, 3
			f.run(10*time.Second, check)
			f.side[before] = 0
			f.nodes[after].demand[r] = 0
			f.run(10*time.Second, check)
		}
	})

	It("ignore messages that are malformed or about another host list", func() {
		f := newFleet(3, customersOf(1), 5)
		f.run(10*time.Second, func() {})
		other := newFleet(4, customersOf(1), 6)
		other.nodes[other.names[0]].demand[other.resources[0]] = 3
		before := f.share(f.names[0], f.resources[0])
		for _, a := range other.nodes[other.names[0]].m.Step(other.clock(other.names[0]).Add(time.Minute), TimerFired{}) {
			if s, ok := a.(SendReport); ok {
				Expect(f.nodes[f.names[1]].m.Step(f.clock(f.names[1]), ReportReceived{f.names[0], s.Report})).To(BeEmpty())
				s.Report.View = f.nodes[f.names[1]].m.list.id
				s.Report.Demands = nil
				Expect(f.nodes[f.names[1]].m.Step(f.clock(f.names[1]), ReportReceived{f.names[0], s.Report})).To(BeEmpty())
			}
		}
		Expect(f.share(f.names[0], f.resources[0])).To(Equal(before))
	})
})

// until runs the fleet until ok holds, a minute at most, and returns how long
// that took.
func (f *fleet) until(ok func() bool, check func()) time.Duration {
	start := f.now
	for !ok() && f.now-start < time.Minute {
		f.run(50*time.Millisecond, check)
	}
	return f.now - start
}

// allocator returns the allocator of r when all hosts are alive.
func (f *fleet) allocator(r Resource) string {
	return f.nodes[f.names[0]].m.allocatorOf(r.ID())
}

func (f *fleet) reachable(name string) []string {
	var out []string
	for _, n := range f.names {
		if f.side[n] == f.side[name] {
			out = append(out, n)
		}
	}
	return out
}

// disturb changes demand, the network and who runs, at random.
func (f *fleet) disturb() {
	name := f.names[f.rng.IntN(len(f.names))]
	r := f.resources[f.rng.IntN(len(f.resources))]
	f.nodes[name].demand[r] = []float64{0, 0.05, 0.3, 1, 3}[f.rng.IntN(5)]
	f.loss = []float64{0, 0, 0.1, 0.4}[f.rng.IntN(4)]
	f.maxDelay = []time.Duration{5, 5, 200, 3000}[f.rng.IntN(4)] * time.Millisecond
	if f.rng.IntN(3) == 0 {
		for _, n := range f.names {
			f.side[n] = 0
		}
	}
	if f.rng.IntN(4) == 0 {
		for _, n := range f.names {
			f.side[n] = f.rng.IntN(2)
		}
	}
	if f.rng.IntN(2) == 0 {
		n := f.names[f.rng.IntN(len(f.names))]
		f.step(n, LiveHostsChanged{f.reachable(n)})
	}
	if f.rng.IntN(5) == 0 {
		n := f.nodes[f.names[f.rng.IntN(len(f.names))]]
		n.pausedUntil = f.now + time.Duration(f.rng.IntN(9000))*time.Millisecond
	}
}
