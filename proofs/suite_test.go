// Package proofs holds the process tests of what must always hold: real daemons
// under real signals, judged by the ledger of the stand-ins.
package proofs

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/proctest"
	"github.com/wheatseam/wheatseam/internal/standin/ledger"
	"github.com/wheatseam/wheatseam/problem"
)

func TestProofs(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(15 * time.Second)
	SetDefaultEventuallyPollingInterval(10 * time.Millisecond)
	RunSpecs(t, "proofs")
}

var _ = AfterSuite(proctest.Cleanup)

// startFleet starts a fleet that ends with the spec; logs are shown on failure.
func startFleet(o proctest.Options) *proctest.Fleet {
	GinkgoHelper()
	f, err := proctest.Start(GinkgoT().TempDir(), o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		f.Close()
		for _, p := range f.Daemons {
			Expect(p.RaceFound()).To(BeFalse(), "%s", p.Log())
		}
		if CurrentSpecReport().Failed() {
			for i, p := range f.Daemons {
				GinkgoWriter.Printf("--- entry-%d\n%s\n", i+1, p.Log())
			}
		}
	})
	return f
}

// expectHonest checks a seal's outcome against the ledger.
func expectAtMostOnce(f *proctest.Fleet, key string, outcomes ...proctest.Outcome) {
	GinkgoHelper()
	executions := f.Executions(key)
	Expect(len(executions)).To(BeNumerically("<=", 1), "executions of %s: %+v", key, executions)
	for _, o := range outcomes {
		if o.Answered() {
			Expect(executions).To(HaveLen(1), "answered, yet not executed: %+v", o)
		}
		if o.Err == nil && o.Execution == problem.NotRun {
			expectNoEarlierRun(o, executions)
		}
	}
}

// expectNotRun checks that nothing ran before the caller heard not_run. A try
// that the caller makes later with the same key may run.
func expectNoEarlierRun(o proctest.Outcome, executions []ledger.Entry) {
	GinkgoHelper()
	for _, e := range executions {
		Expect(e.RequestID).NotTo(Equal(o.RequestID), "said not_run: %+v", o)
		Expect(e.StartedUnixMS).To(BeNumerically(">=", o.Heard.UnixMilli()), "said not_run: %+v, yet %+v", o, e)
	}
}

// retryUntilHeard sends a key again through host i until it gets an answer or
// a refusal that says that the request may have run.
func retryUntilConclusive(f *proctest.Fleet, i int, pipeline, key, text string) proctest.Outcome {
	GinkgoHelper()
	var last proctest.Outcome
	Eventually(func() bool {
		last = f.Call(i, pipeline, key, text)
		return last.Answered() || last.Execution == problem.MayHaveRun
	}).Should(BeTrue(), "%+v", last)
	return last
}

// judge checks what every caller heard of every key, once no execution runs any
// more, and returns the number of keys that were answered in the end.
func checkOutcomes(f *proctest.Fleet, outcomesByCaller []map[string][]proctest.Outcome) int {
	GinkgoHelper()
	Eventually(f.RunningCount).Should(BeZero())
	answered := 0
	for _, byKey := range outcomesByCaller {
		for key, outcomes := range byKey {
			expectAtMostOnce(f, key, outcomes...)
			if outcomes[len(outcomes)-1].Answered() {
				answered++
			}
		}
	}
	return answered
}
