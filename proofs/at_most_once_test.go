package proofs

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/internal/proctest"
	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/problem"
)

var _ = Describe("A request that may not be repeated runs at most once", func() {
	It("when it is sent again through every other host", func() {
		f := startFleet(proctest.Options{})
		key := proctest.NewKey()
		first := f.Call(0, proctest.PipelineSeal, key, "deed 1")
		Expect(first.Answered()).To(BeTrue(), "%+v", first)
		for i := range f.Daemons {
			again := f.Call(i, proctest.PipelineSeal, key, "deed 1")
			Expect(again.Answered()).To(BeTrue(), "%+v", again)
			Expect(again.Result).To(MatchJSON(first.Result))
		}
		expectAtMostOnce(f, key, first)
	})

	It("when it is sent through all hosts at the same time", func() {
		f := startFleet(proctest.Options{})
		for n := range 20 {
			key := proctest.NewKey()
			outcomes := callThroughAllHosts(f, key, fmt.Sprintf("deed %d", n))
			expectAtMostOnce(f, key, outcomes...)
			Expect(outcomes).To(ContainElement(HaveField("Answered()", BeTrue())))
		}
	})

	It("and its key is refused for another input", func() {
		f := startFleet(proctest.Options{})
		key := proctest.NewKey()
		Expect(f.Call(0, proctest.PipelineSeal, key, "deed 1").Answered()).To(BeTrue())
		other := f.Call(1, proctest.PipelineSeal, key, "deed 2")
		Expect(other.Kind).To(Equal(problem.KeyReused))
		Expect(other.Status).To(Equal(http.StatusUnprocessableEntity))
		Expect(f.Executions(key)).To(HaveLen(1))
	})

	It("when its host is killed after sending", func() {
		f := startFleet(proctest.Options{})
		f.SetPoolFaults("signing", standin.Faults{ResponseDelayMS: 300})
		key := proctest.NewKey()
		sent := callInBackground(f, 0, key)
		Eventually(func() int { return len(f.Executions(key)) }).Should(Equal(1))
		f.Daemons[0].Kill()
		<-sent
		again := retryUntilConclusive(f, 1, proctest.PipelineSeal, key, "deed")
		expectAtMostOnce(f, key, again)
	})

	It("when its host is suspended after sending and resumes later", func() {
		f := startFleet(proctest.Options{})
		f.SetPoolFaults("signing", standin.Faults{ResponseDelayMS: 300})
		key := proctest.NewKey()
		sent := callInBackground(f, 0, key)
		Eventually(func() int { return len(f.Executions(key)) }).Should(Equal(1))
		Expect(f.Daemons[0].Suspend()).To(Succeed())
		again := retryUntilConclusive(f, 1, proctest.PipelineSeal, key, "deed")
		Expect(f.Daemons[0].Resume()).To(Succeed())
		expectAtMostOnce(f, key, again, <-sent)
	})

	It("when a claim holder restarts and has lost its claims", func() {
		f := startFleet(proctest.Options{})
		key := proctest.NewKey()
		first := f.Call(0, proctest.PipelineSeal, key, "deed")
		Expect(first.Answered()).To(BeTrue(), "%+v", first)
		f.Daemons[1].Kill()
		Expect(f.StartDaemon(1)).To(Succeed())
		Expect(f.WaitReady(15 * time.Second)).To(Succeed())
		again := retryUntilConclusive(f, 1, proctest.PipelineSeal, key, "deed")
		expectAtMostOnce(f, key, first, again)
	})

	It("when two of three claim holders restart", func() {
		f := startFleet(proctest.Options{})
		key := proctest.NewKey()
		first := f.Call(0, proctest.PipelineSeal, key, "deed")
		Expect(first.Answered()).To(BeTrue(), "%+v", first)
		f.Daemons[1].Kill()
		f.Daemons[2].Kill()
		Expect(f.StartDaemon(1)).To(Succeed())
		Expect(f.StartDaemon(2)).To(Succeed())
		for _, i := range []int{1, 2} {
			o := f.Call(i, proctest.PipelineSeal, key, "deed")
			expectAtMostOnce(f, key, first, o)
		}
	})

	It("when the upstream drops its answer", func() {
		f := startFleet(proctest.Options{})
		f.SetPoolFaults("signing", standin.Faults{DropResponse: true})
		key := proctest.NewKey()
		first := f.Call(0, proctest.PipelineSeal, key, "deed")
		Expect(first.Execution).To(Equal(problem.MayHaveRun), "%+v", first)
		f.SetPoolFaults("signing", standin.Faults{})
		again := f.Call(1, proctest.PipelineSeal, key, "deed")
		expectAtMostOnce(f, key, first, again)
	})

	It("and a retry gets the result by a status lookup after its host died", func() {
		f := startFleet(proctest.Options{ModifyBundle: func(b *bundle.Bundle) {
			b.Pools[2].Supports.StatusLookup = true
		}})
		f.SetPoolFaults("signing", standin.Faults{ResponseDelayMS: 300})
		key := proctest.NewKey()
		sent := callInBackground(f, 0, key)
		Eventually(func() int { return len(f.Executions(key)) }).Should(Equal(1))
		f.Daemons[0].Kill()
		<-sent
		again := f.Call(1, proctest.PipelineSeal, key, "deed")
		Expect(again.Answered()).To(BeTrue(), "%+v", again)
		expectAtMostOnce(f, key, again)
	})

	It("and is refused promptly, without having run, while no majority of claim holders is reachable", func() {
		f := startFleet(proctest.Options{})
		f.Daemons[1].Kill()
		f.Daemons[2].Kill()
		key := proctest.NewKey()
		o := f.Call(0, proctest.PipelineSeal, key, "deed")
		Expect(o.Kind).To(Equal(problem.NoMajority), "%+v", o)
		Expect(o.RetryAfter).NotTo(BeEmpty())
		Expect(o.Took).To(BeNumerically("<", 4*time.Second))
		expectAtMostOnce(f, key, o)
	})

	It("under random kills and suspensions, with callers that retry through other hosts", func() {
		f := startFleet(proctest.Options{})
		f.SetPoolFaults("signing", standin.Faults{ResponseDelayMS: 150})
		const callers, rounds = 24, 5
		stop := make(chan struct{})
		var faultInjection, load sync.WaitGroup
		faultInjection.Add(1)
		go func() {
			defer faultInjection.Done()
			defer GinkgoRecover()
			disturbDaemons(f, stop)
		}()
		outcomes := make([]map[string][]proctest.Outcome, callers)
		for c := range callers {
			outcomes[c] = make(map[string][]proctest.Outcome)
			load.Add(1)
			go func() {
				defer load.Done()
				rng := rand.New(rand.NewPCG(7, uint64(c)))
				for range rounds {
					key := proctest.NewKey()
					outcomes[c][key] = callUntilAnswered(f, rng, key)
				}
			}()
		}
		load.Wait()
		close(stop)
		faultInjection.Wait()
		answered := checkOutcomes(f, outcomes)
		AddReportEntry("answered", fmt.Sprintf("%d of %d", answered, callers*rounds))
		Expect(answered).To(BeNumerically(">", 0))
	})
})

func callInBackground(f *proctest.Fleet, i int, key string) <-chan proctest.Outcome {
	out := make(chan proctest.Outcome, 1)
	go func() { out <- f.Call(i, proctest.PipelineSeal, key, "deed") }()
	return out
}

// callThroughAllHosts sends one request with the same key through all hosts at the
// same time and returns the outcomes by host index.
func callThroughAllHosts(f *proctest.Fleet, key, text string) []proctest.Outcome {
	outcomes := make([]proctest.Outcome, len(f.Daemons))
	var wg sync.WaitGroup
	for i := range f.Daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			outcomes[i] = f.Call(i, proctest.PipelineSeal, key, text)
		}()
	}
	wg.Wait()
	return outcomes
}

// callUntilAnswered sends a request with the same key through random hosts until it is
// answered, at most maxAttempts times, and returns all outcomes.
func callUntilAnswered(f *proctest.Fleet, rng *rand.Rand, key string) []proctest.Outcome {
	const maxAttempts = 6
	var outcomes []proctest.Outcome
	for range maxAttempts {
		o := f.Call(rng.IntN(len(f.Daemons)), proctest.PipelineSeal, key, "deed")
		outcomes = append(outcomes, o)
		if o.Answered() {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return outcomes
}

// disturbDaemons kills and restarts or suspends one daemon at a time until stop is closed.
func disturbDaemons(f *proctest.Fleet, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(11, 13))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+rng.IntN(200)) * time.Millisecond):
		}
		i := rng.IntN(len(f.Daemons))
		if rng.IntN(2) == 0 {
			Expect(f.Daemons[i].Suspend()).To(Succeed())
			time.Sleep(time.Duration(50+rng.IntN(500)) * time.Millisecond)
			Expect(f.Daemons[i].Resume()).To(Succeed())
			continue
		}
		f.Daemons[i].Kill()
		Expect(f.StartDaemon(i)).To(Succeed())
		Expect(f.WaitReady(15 * time.Second)).To(Succeed())
	}
}
