package proofs

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/proctest"
	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/internal/standin/ledger"
)

// callThenLeave sends a request and goes away once its first execution began.
func callThenLeave(f *proctest.Fleet, pipeline, key string) {
	GinkgoHelper()
	ctx, leave := context.WithCancel(context.Background())
	gone := make(chan proctest.Outcome, 1)
	go func() { gone <- f.CallContext(ctx, 0, pipeline, key, "text") }()
	Eventually(f.Begun).Should(Equal(1))
	leave()
	Expect((<-gone).Err).To(HaveOccurred())
}

var _ = Describe("A caller that goes away", func() {
	It("has its remaining work cancelled", func() {
		f := startFleet(proctest.Options{})
		f.Fault("encoders", standin.Faults{SlowFactor: 400})
		callThenLeave(f, proctest.PipelineSummary, "")
		Eventually(func() ledger.State { return f.Upstream.Ledger().Entries()[0].State }).Should(Equal(ledger.Cancelled))
		Expect(f.Begun()).To(Equal(1), "no later stage")
	})

	It("leaves a sent call that may not be repeated to be seen through and recorded", func() {
		f := startFleet(proctest.Options{})
		f.Fault("signing", standin.Faults{ResponseDelayMS: 400})
		key := proctest.NewKey()
		callThenLeave(f, proctest.PipelineSeal, key)
		again := f.Call(1, proctest.PipelineSeal, key, "text")
		Expect(again.Answered()).To(BeTrue(), "%+v", again)
		expectHonest(f, key, again)
	})
})
