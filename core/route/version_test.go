package route

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/problem"
)

// Guards against streams that are continued at another version because all upstreams of their
// own are tried, busy or not in the sample of a large pool.
func TestVersionOfAStreamIsNeverRelaxed(t *testing.T) {
	for _, upstreams := range []int{4, 1000} {
		for _, policy := range []bundle.Policy{bundle.PolicyAdaptive, bundle.PolicyRoundRobin} {
			t.Run(fmt.Sprint(upstreams, " upstreams, ", policy), func(t *testing.T) {
				g := NewWithT(t)
				b := testBundle(upstreams, 4, policy)
				for i := range b.Pools[0].Upstreams {
					b.Pools[0].Upstreams[i].Version = "v1"
				}
				b.Pools[0].Upstreams[2].Version = "v2"
				r := New(Config{FailureDomain: b.Pools[0].Upstreams[0].FailureDomain, Seed: 1})
				r.Apply(b)
				q := testQuery()
				q.Version, q.FixedVersion = "v2", true
				now := time.Unix(1000, 0)
				only := b.Pools[0].Upstreams[2].Name
				for range 50 {
					c, err := r.Pick(now, q, nil)
					g.Expect(err).To(BeNil())
					g.Expect(c.Upstream).To(Equal(only))
					g.Expect(c.Version).To(Equal("v2"))
					q.TriedUpstreams = []string{only}
					r.Done(now, request.Outcome{Choice: c, Stage: q.Stage, Result: request.CallRefused})
				}
				q.Version = "v3"
				_, err := r.Pick(now, q, nil)
				g.Expect(err.Kind).To(Equal(problem.VersionGone))
				g.Expect(err.RetryAfter).To(BeZero())
			})
		}
	}
}
