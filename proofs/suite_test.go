// Package proofs contains the process tests of the system's guarantees. They run real
// daemons, inject faults and compare the responses that callers receive with the
// executions in the ledger of the simulated upstreams.
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

var _ = AfterSuite(proctest.RemoveDaemonBinary)

// startFleet starts a fleet that is closed at the end of the spec. The spec fails if
// a daemon logs a data race, and prints the daemons' logs if it fails.
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

// expectAtMostOnce checks the outcomes of a request that may not be repeated against
// the ledger: it ran at most once, it ran if it was answered, and it had not run when
// a caller received not_run.
func expectAtMostOnce(f *proctest.Fleet, key string, outcomes ...proctest.Outcome) {
	GinkgoHelper()
	executions := f.Executions(key)
	Expect(len(executions)).To(BeNumerically("<=", 1), "executions of %s: %+v", key, executions)
	for _, o := range outcomes {
		if o.Answered() {
			Expect(executions).To(HaveLen(1), "answered but not executed: %+v", o)
		}
		if o.Err == nil && o.Execution == problem.NotRun {
			expectNoEarlierRun(o, executions)
		}
	}
}

// expectNoEarlierRun checks that nothing ran before the caller received not_run. A
// later attempt of the caller with the same key may run.
func expectNoEarlierRun(o proctest.Outcome, executions []ledger.Entry) {
	GinkgoHelper()
	for _, e := range executions {
		Expect(e.RequestID).NotTo(Equal(o.RequestID), "answered not_run: %+v", o)
		Expect(e.StartedUnixMS).To(BeNumerically(">=", o.Heard.UnixMilli()), "answered not_run: %+v, but ran: %+v", o, e)
	}
}

// retryUntilConclusive retries a request with the same key through host i until it
// gets an answer or a refusal that says that the request may have run.
func retryUntilConclusive(f *proctest.Fleet, i int, pipeline, key, text string) proctest.Outcome {
	GinkgoHelper()
	var last proctest.Outcome
	Eventually(func() bool {
		last = f.Call(i, pipeline, key, text)
		return last.Answered() || last.Execution == problem.MayHaveRun
	}).Should(BeTrue(), "%+v", last)
	return last
}

// checkOutcomes waits until no execution is running, checks the outcomes that each
// caller received for each key, and returns the number of keys whose last outcome is
// an answer.
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
