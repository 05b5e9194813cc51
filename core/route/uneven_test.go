package route

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/load"
	"github.com/wheatseam/wheatseam/core/request"
)

// runUneven simulates hosts under load with bursts of 6 s, in which the rates of some kinds
// are multiplied by a factor. It returns the fleet and its results by kind, in per hundred.
func runUneven(known bool, bursts map[string]float64) (f *unevenFleet, paused, late map[string]float64, rereads float64) {
	f = newUnevenFleet(simHosts, known, 1)
	f.burst = func(k *simKind, t time.Time) float64 {
		if factor := bursts[k.name]; factor > 0 && t.Sub(start)%(12*time.Second) < 6*time.Second {
			return factor
		}
		return 1
	}
	f.run(14*time.Second, 12*time.Second)
	AddReportEntry(fmt.Sprintf("slowdowns known: %t, bursts %v", known, bursts), f.summary())
	paused, late = map[string]float64{}, map[string]float64{}
	reread, shared := 0, 0
	for _, k := range f.kinds {
		paused[k.name], late[k.name] = perHundred(k.paused, k.finished), perHundred(k.firstLate, k.finished)
		reread, shared = reread+k.sharedRereads, shared+k.sharedRequests
	}
	return f, paused, late, perHundred(reread, shared)
}

// Guards against long streams on slow engines, where each event beside a long prompt takes
// longer than the gap objective, and against buying this with prefixes that are read again or
// with first events that are late.
var _ = DescribeTable("chats on uneven machines pause less when slowdowns are known",
	func(bursts map[string]float64, pausedShare float64) {
		_, paused, late, rereads := runUneven(false, bursts)
		f, knownPaused, knownLate, knownRereads := runUneven(true, bursts)
		Expect(f.errors).To(BeZero())
		Expect(knownPaused["chat"]).To(BeNumerically("<", pausedShare*paused["chat"]))
		for _, k := range f.kinds {
			Expect(knownPaused[k.name]).To(BeNumerically("<=", paused[k.name]), k.name)
			Expect(knownLate[k.name]).To(BeNumerically("<=", late[k.name]+0.1), k.name)
		}
		Expect(knownRereads).To(BeNumerically("<=", rereads))
	},
	Entry("at the usual load", nil, 0.45),
	Entry("in bursts of chats and reviews", map[string]float64{"chat": 3, "review": 2.2}, 0.65),
)

// spreadUpstreams is the number of upstreams of unevenSpread.
const spreadUpstreams = 60

// unevenSpread sends streams from a number of hosts to 60 upstreams of three classes, whose
// slowdowns change every 600 ms. Upstreams u0 to u3 claim to take 0.01 of the usual time, u4 to
// u7 half of it; all eight are as usual. It returns the calls of each upstream, and the
// slowdown that it claims when it is not disturbed.
func unevenSpread(hosts int) (calls map[string]int, claims map[string]float64) {
	f := newFleet(hosts, spreadUpstreams, simSlots, bundle.PolicyAdaptive)
	claims = map[string]float64{}
	actual, disturbed := map[string]float64{}, map[string]*simEngine{}
	for i := range spreadUpstreams {
		name, class := fmt.Sprintf("u%d", i), simClasses[i/4%len(simClasses)]
		actual[name], claims[name] = class, class
		if i < 8 { // of each, one in each failure domain
			actual[name], claims[name] = 1, []float64{0.01, 0.5}[i/4]
		}
		disturbed[name] = &simEngine{class: 1, hash: mix64(hashOf(name))}
		for _, r := range f.routers {
			r.SetBaselineSlowdown(start, pool, name, claims[name])
		}
	}
	f.serviceTime = func(u string) time.Duration {
		return time.Duration(100 * actual[u] * disturbed[u].slowdown(f.now) * float64(time.Millisecond))
	}
	f.onPick = func(u string) {
		f.routers[f.rng.IntN(hosts)].Observe(load.Report{Upstream: u, AsOf: f.now, Running: f.running[u], Slowdown: claims[u] * disturbed[u].slowdown(f.now)})
	}
	f.run(time.Second)
	clear(f.pickCounts)
	f.run(5 * time.Second)
	Expect(f.errors).To(BeZero())
	return f.pickCounts, claims
}

// Guards against hosts that all send their calls to the same fast upstream, and against
// upstreams that attract calls by false reports.
var _ = DescribeTable("calls are spread over the upstreams of a class",
	func(hosts int) {
		calls, claims := unevenSpread(hosts)
		total, members := map[float64]int{}, map[float64]int{}
		for u, claim := range claims {
			total[claim], members[claim] = total[claim]+calls[u], members[claim]+1
		}
		AddReportEntry(fmt.Sprintf("%d hosts, calls by claimed slowdown", hosts), total)
		for u, claim := range claims {
			Expect(float64(calls[u])).To(BeNumerically("<=", 2*float64(total[claim])/float64(members[claim])), u)
		}
		Expect(float64(total[0.01])).To(BeNumerically("<=", 1.1*float64(total[0.5])), "no more than for half of the usual time, but for chance")
		Expect(total[0.6]).To(BeNumerically(">", total[1]))
		Expect(total[1]).To(BeNumerically(">", total[1.6]))
		Expect(total[1.6]).To(BeNumerically(">", 0))
	},
	Entry("6 hosts", 6), Entry("82 hosts", 82), Entry("985 hosts", 985),
)

var _ = Describe("slowdowns", func() {
	// Guards against an ejection of an upstream only because of its machine's class. The same
	// upstream without known slowdowns is ejected: it is 6.7 times as slow in 15 of 100
	// intervals.
	It("are no reason for an ejection", func() {
		ejections := func(known bool) int {
			f := newFleet(1, 10, 100, bundle.PolicyAdaptive)
			n := 0
			f.routers[0].config.OnEjected = func(_, _, reason string, _ time.Time) { n++ }
			slow := &simEngine{class: 2.7, hash: mix64(hashOf("u3"))}
			slowdown := func(u string) float64 {
				if u == "u3" {
					return slow.slowdown(f.now)
				}
				return 1
			}
			f.serviceTime = func(u string) time.Duration { return time.Duration(100 * slowdown(u) * float64(time.Millisecond)) }
			if known {
				f.routers[0].SetBaselineSlowdown(start, pool, "u3", 2.7)
				f.onPick = func(u string) {
					f.routers[0].Observe(load.Report{Upstream: u, AsOf: f.now, Slowdown: slowdown(u)})
				}
			}
			f.run(time.Minute)
			return n
		}
		Expect(ejections(false)).To(BeNumerically(">", 0))
		Expect(ejections(true)).To(BeZero())
	})

	It("are predicted from the last report and the baseline", func() {
		m := &member{baselineSlowdown: 1.6}
		reported := &reportedSlowdown{}
		Expect(predictSlowdown(start, &member{}, reported)).To(Equal(1.0), "nothing is known")
		Expect(predictSlowdown(start, m, reported)).To(Equal(1.6))
		reported.observe(4, start)
		reported.observe(0, start.Add(time.Millisecond)) // a report without a slowdown
		reported.observe(1, start.Add(-time.Second))     // an older one
		Expect(predictSlowdown(start, m, reported)).To(BeNumerically("~", 4, 1e-9))
		Expect(predictSlowdown(start.Add(300*time.Millisecond), m, reported)).To(BeNumerically("~", 2.8, 1e-9))
		Expect(predictSlowdown(start.Add(time.Minute), m, reported)).To(Equal(1.6))
		m.baselineSlowdown = 0.01
		Expect(predictSlowdown(start.Add(time.Minute), m, reported)).To(Equal(minSlowdown))
	})

	// Guards against baselines that are lost, although they are announced only once: with the
	// state of an idle upstream, and with a new bundle.
	It("outlast idle times and new bundles, until the address changes", func() {
		r := testRouter(testBundle(3, 4, bundle.PolicyAdaptive), 1)
		baseline := func() float64 { return r.Dump(start)[0].Upstreams[1].BaselineSlowdown }
		r.SetBaselineSlowdown(start, pool, "u1", 1.6)
		mustPick(r, start.Add(10*stateRetention), testQuery())
		r.Apply(testBundle(3, 4, bundle.PolicyAdaptive))
		Expect(baseline()).To(Equal(1.6))
		r.Update([]PoolChange{{Pool: pool, Added: []bundle.Upstream{{Name: "u1", Address: "127.0.0.1:9"}}}})
		Expect(baseline()).To(BeZero())
		r.SetBaselineSlowdown(start, pool, "u1", 1.6)
		r.SetBaselineSlowdown(start, pool, "u1", 0)
		Expect(r.current.Load().pools[pool].shard.hasSlowdowns).To(BeFalse())
	})

	It("distribute homes of prefixes in proportion to the speed", func() {
		v := testView(Candidate{Name: "a", Hash: hashOf("a"), Slowdown: 0.6, HomeSlowdown: 0.5}, Candidate{Name: "b", Hash: hashOf("b"), Slowdown: 1, HomeSlowdown: 1})
		v.HasSlowdowns = true
		share := func() float64 {
			homes := 0
			for prefix := range uint64(10000) {
				if prefixHome(v, []int{0, 1}, mix64(prefix+1), 1e9, 0) == 0 {
					homes++
				}
			}
			return float64(homes) / 10000
		}
		Expect(share()).To(BeNumerically("~", 2.0/3, 0.02))
		v.Query.GapObjective, v.Query.ExpectedEvents = simGapObjective, 47
		Expect(share()).To(BeNumerically("~", 4.0/5, 0.02), "long streams")
	})

	It("of all upstreams that are equal leave the homes of prefixes where they are", func() {
		v := testView()
		for i := range 20 {
			v.Candidates = append(v.Candidates, Candidate{Hash: mix64(uint64(i)), Slowdown: 1.6, HomeSlowdown: 1.5, RampShare: 1})
		}
		var eligible []int
		for i := range v.Candidates {
			eligible = append(eligible, i)
		}
		for prefix := range uint64(1000) {
			v.HasSlowdowns = false
			home := prefixHome(v, eligible, mix64(prefix+1), 1e9, 0)
			v.HasSlowdowns = true
			Expect(prefixHome(v, eligible, mix64(prefix+1), 1e9, 0)).To(Equal(home))
		}
	})
})

var _ = DescribeTable("the cost of pauses",
	func(slowdown float64, events int, want float64) {
		v := testView(Candidate{Slowdown: slowdown})
		v.HasSlowdowns, v.UsualPause = true, 300*time.Millisecond
		v.Query.GapObjective, v.Query.ExpectedEvents = simGapObjective, events
		Expect(pauseScorer{1}.Cost(v, &v.Candidates[0])).To(BeNumerically("~", want, 1e-9))
	},
	Entry("within the gap objective", 1.0, 47, 0.0),
	Entry("by the excess", 1.6, 48, 0.2*0.75),
	Entry("less for few events", 1.6, 4, 0.2*0.2),
	Entry("unknown number of events", 1.6, 0, 0.2*0.5),
	Entry("limited to one objective", 10.0, 48, 0.75),
)

var _ = Describe("pauses of streams", func() {
	It("are recorded per slowdown, and shown with the chosen upstream", func() {
		r := testRouter(testBundle(1, 100, bundle.PolicyAdaptive), 1)
		r.SetBaselineSlowdown(start, pool, "u0", 2)
		q := testQuery()
		q.GapObjective = simGapObjective
		Expect(mustPick(r, start, q).ExpectedPause).To(Equal(2*simGapObjective), "assumed before streams have ended")
		for i := range 2 * minSamples {
			c := mustPick(r, start, q)
			r.Done(start.Add(time.Duration(i)*mergeInterval), request.Outcome{Choice: c, Stage: q.Stage, Latency: time.Second, LongestPause: time.Duration(10*i) * time.Millisecond})
		}
		var rec entryRecorder
		c, err := r.Pick(start.Add(time.Minute), q, &rec)
		Expect(err).To(BeNil())
		Expect(c.Slowdown).To(Equal(2.0))
		pause := 2 * r.Dump(start)[0].Stages[0].PauseP90
		Expect(math.Abs((c.ExpectedPause - pause).Seconds())).To(BeNumerically("<", 0.001))
		Expect(pause).To(BeNumerically("~", 360*time.Millisecond, 40*time.Millisecond))
		fields := map[string]string{}
		for _, f := range rec[0].Fields {
			fields[f.Key] = f.Value
		}
		Expect(fields).To(HaveKeyWithValue("slowdown", "2.000"))
		Expect(fields).To(HaveKey("expected_pause"))
	})
})
