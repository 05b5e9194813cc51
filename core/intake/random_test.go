package intake_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/intake"
)

const (
	replica = "r"
	// learning is how long hosts have from the first answer that names a limit, and
	// passing how long one host has from its own.
	learning = 3 * time.Second
	passing  = 500 * time.Millisecond
	// judged is the window in which a replica may get so much more than it named, and
	// so many requests.
	judged   = 4 * time.Second
	overage  = 1.5
	overplus = 5
	step     = 10 * time.Millisecond
	// bounding is the interval at which hosts work their parts out.
	bounding = 250 * time.Millisecond
)

// simHost is one host of a simulated fleet.
type simHost struct {
	name  string
	knows []string
	// starts is when the host has its part of the work.
	starts  time.Time
	account intake.Account
	gates   *intake.Gates
	gate    *intake.Gate
	// told is when the host first had an answer that names a limit.
	told time.Time
	// keeps says that the host goes by limits at all.
	keeps bool
}

// bound works the host's part out.
func (h *simHost) bound() {
	parts := map[string]intake.Part{}
	for _, l := range h.account.Limits() {
		parts[l.Replica] = intake.NewShares(h.name, h.knows).OfLimit(l, intake.Requester)
	}
	if h.keeps {
		h.gates.Bound(intake.Named, parts)
	}
}

// simAnswer is an answer on its way.
type simAnswer struct {
	at   time.Time
	host *simHost
	intake.Answer
}

// simFleet is a fleet with one replica.
type simFleet struct {
	rng     *rand.Rand
	now     time.Time
	hosts   []*simHost
	every   time.Duration
	answers []simAnswer
	// limit is what the replica names; under 0 for none.
	limit float64
	named time.Time
	// arrived has, of each arrival, when it came and from whom.
	arrived []simArrival
}

type simArrival struct {
	at   time.Time
	host *simHost
}

// newSimFleet returns a fleet of which some hosts start while it runs, and some know dead
// hosts, or not yet those that have started.
func newSimFleet(seed uint64, n int, every time.Duration) *simFleet {
	f := &simFleet{rng: rand.New(rand.NewPCG(seed, 11)), now: start, every: every, limit: -1}
	all := hostNames(n + n/2)
	living, dead, late := all[:n], all[n:], f.rng.IntN(4)
	for i, name := range living {
		h := &simHost{name: name, gates: intake.NewGates(), knows: slices.Clone(living), keeps: true, starts: start}
		if i >= n-late {
			h.starts = start.Add(time.Duration(f.rng.IntN(15)) * time.Second)
		} else if f.rng.IntN(3) == 0 {
			h.knows = h.knows[:n-late]
		}
		for _, d := range dead {
			if f.rng.IntN(4) == 0 {
				h.knows = append(h.knows, d)
			}
		}
		h.gate = h.gates.Of(replica)
		f.hosts = append(f.hosts, h)
	}
	return f
}

// run lets time pass.
func (f *simFleet) run(during time.Duration) {
	for until := f.now.Add(during); f.now.Before(until); f.now = f.now.Add(step) {
		f.deliver()
		for _, h := range f.hosts {
			if f.now.Sub(start)%bounding == 0 {
				h.bound()
			}
			if f.now.Before(h.starts) || f.rng.Float64() >= float64(step)/float64(f.every) {
				continue
			}
			if _, refuses := h.gate.Refuses(f.now); !refuses {
				f.send(h)
			}
		}
	}
}

// send has a request arrive, and its answer be on its way; one in ten is refused without
// a word of the limit.
func (f *simFleet) send(h *simHost) {
	h.gate.Begin(f.now)
	arrives := f.now.Add(time.Duration(f.rng.IntN(50)) * time.Millisecond)
	f.arrived = append(f.arrived, simArrival{arrives, h})
	a := intake.Answer{Replica: replica, Sent: f.now, Served: f.rng.IntN(10) > 0}
	if f.limit >= 0 && a.Served {
		a.Notice.Limit = intake.Limit{Named: true, PerSecond: f.limit}
	}
	f.answers = append(f.answers, simAnswer{arrives.Add(time.Duration(10+f.rng.IntN(400)) * time.Millisecond), h, a})
}

// deliver brings the answers that are there.
func (f *simFleet) deliver() {
	f.answers = slices.DeleteFunc(f.answers, func(a simAnswer) bool {
		if f.now.Before(a.at) {
			return false
		}
		if _, changed := a.host.account.Hear(f.now, a.Answer); changed {
			a.host.bound()
		}
		if a.Notice.Limit.Named && a.host.told.IsZero() {
			a.host.told = f.now
			if f.named.IsZero() {
				f.named = f.now
			}
		}
		return true
	})
}

// mostJudged is the largest number of requests in a window from hosts that had been told
// before.
func (f *simFleet) mostJudged() int {
	arrived := slices.Clone(f.arrived)
	slices.SortFunc(arrived, func(a, b simArrival) int { return a.at.Compare(b.at) })
	var counted []time.Time
	for _, a := range arrived {
		if !a.host.told.IsZero() && a.at.Sub(a.host.told) >= passing && !f.named.IsZero() && a.at.Sub(f.named) >= learning {
			counted = append(counted, a.at)
		}
	}
	return mostWithin(counted, judged)
}

// allowedOf is the number of requests that a limit allows in a window.
func allowedOf(limit float64) int { return int(overage*limit*judged.Seconds()) + overplus }

// seeds is the number of schedules that are played for a fleet of a size.
func seeds(hosts int) uint64 { return uint64(max(1, 120/hosts)) }

// TestLimitHoldsOverHostsThatBelieveDifferentThings has hosts hear a limit by their own
// answers alone, at different times, while they know different fleets.
func TestLimitHoldsOverHostsThatBelieveDifferentThings(t *testing.T) {
	for _, n := range []int{6, 60, 300} {
		for _, limit := range []float64{0, 0.1, 0.5, 1, 2.5, 20} {
			t.Run(fmt.Sprintf("%d hosts, %v a second", n, limit), func(t *testing.T) {
				t.Parallel()
				for seed := range seeds(n) {
					f := newSimFleet(seed, n, 400*time.Millisecond)
					f.run(time.Second)
					f.limit = limit
					f.run(20 * time.Second)
					NewWithT(t).Expect(f.mostJudged()).To(BeNumerically("<=", allowedOf(limit)), "seed %d", seed)
				}
			})
		}
	}
}

// TestWaysToKeepALimit compares hosts that don't go by limits with those that do; it
// prints the most requests in a window, of those that are allowed.
func TestWaysToKeepALimit(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{6, 60, 300} {
		var most [2]int
		for i, keeps := range []bool{false, true} {
			f := newSimFleet(7, n, 400*time.Millisecond)
			for _, h := range f.hosts {
				h.keeps = keeps
			}
			f.limit = 1
			f.run(20 * time.Second)
			most[i] = f.mostJudged()
		}
		t.Logf("%d hosts: %d as before, %d by parts, %d allowed", n, most[0], most[1], allowedOf(1))
		g.Expect(most[0]).To(BeNumerically(">", allowedOf(1)))
		g.Expect(most[1]).To(BeNumerically("<=", allowedOf(1)))
	}
}
