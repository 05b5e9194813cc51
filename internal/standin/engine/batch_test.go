package engine

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stepUntil runs b until s is finished and returns the total duration of the steps.
func stepUntil(b *batch, s *sequence) time.Duration {
	var total time.Duration
	for range 100_000 {
		if s.finished() {
			return total
		}
		step := b.plan()
		Expect(step).To(BeNumerically(">", 0))
		b.advance(step)
		total += step
	}
	Fail("the sequence did not finish")
	return 0
}

var _ = Describe("batch", func() {
	var removed []uint64
	newTestBatch := func(c Config) *batch {
		removed = nil
		c = withDefaults(c)
		return newBatch(c, newPrefixCache(c.KVBlocks, func(k EventKind, block uint64) {
			if k == EventRemoved {
				removed = append(removed, block)
			}
		}))
	}

	DescribeTable("the step time grows with the batch size", func(n int) {
		b := newTestBatch(Config{Slots: 32, StepBase: 10 * time.Millisecond, StepPerSequence: time.Millisecond})
		for range n {
			Expect(b.submit(newSequence("abc", 5, 0))).To(BeTrue())
		}
		b.advance(b.plan())
		Expect(b.plan()).To(Equal(10*time.Millisecond + time.Duration(n)*time.Millisecond))
	},
		Entry("one sequence", 1),
		Entry("eight sequences", 8),
		Entry("a full batch", 32),
	)

	It("divides the engine time among the sequences of a batch", func() {
		b := newTestBatch(Config{})
		first, second := newSequence("abc", 20, 0), newSequence("abc", 20, 0)
		b.submit(first)
		b.submit(second)
		total := stepUntil(b, second)
		Expect(first.engineTime + second.engineTime).To(BeNumerically("~", total, time.Microsecond))
	})

	It("runs no more sequences than it has slots", func() {
		b := newTestBatch(Config{Slots: 2, Queue: 1})
		for range 3 {
			Expect(b.submit(newSequence("abc", 5, 0))).To(BeTrue())
		}
		Expect(b.submit(newSequence("abc", 5, 0))).To(BeFalse())
		b.plan()
		Expect(b.load().Running).To(Equal(2))
		Expect(b.load().Queued).To(Equal(1))
	})

	It("gives the slot of a cancelled sequence to the next one immediately", func() {
		b := newTestBatch(Config{Slots: 1})
		long, next := newSequence("abc", 1_000, 0), newSequence("abc", 1, 0)
		b.submit(long)
		b.submit(next)
		b.advance(b.plan())
		Expect(b.running).To(ConsistOf(long))
		b.remove(long)
		Expect(b.load().Running).To(Equal(0))
		b.plan()
		Expect(b.running).To(ConsistOf(next))
	})

	It("releases the memory of finished and of cancelled sequences", func() {
		b := newTestBatch(Config{})
		done, cancelled := newSequence("abc", 2, 0), newSequence("abc", 2, 0)
		b.submit(done)
		b.submit(cancelled)
		b.advance(b.plan())
		Expect(b.reservedBlocks).To(Equal(2))
		b.remove(cancelled)
		b.remove(cancelled)
		stepUntil(b, done)
		b.remove(done)
		Expect(b.reservedBlocks).To(Equal(0))
	})

	It("queues a sequence until there is enough memory", func() {
		b := newTestBatch(Config{KVBlocks: 10})
		first, second := newSequence("abc", 90, 0), newSequence("abc", 90, 0)
		b.submit(first)
		b.submit(second)
		b.plan()
		Expect(b.load().Running).To(Equal(1))
		stepUntil(b, first)
		b.plan()
		Expect(b.running).To(ConsistOf(second))
	})

	It("does not prefill a cached prefix again", func() {
		prefix := strings.Repeat("a shared contract prefix ", 1000)
		b := newTestBatch(Config{})
		cold := newSequence(prefix+"first question", 1, 0)
		b.submit(cold)
		coldTime := stepUntil(b, cold)
		warm := newSequence(prefix+"second question", 1, 0)
		b.submit(warm)
		warmTime := stepUntil(b, warm)
		Expect(coldTime).To(BeNumerically(">", 5*warmTime))
		other := newSequence("other"+prefix, 1, 0)
		b.submit(other)
		Expect(stepUntil(b, other)).To(BeNumerically(">", 5*warmTime))
	})

	It("evicts the least recently used prefix when memory runs out", func() {
		text := func(c string) string { return strings.Repeat(c, 4*bytesPerBlock) }
		// A running sequence uses 5 blocks, which leaves 9 for the cache.
		b := newTestBatch(Config{KVBlocks: 14})
		runPrompt := func(prompt string) {
			s := newSequence(prompt, 1, 0)
			b.submit(s)
			stepUntil(b, s)
		}
		runPrompt(text("a"))
		runPrompt(text("b"))
		runPrompt(text("a"))
		Expect(removed).To(BeEmpty())
		runPrompt(text("c"))
		second := hashBlocks(text("b"))
		Expect(removed).To(Equal([]uint64{second[3], second[2], second[1]}))
		Expect(b.cache.match(hashBlocks(text("a")))).To(Equal(4))
		Expect(b.load().KVUsed).To(Equal(9))
	})

	DescribeTable("queue order", func(priorityEnabled bool, want []int) {
		b := newTestBatch(Config{Slots: 1, Priority: priorityEnabled})
		b.submit(newSequence("abc", 1, 0))
		b.plan()
		for _, p := range []int{1, 5, 1, 5} {
			b.submit(newSequence("abc", 1, p))
		}
		var got []int
		for _, s := range b.queue {
			got = append(got, s.priority)
		}
		Expect(got).To(Equal(want))
	},
		Entry("by priority if enabled", true, []int{5, 5, 1, 1}),
		Entry("first in, first out otherwise", false, []int{1, 5, 1, 5}),
	)

	It("draws response lengths from a heavy-tailed distribution, deterministically for each prompt", func() {
		cfg := withDefaults(Config{OutputMedian: 50, OutputSigma: 1})
		over := 0
		for i := range 1000 {
			prompt := strings.Repeat("x", i)
			n := outputTokens(cfg, prompt, 100_000)
			Expect(outputTokens(cfg, prompt, 100_000)).To(Equal(n))
			Expect(outputTokens(cfg, prompt, 10)).To(BeNumerically("<=", 10))
			if n > 250 {
				over++
			}
		}
		// P(lognormal(0,1) > 5) is 5.4%.
		Expect(over).To(And(BeNumerically(">", 25), BeNumerically("<", 90)))
	})
})

var _ = Describe("eventLog", func() {
	It("publishes events after the lag, with gaps in the sequence numbers", func() {
		l := newEventLog(time.Hour, 0.5, 3)
		for i := range 100 {
			l.add(EventStored, uint64(i))
		}
		Expect(l.since(time.Now(), 0)).To(BeEmpty())
		events := l.since(time.Now().Add(2*time.Hour), 0)
		Expect(len(events)).To(And(BeNumerically(">", 20), BeNumerically("<", 80)))
		Expect(l.since(time.Now().Add(2*time.Hour), events[9].Sequence)).To(Equal(events[10:]))
		Expect(l.lastSequence).To(Equal(uint64(100)))
	})
})
