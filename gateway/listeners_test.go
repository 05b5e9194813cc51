package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/connections"
)

// Guards against limits that clients inside those of the configuration meet, also while it changes.
func TestHeadsInsideTheLimitsOfTheConfigurationAreServed(t *testing.T) {
	const defaultHead, largerHead = 16 << 10, 40 << 10
	f := newFixtureOf(t)
	f.maxHeaderBytes = defaultHead
	f.configure()
	g := f.start().ready()
	f.Eventually(func() int { return g.gateway.State().Connections.Limits.Connections }).Should(BeNumerically(">", 0))
	send := func(change func(*http.Request)) int {
		a, _ := g.send(http.MethodPost, safePath, "x", change)
		f.Expect(a.err).NotTo(HaveOccurred())
		return a.status
	}
	// The other headers of the request take less than 1 KiB.
	manyHeaders := func(r *http.Request) {
		r.Header["a"] = make([]string, (defaultHead-1<<10)/len("a: \r\n"))
	}
	oneHeader := func(bytes int) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set("X-Large", strings.Repeat("x", bytes-1<<10)) }
	}
	f.Expect(send(manyHeaders)).To(Equal(http.StatusOK))
	f.Expect(send(oneHeader(defaultHead))).To(Equal(http.StatusOK))
	f.Expect(send(oneHeader(largerHead))).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	f.maxHeaderBytes = largerHead
	f.configure()
	f.Eventually(func() int { return send(oneHeader(largerHead)) }).Should(Equal(http.StatusOK))
	f.Eventually(func() int { return g.gateway.State().Connections.ByPhase[connections.Busy] }).Should(BeZero())
	f.Eventually(func() int64 { return g.gateway.State().Connections.HeadBytes }).Should(BeZero())
}
