package retry

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Retry")
}

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

var _ = Describe("Budget", func() {
	It("allows the ratio of the first attempts when all calls fail", func() {
		b := New(0.1, 0, DefaultBurst)
		taken := 0
		for i := range 10000 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			b.Deposit(now)
			for range 3 {
				if b.Withdraw(now) {
					taken++
				}
			}
		}
		Expect(taken).To(BeNumerically("~", 1000, 1))
	})

	It("accumulates no more than the burst over many first attempts", func() {
		b := New(0.1, 0, 20)
		for range 10000 {
			b.Deposit(start)
		}
		taken := 0
		for b.Withdraw(start) {
			taken++
		}
		Expect(taken).To(Equal(20))
	})

	It("allows the floor, by elapsed time, to a daemon with few requests", func() {
		b := New(0.1, 0.5, 20)
		Expect(b.Withdraw(start)).To(BeTrue())
		Expect(b.Withdraw(start)).To(BeFalse())
		Expect(b.Withdraw(start.Add(time.Second))).To(BeFalse())
		Expect(b.Withdraw(start.Add(3 * time.Second))).To(BeTrue())
		Expect(b.Stats()).To(Equal(Stats{Ratio: 0.1, Taken: 2, Denied: 2}))
	})

	It("allows no extra attempt at ratio 0", func() {
		b := New(0, 1, 20)
		b.Deposit(start)
		Expect(b.Withdraw(start)).To(BeFalse())
	})

	It("keeps the budgets of retries and hedges separate", func() {
		b := NewBudgets(0.2, 0.05)
		for range 1000 {
			b.Retry.Deposit(start)
			b.Hedge.Deposit(start)
		}
		for b.Retry.Withdraw(start) {
		}
		Expect(b.Hedge.Withdraw(start)).To(BeTrue())
	})
})

// For any order of calls at any number of daemons, the extra attempts stay within the ratio
// of the first attempts plus the floors and their bursts.
func TestExtraAttemptsStayWithinTheBudgetForAnyOrderOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0.01, 1).Draw(t, "ratio")
		daemons := make([]*Budget, rapid.IntRange(1, 5).Draw(t, "daemons"))
		for i := range daemons {
			daemons[i] = New(ratio, 0.2, 10)
		}
		now, first, extra := start, 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			b := daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")]
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "deposit") {
				b.Deposit(now)
				first++
			} else if b.Withdraw(now) {
				extra++
			}
		}
		floors := float64(len(daemons)) * (floorBurst + 0.2*now.Sub(start).Seconds())
		if float64(extra) > ratio*float64(first)+floors+1e-6 {
			t.Fatalf("%d extra attempts for %d first attempts at ratio %.2f", extra, first, ratio)
		}
	})
}
