package slowdown_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/slowdown"
)

// Parameters of the simulated fleets: the exchange as the gateway implements it, and the
// requests of the deployment with uneven machines.
const (
	simStep           = 10 * time.Millisecond
	batchInterval     = 250 * time.Millisecond
	neighbourCount    = 8
	lossProbability   = 0.1
	linkDelay         = 2 * simStep
	observationRate   = 5.7 // observations a second of one replica by all hosts together
	fastInterval      = 600 * time.Millisecond
	fastProbability   = 0.15
	fastFactor        = 2.5
	fractionOfHosts   = 0.95
	engineCount       = 60
	warmUp            = 15 * time.Second
	quietSeconds      = 15
	changesObservedIn = 60 * time.Second
)

type simHost struct {
	table      slowdown.Table
	neighbours []int
	// pending are the replicas whose change has not been sent yet.
	pending      map[string]bool
	batchAt      time.Time
	resendAt     time.Time
	sent, values int
}

type simMessage struct {
	to        int
	baselines []slowdown.Baseline
}

// simFleet exchanges baselines over links that delay messages and lose some.
type simFleet struct {
	rng      *rand.Rand
	now      time.Time
	hosts    []*simHost
	replicas []string
	// machines is the slow-changing component of each replica, fast the other one.
	machines, fast []float64
	fastUntil      []time.Time
	inFlight       map[time.Time][]simMessage
	// changes counts the changes that hosts reported.
	changes int
}

func newSimFleet(seed uint64, hosts int) *simFleet {
	f := &simFleet{rng: rand.New(rand.NewPCG(seed, uint64(hosts))), now: start, inFlight: map[time.Time][]simMessage{}}
	for range hosts {
		phase := time.Duration(f.rng.IntN(int(slowdown.ResendInterval/simStep))) * simStep
		f.hosts = append(f.hosts, &simHost{pending: map[string]bool{}, batchAt: start.Add(phase % batchInterval), resendAt: start.Add(phase)})
	}
	for range neighbourCount { // as on the hash rings of core/member
		ring := f.rng.Perm(hosts)
		for i, h := range ring {
			f.hosts[h].neighbours = append(f.hosts[h].neighbours, ring[(i+1)%hosts])
		}
	}
	for i := range engineCount {
		f.replicas = append(f.replicas, fmt.Sprintf("engine-%02d", i))
		f.machines = append(f.machines, []float64{0.6, 1, 1.6}[i%3])
		f.fast = append(f.fast, 1)
		f.fastUntil = append(f.fastUntil, start.Add(time.Duration(f.rng.IntN(int(fastInterval)))))
	}
	return f
}

// runUntil simulates until a time, or until done reports true.
func (f *simFleet) runUntil(end time.Time, done func() bool) {
	for ; f.now.Before(end) && !done(); f.now = f.now.Add(simStep) {
		for _, m := range f.inFlight[f.now] {
			f.changed(f.hosts[m.to], f.hosts[m.to].table.Merge(f.now, m.baselines))
		}
		delete(f.inFlight, f.now)
		for i := range f.replicas {
			f.observe(i)
		}
		for _, h := range f.hosts {
			f.exchange(h)
		}
	}
}

func (f *simFleet) observe(i int) {
	if f.now.After(f.fastUntil[i]) {
		f.fastUntil[i] = f.now.Add(fastInterval)
		f.fast[i] = 1
		if f.rng.Float64() < fastProbability {
			f.fast[i] = fastFactor
		}
	}
	if f.rng.Float64() < observationRate*simStep.Seconds() {
		h := f.hosts[f.rng.IntN(len(f.hosts))]
		if b, changed := h.table.Observe(f.now, f.replicas[i], f.machines[i]*f.fast[i]); changed {
			f.changed(h, []slowdown.Baseline{b})
		}
	}
}

func (f *simFleet) changed(h *simHost, changed []slowdown.Baseline) {
	for _, b := range changed {
		h.pending[b.Replica] = true
		f.changes++
	}
}

// exchange sends what is due.
func (f *simFleet) exchange(h *simHost) {
	if !f.now.Before(h.batchAt) {
		h.batchAt = h.batchAt.Add(batchInterval)
		var batch []slowdown.Baseline
		for replica := range h.pending {
			b, _ := h.table.Get(replica)
			batch = append(batch, b)
		}
		clear(h.pending)
		f.send(h, batch)
	}
	if !f.now.Before(h.resendAt) {
		f.send(h, h.table.Resend(f.now))
		h.resendAt = h.resendAt.Add(slowdown.ResendInterval)
	}
}

func (f *simFleet) send(h *simHost, baselines []slowdown.Baseline) {
	if len(baselines) == 0 {
		return
	}
	for _, to := range h.neighbours {
		h.sent++
		h.values += len(baselines)
		if f.rng.Float64() >= lossProbability {
			at := f.now.Add(linkDelay)
			f.inFlight[at] = append(f.inFlight[at], simMessage{to, baselines})
		}
	}
}

// knowing is the fraction of hosts whose baseline of a replica is within MinChange of a value.
func (f *simFleet) knowing(replica int, value float64) float64 {
	n := 0
	for _, h := range f.hosts {
		if b, _ := h.table.Get(f.replicas[replica]); b.Slowdown > value*(1-slowdown.MinChange) && b.Slowdown < value*(1+slowdown.MinChange) {
			n++
		}
	}
	return float64(n) / float64(len(f.hosts))
}

// timeUntilKnown changes a machine and returns the time until fractionOfHosts know it.
func (f *simFleet) timeUntilKnown(replica int, machine float64) time.Duration {
	f.machines[replica] = machine
	began := f.now
	f.runUntil(began.Add(changesObservedIn), func() bool { return f.knowing(replica, machine) >= fractionOfHosts })
	return f.now.Sub(began)
}

// timeUntilStartedHostKnows clears the table of a host and returns the time until it knows
// fractionOfHosts of the replicas again.
func (f *simFleet) timeUntilStartedHostKnows() time.Duration {
	h, began := f.hosts[0], f.now
	h.table = slowdown.Table{}
	f.runUntil(began.Add(changesObservedIn), func() bool { return float64(h.table.Len()) >= fractionOfHosts*engineCount })
	return f.now.Sub(began)
}

// totals returns the messages and the baselines that all hosts have sent.
func (f *simFleet) totals() (sent, values int) {
	for _, h := range f.hosts {
		sent += h.sent
		values += h.values
	}
	return sent, values
}

func never() bool { return false }

// Guards against baselines that a fleet learns of late or that differ between hosts when
// messages are lost, and against traffic that follows the fast-changing component.
func TestFleetKnowsChangedMachines(t *testing.T) {
	for _, hosts := range []int{82, 985} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := newSimFleet(1, hosts)
			f.runUntil(start.Add(warmUp), never)
			sent, values := f.totals()
			f.changes = 0
			known := 0.0
			for range quietSeconds {
				f.runUntil(f.now.Add(time.Second), never)
				for i, m := range f.machines {
					known += f.knowing(i, m) / float64(quietSeconds*len(f.machines))
				}
			}
			sentLater, valuesLater := f.totals()
			perHost := func(n int) float64 { return float64(n) / float64(hosts) / quietSeconds }
			changes, messages, baselines := perHost(f.changes), perHost(sentLater-sent), perHost(valuesLater-values)
			faster, slower, started := f.timeUntilKnown(1, 0.6), f.timeUntilKnown(2, 3), f.timeUntilStartedHostKnows()
			t.Logf("%d hosts: known %.4f, wrong changes %.3f/s, messages %.2f/s, baselines %.1f/s, each host; faster machine known after %s, slower after %s; a started host knows after %s",
				hosts, known, changes, messages, baselines, faster, slower, started)
			g.Expect(known).To(BeNumerically(">", 0.99))
			g.Expect(changes).To(BeNumerically("<", 0.05))
			g.Expect(messages).To(BeNumerically("<", 1.2*neighbourCount/slowdown.ResendInterval.Seconds()))
			g.Expect(faster).To(BeNumerically("<", 2*time.Second))
			g.Expect(slower).To(BeNumerically("<", 13*time.Second))
			g.Expect(started).To(BeNumerically("<", 6*time.Second))
		})
	}
}
