package proofs

import (
	"bytes"
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/proctest"
	"github.com/wheatseam/wheatseam/internal/standin"
)

var _ = Describe("A result is delivered to its own request only", func() {
	DescribeTable("with thousands of requests from concurrent callers",
		func(faults standin.Faults, minAnswered int) {
			f := startFleet(proctest.Options{})
			f.SetPoolFaults("encoders", faults)
			f.SetPoolFaults("signing", faults)
			const callers, each = 60, 40
			answered := make([]int, callers)
			var wg sync.WaitGroup
			for c := range callers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					defer GinkgoRecover()
					for n := range each {
						answered[c] += callAndCheckAnswer(f, c, n)
					}
				}()
			}
			wg.Wait()
			total := 0
			for _, n := range answered {
				total += n
			}
			AddReportEntry("answered", fmt.Sprintf("%d of %d", total, callers*each))
			Expect(total).To(BeNumerically(">=", minAnswered))
		},
		Entry("without faults", standin.Faults{}, 2000),
		Entry("with answers sent twice", standin.Faults{DuplicateResponse: true}, 1),
		Entry("with answers to other requests", standin.Faults{WrongResponse: true}, 0),
	)
})

// callAndCheckAnswer sends a request and checks that its answer contains the request's
// own id and, for PipelineSeal, its own text. It returns 1 if the request was answered,
// else 0.
func callAndCheckAnswer(f *proctest.Fleet, c, n int) int {
	GinkgoHelper()
	pipeline, key := proctest.PipelineSummary, ""
	if n%2 == 0 {
		pipeline, key = proctest.PipelineSeal, proctest.NewKey()
	}
	text := fmt.Sprintf("text %d of caller %d.", n, c)
	o := f.Call((c+n)%len(f.Daemons), pipeline, key, text)
	if !o.Answered() {
		return 0
	}
	Expect(bytes.Contains(o.Result, []byte(o.RequestID))).To(BeTrue(), "answer to another request: %s", o.Result)
	if pipeline == proctest.PipelineSeal {
		Expect(bytes.Contains(o.Result, []byte(text))).To(BeTrue(), "text of another request: %s", o.Result)
	}
	return 1
}
