package gateway_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// logged counts the lines of a message.
func logged(logs *observer.ObservedLogs, message string) int {
	return logs.FilterMessage(message).Len()
}

func TestLimitThatAReplicaNamesIsToldToOperators(t *testing.T) {
	const gauge = "wheatseam_replicas_limited"
	f := newFixtureOf(t)
	core, logs := observer.New(zapcore.InfoLevel)
	g := f.startLogged(zap.New(core)).ready()
	f.replicas["p1"].NameLimit("2.5")
	f.Eventually(func() int {
		g.send(http.MethodPost, safePath, "", nil)
		return logged(logs, "replica names a limit")
	}, "4s").Should(Equal(1))
	f.Expect(logs.FilterMessage("replica names a limit").All()[0].ContextMap()).To(And(
		HaveKeyWithValue("replica", "p1"), HaveKeyWithValue("service", "plain"), HaveKeyWithValue("per_second", 2.5)))
	f.Expect(g.counters(gauge)).To(ConsistOf(gauge + " 1"))
	f.replicas["p1"].NameLimit("")
	f.Eventually(func() int {
		g.send(http.MethodPost, safePath, "", nil)
		return logged(logs, "replica's limit lifted")
	}, "8s").Should(Equal(1))
	f.Expect(g.counters(gauge)).To(ConsistOf(gauge + " 0"))
}
