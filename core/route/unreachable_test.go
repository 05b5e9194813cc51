package route

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
)

var _ = Describe("Unreachable upstreams", func() {
	query := func(id string, tried ...string) request.Query {
		q := testQuery()
		q.Request, q.TriedUpstreams = id, tried
		return q
	}

	// Guards against calls, and second attempts, that meet an upstream known to be dark, and
	// against an upstream that gets all calls at once when it is to be tried.
	It("are avoided, and then get one call at a time until they can be reached", func() {
		r := testRouter(testBundle(2, 4, bundle.PolicyAdaptive), 1)
		now := start
		until := now.Add(time.Second)
		r.SetUnreachable(now, pool, "u0", until)
		for range 6 {
			Expect(mustPick(r, now, query("a")).Upstream).To(Equal("u1"))
		}
		Expect(r.CanServeCopies(now, pool, "u0", "127.0.0.1:1000")).To(BeFalse())
		now = until
		probe := mustPick(r, now, query("probe", "u1"))
		Expect(probe.Upstream).To(Equal("u0"))
		Expect(mustPick(r, now, query("b")).Upstream).To(Equal("u1"), "a probe is in flight")
		r.SetUnreachable(now, pool, "u0", until)
		Expect(mustPick(r, now, query("b")).Upstream).To(Equal("u1"), "the same evidence again does not end the probe")
		r.CancelPick(now, probe)
		probe = mustPick(r, now, query("probe", "u1"))
		Expect(probe.Upstream).To(Equal("u0"))
		finishCall(r, now, probe, request.CallFailed, time.Millisecond)
		r.SetUnreachable(now, pool, "u0", now.Add(2*time.Second))
		Expect(r.Dump(now)[0].Upstreams[0].UnreachableUntil).To(HaveValue(Equal(now.Add(2 * time.Second))))
		r.SetUnreachable(now, pool, "u0", time.Time{})
		Expect(mustPick(r, now, query("c", "u1")).Upstream).To(Equal("u0"))
		Expect(mustPick(r, now, query("d", "u1")).Upstream).To(Equal("u0"), "it gets calls as before")
	})

	// Guards against refusals when all upstreams look unreachable, and against evidence on
	// upstreams that the pool does not contain.
	It("are used if no other is left", func() {
		r := testRouter(testBundle(2, 4, bundle.PolicyAdaptive), 1)
		for _, name := range []string{"u0", "u1", "other"} {
			r.SetUnreachable(start, pool, name, start.Add(time.Second))
		}
		r.SetUnreachable(start, "no pool", "u0", start.Add(time.Second))
		mustPick(r, start, query("a"))
	})

	// Guards against an upstream that stays on probation for good, because nothing withdraws
	// the evidence while the pool does not contain it.
	It("are used as others after they were removed and added again", func() {
		r := testRouter(testBundle(2, 4, bundle.PolicyAdaptive), 1)
		first := mustPick(r, start, query("a", "u1"))
		finishCall(r, start, first, request.CallOK, time.Millisecond)
		r.SetUnreachable(start, pool, "u0", start.Add(time.Second))
		u0 := bundle.Upstream{Name: "u0", FailureDomain: first.FailureDomain, Address: first.Address}
		r.Update([]PoolChange{{Pool: pool, Removed: []string{"u0"}}})
		r.Update([]PoolChange{{Pool: pool, Added: []bundle.Upstream{u0}}})
		later := start.Add(15 * time.Second)
		Expect(mustPick(r, later, query("b", "u1")).Upstream).To(Equal("u0"))
		Expect(mustPick(r, later, query("c", "u1")).Upstream).To(Equal("u0"), "a second call at a time")
	})

	// Guards against a draw of the filter that changes the choices of pools without evidence.
	It("do not change the choices of pools once the evidence is gone", func() {
		a, b := testRouter(testBundle(9, 4, bundle.PolicyAdaptive), 7), testRouter(testBundle(9, 4, bundle.PolicyAdaptive), 7)
		b.SetUnreachable(start, pool, "u3", start.Add(time.Second))
		b.SetUnreachable(start, pool, "u3", time.Time{})
		for i := range 200 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			x, y := mustPick(a, now, testQuery()), mustPick(b, now, testQuery())
			Expect(x).To(Equal(y))
			finishCall(a, now, x, request.CallOK, 50*time.Millisecond)
			finishCall(b, now, y, request.CallOK, 50*time.Millisecond)
		}
	})
})
