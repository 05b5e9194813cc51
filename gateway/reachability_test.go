package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Guards against hosts that each find out with requests of their own that no connection to a
// replica can be established, against evidence of one host that counts for others, and against
// a replica that is not used again once it is back.
func TestUnreachableReplicaIsAvoidedByOtherHosts(t *testing.T) {
	t.Parallel()
	const (
		unreachable = "replica unreachable"
		notSent     = `wheatseam_attempts_total{service="plain",end="not_sent"}`
		// usableReplicas are so many that those which are not ejected for slowness can always
		// take a request: an ejected replica is avoided even more than an unreachable one.
		usableReplicas = 4
	)
	f := newFixtureOf(t)
	for i := range usableReplicas {
		f.add(fmt.Sprint("usable", i), "plain", site.Plain)
	}
	core, logs := observer.New(zapcore.InfoLevel)
	otherCore, otherLogs := observer.New(zapcore.InfoLevel)
	first := f.startLogged(zap.New(core)).ready()
	second := f.startLogged(zap.New(core), first.peers).ready()
	other := f.startLogged(zap.New(otherCore), first.peers).ready()
	for _, g := range []*gatewayProcess{first, second, other} {
		f.Eventually(g.metricLines, "5s").WithArguments("wheatseam_hosts ").Should(ConsistOf("wheatseam_hosts 3"))
	}
	address := f.replicas["p1"].Address()
	f.replicas["p1"].Close()
	fail := func(g *gatewayProcess) {
		f.Eventually(func() []string {
			a, _ := g.send(http.MethodPost, safePath, "", nil)
			f.Expect(a.status).To(Equal(http.StatusOK))
			return g.metricLines(notSent)
		}, "5s", "20ms").ShouldNot(BeEmpty())
	}
	fail(first)
	f.Consistently(otherLogs.FilterMessage(unreachable).All, "300ms").Should(BeEmpty(), "one host may be cut off")
	fail(second)
	f.Eventually(func() []map[string]any { return loggedFields(otherLogs.FilterMessage(unreachable)) }, "5s", "20ms").Should(ConsistOf(And(
		HaveKeyWithValue("service", "plain"), HaveKeyWithValue("replica", "p1"), HaveKeyWithValue("hosts", ConsistOf(first.peers, second.peers)))))
	for range 30 {
		a, _ := other.send(http.MethodPost, safePath, "", nil)
		f.Expect(a.status).To(Equal(http.StatusOK))
	}
	f.Expect(other.metricLines(notSent)).To(BeEmpty(), "it has met the replica")
	f.Expect(other.metricLines("wheatseam_replicas_unreachable ")).To(ConsistOf("wheatseam_replicas_unreachable 1"))
	f.Expect(first.metricLines("wheatseam_unreachable_notices_sent_total")).NotTo(BeEmpty())
	f.Expect(other.metricLines("wheatseam_unreachable_notices_received_total")).NotTo(BeEmpty())

	back, err := site.StartReplica(f.ledger, "p1", "plain", site.Plain, address)
	f.Expect(err).NotTo(HaveOccurred())
	f.test.Cleanup(back.Close)
	f.Eventually(func() int {
		for _, g := range []*gatewayProcess{first, second, other} {
			g.send(http.MethodPost, safePath, "", nil)
		}
		return otherLogs.FilterMessage("replica reachable again").Len()
	}, "5s", "20ms").Should(Equal(1))
	f.Eventually(func() int { return logs.FilterMessage("replica reachable again").Len() }, "5s", "20ms").Should(Equal(2))
	f.Expect(other.metricLines(notSent)).To(BeEmpty())
}

// Guards against evidence on a replica that counts against a new start at its address, and
// against requests that fail because the address answers for another start.
func TestNewStartAtAnUnreachableAddressIsUsed(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	core, logs := observer.New(zapcore.InfoLevel)
	g := f.startLogged(zap.New(core)).ready()
	send := func() {
		a, _ := g.send(http.MethodPost, safePath, "", nil)
		f.Expect(a.status).To(Equal(http.StatusOK))
	}
	address := f.replicas["p1"].Address()
	f.replicas["p1"].Close()
	f.Eventually(func() int {
		send()
		return logs.FilterMessage("replica unreachable").FilterField(zap.String("replica", "p1")).Len()
	}, "5s", "20ms").Should(Equal(1))
	next, err := site.StartReplica(f.ledger, "p3", "plain", site.Plain, address)
	f.Expect(err).NotTo(HaveOccurred())
	f.test.Cleanup(next.Close)
	f.register(next, "ready")
	f.Eventually(func() []site.Arrival {
		send()
		return next.Arrivals()
	}, "5s", "20ms").ShouldNot(BeEmpty())
	for range 50 {
		send()
	}
	f.Expect(logs.FilterMessage("replica unreachable").FilterField(zap.String("replica", "p3")).All()).To(BeEmpty())
}
