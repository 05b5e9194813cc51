package route

import (
	"math/rand/v2"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/record"
)

var _ = Describe("ejection", func() {
	const dead = "u3"
	fail := func(upstream string) request.CallResult {
		if upstream == dead {
			return request.CallFailed
		}
		return request.CallOK
	}

	It("ejects a dead upstream after three failures, for longer each time", func() {
		f := newFleet(1, 10, 100, bundle.PolicyAdaptive)
		f.arrivalInterval = 4 * time.Millisecond
		f.result = fail
		f.serviceTime = func(u string) time.Duration {
			if u == dead {
				return time.Millisecond
			}
			return 100 * time.Millisecond
		}
		f.run(time.Second)
		Expect(f.pickCounts[dead]).To(BeNumerically("<=", 4))
		f.run(59 * time.Second)
		Expect(f.pickCounts[dead]).To(BeNumerically("<=", 16), "one or two calls after each of 2, 4, 8, 16, 32 s")
	})

	DescribeTable("never ejects more upstreams than the limit",
		func(upstreams, deadCount, want int) {
			f := newFleet(1, upstreams, 1000, bundle.PolicyAdaptive)
			f.run(time.Second)
			f.result = func(u string) request.CallResult {
				if n, _ := strconv.Atoi(u[1:]); n < deadCount {
					return request.CallFailed
				}
				return request.CallOK
			}
			peak := 0
			f.onPick = func(string) { peak = max(peak, f.routers[0].current.Load().pools[pool].ejectedCount(f.now)) }
			f.run(2 * time.Second)
			Expect(f.errors).To(BeZero())
			Expect(peak).To(Equal(want))
		},
		Entry("one upstream, dead", 1, 1, 0),
		Entry("two upstreams, one dead", 2, 1, 1),
		Entry("ten upstreams, a failure domain dead", 10, 3, 3),
		Entry("ten upstreams, eight dead", 10, 8, 6),
	)

	It("ejects at most one upstream of a pool that fails as a whole", func() {
		f := newFleet(1, 10, 1000, bundle.PolicyAdaptive)
		f.result = func(string) request.CallResult { return request.CallFailed }
		f.run(2 * time.Second)
		Expect(f.errors).To(BeZero())
		Expect(f.routers[0].current.Load().pools[pool].ejectedCount(f.now)).To(BeNumerically("<=", 1))
	})

	It("ejects slow upstreams only up to the limit", func() {
		f := newFleet(1, 10, 1000, bundle.PolicyAdaptive)
		slow := map[string]bool{"u0": true, "u1": true, "u2": true, "u3": true, "u4": true}
		f.run(time.Second)
		f.serviceTime = func(u string) time.Duration {
			if slow[u] {
				return 900 * time.Millisecond
			}
			return 100 * time.Millisecond
		}
		peak := 0
		f.onPick = func(string) { peak = max(peak, f.routers[0].current.Load().pools[pool].ejectedCount(f.now)) }
		f.run(3 * time.Second)
		Expect(peak).To(Equal(3))
	})

	It("readmits an upstream with a growing share of calls", func() {
		f := newFleet(1, 10, 100, bundle.PolicyAdaptive)
		f.run(2 * time.Second)
		f.result = fail
		f.run(time.Second)
		f.result = func(string) request.CallResult { return request.CallOK }
		view := f.routers[0].current.Load().pools[pool]
		f.now = view.members.find("u3").state.ejection.until
		shareOver := func(d time.Duration) float64 {
			clear(f.pickCounts)
			f.run(d)
			total := 0
			for _, n := range f.pickCounts {
				total += n
			}
			return float64(f.pickCounts[dead]) / float64(total)
		}
		first := shareOver(time.Second)
		shareOver(4 * time.Second)
		middle := shareOver(time.Second)
		shareOver(6 * time.Second)
		last := shareOver(2 * time.Second)
		Expect(first).To(BeNumerically(">", 0))
		Expect(first).To(BeNumerically("<", 0.6*last))
		Expect(middle).To(BeNumerically(">", first))
		Expect(last).To(BeNumerically(">", 0.05))
	})

	It("ignores failures of calls that were sent before the ejection", func() {
		r := testRouter(testBundle(2, 100, bundle.PolicyAdaptive), 1)
		var old []request.Choice
		for len(old) < 6 {
			if c := mustPick(r, start, testQuery()); c.Upstream == "u0" {
				old = append(old, c)
			}
		}
		e := &r.current.Load().pools[pool].members.find("u0").state.ejection
		for _, c := range old[:5] {
			finishCall(r, start.Add(time.Second), c, request.CallFailed, time.Second)
		}
		until := e.until
		Expect(e.active(start.Add(time.Second))).To(BeTrue())
		finishCall(r, start.Add(4*time.Second), old[5], request.CallFailed, 4*time.Second)
		Expect(e.until).To(Equal(until))
	})

	It("ejects again at the first failure after readmission", func() {
		c := Config{}.withDefaults().Ejection
		p := &poolView{members: newMemberSet([]*member{newMember(bundle.Upstream{Name: "u0"}, nil), newMember(bundle.Upstream{Name: "u1"}, nil)}), shard: newShard(1, 1)}
		limiters := Config{Limiters: intake.NewLimiters(time.Time{})}
		s := p.shard.stateOf(p.members.find("u0"), start, &limiters)
		s.ejection.start(start, ejectedFailures, c)
		Expect(s.ejection.until).To(Equal(start.Add(2 * time.Second)))
		readmitted := start.Add(3 * time.Second)
		s.countCall(readmitted, false)
		p.ejectIfNeeded(readmitted, s, c)
		Expect(s.ejection.until).To(Equal(readmitted.Add(4 * time.Second)))
		Expect(s.ejection.share(readmitted.Add(9*time.Second), c.RampDuration)).To(BeNumerically("~", 0.55, 1e-9))
	})
})

var _ = Describe("an upstream with ten times the usual latency", func() {
	slowDown := func(f *fleet) {
		f.serviceTime = func(u string) time.Duration {
			d := time.Duration(float64(100*time.Millisecond) * (0.5 + rand.New(rand.NewPCG(uint64(f.now.UnixNano()), 1)).ExpFloat64()/2))
			if u == "u3" {
				return 10 * d
			}
			return d
		}
	}
	shareAfter := func(policy bundle.Policy, warmup time.Duration) float64 {
		f := newFleet(1, 10, 64, policy)
		f.arrivalInterval = 2 * time.Millisecond
		f.run(2 * time.Second)
		slowDown(f)
		f.run(warmup)
		clear(f.pickCounts)
		f.run(10 * time.Second)
		return float64(f.pickCounts["u3"]) / 5000
	}

	It("gets almost no calls after two seconds", func() {
		Expect(shareAfter(bundle.PolicyAdaptive, 2*time.Second)).To(BeNumerically("<", 0.02))
		Expect(shareAfter(bundle.PolicyRoundRobin, 2*time.Second)).To(BeNumerically("~", 0.1, 0.01))
	})
})

var _ = Describe("an upstream whose calls hang", func() {
	It("is rejected as stalled although no call ever ended", func() {
		f := newFleet(1, 4, 1000, bundle.PolicyAdaptive)
		f.run(2 * time.Second)
		f.serviceTime = func(u string) time.Duration {
			if u == "u0" {
				return time.Hour
			}
			return 100 * time.Millisecond
		}
		f.run(time.Second)
		var rec entryRecorder
		_, err := f.routers[0].Pick(f.now, testQuery(), &rec)
		Expect(err).To(BeNil())
		Expect(rec[0].Candidates).To(ContainElement(record.Candidate{Upstream: "u0", RefusalReason: "stalled: stalled"}))
	})
})

var _ = Describe("many daemons that have the same load report", func() {
	// peak returns the time average of the highest load of any upstream, as a
	// multiple of the mean load, while all daemons get the same report each second.
	peak := func(p func(Picker) Picker) float64 {
		f := newFleet(40, 20, 16, bundle.PolicyAdaptive)
		for _, r := range f.routers {
			for _, view := range r.current.Load().pools {
				view.steps.picker = p(view.steps.picker)
			}
		}
		f.run(500 * time.Millisecond)
		sum, picks := 0.0, 0
		f.onPick = func(string) {
			total, highest := 0, 0
			for _, n := range f.running {
				total, highest = total+n, max(highest, n)
			}
			sum += float64(highest) * 20 / float64(total)
			picks++
		}
		for range 4 {
			f.broadcastReports()
			f.run(time.Second)
		}
		return sum / float64(picks)
	}

	It("do not all choose the upstream that the report shows as idle", func() {
		adaptive := peak(func(p Picker) Picker { return p })
		random := peak(func(Picker) Picker { return randomPicker{} })
		naive := peak(func(Picker) Picker { return leastLoadedPicker{} })
		GinkgoWriter.Printf("peak over mean load: adaptive %.2f, random %.2f, least loaded by report %.2f\n", adaptive, random, naive)
		Expect(adaptive).To(BeNumerically("<", 1.1*random))
		Expect(naive).To(BeNumerically(">", 1.5*random))
	})
})

// randomPicker ignores all information, so that daemons choose independently of each
// other.
type randomPicker struct{}

func (randomPicker) Name() string { return "random" }

func (randomPicker) Pick(_ *View, eligible []int, rng *rand.Rand, drawn []scoredCandidate) []scoredCandidate {
	return append(drawn, scoredCandidate{index: eligible[rng.IntN(len(eligible))]})
}

// leastLoadedPicker chooses the upstream with the least load by the report, which makes
// all daemons choose the same one.
type leastLoadedPicker struct{}

func (leastLoadedPicker) Name() string { return "least_reported" }

func (leastLoadedPicker) Pick(v *View, eligible []int, _ *rand.Rand, drawn []scoredCandidate) []scoredCandidate {
	best := eligible[0]
	for _, i := range eligible {
		if v.Candidates[i].Load() < v.Candidates[best].Load() {
			best = i
		}
	}
	return append(drawn, scoredCandidate{index: best})
}
