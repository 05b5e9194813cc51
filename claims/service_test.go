package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/problem"
)

var _ = Describe("Service", func() {
	const within = 2 * time.Second
	ctx := context.Background()
	var f *testFleet
	BeforeEach(func() { f = newTestFleet("a", "b", "c") })

	It("returns the recorded result to a retry at another host, but not to a different request", func() {
		key := newKey()
		Expect(f.acquire("a", key, "r1", within).Won).To(BeTrue())
		waiting := make(chan []byte, 1)
		go func() { waiting <- f.acquire("b", key, "r2", within).Result }()
		Consistently(waiting, 50*time.Millisecond).ShouldNot(Receive())
		Expect(f.service("a").Record(ctx, key, "r1", []byte(`"seal"`))).To(Succeed())
		Eventually(waiting, within).Should(Receive(Equal([]byte(`"seal"`))))

		otherCtx, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		d := f.service("c").Acquire(otherCtx, key, "r3", time.Now(), [32]byte{2})
		Expect(d.Err.Kind).To(Equal(problem.KeyReused))
		Expect(f.service("a").Dump().Owned).To(BeZero())
	})

	It("does not grant a key again after its owner's process has ended", func() {
		key := newKey()
		Expect(f.acquire("a", key, "r1", within).Won).To(BeTrue())
		f.startHost("a")
		f.waitFullyReady("a")
		d := f.acquire("b", key, "r2", within)
		Expect(d.Won).To(BeFalse())
		Expect(d.Err.Kind).To(Equal(problem.OutcomeUnknown))
		Expect(d.Err.Execution).To(Equal(problem.MayHaveRun))
	})

	It("grants a released key to a later attempt, but not to an earlier one", func() {
		key := newKey()
		before := time.Now()
		Expect(f.acquire("a", key, "r1", within).Won).To(BeTrue())
		Expect(f.service("a").Release(ctx, key, "r1")).To(Succeed())
		earlyCtx, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		Expect(f.service("b").Acquire(earlyCtx, key, "r0", before, [32]byte{1}).Won).To(BeFalse())
		Eventually(func() bool { return f.acquire("b", key, "r2", within).Won }, within).Should(BeTrue())
	})

	It("refuses a claim without a majority, and does not report not_run", func() {
		key := newKey()
		f.setPartitioned(true, "b", "c")
		d := f.acquire("a", key, "r1", within)
		Expect(d.Err.Kind).To(Equal(problem.NoMajority))
		Expect(d.Err.Execution).To(Equal(problem.MayHaveRun))
		Expect(d.Err.RetryAfter).NotTo(BeZero())
	})

	It("rejects a bundle whose lineage lacks the active host list", func() {
		s := f.service("a")
		s.Apply(&bundle.Bundle{Version: 2, Claims: f.bundle.Claims, Hosts: f.bundle.Hosts[1:]})
		Expect(s.Dump().RejectionReason).To(ContainSubstring("bundle 2"))
		Expect(s.Dump().Epoch).To(Equal(uint64(1)))
	})

	It("lets at most one attempt win each key despite message loss and restarts", func() {
		const rounds, keys, attempts = 3, 20, 4
		hosts := []string{"a", "b", "c"}
		won := 0
		for round := range rounds {
			f.setLossRate(0.1)
			var wins [keys]atomic.Int32
			var group sync.WaitGroup
			for k := range keys {
				key := newKey()
				for i := range attempts {
					group.Go(func() {
						// Attempts 2 and 3 start after the restart at 45 ms.
						time.Sleep(time.Duration(i) * 30 * time.Millisecond)
						if f.acquire(hosts[(k+i)%len(hosts)], key, fmt.Sprintf("r%d", i), 300*time.Millisecond).Won {
							wins[k].Add(1)
						}
					})
				}
			}
			group.Go(func() {
				time.Sleep(45 * time.Millisecond)
				f.startHost(hosts[round])
			})
			group.Wait()
			for k := range wins {
				Expect(wins[k].Load()).To(BeNumerically("<=", 1))
				won += int(wins[k].Load())
			}
			f.setLossRate(0)
			f.waitFullyReady(hosts...)
		}
		Expect(won).To(BeNumerically(">", rounds*keys/2))
	})
})
