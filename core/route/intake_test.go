package route

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/request"
)

var _ = Describe("upstreams that declare a call limit", func() {
	limited := func(upstreams int, quotas map[string]intake.Quota) *Router {
		r := testRouter(testBundle(upstreams, 100, bundle.PolicyAdaptive), 1)
		r.config.Limiters.SetQuotas(intake.AnnouncedLimit, quotas)
		return r
	}

	It("get no more calls than this daemon's quota, also on retries, and the others get the rest", func() {
		quota := intake.Quota{Calls: 2, Window: 4 * time.Second}
		r := limited(3, map[string]intake.Quota{"u0": quota, "u1": quota})
		picks := map[string]int{}
		for at := time.Duration(0); at < 4*time.Second; at += 20 * time.Millisecond {
			q := testQuery()
			q.TriedUpstreams = []string{"u2"}
			c, err := r.Pick(start.Add(at), q, nil)
			Expect(err).To(BeNil())
			picks[c.Upstream]++
			finishCall(r, start.Add(at), c, request.CallOK, 0)
		}
		Expect(picks).To(And(HaveKeyWithValue("u0", 2), HaveKeyWithValue("u1", 2)))
	})

	It("are refused with the time until the first of them accepts calls again", func() {
		r := limited(2, map[string]intake.Quota{"u0": {Calls: 1, Window: 4 * time.Second}, "u1": {Calls: 1, Window: 4 * time.Second}})
		first := mustPick(r, start, testQuery())
		Expect(mustPick(r, start.Add(time.Second), testQuery()).Upstream).NotTo(Equal(first.Upstream))
		_, unavailable := r.Unavailable(start.Add(time.Second), "llm")
		Expect(unavailable).To(BeTrue())
		_, err := r.Pick(start.Add(1500*time.Millisecond), testQuery(), nil)
		Expect(err).NotTo(BeNil())
		Expect(err.Detail).To(ContainSubstring("2 limited"))
		Expect(err.RetryAfter).To(Equal(2500 * time.Millisecond))
		Expect(mustPick(r, start.Add(4*time.Second), testQuery()).Upstream).To(Equal(first.Upstream))
	})

	It("are not used as a source of copies", func() {
		r := limited(2, map[string]intake.Quota{"u0": {Calls: 2, Window: 4 * time.Second}})
		address := func(name string) string {
			return r.current.Load().pools["llm"].members.find(name).address
		}
		Expect(r.CanServeCopies(start, "llm", "u0", address("u0"))).To(BeFalse())
		Expect(r.CanServeCopies(start, "llm", "u1", address("u1"))).To(BeTrue())
	})
})

var _ = Describe("upstreams that report that they are leaving", func() {
	leaving := func(r *Router, names ...string) {
		quotas := map[string]intake.Quota{}
		for _, n := range names {
			quotas[n] = intake.Quota{}
		}
		r.config.Limiters.SetQuotas(intake.Leaving, quotas)
	}

	It("get no more calls, also on retries and after a bundle is applied", func() {
		b := testBundle(2, 100, bundle.PolicyAdaptive)
		r := testRouter(b, 1)
		leaving(r, "u0")
		for i := range 100 {
			q := testQuery()
			q.TriedUpstreams = []string{"u1"}
			Expect(mustPick(r, start.Add(time.Duration(i)*time.Second), q).Upstream).To(Equal("u1"))
			r.Apply(b)
		}
	})

	It("cause an immediate refusal if no other upstream is left", func() {
		r := testRouter(testBundle(2, 100, bundle.PolicyAdaptive), 1)
		leaving(r, "u0", "u1")
		wait, unavailable := r.Unavailable(start, "llm")
		Expect(unavailable).To(BeTrue())
		Expect(wait).To(Equal(unavailableRetryAfter))
		_, err := r.Pick(start, testQuery(), nil)
		Expect(err).NotTo(BeNil())
		Expect(err.RetryAfter).To(Equal(unavailableRetryAfter))
	})

	It("do not block a new instance of the same upstream", func() {
		r := testRouter(testBundle(1, 100, bundle.PolicyAdaptive), 1)
		leaving(r, "u0")
		b := testBundle(1, 100, bundle.PolicyAdaptive)
		b.Pools[0].Upstreams[0].Name = "u0@2"
		r.Apply(b)
		Expect(mustPick(r, start, testQuery()).Upstream).To(Equal("u0@2"))
	})
})

var _ = Describe("upstreams that request a backoff", func() {
	backingOff := func(r *Router, until map[string]time.Duration) {
		quotas := map[string]intake.Quota{}
		for name, d := range until {
			quotas[name] = intake.Quota{BlockedUntil: start.Add(d)}
		}
		r.config.Limiters.SetQuotas(intake.BackingOff, quotas)
	}

	It("get no calls until the backoff is over, even if no others are left", func() {
		r := testRouter(testBundle(2, 100, bundle.PolicyAdaptive), 1)
		backingOff(r, map[string]time.Duration{"u0": 3 * time.Second, "u1": 2 * time.Second})
		wait, unavailable := r.Unavailable(start, "llm")
		Expect(unavailable).To(BeTrue())
		Expect(wait).To(Equal(2 * time.Second))
		_, err := r.Pick(start.Add(time.Second), testQuery(), nil)
		Expect(err).NotTo(BeNil())
		Expect(err.Detail).To(ContainSubstring("2 resting"))
		Expect(err.RetryAfter).To(Equal(time.Second))
		for at := 2 * time.Second; at < 3*time.Second; at += 50 * time.Millisecond {
			Expect(mustPick(r, start.Add(at), testQuery()).Upstream).To(Equal("u1"))
		}
		picks := map[string]int{}
		for range 50 {
			picks[mustPick(r, start.Add(3*time.Second), testQuery()).Upstream]++
		}
		Expect(picks).To(HaveKey("u0"))
	})
})

var _ = Describe("an upstream that is temporarily not listed", func() {
	It("is limited when it is listed again, although calls to it are in flight", func() {
		limiters := intake.NewLimiters(time.Time{})
		r := New(Config{FailureDomain: "d0", Seed: 1, Limiters: limiters})
		b := testBundle(2, 100, bundle.PolicyAdaptive)
		r.Apply(b)
		for range 20 {
			mustPick(r, start, testQuery())
		}
		less := testBundle(1, 100, bundle.PolicyAdaptive)
		r.Apply(less)
		limiters.RemoveAllUnlisted(func(name string) bool { return name == "u0" })
		limiters.SetQuotas(intake.Leaving, map[string]intake.Quota{"u1": {}})
		r.Apply(b)
		for range 50 {
			Expect(mustPick(r, start, testQuery()).Upstream).To(Equal("u0"))
		}
	})
})
