package gateway

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Each silence is logged once, however many calls it delayed.
func TestSilencesAreLoggedAndCounted(t *testing.T) {
	g := NewWithT(t)
	core, logs := observer.New(zapcore.InfoLevel)
	gw := &Gateway{log: zap.New(core), metrics: metrics.NewSet()}
	for _, delayed := range []int{1, 2, 3, 1} {
		gw.logSilence("plain", "p1", delayed)
	}
	g.Expect(logs.Len()).To(Equal(2))
	g.Expect(logs.All()[0].ContextMap()).To(Equal(map[string]any{"service": "plain", "replica": "p1"}))
	g.Expect(gw.metrics.GetOrCreateCounter("wheatseam_brief_silences_total").Get()).To(Equal(uint64(2)))
	g.Expect(gw.metrics.GetOrCreateCounter("wheatseam_calls_delayed_by_silence_total").Get()).To(Equal(uint64(4)))
}
