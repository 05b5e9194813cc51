package proofs

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/proctest"
	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/internal/standin/ledger"
)

// callThenCancel sends a request and cancels it once its first execution has started.
func callThenCancel(f *proctest.Fleet, pipeline, key string) {
	GinkgoHelper()
	ctx, cancel := context.WithCancel(context.Background())
	outcome := make(chan proctest.Outcome, 1)
	go func() { outcome <- f.CallContext(ctx, 0, pipeline, key, "text") }()
	Eventually(f.StartedCount).Should(Equal(1))
	cancel()
	Expect((<-outcome).Err).To(HaveOccurred())
}

var _ = Describe("A caller that disconnects", func() {
	It("has its remaining work cancelled", func() {
		f := startFleet(proctest.Options{})
		f.SetPoolFaults("encoders", standin.Faults{SlowFactor: 400})
		callThenCancel(f, proctest.PipelineSummary, "")
		Eventually(func() ledger.State { return f.Upstream.Ledger().Entries()[0].State }).Should(Equal(ledger.Cancelled))
		Expect(f.StartedCount()).To(Equal(1), "no later stage")
	})

	It("does not stop a non-repeatable call that was already sent, whose result a retry receives", func() {
		f := startFleet(proctest.Options{})
		f.SetPoolFaults("signing", standin.Faults{ResponseDelayMS: 400})
		key := proctest.NewKey()
		callThenCancel(f, proctest.PipelineSeal, key)
		again := f.Call(1, proctest.PipelineSeal, key, "text")
		Expect(again.Answered()).To(BeTrue(), "%+v", again)
		expectAtMostOnce(f, key, again)
	})
})
