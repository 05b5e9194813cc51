package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

var _ = Describe("draining", func() {
	It("finishes requests in flight, serves kept-alive connections and closes them", func() {
		f := newFixture()
		f.behave("plain", site.Behaviour{ServiceTime: 300 * time.Millisecond})
		g := f.start().ready()
		inFlight := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			a, _ := g.send(http.MethodPost, sealPath, "", nil)
			inFlight <- a
		}()
		time.Sleep(100 * time.Millisecond)
		g.stop()
		Eventually(g.readinessStatus, "500ms").Should(Equal(http.StatusServiceUnavailable))
		late, _ := g.send(http.MethodPost, sealPath, "", nil)
		Expect(late.status).To(Equal(http.StatusOK), "connections still arrive for a while")
		Expect((<-inFlight).status).To(Equal(http.StatusOK))
		Eventually(g.done, "3s").Should(Receive(BeNil()))
	})

	It("refuses a request whose stages are still running when their time is over", func() {
		f := newFixture()
		f.behave("encode", site.Behaviour{Hang: true})
		g := f.start().ready()
		answers := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			a, _ := g.send(http.MethodPost, resumePath, "", func(r *http.Request) {
				r.Header.Set("Deadline-Ms", "20000")
				r.Header.Set("Piece-Count", "1")
				r.Header.Set("Piece-Key", "k")
			})
			answers <- a
		}()
		time.Sleep(100 * time.Millisecond)
		g.stop()
		var a answer
		Eventually(answers, "3s").Should(Receive(&a))
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Eventually(g.done, "3s").Should(Receive())
	})

	It("ends within the grace period, whatever is running", func() {
		f := newFixture()
		f.behave("plain", site.Behaviour{Hang: true})
		g := f.start().ready()
		go func() {
			defer GinkgoRecover()
			g.send(http.MethodPost, sealPath, "", func(r *http.Request) { r.Header.Set("Deadline-Ms", "60000") })
		}()
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		g.stop()
		Eventually(g.done, "3s").Should(Receive())
		Expect(time.Since(began)).To(BeNumerically("<", 2200*time.Millisecond))
	})
})

var _ = Describe("replicas that drain", func() {
	It("get no new requests after the bound", func() {
		f := newFixture()
		g := f.start().ready()
		f.register(f.replicas["p1"], "draining")
		time.Sleep(time.Second)
		for range 20 {
			_, id := g.send(http.MethodPost, sealPath, "", nil)
			Expect(f.ledger.Runs(id)[0].Replica).To(Equal("p2"))
		}
	})
})

var _ = Describe("an address that another replica has taken over", func() {
	It("does not get the requests of the previous replica", func() {
		f := newFixture()
		g := f.start().ready()
		f.store.Put("servers/old", map[string]any{
			"service": "plain", "address": f.replicas["e1"].Address(), "zone": "x", "concurrency": 8, "phase": "ready"})
		time.Sleep(500 * time.Millisecond)
		for range 10 {
			a, id := g.send(http.MethodPost, sealPath, "", nil)
			Expect(a.status).To(Equal(http.StatusOK))
			Expect(f.ledger.Runs(id)).To(HaveLen(1))
			Expect(f.ledger.Runs(id)[0].Service).To(Equal("plain"))
		}
	})
})
