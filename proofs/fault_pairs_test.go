package proofs

import (
	"math/rand/v2"
	"os"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/faultrelay"
	"github.com/wheatseam/wheatseam/internal/proctest"
	"github.com/wheatseam/wheatseam/internal/standin"
)

// injectedFault is a fault that a test can begin and end.
type injectedFault struct {
	name       string
	begin, end func(f *proctest.Fleet)
}

var injectedFaults = []injectedFault{
	{"a host is killed and starts again",
		func(f *proctest.Fleet) { f.Daemons[0].Kill() },
		func(f *proctest.Fleet) { Expect(f.StartDaemon(0)).To(Succeed()) }},
	{"a host is suspended and resumed",
		func(f *proctest.Fleet) { Expect(f.Daemons[1].Suspend()).To(Succeed()) },
		func(f *proctest.Fleet) { Expect(f.Daemons[1].Resume()).To(Succeed()) }},
	{"a host is isolated",
		func(f *proctest.Fleet) { f.Isolate(2) },
		func(f *proctest.Fleet) { f.Heal() }},
	{"one direction between two hosts is a blackhole",
		func(f *proctest.Fleet) {
			f.SetLinkConditions(0, 1, faultrelay.Conditions{ToTarget: faultrelay.Direction{Blackhole: true}})
		},
		func(f *proctest.Fleet) { f.SetLinkConditions(0, 1, faultrelay.Conditions{}) }},
	{"the platform is down",
		func(f *proctest.Fleet) { f.Platform.Faults().Set(standin.Faults{Down: true}) },
		func(f *proctest.Fleet) { f.Platform.Faults().Set(standin.Faults{}) }},
	{"upstreams lose answers",
		func(f *proctest.Fleet) { f.SetPoolFaults("signing", standin.Faults{DropResponse: true}) },
		func(f *proctest.Fleet) { f.SetPoolFaults("signing", standin.Faults{}) }},
}

// allPairsEnv is the environment variable that, if not empty, makes the table cover
// all pairs of faults. By default each fault is paired only with the next one, which
// keeps the run short.
const allPairsEnv = "WHEATSEAM_ALL_PAIRS"

func faultPairs() []TableEntry {
	var entries []TableEntry
	add := func(a, b injectedFault) { entries = append(entries, Entry(a.name+", and "+b.name, a, b)) }
	for i, a := range injectedFaults {
		if os.Getenv(allPairsEnv) == "" {
			add(a, injectedFaults[(i+1)%len(injectedFaults)])
			continue
		}
		for _, b := range injectedFaults[i+1:] {
			add(a, b)
		}
	}
	return entries
}

var _ = DescribeTable("Non-repeatable requests run at most once, and not_run is true, while", func(a, b injectedFault) {
	f := startFleet(proctest.Options{})
	stop := make(chan struct{})
	outcomes, load := sendSealsUntil(f, stop)
	for _, step := range []func(*proctest.Fleet){a.begin, b.begin, a.end, b.end} {
		time.Sleep(250 * time.Millisecond)
		step(f)
	}
	Expect(f.WaitReady(15 * time.Second)).To(Succeed())
	close(stop)
	load.Wait()
	Expect(checkOutcomes(f, outcomes)).To(BeNumerically(">", 0))
	Eventually(func() bool {
		return f.Call(0, proctest.PipelineSeal, proctest.NewKey(), "after").Answered()
	}).Should(BeTrue(), "non-repeatable requests are answered after the faults")
}, faultPairs())

// sendSealsUntil runs callers that send non-repeatable requests (PipelineSeal) and
// retry them through other hosts, until stop is closed. The outcomes may be read once
// load is done.
func sendSealsUntil(f *proctest.Fleet, stop <-chan struct{}) (outcomes []map[string][]proctest.Outcome, load *sync.WaitGroup) {
	const callers = 6
	outcomes, load = make([]map[string][]proctest.Outcome, callers), new(sync.WaitGroup)
	for c := range callers {
		outcomes[c] = make(map[string][]proctest.Outcome)
		load.Add(1)
		go func() {
			defer load.Done()
			rng := rand.New(rand.NewPCG(17, uint64(c)))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				key := proctest.NewKey()
				outcomes[c][key] = callUntilAnswered(f, rng, key)
			}
		}()
	}
	return outcomes, load
}
