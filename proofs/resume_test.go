package proofs

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/proctest"
	"github.com/wheatseam/wheatseam/internal/standin"
)

var _ = Describe("A completed stage", func() {
	It("does not run again when its host dies and the caller retries on another host", func() {
		f := startFleet(proctest.Options{})
		f.SetPoolFaults("encoders", standin.Faults{ResponseDelayMS: 3000})
		key := proctest.NewKey()
		firstDone := make(chan struct{})
		go func() {
			defer close(firstDone)
			f.Call(0, proctest.PipelineQuotation, key, "roof 7")
		}()
		Eventually(func() int { return f.StartedCountIn("encoders") }).Should(Equal(1))
		Eventually(func() int { return f.KeptResults(1) }).Should(Equal(1))
		f.Daemons[0].Kill()
		<-firstDone
		f.SetPoolFaults("encoders", standin.Faults{})
		again := f.Call(1, proctest.PipelineQuotation, key, "roof 7")
		Expect(again.Answered()).To(BeTrue(), "%+v", again)
		Expect(f.StartedCountIn("lm")).To(Equal(1), "%+v", f.Upstream.Ledger().Entries())
		expectAtMostOnce(f, key, again)
	})

	It("runs again for another input under the same key", func() {
		f := startFleet(proctest.Options{})
		key := proctest.NewKey()
		Expect(f.Call(0, proctest.PipelineQuotation, key, "roof 7").Answered()).To(BeTrue())
		f.Call(1, proctest.PipelineQuotation, key, "roof 8")
		Expect(f.StartedCountIn("lm")).To(Equal(2))
		Expect(f.Executions(key)).To(HaveLen(1))
	})
})
