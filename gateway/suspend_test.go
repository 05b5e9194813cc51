package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

var _ = Describe("a gateway whose host was suspended", func() {
	It("ends requests whose deadline passed, and then serves again", func() {
		f := newFixture()
		f.behave("plain", site.Behaviour{Hang: true})
		g := f.start().ready()
		withMinuteDeadline := func(r *http.Request) { r.Header.Set("Deadline-Ms", "60000") }
		began := time.Now()
		ended := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			a, _ := g.send(http.MethodPost, sealPath, "", withMinuteDeadline)
			ended <- a
		}()
		Eventually(func() []string { return g.metricLines("wheatseam_in_flight") }, "2s").Should(ConsistOf(HaveSuffix(" 1")))
		Eventually(func() int { return len(f.replicas["p1"].Arrivals()) + len(f.replicas["p2"].Arrivals()) }, "2s").Should(Equal(1), "runs of the request")
		clock.SimulateSuspension(time.Minute)
		var a answer
		Eventually(ended, "2s").Should(Receive(&a))
		Expect(a.status).To(Equal(http.StatusGatewayTimeout), "answer %q, error %v", a.body, a.err)
		Expect(time.Since(began)).To(BeNumerically("<", 2900*time.Millisecond), "the route's timeout, on a clock that stops during a suspension")

		f.behave("plain", site.Behaviour{})
		Eventually(func() int {
			a, _ := g.send(http.MethodPost, sealPath, "", nil)
			return a.status
		}, "5s").Should(Equal(http.StatusOK))
	})

	It("ends requests whose deadline passed while it connected", func() {
		f := newFixture()
		g := f.start().ready()
		g.gateway.SimulateCut(time.Hour, true)
		ended := make(chan answer, 1)
		var id string
		go func() {
			defer GinkgoRecover()
			var a answer
			a, id = g.send(http.MethodPost, sealPath, "", func(r *http.Request) { r.Header.Set("Deadline-Ms", "60000") })
			ended <- a
		}()
		Eventually(func() []string { return g.metricLines("wheatseam_in_flight") }, "2s").Should(ConsistOf(HaveSuffix(" 1")))
		clock.SimulateSuspension(time.Minute)
		var a answer
		Eventually(ended, "2s").Should(Receive(&a))
		// 503 if the connection attempt ended before the request did.
		Expect(a.status).To(Or(Equal(http.StatusGatewayTimeout), Equal(http.StatusServiceUnavailable)), "answer %q, error %v", a.body, a.err)
		Expect(f.ledger.Runs(id)).To(BeEmpty())
	})

	It("counts a suspension in the age of its view, and refreshes the view", func() {
		f := newFixture()
		g := f.start().ready()
		f.store.SetFailure(http.StatusServiceUnavailable)
		age := func() []string { return g.metricLines("wheatseam_view_age_seconds") }
		clock.SimulateSuspension(time.Minute)
		Eventually(age, "2s").Should(ConsistOf(MatchRegexp(` 6\d\.`)))
		f.store.SetFailure(0)
		Eventually(age, "5s").Should(ConsistOf(MatchRegexp(` [01]\.`)))
	})
})
