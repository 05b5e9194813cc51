package intake_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/intake"
)

// refusalFleet simulates hosts before replicas that accept fewer waiting calls from some
// moment on, and fail if they have to refuse too many within a second.
type refusalFleet struct {
	rng      *rand.Rand
	now      time.Time
	hosts    []*intake.Limiters
	own      [][]int // by host and replica, the calls in flight
	replicas []*crowdedReplica
	// slots, queue and refusals are those of each replica; work is how long a call takes.
	slots, queue, refusals int
	work                   time.Duration
	falls, served, refused int
}

type crowdedReplica struct {
	name    string
	running []simCall
	waiting []simCall
	refused []time.Time
	upAt    time.Time
}

type simCall struct {
	host int
	end  time.Time
}

const refusalStep = 5 * time.Millisecond

func newRefusalFleet(c refusalCase, informed bool) *refusalFleet {
	f := &refusalFleet{
		rng: rand.New(rand.NewPCG(3, uint64(c.hosts))), now: time.Unix(1_700_000_000, 0), slots: c.slots, queue: c.queue, refusals: c.refusals, work: c.work,
	}
	var names []string
	for i := range c.hosts {
		names = append(names, fmt.Sprint("host-", i))
	}
	for i := range c.replicas {
		f.replicas = append(f.replicas, &crowdedReplica{name: fmt.Sprint("replica-", i)})
	}
	for _, n := range names {
		l := intake.NewLimiters(time.Time{})
		if informed {
			var limits []intake.ReplicaLimit
			for _, r := range f.replicas {
				limits = append(limits, intake.ReplicaLimit{Replica: r.name, Limit: intake.Limit{Announced: true, PerSecond: float64(c.refusals)}})
			}
			l.SetQuotas(intake.Refusals, intake.NewShares(n, names).RefusalQuotas(limits, func(string) int { return c.slots }, intake.Requester))
		}
		f.hosts = append(f.hosts, l)
		f.own = append(f.own, make([]int, c.replicas))
	}
	return f
}

// run offers calls at a rate, in calls a second of all hosts together.
func (f *refusalFleet) run(d time.Duration, perSecond float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(refusalStep) {
		for i, r := range f.replicas {
			f.advance(i, r)
		}
		for calls := perSecond * refusalStep.Seconds(); calls > 0; calls-- {
			if f.rng.Float64() < calls {
				f.call(f.rng.IntN(len(f.hosts)), map[int]bool{})
			}
		}
	}
}

// advance ends the calls that are done, and begins waiting ones.
func (f *refusalFleet) advance(i int, r *crowdedReplica) {
	var running []simCall
	for _, c := range r.running {
		if c.end.After(f.now) {
			running = append(running, c)
			continue
		}
		f.ended(c.host, i)
		f.served++
	}
	for len(running) < f.slots && len(r.waiting) > 0 {
		running = append(running, simCall{r.waiting[0].host, f.now.Add(f.work)})
		r.waiting = r.waiting[1:]
	}
	r.running = running
}

func (f *refusalFleet) ended(host, replica int) {
	f.own[host][replica]--
	f.hosts[host].Get(f.replicas[replica].name).RecordEnd()
}

// call makes a call at the replica with the fewest calls of its host that may get one, and tries
// again elsewhere if it is refused.
func (f *refusalFleet) call(host int, tried map[int]bool) {
	chosen := -1
	for _, i := range f.rng.Perm(len(f.replicas)) {
		_, blocked := f.hosts[host].Get(f.replicas[i].name).Blocked(f.now)
		if !tried[i] && !blocked && (chosen < 0 || f.own[host][i] < f.own[host][chosen]) {
			chosen = i
		}
		if chosen >= 0 && f.own[host][chosen] == 0 {
			break
		}
	}
	if chosen < 0 || len(tried) > 3 {
		f.refused++
		return
	}
	tried[chosen] = true
	r, limiter := f.replicas[chosen], f.hosts[host].Get(f.replicas[chosen].name)
	limiter.RecordCall(f.now)
	f.own[host][chosen]++
	switch {
	case f.now.Before(r.upAt):
		f.ended(host, chosen)
		f.call(host, tried)
	case len(r.running) < f.slots:
		r.running = append(r.running, simCall{host, f.now.Add(f.work)})
	case len(r.waiting) < f.queue:
		r.waiting = append(r.waiting, simCall{host: host})
	default:
		limiter.RecordRefusal(f.now, true)
		f.ended(host, chosen)
		f.refuse(chosen, r)
		f.call(host, tried)
	}
}

// refuse counts a refusal, and lets the replica fail if there are too many.
func (f *refusalFleet) refuse(i int, r *crowdedReplica) {
	var recent []time.Time
	for _, t := range append(r.refused, f.now) {
		if f.now.Sub(t) < time.Second {
			recent = append(recent, t)
		}
	}
	if r.refused = recent; len(recent) <= f.refusals {
		return
	}
	f.falls++
	for _, c := range append(r.running, r.waiting...) {
		f.ended(c.host, i)
	}
	*r = crowdedReplica{name: r.name, upAt: f.now.Add(4 * time.Second)}
}

type refusalCase struct {
	hosts, replicas, slots, queue, refusals int
	work                                    time.Duration
}

// Guards against replicas that fail because hosts together have more calls refused than the
// replica can take, and whose load then makes the others fail.
func TestReplicasDoNotFailFromRefusals(t *testing.T) {
	for _, c := range []refusalCase{
		{7, 4, 6, 1, 5, 60 * time.Millisecond}, {7, 9, 64, 4, 3, 1500 * time.Millisecond}, {60, 20, 64, 8, 10, 1500 * time.Millisecond},
		{60, 40, 6, 2, 4, 60 * time.Millisecond}, {985, 200, 64, 8, 10, 1500 * time.Millisecond}, {7, 9, 64, 0, 0, 1500 * time.Millisecond},
	} {
		for _, load := range []float64{0.3, 1.4} {
			t.Run(fmt.Sprintf("%+v, load %.1f", c, load), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				perSecond := load * float64(c.replicas*c.slots) / c.work.Seconds()
				uninformed, informed := newRefusalFleet(c, false), newRefusalFleet(c, true)
				uninformed.run(10*time.Second, perSecond)
				informed.run(10*time.Second, perSecond)
				bound := 2 + c.replicas/10
				t.Logf("falls %d without quotas, %d with (bound %d); served %d and %d", uninformed.falls, informed.falls, bound, uninformed.served, informed.served)
				g.Expect(informed.falls).To(BeNumerically("<=", bound))
				if load > 1 {
					g.Expect(uninformed.falls).To(BeNumerically(">", bound), "the load does not make replicas fail")
					g.Expect(informed.served).To(BeNumerically(">", uninformed.served))
				}
			})
		}
	}
}

// Guards against quotas whose sum is more than the slots and a part of the refusals.
func TestRefusalQuotasAddUp(t *testing.T) {
	g := NewWithT(t)
	for _, hosts := range []int{1, 6, 60, 985} {
		var names []string
		for i := range hosts {
			names = append(names, fmt.Sprint("host-", i))
		}
		for _, perSecond := range []float64{0, 3, 10, 90, 1e18} {
			var limits []intake.ReplicaLimit
			for i := range 20 {
				limits = append(limits, intake.ReplicaLimit{Replica: fmt.Sprint("r", i), Limit: intake.Limit{Announced: true, PerSecond: perSecond}})
			}
			calls := map[string]int{}
			for _, n := range names {
				own := 0
				for r, q := range intake.NewShares(n, names).RefusalQuotas(limits, func(string) int { return 64 }, intake.Requester) {
					calls[r] += q.InFlight.Calls
					own += q.InFlight.Calls
				}
				g.Expect(own).To(BeNumerically(">=", 1), "%s has no quota at all", n)
			}
			for r, n := range calls {
				// A host without a part of any replica has one call in flight at one of them.
				g.Expect(n).To(BeNumerically("<=", 64+hosts/20+int(min(perSecond/3, float64(hosts*intake.MaxTrackedCalls)))), "%d hosts, %s", hosts, r)
			}
		}
	}
}

func TestLimiterOfCallsInFlight(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	ls := intake.NewLimiters(time.Time{})
	l := ls.Get("r")
	blocked := func() bool { _, b := l.Blocked(now); return b }
	l.RecordCall(now)
	ls.SetQuotas(intake.Refusals, map[string]intake.Quota{"r": {InFlight: &intake.InFlightQuota{Calls: 3, Refusals: 2, Window: time.Second}}})
	g.Expect(blocked()).To(BeFalse(), "calls that began before the quota count")
	l.RecordCall(now)
	l.RecordCall(now)
	source, b := l.Blocked(now)
	g.Expect(b).To(BeTrue())
	g.Expect(source).To(Equal(intake.Refusals))
	g.Expect(l.NextAllowed(now).Sub(now)).To(BeNumerically("<=", 100*time.Millisecond))
	_, bounded := l.Rate(now)
	g.Expect(bounded).To(BeFalse())

	l.RecordRefusal(now, true)
	l.RecordEnd()
	g.Expect(blocked()).To(BeTrue(), "as many are in flight as beside the refused call")
	now = now.Add(250 * time.Millisecond)
	g.Expect(blocked()).To(BeFalse())
	l.RecordCall(now)
	l.RecordRefusal(now, true)
	l.RecordEnd()
	l.RecordEnd()
	l.RecordEnd()
	g.Expect(blocked()).To(BeTrue(), "two refusals within a second")
	g.Expect(l.NextAllowed(now).Sub(now)).To(Equal(750 * time.Millisecond))
	now = now.Add(750 * time.Millisecond)
	g.Expect(blocked()).To(BeFalse())
	ls.SetQuotas(intake.Refusals, nil)
	g.Expect(l.HasQuota()).To(BeFalse())
}
