package stage

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
)

var _ = Describe("the slack left to more urgent ranks", func() {
	rank := func(route int) catalog.Rank { return catalog.Rank{Customer: 1, Route: route} }

	It("counts only ranks that ask for the same services, and only for a while", func() {
		r, now := recentRanks{}, time.Unix(1000, 0)
		r[rank(0)], r[rank(2)], r[catalog.Rank{Route: 0}] = now, now, now
		Expect(r.countMoreUrgent(now, rank(0))).To(BeZero())
		Expect(r.countMoreUrgent(now, rank(1))).To(Equal(1))
		Expect(r.countMoreUrgent(now, rank(3))).To(Equal(2))
		Expect(r.countMoreUrgent(now, catalog.Rank{Customer: 2, Route: 3})).To(BeZero(), "customers are told apart by the order of work")
		Expect(r.countMoreUrgent(now.Add(rankRetention+time.Second), rank(3))).To(BeZero())
		Expect(r).To(BeEmpty())
	})

	// Calls of one piece, one after the other, so that the jobs' places in the queue
	// decide alone.
	admitted := func(prepare func(b *harness)) (urgent, other int) {
		b := newHarness(pieceParams(1, 0), "x")
		prepare(b)
		for i := range 30 {
			for route, count := range map[int]*int{0: &urgent, 2: &other} {
				j := b.newChain(fmt.Sprint("job", i, "-", route), Stage{Service: "a", Pieces: 1})
				j.Rank, j.Due = rank(route), b.now.Add(time.Second)
				b.submit(j)
				if b.m.jobs[j.ID] != nil {
					*count++
				}
			}
		}
		return urgent, other
	}

	It("has the less urgent refused when they come, while the urgent are admitted", func() {
		urgent, other := admitted(func(*harness) {})
		Expect(urgent).To(BeNumerically(">", 2*other))
	})

	It("is the job's own where nobody more urgent comes", func() {
		b := newHarness(pieceParams(1, 0), "x")
		j := b.newChain("alone", Stage{Service: "a", Pieces: 1})
		j.Rank = rank(2)
		b.submit(j)
		Expect(b.m.reservedShare(b.now, b.m.jobs["alone"])).To(BeZero())
	})
})
