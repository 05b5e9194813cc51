package gateway_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

var _ = Describe("a replica that restarts under the same ID", func() {
	It("is called under its instance ID, and the counters of the previous instance are dropped", func() {
		f := newFixture()
		f.store.Delete("servers/p2")
		p1 := f.replicas["p1"]
		p1.StartUnixMS = 1_796_256_000_000
		f.register(p1, "ready")
		g := f.start().ready()
		status := func() int {
			a, _ := g.send(http.MethodPost, sealPath, "", nil)
			return a.status
		}
		refusals := func() []string { return g.metricLines("wheatseam_refusals_total") }
		Eventually(status, "2s").Should(Equal(http.StatusOK), "the replica accepts its instance ID")
		p1.SetBehaviour(site.Behaviour{ShedWithFreeSlots: true})
		Expect(status()).To(Equal(http.StatusServiceUnavailable))
		Expect(refusals()).To(ConsistOf(ContainSubstring(`replica="p1@1796256000000"`)))

		By("restarting")
		p1.SetBehaviour(site.Behaviour{})
		p1.StartUnixMS += 7000
		f.register(p1, "ready")
		Eventually(refusals, "5s").Should(BeEmpty())
		Expect(status()).To(Equal(http.StatusOK))
		Expect(f.ledger.Violations()).To(BeEmpty())
	})

	It("is found among invalid entries of other writers", func() {
		f := newFixture()
		f.store.Put("servers/a", map[string]any{"service": "plain", "address": f.replicas["p1"].Address()})
		f.store.Put("servers/q", []byte("\x00\xff"))
		f.store.Put("servers/r", map[string]any{"service": "plain", "address": "not an address", "zone": "x", "concurrency": 8, "phase": "ready"})
		g := f.start().ready()
		for range 10 {
			a, _ := g.send(http.MethodPost, sealPath, "", nil)
			Expect(a.status).To(Equal(http.StatusOK))
		}
		Expect(g.metricLines("wheatseam_replica_entries_refused")).To(ConsistOf(HaveSuffix(" 3")))
	})
})
