package route

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
)

var _ = DescribeTable("filters",
	func(f Filter, c Candidate, q request.Query, reason string) {
		v := testView(c)
		v.Query = &q
		Expect(f.Refuse(v, &v.Candidates[0])).To(Equal(reason))
	},
	Entry("leaving", leavingFilter{}, Candidate{Leaving: true}, request.Query{}, "leaving"),
	Entry("not leaving", leavingFilter{}, Candidate{}, request.Query{}, ""),
	Entry("saturated by own calls", saturatedFilter{}, Candidate{OwnCalls: 8}, request.Query{}, "saturated"),
	Entry("saturated by own and others' calls", saturatedFilter{}, Candidate{OwnCalls: 5, OtherCalls: 3}, request.Query{}, "saturated"),
	Entry("one below the limit", saturatedFilter{}, Candidate{OwnCalls: 7}, request.Query{}, ""),
	Entry("ejected", ejectedFilter{}, Candidate{Ejected: ejectedSlow}, request.Query{}, ejectedSlow),
	Entry("not ejected", ejectedFilter{}, Candidate{}, request.Query{}, ""),
	Entry("stalled", stalledFilter{}, Candidate{Stalled: true}, request.Query{}, "stalled"),
	Entry("busy", busyFilter{}, Candidate{Busy: true}, request.Query{}, "busy"),
	Entry("readmitting, draw above the share", readmittingFilter{}, Candidate{RampShare: 0.2, RampDraw: 0.3}, request.Query{}, "readmitting"),
	Entry("readmitting, draw below the share", readmittingFilter{}, Candidate{RampShare: 0.2, RampDraw: 0.1}, request.Query{}, ""),
	Entry("tried", triedFilter{}, Candidate{Name: "u1"}, request.Query{TriedUpstreams: []string{"u0", "u1"}}, "tried"),
	Entry("not tried", triedFilter{}, Candidate{Name: "u2"}, request.Query{TriedUpstreams: []string{"u0", "u1"}}, ""),
	Entry("tried domain", triedDomainFilter{}, Candidate{Domain: "d1"}, request.Query{TriedFailureDomains: []string{"d1"}}, "tried_domain"),
	Entry("other domain", triedDomainFilter{}, Candidate{Domain: "d2"}, request.Query{TriedFailureDomains: []string{"d1"}}, ""),
)

var _ = DescribeTable("relaxation admits candidates in the order of the levels",
	func(candidates []Candidate, eligible []int) {
		v := testView(candidates...)
		v.Query = &request.Query{TriedUpstreams: []string{"tried"}, TriedFailureDomains: []string{"d9"}}
		var r filterResult
		runFilters(v, adaptiveFilters(), &r)
		Expect(r.eligible).To(ConsistOf(eligible))
	},
	Entry("nothing to relax", []Candidate{{}, {Domain: "d9"}}, []int{0}),
	Entry("tried domain before busy", []Candidate{{Domain: "d9"}, {Busy: true}}, []int{0}),
	Entry("busy before ejected", []Candidate{{Busy: true}, {Ejected: ejectedFailures}}, []int{0}),
	Entry("ejected before tried", []Candidate{{Ejected: ejectedFailures}, {Name: "tried"}}, []int{0}),
	Entry("tried last", []Candidate{{Name: "tried"}, {Leaving: true}}, []int{0}),
	Entry("leaving never", []Candidate{{Leaving: true}, {Leaving: true}}, []int{}),
	Entry("saturated never", []Candidate{{OwnCalls: 8}, {Leaving: true}}, []int{}),
)

var _ = DescribeTable("scorers",
	func(s Scorer, c Candidate, typical time.Duration, cost float64) {
		v := testView(c)
		v.MedianLatency = typical
		Expect(s.Cost(v, &v.Candidates[0])).To(BeNumerically("~", cost, 1e-9))
	},
	Entry("load of an idle upstream", loadScorer{}, Candidate{}, time.Duration(0), 0.25),
	Entry("load counts own and others' calls", loadScorer{}, Candidate{OwnCalls: 1, SampledOtherCalls: 2}, time.Duration(0), 1.0),
	Entry("usual latency costs nothing", latencyScorer{0.5}, Candidate{Slowness: 1}, time.Duration(0), 0.0),
	Entry("slowness costs", latencyScorer{0.5}, Candidate{Slowness: 4}, time.Duration(0), 1.0),
	Entry("the own domain costs nothing", localityScorer{time.Millisecond, 20 * time.Millisecond}, Candidate{Domain: "d0", Region: "r0"}, 100*time.Millisecond, 0.0),
	Entry("another domain costs its round trip", localityScorer{time.Millisecond, 20 * time.Millisecond}, Candidate{Domain: "d1", Region: "r0"}, 100*time.Millisecond, 0.01),
	Entry("another region costs more", localityScorer{time.Millisecond, 20 * time.Millisecond}, Candidate{Domain: "d5", Region: "r1"}, 100*time.Millisecond, 0.2),
	Entry("the locality cost is bounded", localityScorer{time.Millisecond, 20 * time.Millisecond}, Candidate{Domain: "d5", Region: "r1"}, time.Millisecond, maxLocalityCost),
)

var _ = Describe("pickers", func() {
	It("prefer the own failure domain at equal load, but not at higher load", func() {
		p := &randomChoices{choices: 2, scorers: adaptiveScorers(Config{}.withDefaults())}
		v := testView(Candidate{Domain: "d0"}, Candidate{Domain: "d1"}, Candidate{Domain: "d2"})
		rng := testRand()
		for range 50 {
			Expect(p.Pick(v, []int{0, 1, 2}, rng, nil)[0].index).To(Equal(0))
		}
		v.Candidates[0].OwnCalls = 2
		for range 50 {
			Expect(p.Pick(v, []int{0, 1, 2}, rng, nil)[0].index).NotTo(Equal(0))
		}
	})

	It("choose the home of the prefix until its load costs more than the cache saves", func() {
		p := &randomChoices{choices: 2, scorers: adaptiveScorers(Config{PrefixBonus: 0.5}.withDefaults())}
		v := testView(Candidate{Domain: "d0"}, Candidate{Domain: "d0"}, Candidate{Domain: "d0", OwnCalls: 1})
		v.PrefixHome = 2
		Expect(p.Pick(v, []int{0, 1, 2}, testRand(), nil)[0].index).To(Equal(2))
		v.Candidates[2].OwnCalls = 4
		Expect(p.Pick(v, []int{0, 1, 2}, testRand(), nil)[0].index).NotTo(Equal(2))
	})

	It("sample few of many candidates", func() {
		p := &randomChoices{choices: 2, scorers: adaptiveScorers(Config{}.withDefaults())}
		eligible := make([]int, 100)
		candidates := make([]Candidate, 100)
		for i := range eligible {
			eligible[i] = i
			candidates[i].Domain = "d1"
		}
		Expect(p.Pick(testView(candidates...), eligible, testRand(), nil)).To(HaveLen(2))
	})

	It("score all candidates of a small pool, so that the emptiest is among them", func() {
		p := &randomChoices{choices: 2, scorers: adaptiveScorers(Config{}.withDefaults())}
		v := testView(Candidate{Domain: "d0", OwnCalls: 2}, Candidate{Domain: "d1", OwnCalls: 2}, Candidate{Domain: "d2"})
		rng := testRand()
		for range 50 {
			Expect(p.Pick(v, []int{0, 1, 2}, rng, nil)[0].index).To(Equal(2))
		}
	})

	It("round robin chooses all in turn", func() {
		p := &roundRobin{}
		var got []int
		for range 4 {
			got = append(got, p.Pick(testView(), []int{5, 6, 7}, nil, nil)[0].index)
		}
		Expect(got).To(Equal([]int{5, 6, 7, 5}))
	})

	It("least requests chooses the least loaded, at random among equals", func() {
		v := testView(Candidate{OwnCalls: 2}, Candidate{OwnCalls: 1}, Candidate{OwnCalls: 1})
		seen := map[int]int{}
		rng := testRand()
		for range 100 {
			seen[leastRequests{}.Pick(v, []int{0, 1, 2}, rng, nil)[0].index]++
		}
		Expect(seen).To(HaveLen(2))
		Expect(seen).NotTo(HaveKey(0))
	})
})

var _ = Describe("prefix home", func() {
	It("stays within the load bound and moves few prefixes when an upstream is removed", func() {
		candidates := make([]Candidate, 10)
		eligible := make([]int, 10)
		for i := range candidates {
			candidates[i].Hash = mix64(uint64(i + 1))
			eligible[i] = i
		}
		v := testView(candidates...)
		homes := map[uint64]int{}
		for p := uint64(1); p <= 1000; p++ {
			homes[p] = prefixHome(v, eligible, p, 1.5, 0)
		}
		moved := 0
		for p, home := range homes {
			if now := prefixHome(v, eligible[:9], p, 1.5, 0); now != home {
				Expect(home).To(Equal(9))
				moved++
			}
		}
		Expect(moved).To(BeNumerically("<", 200))

		loaded := homes[1]
		v.Candidates[loaded].OwnCalls = 4
		Expect(prefixHome(v, eligible, 1, 1.5, 0)).NotTo(Equal(loaded))
	})

	It("is in the own region if that has eligible upstreams", func() {
		v := testView(Candidate{Region: "r1", Hash: 1}, Candidate{Region: "r0", Hash: 2})
		for p := uint64(1); p < 50; p++ {
			Expect(prefixHome(v, []int{0, 1}, p, 1.5, 0)).To(Equal(1))
		}
		Expect(prefixHome(v, []int{0}, 7, 1.5, 0)).To(Equal(0))
		Expect(prefixHome(v, []int{0, 1}, 0, 1.5, 0)).To(Equal(-1))
	})
})

var _ = Describe("packing", func() {
	pick := func(o bundle.Objective, budget time.Duration, own ...int) int {
		s := newPolicySteps(bundle.PolicyAdaptive, packWeight(o), Config{}.withDefaults())
		candidates := make([]Candidate, len(own))
		eligible := make([]int, len(own))
		for i := range own {
			candidates[i] = Candidate{Domain: "d0", OwnCalls: own[i], Slowness: 1}
			eligible[i] = i
		}
		v := testView(candidates...)
		v.MedianLatency, v.Concurrency = time.Second, 10
		v.Query = &request.Query{Kind: bundle.StageGenerate, Budget: budget}
		return s.picker.Pick(v, eligible, testRand(), nil)[0].index
	}
	costFirst := bundle.Objective{Attainment: 0.4, CostByStage: 1}

	It("fills an engine up to maxPackedLoad if cost outweighs attainment", func() {
		Expect(pick(costFirst, 4*time.Second, 0, 5, 1)).To(Equal(1))
		Expect(pick(costFirst, 4*time.Second, 0, 5, 8)).To(Equal(1))
	})

	It("spreads calls if all engines are beyond maxPackedLoad", func() {
		Expect(pick(costFirst, 4*time.Second, 9, 8, 9)).To(Equal(1))
	})

	It("spreads calls with a short time budget", func() {
		Expect(pick(costFirst, 2*time.Second, 0, 5)).To(Equal(0))
	})

	It("spreads calls if attainment outweighs cost", func() {
		Expect(pick(bundle.Objective{Attainment: 1, CostByStage: 0.2}, 4*time.Second, 0, 5)).To(Equal(0))
	})
})
