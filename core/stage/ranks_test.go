package stage

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
)

var _ = Describe("the slack reserved for more urgent ranks", func() {
	rank := func(route int) catalog.Rank { return catalog.Rank{Customer: 1, Route: route} }

	It("counts only more urgent routes of the same customer priority, and only for rankRetention", func() {
		r, now := recentRanks{}, time.Unix(1000, 0)
		r[rank(0)], r[rank(2)], r[catalog.Rank{Route: 0}] = now, now, now
		Expect(r.countMoreUrgent(now, rank(0))).To(BeZero())
		Expect(r.countMoreUrgent(now, rank(1))).To(Equal(1))
		Expect(r.countMoreUrgent(now, rank(3))).To(Equal(2))
		Expect(r.countMoreUrgent(now, catalog.Rank{Customer: 2, Route: 3})).To(BeZero(), "customers are ordered by the effective due time")
		Expect(r.countMoreUrgent(now.Add(rankRetention+time.Second), rank(3))).To(BeZero())
		Expect(r).To(BeEmpty())
	})

	// Calls hold one piece and run one at a time, so that only the jobs' effective due
	// times decide.
	admitted := func(prepare func(h *harness)) (urgent, other int) {
		h := newHarness(pieceParams(1, 0), "x")
		prepare(h)
		for i := range 30 {
			for route, count := range map[int]*int{0: &urgent, 2: &other} {
				j := h.newChain(fmt.Sprint("job", i, "-", route), Stage{Service: "a", Pieces: 1})
				j.Rank, j.Due = rank(route), h.now.Add(time.Second)
				h.submit(j)
				if h.m.jobs[j.ID] != nil {
					*count++
				}
			}
		}
		return urgent, other
	}

	It("has less urgent jobs refused on arrival while urgent ones are admitted", func() {
		urgent, other := admitted(func(*harness) {})
		Expect(urgent).To(BeNumerically(">", 2*other))
	})

	It("is zero if there are no more urgent jobs", func() {
		h := newHarness(pieceParams(1, 0), "x")
		j := h.newChain("alone", Stage{Service: "a", Pieces: 1})
		j.Rank = rank(2)
		h.submit(j)
		Expect(h.m.reservedShare(h.now, h.m.jobs["alone"])).To(BeZero())
	})
})
