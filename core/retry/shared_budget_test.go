package retry_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/retry"
)

var _ = Describe("a daemon's share of a fleet-wide budget", func() {
	const window = 10 * time.Second
	start := time.Unix(1000, 0)

	It("allows extra attempts from the start", func() {
		b := retry.NewSharedBudget(0.2, 54, window, 7, time.Time{})
		b.Deposit(start)
		Expect(b.Withdraw(start)).To(BeTrue())
		Expect(b.Stats().Taken).To(Equal(uint64(1)))
	})

	It("keeps the fleet within ratio and slack in every window for random distributions of the requests", func() {
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 1))
			hosts := 1 + rng.IntN(12)
			fleet := make([]*retry.SharedBudget, hosts)
			for i := range fleet {
				fleet[i] = retry.NewSharedBudget(0.2, 54, window, hosts, time.Time{})
			}
			type event struct {
				at    time.Time
				extra bool
			}
			var events []event
			now := start
			for range 20_000 {
				now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
				b := fleet[rng.IntN(1+rng.IntN(hosts))]
				if rng.IntN(3) == 0 {
					b.Deposit(now)
					events = append(events, event{now, false})
				} else if b.Withdraw(now) {
					events = append(events, event{now, true})
				}
			}
			firsts, extras, oldest := 0, 0, 0
			for _, e := range events {
				if e.extra {
					extras++
				} else {
					firsts++
				}
				for ; events[oldest].at.Before(e.at.Add(-window)); oldest++ {
					if events[oldest].extra {
						extras--
					} else {
						firsts--
					}
				}
				Expect(float64(extras)).To(BeNumerically("<=", 0.2*float64(firsts)+54+1), "seed %d", seed)
			}
		}
	})

	It("allows what first attempts deposit even if the slack is less than one token per daemon", func() {
		b := retry.NewSharedBudget(0.2, 10, window, 400, time.Time{})
		for range 5 {
			b.Deposit(start)
		}
		Expect(b.Withdraw(start)).To(BeTrue())
		Expect(b.Withdraw(start)).To(BeFalse())
	})

	It("divides the slack by the number of known daemons", func() {
		b := retry.NewSharedBudget(0, 40, window, 1, time.Time{})
		b.SetHosts(10, func(int) int { return 0 })
		n := 0
		for b.Withdraw(start) {
			n++
		}
		Expect(n).To(Equal(2))
		Expect(b.Withdraw(start.Add(window))).To(BeTrue(), "half of the share is refilled per window")
	})

	// The daemon of a host that restarts does not know what the earlier one has sent.
	It("begins empty at a restart and is refilled within a window", func() {
		b := retry.NewSharedBudget(0, 40, window, 1, start)
		Expect(b.Withdraw(start)).To(BeFalse())
		Expect(b.Withdraw(start.Add(window/10))).To(BeTrue(), "a tenth of half the share is refilled")
		n := 0
		for b.Withdraw(start.Add(2 * window)) {
			n++
		}
		Expect(n).To(Equal(20))
	})

	It("allows a host of a large fleet its whole attempts a window after a restart", func() {
		b := retry.NewSharedBudget(0, 40, window, 1, start)
		b.SetHosts(100, func(int) int { return 1 })
		Expect(b.Withdraw(start.Add(window - 1))).To(BeFalse())
		Expect(b.Withdraw(start.Add(window))).To(BeTrue())
		Expect(b.Withdraw(start.Add(window))).To(BeFalse())
	})

	It("gives a large fleet whole attempts instead of parts that allow none", func() {
		const hosts, slack = 985, 728
		fleet := make([]*retry.SharedBudget, hosts)
		for i := range fleet {
			fleet[i] = retry.NewSharedBudget(0.14, slack, window, hosts, time.Time{})
			fleet[i].SetHosts(hosts, func(total int) int { return (total - i + hosts - 1) / hosts })
		}
		// Each host has about a request in ten seconds. A seventh of them fail, and for some
		// seconds all of many more.
		rng := rand.New(rand.NewPCG(1, 2))
		var firsts, extras []time.Time
		allowed, wanted := 0, 0
		now := start
		request := func(fails bool) (retried bool) {
			b := fleet[rng.IntN(hosts)]
			b.Deposit(now)
			firsts = append(firsts, now)
			if retried = fails && b.Withdraw(now); retried {
				extras = append(extras, now)
			}
			return retried
		}
		for ; now.Before(start.Add(8 * window)); now = now.Add(10 * time.Millisecond) {
			if rng.IntN(7) == 0 {
				wanted++
				if request(true) {
					allowed++
				}
			} else {
				request(false)
			}
		}
		// A host that has an extra attempt is without it for a window after one failure.
		Expect(float64(allowed)).To(BeNumerically(">", float64(slack)/hosts*6/7*float64(wanted)))
		for ; now.Before(start.Add(11 * window)); now = now.Add(2 * time.Millisecond) {
			request(true)
		}
		oldestExtra, oldestFirst, first := 0, 0, 0
		for i, at := range extras {
			for ; extras[oldestExtra].Before(at.Add(-window)); oldestExtra++ {
			}
			for ; first < len(firsts) && !firsts[first].After(at); first++ {
			}
			for ; firsts[oldestFirst].Before(at.Add(-window)); oldestFirst++ {
			}
			Expect(float64(i-oldestExtra+1)).To(BeNumerically("<=", 0.2*float64(first-oldestFirst)+1040), "at %s", at.Sub(start))
		}
	})

	It("takes refunds of attempts that were not sent, up to its capacity", func() {
		b := retry.NewSharedBudget(0, 4, window, 1, time.Time{})
		Expect(b.Withdraw(start)).To(BeTrue())
		Expect(b.Withdraw(start)).To(BeTrue())
		Expect(b.Withdraw(start)).To(BeFalse())
		b.Refund(start)
		Expect(b.Stats().Taken).To(Equal(uint64(1)))
		Expect(b.Withdraw(start)).To(BeTrue())
		for range 5 {
			b.Refund(start)
		}
		Expect(b.Stats().Tokens).To(BeNumerically("<=", 2))
	})

	It("denies extra attempts until a negative balance is refilled", func() {
		b := retry.NewSharedBudget(0.5, 2, window, 1, time.Time{})
		Expect(b.Withdraw(start)).To(BeTrue())
		b.ForceWithdraw(start)
		Expect(b.Stats().Tokens).To(BeNumerically("==", -1))
		b.Deposit(start)
		b.Deposit(start)
		b.Deposit(start)
		Expect(b.Withdraw(start)).To(BeFalse())
		b.Deposit(start)
		Expect(b.Withdraw(start)).To(BeTrue())
		Expect(b.Stats().Taken).To(Equal(uint64(3)))
	})

	// Hosts that restart several times within a window, each with a full share: the fleet sends
	// the slack once for each restart.
	DescribeTable("keeps the fleet within ratio and slack while all hosts restart again and again",
		func(hosts int, ratio, slack float64, uptime time.Duration) {
			const used = 0.7 // of ratio and slack, as daemons use it
			newHost := func(i int, now time.Time) *retry.SharedBudget {
				b := retry.NewSharedBudget(used*ratio, used*slack, window, 6, now)
				b.SetHosts(hosts, func(total int) int { return (total - i + hosts - 1) / hosts })
				return b
			}
			fleet := make([]*retry.SharedBudget, hosts)
			var firsts, extras []time.Time
			restart := start
			for now := start; now.Before(start.Add(6 * window)); now = now.Add(time.Second) {
				if !now.Before(restart) {
					restart = now.Add(uptime)
					for i := range fleet {
						fleet[i] = newHost(i, now)
					}
				}
				for i := range fleet {
					if (now.Unix()+int64(i))%4 == 0 {
						fleet[i].Deposit(now)
						firsts = append(firsts, now)
					}
					for fleet[i].Withdraw(now) {
						extras = append(extras, now)
					}
				}
			}
			oldestExtra, oldestFirst, first := 0, 0, 0
			for i, at := range extras {
				for ; extras[oldestExtra].Before(at.Add(-window)); oldestExtra++ {
				}
				for ; first < len(firsts) && !firsts[first].After(at); first++ {
				}
				for ; firsts[oldestFirst].Before(at.Add(-window)); oldestFirst++ {
				}
				Expect(float64(i-oldestExtra+1)).To(BeNumerically("<=", ratio*float64(first-oldestFirst)+slack), "at %s", at.Sub(start))
			}
		},
		Entry("7 hosts, every 3 s", 7, 0.2, 54.0, 3*time.Second),
		Entry("7 hosts, every 8 s", 7, 0.2, 54.0, 8*time.Second),
		Entry("59 hosts, every 3 s", 59, 0.2, 158.0, 3*time.Second),
		Entry("59 hosts, every 8 s", 59, 0.2, 158.0, 8*time.Second),
		Entry("985 hosts, every 4 s", 985, 0.2, 1040.0, 4*time.Second),
	)
})
