package orders

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
)

func TestOrders(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "core/orders")
}

var epoch = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func pool(fenced bool) bundle.Pool {
	return bundle.Pool{
		Name: "lm", Kind: bundle.PoolEngine, Model: "m", Version: "2", Role: "mixed", Adapters: []string{"a", "b"},
		Supports:  bundle.Supports{Fencing: fenced},
		Upstreams: []bundle.Upstream{{Name: "u1"}, {Name: "u2"}, {Name: "u3"}, {Name: "u4"}},
	}
}

var whole = State{Model: "m", Version: "2", Role: "mixed", Adapters: []string{"b", "a"}}

func with(change func(*State)) State {
	s := whole
	change(&s)
	return s
}

var _ = Describe("Next", func() {
	DescribeTable("gives the one order that is needed",
		func(fenced bool, s State, want Kind) {
			o, ok := Next(9, pool(fenced), "u1", s)
			Expect(ok).To(Equal(want != ""))
			Expect(o.Kind).To(Equal(want))
		},
		Entry("none when all is there", true, whole, Kind("")),
		Entry("a model", true, State{}, LoadModel),
		Entry("another version", true, with(func(s *State) { s.Version = "1" }), LoadModel),
		Entry("a role", true, with(func(s *State) { s.Role = "decode" }), SetRole),
		Entry("an adapter", true, with(func(s *State) { s.Adapters = nil }), LoadAdapter),
		Entry("none while one is running", true, State{Orders: []Taken{{State: ProgressRunning}}}, Kind("")),
		Entry("no model where fencing is not checked", false, with(func(s *State) { s.Version = "1" }), Kind("")),
		Entry("no role where fencing is not checked", false, with(func(s *State) { s.Role = "decode" }), Kind("")),
		Entry("an adapter where fencing is not checked", false, with(func(s *State) { s.Adapters = nil }), LoadAdapter),
	)

	It("gives the same order whoever asks, and another one for a later bundle", func() {
		one, _ := Next(9, pool(true), "u1", State{})
		two, _ := Next(9, pool(true), "u1", State{Fence: 3, Adapters: []string{"x"}})
		later, _ := Next(10, pool(true), "u1", State{})
		elsewhere, _ := Next(9, pool(true), "u2", State{})
		Expect(one).To(Equal(two))
		Expect(one.Fence).To(BeEquivalentTo(9))
		Expect([]string{later.ID, elsewhere.ID}).NotTo(ContainElement(one.ID))
	})

	It("tries a failed order again a bounded number of times", func() {
		s := State{}
		ids := make(map[string]bool)
		for {
			o, ok := Next(9, pool(true), "u1", s)
			if !ok {
				break
			}
			ids[o.ID] = true
			s.Orders = append(s.Orders, Taken{Order: o, State: ProgressFailed})
		}
		Expect(ids).To(HaveLen(maxFailures))
	})
})

var _ = Describe("Planner", func() {
	everybody := func(string) bool { return true }
	hosts := []bundle.Host{{Name: "h1"}, {Name: "h2"}, {Name: "h3"}}

	planners := func(loads float64) []*Planner {
		b := &bundle.Bundle{
			Version: 9, Hosts: hosts, Pools: []bundle.Pool{pool(true)},
			Orders: bundle.OrderPolicy{LoadsPerMinute: loads},
		}
		var all []*Planner
		for _, h := range hosts {
			p := NewPlanner(h.Name)
			p.Apply(b)
			all = append(all, p)
		}
		return all
	}

	It("gives each engine one orderer, and another when that one is gone", func() {
		var first []string
		for _, p := range planners(0) {
			for _, t := range p.Due(epoch, everybody) {
				first = append(first, t.Upstream.Name)
			}
		}
		Expect(first).To(ConsistOf("u1", "u2", "u3", "u4"))
		alone := planners(0)[0].Due(epoch, func(string) bool { return false })
		Expect(alone).To(HaveLen(4))
	})

	It("keeps the weight store's limit over all hosts, even when all order for all", func() {
		const loads = 30
		sent := 0
		all := planners(loads)
		for s := range 600 {
			now := epoch.Add(time.Duration(s) * 100 * time.Millisecond)
			for _, p := range all {
				for _, t := range p.Due(now, func(string) bool { return false }) {
					if _, ok := p.Decide(now, t, State{}); ok {
						sent++
					}
				}
			}
		}
		Expect(sent).To(BeNumerically("<=", loads+len(hosts)))
		Expect(sent).To(BeNumerically(">=", loads))
	})

	It("asks an engine that has all it needs only now and then", func() {
		p := planners(0)[0]
		due := p.Due(epoch, func(string) bool { return false })
		for _, t := range due {
			_, ok := p.Decide(epoch, t, whole)
			Expect(ok).To(BeFalse())
		}
		Expect(p.Due(epoch.Add(askEvery-1), func(string) bool { return false })).To(BeEmpty())
		Expect(p.Due(epoch.Add(askEvery), func(string) bool { return false })).To(HaveLen(4))
	})
})
