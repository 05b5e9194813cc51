package proofs

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/proctest"
	"github.com/wheatseam/wheatseam/problem"
)

// Callers resend a request that crashes upstreams, under new ids and keys and through
// any host. After three crashes the hosts quarantine its content, as the gateway does
// for requests that crash replicas.
var _ = Describe("A request that crashes its upstreams", func() {
	const (
		propagationTime     = 3 * time.Second
		crashesToQuarantine = 3
		maxLateCrashes      = 3
		poisonText          = "culprit"
	)

	DescribeTable("crashes only a few more after the third crash, whichever host receives it",
		func(pipeline string, key func() string) {
			f := startFleet(proctest.Options{})
			f.Crashes.CrashOn(poisonText, 700*time.Millisecond)
			sent := 0
			for deadline := time.Now().Add(30 * time.Second); f.Crashes.Count() < crashesToQuarantine; sent++ {
				Expect(time.Now()).To(BeTemporally("<", deadline))
				f.Call(sent%len(f.Daemons), pipeline, key(), poisonText)
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(propagationTime)
			before := f.Crashes.Count()
			for i := range 4 * maxLateCrashes {
				o := f.Call(i%len(f.Daemons), pipeline, key(), poisonText)
				Expect(o.Answered()).To(BeFalse())
				time.Sleep(100 * time.Millisecond)
			}
			Expect(f.Crashes.Count() - before).To(BeNumerically("<=", maxLateCrashes))
			for i := range f.Daemons {
				o := f.Call(i, pipeline, key(), poisonText)
				Expect(o.Kind).To(Equal(problem.Quarantined))
				o = f.Call(i, pipeline, key(), "harmless")
				Expect(o.Answered()).To(BeTrue(), "%+v", o)
			}
		},
		Entry("with a key, at most once", proctest.PipelineSeal, proctest.NewKey),
		Entry("idempotent, with hedges", proctest.PipelineSummary, func() string { return "" }),
	)
})
