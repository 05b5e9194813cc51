package route

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/problem"
)

var _ = Describe("cold upstreams", func() {
	coldOnly := func(most int) *Router {
		r := testRouter(testBundle(1, 100, bundle.PolicyAdaptive), 1)
		r.SetCold(map[string]int{"u0": most})
		return r
	}

	It("get no more than this daemon's part in any second", func() {
		r := coldOnly(2)
		for at := time.Duration(0); at < 10*time.Second; at += 20 * time.Millisecond {
			c, err := r.Pick(start.Add(at), testQuery(), nil)
			if err == nil {
				finishCall(r, start.Add(at), c, request.CallOK, 0)
			}
			allowed := at%coldWindow < 40*time.Millisecond
			Expect(err == nil).To(Equal(allowed), "at %s", at)
		}
	})

	It("are refused with a reason, and when to come back", func() {
		_, err := coldOnly(0).Pick(start, testQuery(), nil)
		Expect(err).NotTo(BeNil())
		Expect(err.Kind).To(Equal(problem.NoUpstream))
		Expect(err.Detail).To(ContainSubstring("1 cold"))
		Expect(err.RetryAfter).To(Equal(saturatedRetryAfter))
	})

	It("count what was begun before they were cold, and keep the limit over a new list", func() {
		b := testBundle(1, 100, bundle.PolicyAdaptive)
		r := testRouter(b, 1)
		mustPick(r, start, testQuery())
		r.SetCold(map[string]int{"u0": 1})
		_, err := r.Pick(start.Add(time.Second), testQuery(), nil)
		Expect(err).NotTo(BeNil())
		r.Apply(b)
		_, err = r.Pick(start.Add(time.Second), testQuery(), nil)
		Expect(err).NotTo(BeNil())
		mustPick(r, start.Add(coldWindow), testQuery())
		r.SetCold(nil)
		mustPick(r, start.Add(coldWindow), testQuery())
	})

	It("limit an upstream that is listed later", func() {
		r := coldOnly(0)
		b := testBundle(2, 100, bundle.PolicyAdaptive)
		r.SetCold(map[string]int{"u1": 0})
		r.Apply(b)
		for i := range 50 {
			Expect(mustPick(r, start.Add(time.Duration(i)*time.Second), testQuery()).Upstream).To(Equal("u0"))
		}
	})

	// The pattern: a failure domain comes back, its upstreams empty and cold, while the
	// others are busy and requests arrive at more than twice the usual rate. All hosts
	// find the same upstreams empty.
	DescribeTable("of a domain that came back stay within what they bear, and carry its share once warm", func(hosts, upstreams int) {
		const bears, limit, perUpstream = 20, 12, 8
		f := newFleet(hosts, upstreams, 64, bundle.PolicyAdaptive)
		f.arrivalInterval = time.Second / time.Duration(perUpstream*upstreams)
		f.serviceTime = func(string) time.Duration { return time.Second }
		names := make([]string, hosts)
		for i := range names {
			names[i] = fmt.Sprint("host-", i)
		}
		back := f.now.Add(3 * time.Second)
		inDomain := func(i int) bool { return i%4 == 3 }
		for i, r := range f.routers {
			shares, most := intake.NewShares(names[i], names), map[string]int{}
			for u := range upstreams {
				if inDomain(u) {
					most[fmt.Sprint("u", u)] = shares.Of(fmt.Sprint("u", u), limit)
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
			r.SetCold(most)
			r.Apply(without)
		}
		f.run(back.Sub(f.now))
		for _, r := range f.routers {
			r.Apply(testBundle(upstreams, 64, bundle.PolicyAdaptive))
		}
		picks, total := map[string][]time.Time{}, 0
		f.onPick = func(u string) { picks[u] = append(picks[u], f.now); total++ }
		f.run(3 * time.Second)
		carried := 0
		for u := range upstreams {
			if name := fmt.Sprint("u", u); inDomain(u) {
				Expect(mostInASecond(picks[name])).To(BeNumerically("<=", bears), name)
				carried += len(picks[name])
			}
		}
		Expect(f.errors).To(BeZero(), "the warm upstreams have room")
		Expect(carried).To(BeNumerically(">", 0))
		for _, r := range f.routers {
			r.SetCold(nil)
		}
		f.run(time.Second)
		picks, total, carried = map[string][]time.Time{}, 0, 0
		f.run(time.Second)
		for u := range upstreams {
			if inDomain(u) {
				carried += len(picks[fmt.Sprint("u", u)])
			}
		}
		Expect(float64(carried)/float64(total)).To(BeNumerically(">", 0.2), "of a quarter of the upstreams")
	}, Entry("6 hosts", 6, 12), Entry("60 hosts", 60, 92), Entry("300 hosts", 300, 240))
})

// mostInASecond is the largest number of picks within a second.
func mostInASecond(at []time.Time) int {
	most, from := 0, 0
	for i := range at {
		for at[i].Sub(at[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}
