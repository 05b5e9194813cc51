package route

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/load"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/problem"
)

var _ = Describe("Router", func() {
	It("is deterministic for a seed", func() {
		run := func() (names []string) {
			r := testRouter(testBundle(10, 4, bundle.PolicyAdaptive), 7)
			for i := range 100 {
				c := mustPick(r, start, testQuery())
				if i%3 == 0 {
					finishCall(r, start, c, request.CallOK, time.Millisecond)
				}
				if i%8 == 7 {
					r = testRouter(testBundle(10, 4, bundle.PolicyAdaptive), 7)
				}
				names = append(names, c.Upstream)
			}
			return names
		}
		Expect(run()).To(Equal(run()))
	})

	It("refuses a pick from an unknown pool with an error that says that nothing was run", func() {
		r := New(Config{})
		_, err := r.Pick(start, testQuery(), nil)
		Expect(err.Kind).To(Equal(problem.NoUpstream))
		Expect(err.Execution).To(Equal(problem.NotRun))
	})

	DescribeTable("gives a leaving upstream no new calls, and lets its calls finish",
		func(policy bundle.Policy) {
			r := testRouter(testBundle(4, 100, policy), 1)
			var open []request.Choice
			for range 20 {
				open = append(open, mustPick(r, start, testQuery()))
			}
			r.SetLeaving([]string{"u1"}, start)
			r.Observe(load.Report{Upstream: "u2", AsOf: start, Leaving: true})
			r.Apply(testBundle(4, 100, policy))
			for range 100 {
				Expect(mustPick(r, start, testQuery()).Upstream).To(BeElementOf("u0", "u3"))
			}
			for _, c := range open {
				finishCall(r, start, c, request.CallOK, time.Millisecond)
			}
			r.SetLeaving([]string{"u0", "u1", "u3"}, start)
			_, err := r.Pick(start, testQuery(), nil)
			Expect(err.Kind).To(Equal(problem.NoUpstream))
		},
		Entry("adaptive", bundle.PolicyAdaptive),
		Entry("round robin", bundle.PolicyRoundRobin),
		Entry("least requests", bundle.PolicyLeastRequests),
	)

	It("ignores an older report that does not say that an upstream is leaving", func() {
		r := testRouter(testBundle(2, 100, bundle.PolicyAdaptive), 1)
		r.Observe(load.Report{Upstream: "u0", AsOf: start.Add(time.Second), Leaving: true})
		r.Observe(load.Report{Upstream: "u0", AsOf: start})
		for range 20 {
			Expect(mustPick(r, start, testQuery()).Upstream).To(Equal("u1"))
		}
	})

	It("keeps call counts by name and address across bundles, also of upstreams that are temporarily absent", func() {
		r := testRouter(testBundle(1, 2, bundle.PolicyAdaptive), 1)
		var open []request.Choice
		for range 4 {
			open = append(open, mustPick(r, start, testQuery()))
		}
		saturated := func() bool {
			c, err := r.Pick(start, testQuery(), nil)
			if err == nil {
				finishCall(r, start, c, request.CallCancelled, 0)
			}
			return err != nil
		}
		Expect(saturated()).To(BeTrue())
		r.Apply(testBundle(1, 2, bundle.PolicyAdaptive))
		Expect(saturated()).To(BeTrue())
		without := testBundle(1, 2, bundle.PolicyAdaptive)
		without.Pools = nil
		r.Apply(without)
		r.Apply(without)
		Expect(saturated()).To(BeTrue())
		r.Apply(testBundle(1, 2, bundle.PolicyAdaptive))
		Expect(saturated()).To(BeTrue())
		for _, c := range open {
			finishCall(r, start, c, request.CallOK, time.Millisecond)
		}
		Expect(saturated()).To(BeFalse())

		moved := testBundle(1, 2, bundle.PolicyAdaptive)
		for range 4 {
			mustPick(r, start, testQuery())
		}
		moved.Pools[0].Upstreams[0].Address = "127.0.0.1:9"
		r.Apply(moved)
		Expect(saturated()).To(BeFalse())
	})

	It("keeps the call count of an upstream that a bundle drops while its calls run", func() {
		r := testRouter(testBundle(2, 2, bundle.PolicyAdaptive), 1)
		for range 8 {
			mustPick(r, start, testQuery())
		}
		r.Apply(testBundle(1, 2, bundle.PolicyAdaptive))
		r.Apply(testBundle(2, 2, bundle.PolicyAdaptive))
		_, err := r.Pick(start, testQuery(), nil)
		Expect(err).NotTo(BeNil())
	})

	It("keeps a dropped pool until the next bundle, for requests that were admitted before", func() {
		r := testRouter(testBundle(2, 2, bundle.PolicyAdaptive), 1)
		without := testBundle(2, 2, bundle.PolicyAdaptive)
		without.Pools[0].Name = "another"
		r.Apply(without)
		finishCall(r, start, mustPick(r, start, testQuery()), request.CallOK, time.Millisecond)
		r.Apply(without)
		_, err := r.Pick(start, testQuery(), nil)
		Expect(err).NotTo(BeNil())
	})

	It("retries in another failure domain", func() {
		r := testRouter(testBundle(8, 4, bundle.PolicyAdaptive), 1)
		q := testQuery()
		q.TriedUpstreams, q.TriedFailureDomains = []string{"u0"}, []string{"d0"}
		for range 20 {
			c := mustPick(r, start, q)
			Expect(c.FailureDomain).NotTo(Equal("d0"))
			finishCall(r, start, c, request.CallOK, time.Millisecond)
		}
	})

	It("records at most 16 candidates, with scores and reasons", func() {
		r := testRouter(testBundle(40, 4, bundle.PolicyAdaptive), 1)
		q := testQuery()
		for i := range 30 {
			q.TriedUpstreams = append(q.TriedUpstreams, r.current.Load().pools[pool].members.all[i].name)
		}
		var rec entryRecorder
		c, err := r.Pick(start, q, &rec)
		Expect(err).To(BeNil())
		Expect(rec).To(HaveLen(1))
		e := rec[0]
		Expect(e.Outcome).To(Equal(c.Upstream))
		Expect(e.Candidates).To(HaveLen(maxRecordedCandidates))
		Expect(e.Candidates[0].Upstream).To(Equal(c.Upstream))
		Expect(e.Candidates[0].Score).To(BeNumerically(">", 0))
		Expect(e.Candidates[maxRecordedCandidates-1].RefusalReason).To(Equal("tried: tried"))
	})

	It("returns measured latencies from 20 calls on", func() {
		r := testRouter(testBundle(4, 100, bundle.PolicyAdaptive), 1)
		_, known := r.ExpectedLatency(pool, "generate", 0.5)
		Expect(known).To(BeFalse())
		for i := range 100 {
			finishCall(r, start.Add(time.Duration(i)*time.Second), mustPick(r, start, testQuery()), request.CallOK, time.Duration(i+1)*time.Millisecond)
		}
		// The window holds the last 20 to 40 calls.
		d, known := r.ExpectedLatency(pool, "generate", 0.5)
		Expect(known).To(BeTrue())
		Expect(d).To(BeNumerically(">", 70*time.Millisecond))
	})

	It("dumps its state", func() {
		r := testRouter(testBundle(2, 4, bundle.PolicyAdaptive), 1)
		now := start.Add(time.Second)
		r.Observe(load.Report{Upstream: "u1", AsOf: start, Running: 2, Queued: 1, Leaving: true})
		mustPick(r, now, testQuery())
		for range 3 {
			r.Done(now, request.Outcome{Choice: request.Choice{Pool: pool, Upstream: "u1", Address: "127.0.0.1:1001"}, Result: request.CallFailed})
		}
		d := r.Dump(now)
		Expect(d).To(HaveLen(1))
		Expect(d[0].Upstreams).To(HaveLen(2))
		Expect(d[0].Upstreams[0]).To(And(HaveField("InFlight", 1), HaveField("Share", 1.0), HaveField("Reported", BeNil())))
		u := d[0].Upstreams[1]
		Expect(u).To(And(HaveField("Leaving", true), HaveField("Ejected", ejectedFailures), HaveField("Share", 0.0)))
		Expect(*u.Reported).To(Equal(3))
		Expect(*u.ReportAge).To(Equal(time.Second))
	})

	It("is safe for concurrent use and keeps call counts exact", func() {
		r := testRouter(testBundle(10, 1000, bundle.PolicyAdaptive), 1)
		var wg sync.WaitGroup
		for g := range 8 {
			wg.Go(func() {
				for i := range 200 {
					c, err := r.Pick(start, testQuery(), nil)
					if err == nil {
						finishCall(r, start, c, request.CallOK, time.Millisecond)
					}
					switch {
					case g == 0 && i%20 == 0:
						r.Apply(testBundle(10, 1000, bundle.PolicyAdaptive))
					case g == 1:
						r.SetLeaving([]string{"u3"}, start)
						r.Observe(load.Report{Upstream: "u1", AsOf: start.Add(time.Duration(i))})
					case g == 2:
						r.ExpectedLatency(pool, "generate", 0.9)
					}
				}
			})
		}
		wg.Wait()
		Expect(r.current.Load().pools[pool].shard.inFlight()).To(Equal(0))
	})
})
