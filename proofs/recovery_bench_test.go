package proofs

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/proctest"
	"github.com/wheatseam/wheatseam/problem"
)

// The timeline of one run of BenchmarkRecovery.
const (
	recoveryFaultStart      = 1 * time.Second
	recoveryFaultEnd        = 3 * time.Second
	recoveryEnd             = 9 * time.Second
	recoveryRequestInterval = 10 * time.Millisecond
	// recoveryFailureFree is the time without a failed request after which the fleet
	// counts as recovered.
	recoveryFailureFree = time.Second
)

// sample is one request of BenchmarkRecovery.
type sample struct {
	sent    time.Duration
	outcome proctest.Outcome
}

// BenchmarkRecovery sends 100 requests a second, PipelineSeal and PipelineSummary
// alternately, each to a random host and without retries. It injects each fault for
// two seconds and reports the share of answered requests during and after the fault,
// and how long after the end of the fault requests still failed.
//
//	go test -run '^$' -bench Recovery -benchtime 1x ./proofs
func BenchmarkRecovery(b *testing.B) {
	RegisterTestingT(b)
	for _, fault := range injectedFaults {
		b.Run(fault.name, func(b *testing.B) {
			for range b.N {
				f, err := proctest.Start(b.TempDir(), proctest.Options{})
				if err != nil {
					b.Fatal(err)
				}
				samples := loadThroughFault(f, fault)
				f.Close()
				reportRecovery(b, samples)
			}
		})
	}
}

func loadThroughFault(f *proctest.Fleet, fault injectedFault) []sample {
	began := time.Now()
	var (
		mu  sync.Mutex
		all []sample
		wg  sync.WaitGroup
	)
	rng := rand.New(rand.NewPCG(3, 5))
	time.AfterFunc(recoveryFaultStart, func() { fault.begin(f) })
	time.AfterFunc(recoveryFaultEnd, func() { fault.end(f) })
	for n := 0; time.Since(began) < recoveryEnd; n++ {
		host, seal := rng.IntN(len(f.Daemons)), n%2 == 0
		wg.Add(1)
		go func() {
			defer wg.Done()
			sent := time.Since(began)
			pipeline, key := proctest.PipelineSummary, ""
			if seal {
				pipeline, key = proctest.PipelineSeal, proctest.NewKey()
			}
			o := f.Call(host, pipeline, key, "text")
			mu.Lock()
			defer mu.Unlock()
			all = append(all, sample{sent, o})
		}()
		time.Sleep(recoveryRequestInterval)
	}
	wg.Wait()
	return all
}

func reportRecovery(b *testing.B, samples []sample) {
	var during, after, duringOK, afterOK, notRun, mayHaveRun, noResponse float64
	var failures []time.Duration
	for _, s := range samples {
		ok := s.outcome.Answered()
		switch {
		case s.sent < recoveryFaultStart:
		case s.sent < recoveryFaultEnd:
			during++
			duringOK += boolToFloat(ok)
		default:
			after++
			afterOK += boolToFloat(ok)
		}
		if ok {
			continue
		}
		failures = append(failures, s.sent)
		notRun += boolToFloat(s.outcome.Execution == problem.NotRun)
		mayHaveRun += boolToFloat(s.outcome.Execution == problem.MayHaveRun)
		noResponse += boolToFloat(s.outcome.Err != nil)
	}
	b.ReportMetric(100*duringOK/during, "%during")
	b.ReportMetric(100*afterOK/after, "%after")
	b.ReportMetric(recoveryTime(failures).Seconds(), "s-to-recover")
	b.ReportMetric(notRun, "not_run")
	b.ReportMetric(mayHaveRun, "may_have_run")
	b.ReportMetric(noResponse, "unheard")
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// recoveryTime returns the time from the end of the fault to the last failure before
// the first second without failures.
func recoveryTime(failures []time.Duration) time.Duration {
	slices.Sort(failures)
	last := recoveryFaultEnd
	for _, f := range failures {
		if f > last && f-last <= recoveryFailureFree {
			last = f
		}
	}
	return last - recoveryFaultEnd
}
