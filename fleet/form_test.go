package fleet

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/member"
)

// A seed that reports the highest-ranked hosts too early makes hosts that start together
// choose different planners; one that reports them too late delays the first stages after
// a loss of power.
var _ = Describe("the highest-ranked hosts at a seed", func() {
	start := time.Unix(1000, 0)
	host := func(name string, incarnation uint64) Host {
		return Host{Host: member.Host{Name: name}, Capacity: 800, Incarnation: incarnation}
	}
	a, b, c, d := host("a", 1), host("b", 2), host("c", 3), host("d", 4)
	after := func(d time.Duration) time.Time { return start.Add(d) }

	It("are stable once they have not changed for the quiet time", func() {
		w := rankWatch{since: start}
		Expect(w.stable(after(0), []Host{a, b, c})).To(BeFalse())
		Expect(w.stable(after(rankQuietTime-time.Millisecond), []Host{a, b, c})).To(BeFalse())
		Expect(w.stable(after(rankQuietTime), []Host{a, b, c})).To(BeTrue())
	})

	It("are not stable while hosts that rank higher introduce themselves", func() {
		w := rankWatch{since: start}
		Expect(w.stable(after(0), []Host{b, c, d})).To(BeFalse())
		Expect(w.stable(after(100*time.Millisecond), []Host{a, b, c})).To(BeFalse())
		Expect(w.stable(after(rankQuietTime), []Host{a, b, c})).To(BeFalse())
		Expect(w.stable(after(100*time.Millisecond+rankQuietTime), []Host{a, b, c})).To(BeTrue())
	})

	It("are never stable while too few are known", func() {
		w := rankWatch{since: start}
		Expect(w.stable(after(0), []Host{a})).To(BeFalse())
		Expect(w.stable(after(time.Hour), []Host{a})).To(BeFalse())
	})
})
