package catalog_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/position"
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

// Guards against evacuations that are lifted because the store came back from a copy without
// them, by a second list or the list of another host, and against such that never end.
func TestEvacuationsThatARestoredStoreLacks(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	var s catalog.EvacuationState
	s.Replace(now, catalog.NewEvacuations(position.Of(0, 9), []string{"x", "y", "z"}), catalog.Restoration{})

	_, restored := s.Replace(now, catalog.NewEvacuations(position.Of(1, 3), []string{"x"}), catalog.Restoration{})
	g.Expect(restored).To(BeTrue())
	g.Expect(s.Stored().Domains).To(Equal([]string{"x"}))
	g.Expect(s.InForce(at(time.Second)).Domains).To(Equal([]string{"x", "y", "z"}))
	_, restored = s.Replace(at(time.Second), catalog.NewEvacuations(position.Of(1, 4), []string{"x"}), catalog.Restoration{})
	g.Expect(restored).To(BeFalse())
	g.Expect(s.InForce(at(time.Second)).Domains).To(Equal([]string{"x", "y", "z"}), "a second list")

	s.Change(at(time.Second), []catalog.EvacuationChange{{Domain: "y", Withdrawn: true, Revision: position.Of(1, 5)}})
	g.Expect(s.InForce(at(time.Second)).Domains).To(Equal([]string{"x", "z"}))
	s.Change(at(2*time.Second), []catalog.EvacuationChange{{Domain: "x", Withdrawn: true, Revision: position.Of(1, 6)}})
	g.Expect(s.InForce(at(2*time.Second)).Domains).To(Equal([]string{"z"}), "written again, then withdrawn")
	g.Expect(s.InForce(s.KeptUntil()).Domains).To(BeEmpty())
}

// Guards against a host that hears of a restore late, from another host, and keeps evacuations
// in force for the whole time from then on, or ones that were withdrawn meanwhile.
func TestEvacuationsOfAHostThatHearsLateOfARestore(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	orders := func(era, revision uint64, domains ...string) catalog.Evacuations {
		return catalog.NewEvacuations(position.Of(era, revision), domains)
	}
	// first hears of the restore at once, late some seconds later.
	hosts := func() (first, late *catalog.EvacuationState) {
		first, late = new(catalog.EvacuationState), new(catalog.EvacuationState)
		for _, s := range []*catalog.EvacuationState{first, late} {
			s.Replace(now, orders(0, 9, "x", "y"), catalog.Restoration{})
		}
		first.Replace(now, orders(1, 3), catalog.Restoration{})
		return first, late
	}
	hear := func(late, first *catalog.EvacuationState, at time.Time) {
		late.Replace(at, first.Stored(), first.Restoration(at))
	}

	t.Run("keeps what the store lacks as long as the host that told it", func(t *testing.T) {
		g := NewWithT(t)
		first, late := hosts()
		hear(late, first, at(3*time.Second))
		g.Expect(late.InForce(at(4999 * time.Millisecond)).Domains).To(Equal([]string{"x", "y"}))
		g.Expect(late.InForce(at(5 * time.Second)).Domains).To(BeEmpty())
		g.Expect(first.InForce(at(5 * time.Second)).Domains).To(BeEmpty())
	})
	t.Run("keeps nothing once the operator has had time to write it again", func(t *testing.T) {
		g := NewWithT(t)
		first, late := hosts()
		hear(late, first, at(6*time.Second))
		g.Expect(late.InForce(at(6 * time.Second)).Domains).To(BeEmpty())
		g.Expect(late.KeptUntil().IsZero()).To(BeTrue())
	})
	t.Run("does not keep what was withdrawn since", func(t *testing.T) {
		g := NewWithT(t)
		first, late := hosts()
		first.Change(at(time.Second), []catalog.EvacuationChange{{Domain: "x", Withdrawn: true, Revision: position.Of(1, 4)}})
		hear(late, first, at(2*time.Second))
		g.Expect(late.InForce(at(2 * time.Second)).Domains).To(Equal([]string{"y"}))
		third := new(catalog.EvacuationState)
		third.Replace(now, orders(0, 9, "x", "y"), catalog.Restoration{})
		hear(third, late, at(3*time.Second))
		g.Expect(third.InForce(at(3*time.Second)).Domains).To(Equal([]string{"y"}), "told by a host that was told itself")
	})
	t.Run("drops what was withdrawn after it had heard of the restore", func(t *testing.T) {
		g := NewWithT(t)
		first, late := hosts()
		hear(late, first, at(time.Second))
		first.Change(at(2*time.Second), []catalog.EvacuationChange{{Domain: "x", Withdrawn: true, Revision: position.Of(1, 4)}})
		hear(late, first, at(3*time.Second))
		g.Expect(late.InForce(at(3 * time.Second)).Domains).To(Equal([]string{"y"}))
	})
	t.Run("has what was withdrawn and ordered again", func(t *testing.T) {
		g := NewWithT(t)
		first, late := hosts()
		first.Change(at(time.Second), []catalog.EvacuationChange{
			{Domain: "x", Revision: position.Of(1, 5)}, {Domain: "x", Withdrawn: true, Revision: position.Of(1, 4)},
		})
		hear(late, first, at(2*time.Second))
		g.Expect(late.InForce(at(2 * time.Second)).Domains).To(Equal([]string{"x", "y"}))
		g.Expect(late.InForce(at(10 * time.Second)).Domains).To(Equal([]string{"x"}))
	})
	t.Run("keeps the whole time what a daemon of an earlier release does not tell of", func(t *testing.T) {
		g := NewWithT(t)
		first, late := hosts()
		late.Replace(at(3*time.Second), first.Stored(), catalog.Restoration{})
		g.Expect(late.InForce(at(7 * time.Second)).Domains).To(Equal([]string{"x", "y"}))
		g.Expect(late.InForce(at(8 * time.Second)).Domains).To(BeEmpty())
	})
}
