package proofs

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/proctest"
	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/problem"
)

var _ = Describe("A graceful shutdown", func() {
	It("completes the requests in flight, accepts no new ones and exits with 0", func() {
		f := startFleet(proctest.Options{})
		f.SetPoolFaults("encoders", standin.Faults{ResponseDelayMS: 400})
		f.SetPoolFaults("signing", standin.Faults{ResponseDelayMS: 400})
		const inFlight = 40
		outcomes := make([]proctest.Outcome, inFlight)
		var wg sync.WaitGroup
		for n := range inFlight {
			wg.Add(1)
			go func() {
				defer wg.Done()
				pipeline, key := proctest.PipelineSummary, ""
				if n%2 == 0 {
					pipeline, key = proctest.PipelineQuotation, proctest.NewKey()
				}
				outcomes[n] = f.Call(0, pipeline, key, fmt.Sprintf("text %d", n))
			}()
		}
		Eventually(f.StartedCount).Should(BeNumerically(">=", inFlight))
		Expect(f.Daemons[0].Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() bool { return f.Ready(0) }).Should(BeFalse())
		late := f.Call(0, proctest.PipelineSummary, "", "late")
		if late.Err == nil {
			Expect(late.Kind).To(Equal(problem.Draining), "%+v", late)
		}
		wg.Wait()
		for _, o := range outcomes {
			Expect(o.Answered()).To(BeTrue(), "%+v", o)
		}
		Expect(f.Daemons[0].Wait(10 * time.Second)).To(Succeed())
	})

	It("is ended early by a second signal, which the log records", func() {
		f := startFleet(proctest.Options{})
		f.SetPoolFaults("encoders", standin.Faults{ResponseDelayMS: 3000})
		done := make(chan proctest.Outcome, 1)
		go func() { done <- f.Call(0, proctest.PipelineSummary, "", "slow") }()
		Eventually(f.StartedCount).Should(Equal(1))
		Expect(f.Daemons[0].Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(f.Daemons[0].Log).Should(ContainSubstring("draining"))
		Expect(f.Daemons[0].Signal(syscall.SIGTERM)).To(Succeed())
		_ = f.Daemons[0].Wait(5 * time.Second)
		Expect(f.Daemons[0].Log()).To(ContainSubstring("msg=cut"))
		o := <-done
		Expect(o.Answered()).To(BeFalse())
	})
})
