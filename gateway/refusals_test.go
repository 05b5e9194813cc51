package gateway_test

import (
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// metricLines returns the lines of a gateway's metrics that begin with a name.
func (r *gatewayProcess) metricLines(name string) []string {
	r.test.Helper()
	resp, err := http.Get("http://" + r.metrics + "/metrics")
	r.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	r.Expect(err).NotTo(HaveOccurred())
	var out []string
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.HasPrefix(line, name) {
			out = append(out, line)
		}
	}
	return out
}

var _ = Describe("refusals of replicas", func() {
	It("are counted by service, replica and reason; unexplained ones are logged once", func() {
		f := newFixture()
		core, logs := observer.New(zapcore.WarnLevel)
		g := f.startLogged(zap.New(core)).ready()
		f.behave("plain", site.Behaviour{ShedWithFreeSlots: true})
		for range 20 {
			a, _ := g.send(http.MethodPost, sealPath, "", nil)
			Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		}
		lines := logs.FilterMessage("service refuses more than its load explains").All()
		Expect(lines).To(HaveLen(1))
		Expect(lines[0].ContextMap()).To(HaveKeyWithValue("service", "plain"))
		Expect(g.metricLines("wheatseam_refusals_total")).To(ConsistOf(
			ContainSubstring(`replica="p1",reason="unexplained"`), ContainSubstring(`replica="p2",reason="unexplained"`)))
	})

	It("are no longer exported for replicas that are no longer listed", func() {
		f := newFixture()
		g := f.start().ready()
		f.behave("plain", site.Behaviour{Shed: true})
		g.send(http.MethodPost, sealPath, "", nil)
		Expect(g.metricLines("wheatseam_refusals_total")).NotTo(BeEmpty())
		f.store.Delete("servers/p1")
		f.store.Delete("servers/p2")
		Eventually(func() []string { return g.metricLines("wheatseam_refusals_total") }, "5s").Should(BeEmpty())
	})

	It("are not caused by a caller's forged header, which is counted", func() {
		f := newFixture()
		g := f.start().ready()
		a, _ := g.send(http.MethodPost, sealPath, "", func(r *http.Request) { r.Header.Set("Kv-Hold", "x") })
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(g.metricLines("wheatseam_forged_headers_total")).To(ConsistOf(`wheatseam_forged_headers_total{header="Kv-Hold"} 1`))
	})
})
