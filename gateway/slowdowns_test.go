package gateway_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Guards against hosts that learn how slow a replica's machine is from requests of their own
// only, and against reports that are ignored because they come with a refusal, a short
// answer, a stream or a call for pieces.
func TestReplicaSlowdownSpreadsToOtherHosts(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		replica, service, path string
		change                 func(*http.Request)
		behaviour              site.Behaviour
	}{
		"short answers": {replica: "p1", service: "plain", path: safePath},
		"refusals":      {replica: "p1", service: "plain", path: safePath, behaviour: site.Behaviour{Shed: true}},
		"streams":       {replica: "e1", service: "llm", path: resumePath},
		"pieces":        {replica: "s1", service: "encode", path: resumePath, change: withStagePieces},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const gauge = "wheatseam_replica_slowdown_baselines "
			f := newFixtureOf(t)
			core, logs := observer.New(zapcore.InfoLevel)
			first := f.start().ready()
			other := f.startLogged(zap.New(core), first.peers).ready()
			f.Eventually(first.metricLines, "5s").WithArguments("wheatseam_hosts ").Should(ConsistOf("wheatseam_hosts 2"))
			f.replicas[c.replica].SetBehaviour(c.behaviour)
			report := func(percent string, from, to float64) {
				f.replicas[c.replica].ReportSlowdown(percent)
				f.Eventually(func() []map[string]any {
					first.send(http.MethodPost, c.path, "", c.change)
					return loggedFields(logs.FilterMessage("replica slowdown changed").FilterField(zap.Float64("to", to)))
				}, "8s", "50ms").Should(ConsistOf(And(
					HaveKeyWithValue("replica", c.replica), HaveKeyWithValue("service", c.service), HaveKeyWithValue("from", from), HaveKeyWithValue("peer", first.peers))))
			}
			f.replicas[c.replica].ReportSlowdown("0")
			f.Eventually(func() []string {
				first.send(http.MethodPost, c.path, "", c.change)
				return first.metricLines(`wheatseam_load_reports_total{kind="invalid_slowdown"}`)
			}, "8s", "50ms").ShouldNot(BeEmpty())
			f.Expect(first.metricLines(gauge)).To(ConsistOf(gauge + "0"))
			report("160", 0, 1.6)
			// The router would avoid the replica that is known to be slow if the others were not
			// slower.
			for _, slower := range []string{"p2", "e2"} {
				f.replicas[slower].ReportSlowdown("900")
			}
			report("60", 1.6, 0.6)
			f.Expect(first.metricLines(gauge)).NotTo(ConsistOf(gauge + "0"))
			f.Eventually(other.metricLines, "5s").WithArguments(gauge).Should(Equal(first.metricLines(gauge)))
			f.Expect(other.metricLines("wheatseam_load_reports_total")).To(BeEmpty(), "it has sent no request")
			f.Expect(other.metricLines("wheatseam_replica_slowdown_notices_received_total")).NotTo(BeEmpty())
			f.Expect(first.metricLines("wheatseam_replica_slowdown_notices_sent_total")).NotTo(BeEmpty())
		})
	}
}

// loggedFields returns the fields of log lines.
func loggedFields(logs *observer.ObservedLogs) []map[string]any {
	var fields []map[string]any
	for _, line := range logs.All() {
		fields = append(fields, line.ContextMap())
	}
	return fields
}
