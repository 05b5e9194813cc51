package route

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/problem"
)

var _ = Describe("cold upstreams", func() {
	coldOnly := func(limit int) *Router {
		r := testRouter(testBundle(1, 100, bundle.PolicyAdaptive), 1)
		r.SetColdLimits(map[string]int{"u0": limit})
		return r
	}

	It("get no more calls than this daemon's quota in any second", func() {
		r := coldOnly(2)
		for at := time.Duration(0); at < 10*time.Second; at += 20 * time.Millisecond {
			c, err := r.Pick(start.Add(at), testQuery(), nil)
			if err == nil {
				finishCall(r, start.Add(at), c, request.CallOK, 0)
			}
			allowed := at%intake.ColdWindow < 40*time.Millisecond
			Expect(err == nil).To(Equal(allowed), "at %s", at)
		}
	})

	It("are refused with a reason and a retry time", func() {
		_, err := coldOnly(0).Pick(start, testQuery(), nil)
		Expect(err).NotTo(BeNil())
		Expect(err.Kind).To(Equal(problem.NoUpstream))
		Expect(err.Detail).To(ContainSubstring("1 cold"))
		Expect(err.RetryAfter).To(Equal(saturatedRetryAfter))
	})

	It("count calls that began before they became cold, and keep the limit when a bundle is applied", func() {
		b := testBundle(1, 100, bundle.PolicyAdaptive)
		r := testRouter(b, 1)
		mustPick(r, start, testQuery())
		r.SetColdLimits(map[string]int{"u0": 1})
		_, err := r.Pick(start.Add(time.Second), testQuery(), nil)
		Expect(err).NotTo(BeNil())
		r.Apply(b)
		_, err = r.Pick(start.Add(time.Second), testQuery(), nil)
		Expect(err).NotTo(BeNil())
		mustPick(r, start.Add(intake.ColdWindow), testQuery())
		r.SetColdLimits(nil)
		mustPick(r, start.Add(intake.ColdWindow), testQuery())
	})

	It("are limited also if they are listed only later", func() {
		r := coldOnly(0)
		b := testBundle(2, 100, bundle.PolicyAdaptive)
		r.SetColdLimits(map[string]int{"u1": 0})
		r.Apply(b)
		for i := range 50 {
			Expect(mustPick(r, start.Add(time.Duration(i)*time.Second), testQuery()).Upstream).To(Equal("u0"))
		}
	})

	// A failure domain recovers with idle, cold upstreams, while the others are busy
	// and requests arrive at more than twice the usual rate. All hosts see the same
	// upstreams idle and would overload them.
	// It returns the share of the recovered upstreams among the picks once they are warm.
	recoverDomain := func(hosts, upstreams int, seed uint64) (shareOnceWarm float64) {
		const capacity, limit, perUpstream = 20, 12, 8
		f := newFleet(hosts, upstreams, 64, bundle.PolicyAdaptive)
		f.rng = rand.New(rand.NewPCG(seed, 4))
		f.arrivalInterval = time.Second / time.Duration(perUpstream*upstreams)
		f.serviceTime = func(string) time.Duration { return time.Second }
		names := make([]string, hosts)
		for i := range names {
			names[i] = fmt.Sprint("host-", i)
		}
		recovery := f.now.Add(3 * time.Second)
		inDomain := func(i int) bool { return i%4 == 3 }
		for i, r := range f.routers {
			shares, limits := intake.NewShares(names[i], names), map[string]int{}
			for u := range upstreams {
				if inDomain(u) {
					limits[fmt.Sprint("u", u)] = shares.Calls(fmt.Sprint("u", u), limit)
				}
			}
			without := testBundle(upstreams, 64, bundle.PolicyAdaptive)
			all := without.Pools[0].Upstreams
			without.Pools[0].Upstreams = nil
			for u := range all {
				if !inDomain(u) {
					without.Pools[0].Upstreams = append(without.Pools[0].Upstreams, all[u])
				}
			}
			r.SetColdLimits(limits)
			r.Apply(without)
		}
		f.run(recovery.Sub(f.now))
		for _, r := range f.routers {
			r.Apply(testBundle(upstreams, 64, bundle.PolicyAdaptive))
		}
		picks, total := map[string][]time.Time{}, 0
		f.onPick = func(u string) { picks[u] = append(picks[u], f.now); total++ }
		f.run(3 * time.Second)
		recoveredPicks := 0
		for u := range upstreams {
			if name := fmt.Sprint("u", u); inDomain(u) {
				Expect(maxPicksPerSecond(picks[name])).To(BeNumerically("<=", capacity), name)
				recoveredPicks += len(picks[name])
			}
		}
		Expect(f.errors).To(BeZero(), "the warm upstreams have free capacity")
		Expect(recoveredPicks).To(BeNumerically(">", 0))
		for _, r := range f.routers {
			r.SetColdLimits(nil)
		}
		f.run(time.Second)
		picks, total, recoveredPicks = map[string][]time.Time{}, 0, 0
		f.run(time.Second)
		for u := range upstreams {
			if inDomain(u) {
				recoveredPicks += len(picks[fmt.Sprint("u", u)])
			}
		}
		return float64(recoveredPicks) / float64(total)
	}

	// With 6 hosts, the share of one run is that of some hundred picks. It is averaged over
	// several runs, since a fifth of the single ones are below the bound by chance.
	DescribeTable("of a recovered failure domain stay within their capacity, and get their share once warm", func(hosts, upstreams, runs int) {
		var share float64
		for seed := range uint64(runs) {
			share += recoverDomain(hosts, upstreams, seed+3) / float64(runs)
		}
		Expect(share).To(BeNumerically(">", 0.2), "the recovered ones are a quarter of the upstreams")
	}, Entry("6 hosts", 6, 12, 20), Entry("60 hosts", 60, 92, 1), Entry("300 hosts", 300, 240, 1))
})

// maxPicksPerSecond returns the largest number of picks within any second.
func maxPicksPerSecond(at []time.Time) int {
	peak, from := 0, 0
	for i := range at {
		for at[i].Sub(at[from]) >= time.Second {
			from++
		}
		peak = max(peak, i-from+1)
	}
	return peak
}
