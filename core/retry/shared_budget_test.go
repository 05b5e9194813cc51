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
		b := retry.NewSharedBudget(0.2, 54, window, 7)
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
				fleet[i] = retry.NewSharedBudget(0.2, 54, window, hosts)
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
		b := retry.NewSharedBudget(0.2, 10, window, 400)
		for range 5 {
			b.Deposit(start)
		}
		Expect(b.Withdraw(start)).To(BeTrue())
		Expect(b.Withdraw(start)).To(BeFalse())
	})

	It("divides the slack by the number of known daemons", func() {
		b := retry.NewSharedBudget(0, 40, window, 1)
		b.SetHosts(10, func(int) int { return 0 })
		n := 0
		for b.Withdraw(start) {
			n++
		}
		Expect(n).To(Equal(2))
		Expect(b.Withdraw(start.Add(window))).To(BeTrue(), "half of the share is refilled per window")
	})

	It("gives a large fleet whole attempts instead of parts that allow none", func() {
		const hosts, slack = 985, 728
		fleet := make([]*retry.SharedBudget, hosts)
		for i := range fleet {
			fleet[i] = retry.NewSharedBudget(0.14, slack, window, hosts)
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
		b := retry.NewSharedBudget(0, 4, window, 1)
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
		b := retry.NewSharedBudget(0.5, 2, window, 1)
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
})
