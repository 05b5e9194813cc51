package catalog_test

import (
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
)

var _ = Describe("evacuations", func() {
	ordered := func(revision uint64, domain string) catalog.EvacuationChange {
		return catalog.EvacuationChange{Domain: domain, Revision: revision}
	}
	withdrawn := func(revision uint64, domain string) catalog.EvacuationChange {
		return catalog.EvacuationChange{Domain: domain, Withdrawn: true, Revision: revision}
	}

	DescribeTable("apply changes", func(changes []catalog.EvacuationChange, want catalog.Evacuations) {
		got := catalog.NewEvacuations(10, []string{"b"}).With(changes)
		Expect(got.Revision).To(Equal(want.Revision))
		Expect(got.SameDomains(want)).To(BeTrue(), "%v", got.Domains)
	},
		Entry("none", nil, catalog.NewEvacuations(10, []string{"b"})),
		Entry("a second domain", []catalog.EvacuationChange{ordered(12, "a")}, catalog.NewEvacuations(12, []string{"a", "b"})),
		Entry("a domain that is already evacuated", []catalog.EvacuationChange{ordered(12, "b")}, catalog.NewEvacuations(12, []string{"b"})),
		Entry("a withdrawal", []catalog.EvacuationChange{withdrawn(12, "b")}, catalog.NewEvacuations(12, nil)),
		Entry("a withdrawal without an order", []catalog.EvacuationChange{withdrawn(12, "x")}, catalog.NewEvacuations(12, []string{"b"})),
		Entry("out of order", []catalog.EvacuationChange{ordered(14, "b"), withdrawn(12, "b")}, catalog.NewEvacuations(14, []string{"b"})),
		Entry("older than the current revision", []catalog.EvacuationChange{withdrawn(9, "b"), ordered(10, "x")}, catalog.NewEvacuations(10, []string{"b"})),
	)

	It("report whether a domain is evacuated", func() {
		e := catalog.NewEvacuations(1, []string{"c", "a", "c"})
		Expect(e.Domains).To(Equal([]string{"a", "c"}))
		Expect(e.Has("a")).To(BeTrue())
		Expect(e.Has("b")).To(BeFalse())
		Expect(catalog.Evacuations{}.Has("a")).To(BeFalse())
	})

	It("converge for any batches, order and repetition of the changes", func() {
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 1))
			var changes []catalog.EvacuationChange
			for revision := uint64(1); revision <= 20; revision++ {
				changes = append(changes, catalog.EvacuationChange{Domain: string(rune('a' + rng.IntN(4))), Withdrawn: rng.IntN(2) == 0, Revision: revision})
			}
			want := catalog.Evacuations{}.With(changes)
			got := catalog.Evacuations{}
			for at := 0; at < len(changes); {
				end := min(len(changes), at+1+rng.IntN(5))
				part := slices.Clone(changes[rng.IntN(at+1):end])
				rng.Shuffle(len(part), func(i, j int) { part[i], part[j] = part[j], part[i] })
				got, at = got.With(part), end
			}
			Expect(got).To(Equal(want), "seed %d", seed)
		}
	})
})
