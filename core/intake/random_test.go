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
	fleetNoticeTime = 3 * time.Second
	hostNoticeTime  = 500 * time.Millisecond
	// judged is the window in which a replica may get so much more than it named, and
	// so many requests.
	checkWindow   = 4 * time.Second
	allowedFactor = 1.5
	allowedExtra  = 5
	simStep       = 10 * time.Millisecond
	// bounding is the interval at which hosts work their parts out.
	quotaInterval = 250 * time.Millisecond
	// draining is how long a host that was told may still send to a replica that leaves.
	leavingNoticeTime = 2 * time.Second
	// mostRest bounds a rest, and restAllowed the requests that may reach a replica in one.
	maxRest           = 4 * time.Second
	allowedDuringRest = 2
	// repeating is the interval at which hosts tell again what they have heard.
	repeatInterval = 3 * time.Second
)

// simHost is one host of a simulated fleet.
type simHost struct {
	name       string
	knownHosts []string
	// starts is when the host has its part of the work.
	startsAt time.Time
	account  intake.Account
	gates    *intake.Gates
	gate     *intake.Gate
	// told is when the host first had an answer that names a limit, and toldLeaving one
	// that says that the replica leaves.
	limitHeardAt, leavingHeardAt time.Time
	leavers                      intake.Leavers
	rests                        intake.Rests
	// asked are when the replica asked the host for rest, and until when.
	requestedRests []intake.Rest
	// keeps says that the host goes by limits at all.
	appliesQuotas bool
	// neighbours are told what is news; cut is until when calls with the host fail.
	neighbours       []*simHost
	partitionedUntil time.Time
	lastRepeat       time.Time
}

// bound works the host's part out.
func (h *simHost) updateQuotas() {
	parts := map[string]intake.Part{}
	for _, l := range h.account.Limits() {
		parts[l.Replica] = intake.NewShares(h.name, h.knownHosts).OfLimit(l, intake.Requester)
	}
	leaving, resting := map[string]intake.Part{}, map[string]intake.Part{}
	for _, l := range h.leavers.All() {
		leaving[l.Replica] = intake.Part{}
	}
	for _, r := range h.rests.All() {
		resting[r.Replica] = intake.Part{Until: r.Until}
	}
	if h.appliesQuotas {
		h.gates.SetParts(intake.Named, parts)
		h.gates.SetParts(intake.Leaving, leaving)
		h.gates.SetParts(intake.Resting, resting)
	}
}

// simAnswer is an answer on its way.
type simAnswer struct {
	at   time.Time
	host *simHost
	intake.Answer
}

// simCall tells a host of what another one knows.
type simPeerCall struct {
	at   time.Time
	to   *simHost
	from *simHost
	// ages are those of the words when they were told.
	limits  []intake.Limited
	leavers []intake.Leaver
	sent    time.Time
}

// simFleet is a fleet with one replica.
type simFleet struct {
	// spreads says that hosts tell each other what they hear.
	gossips   bool
	peerCalls []simPeerCall
	// told counts all calls.
	peerCallCount   int
	rng             *rand.Rand
	now             time.Time
	hosts           []*simHost
	requestInterval time.Duration
	answers         []simAnswer
	// limit is what the replica names; under 0 for none.
	limit        float64
	limitHeardAt time.Time
	// leaving says that it leaves, rest for how long it asks hosts that it turns away, half
	// of those that ask.
	leaving bool
	rest    time.Duration
	// arrived has, of each arrival, when it came and from whom.
	arrivals []simArrival
}

type simArrival struct {
	at   time.Time
	host *simHost
}

// newSimFleet returns a fleet of which some hosts start while it runs, and some know dead
// hosts, or not yet those that have started.
func newSimFleet(seed uint64, n int, every time.Duration) *simFleet {
	f := &simFleet{rng: rand.New(rand.NewPCG(seed, 11)), now: start, requestInterval: every, limit: -1}
	all := hostNames(n + n/2)
	living, dead, late := all[:n], all[n:], f.rng.IntN(4)
	for i, name := range living {
		h := &simHost{name: name, gates: intake.NewGates(), knownHosts: slices.Clone(living), appliesQuotas: true, startsAt: start}
		if i >= n-late {
			h.startsAt = start.Add(time.Duration(f.rng.IntN(15)) * time.Second)
		} else if f.rng.IntN(3) == 0 {
			h.knownHosts = h.knownHosts[:n-late]
		}
		for _, d := range dead {
			if f.rng.IntN(4) == 0 {
				h.knownHosts = append(h.knownHosts, d)
			}
		}
		h.gate = h.gates.Of(replica)
		f.hosts = append(f.hosts, h)
	}
	for i, h := range f.hosts {
		for k := 1; k < n && len(h.neighbours) < 8; k *= 3 {
			h.neighbours = append(h.neighbours, f.hosts[(i+k)%n], f.hosts[(i+n-k)%n])
		}
	}
	return f
}

// tell has a host tell its neighbours but one.
func (f *simFleet) broadcastLimits(h, except *simHost, limits []intake.Limited) {
	if !f.gossips {
		return
	}
	for _, to := range h.neighbours {
		if to != except {
			f.sendLimits(h, to, limits)
		}
	}
}

// call has a host tell another one.
func (f *simFleet) sendLimits(from, to *simHost, limits []intake.Limited) {
	if len(limits) > 0 && !f.now.Before(from.partitionedUntil) && !f.now.Before(to.partitionedUntil) && !f.now.Before(to.startsAt) {
		f.peerCallCount++
		f.peerCalls = append(f.peerCalls, simPeerCall{at: f.peerCallArrival(), to: to, from: from, limits: limits, sent: f.now})
	}
}

// arrival is when a call between hosts that is made now arrives.
func (f *simFleet) peerCallArrival() time.Time {
	return f.now.Add(time.Duration(2+f.rng.IntN(200)) * time.Millisecond)
}

// tellLeavers has a host tell its neighbours but one that a replica leaves.
func (f *simFleet) broadcastLeavers(h, except *simHost, leavers []intake.Leaver) {
	for _, to := range h.neighbours {
		if f.gossips && to != except && !f.now.Before(h.partitionedUntil) && !f.now.Before(to.partitionedUntil) {
			f.peerCalls = append(f.peerCalls, simPeerCall{at: f.peerCallArrival(), to: to, from: h, leavers: leavers, sent: f.now})
		}
	}
}

// learn brings the calls that are there. What they told is as old as it was when they were
// sent, as far as the receiver knows.
func (f *simFleet) deliverPeerCalls() {
	due := f.peerCalls
	f.peerCalls = nil
	for _, c := range due {
		if f.now.Before(c.at) {
			f.peerCalls = append(f.peerCalls, c)
			continue
		}
		delay := f.now.Sub(c.sent)
		var limits []intake.Limited
		for _, l := range c.limits {
			l.At, l.Since = l.At.Add(delay), l.Since.Add(delay)
			limits = append(limits, l)
		}
		changed, newer := c.to.account.Learn(f.now, limits)
		if len(changed) > 0 {
			c.to.updateQuotas()
			f.broadcastLimits(c.to, c.from, changed)
		}
		f.sendLimits(c.to, c.from, newer)
		if news := c.to.leavers.Learn(f.now, slices.Clone(c.leavers)); len(news) > 0 {
			c.to.updateQuotas()
			f.broadcastLeavers(c.to, c.from, news)
		}
	}
}

// repeat has a host tell what it heard since it last did.
func (f *simFleet) repeatLimits(h *simHost) {
	if f.now.Sub(h.lastRepeat) >= repeatInterval {
		f.broadcastLimits(h, nil, h.account.News(h.lastRepeat))
		h.lastRepeat = f.now
	}
}

// run lets time pass.
func (f *simFleet) advance(duration time.Duration) {
	for until := f.now.Add(duration); f.now.Before(until); f.now = f.now.Add(simStep) {
		f.deliverAnswers()
		f.deliverPeerCalls()
		for _, h := range f.hosts {
			if f.now.Sub(start)%quotaInterval == 0 {
				h.account.Forget(f.now, func(string) bool { return true })
				h.rests.End(f.now)
				h.updateQuotas()
				f.repeatLimits(h)
			}
			if f.now.Before(h.startsAt) || f.rng.Float64() >= float64(simStep)/float64(f.requestInterval) {
				continue
			}
			if _, refuses := h.gate.Refuses(f.now); !refuses {
				f.sendRequest(h)
			}
		}
	}
}

// send has a request arrive, and its answer be on its way; one in ten is refused without
// a word of the limit.
func (f *simFleet) sendRequest(h *simHost) {
	h.gate.Begin(f.now)
	arrives := f.now.Add(time.Duration(f.rng.IntN(50)) * time.Millisecond)
	f.arrivals = append(f.arrivals, simArrival{arrives, h})
	a := intake.Answer{Replica: replica, Sent: f.now, Served: f.rng.IntN(10) > 0}
	if f.limit >= 0 && a.Served {
		a.Notice.Limit = intake.Limit{Named: true, PerSecond: f.limit}
	}
	a.Notice.Leaving = f.leaving
	if f.rest > 0 && f.rng.IntN(2) == 0 {
		a.Served, a.Notice.Rest = false, f.rest
	}
	f.answers = append(f.answers, simAnswer{arrives.Add(time.Duration(10+f.rng.IntN(400)) * time.Millisecond), h, a})
}

// deliver brings the answers that are there.
func (f *simFleet) deliverAnswers() {
	f.answers = slices.DeleteFunc(f.answers, func(a simAnswer) bool {
		if f.now.Before(a.at) {
			return false
		}
		if l, changed := a.host.account.Hear(f.now, a.Answer); changed {
			a.host.updateQuotas()
			f.broadcastLimits(a.host, nil, []intake.Limited{l})
		}
		if l, first := a.host.leavers.Hear(f.now, a.Answer); first {
			a.host.leavingHeardAt = f.now
			a.host.updateQuotas()
			f.broadcastLeavers(a.host, nil, []intake.Leaver{l})
		}
		if r, _, changed := a.host.rests.Hear(f.now, a.Answer, maxRest); changed {
			a.host.requestedRests = append(a.host.requestedRests, intake.Rest{Since: f.now, Until: r.Until})
			a.host.updateQuotas()
		}
		if a.Notice.Limit.Named && a.host.limitHeardAt.IsZero() {
			a.host.limitHeardAt = f.now
			if f.limitHeardAt.IsZero() {
				f.limitHeardAt = f.now
			}
		}
		return true
	})
}

// mostJudged is the largest number of requests in a window from hosts that had been told
// before.
func (f *simFleet) maxRequestsAfterNotice() int {
	arrived := slices.Clone(f.arrivals)
	slices.SortFunc(arrived, func(a, b simArrival) int { return a.at.Compare(b.at) })
	var counted []time.Time
	for _, a := range arrived {
		if !a.host.limitHeardAt.IsZero() && a.at.Sub(a.host.limitHeardAt) >= hostNoticeTime && !f.limitHeardAt.IsZero() && a.at.Sub(f.limitHeardAt) >= fleetNoticeTime {
			counted = append(counted, a.at)
		}
	}
	return maxInWindow(counted, checkWindow)
}

// allowedOf is the number of requests that a limit allows in a window.
func allowedRequests(limit float64) int {
	return int(allowedFactor*limit*checkWindow.Seconds()) + allowedExtra
}

// seeds is the number of schedules that are played for a fleet of a size.
func seedCount(hosts int) uint64 { return uint64(max(1, 120/hosts)) }

// TestLimitHoldsOverHostsThatBelieveDifferentThings has hosts hear a limit by their own
// answers alone, at different times, while they know different fleets.
func TestLimitHoldsUnderDifferentHostLists(t *testing.T) {
	for _, n := range []int{6, 60, 300} {
		for _, limit := range []float64{0, 0.1, 0.5, 1, 2.5, 20} {
			t.Run(fmt.Sprintf("%d hosts, %v a second", n, limit), func(t *testing.T) {
				t.Parallel()
				for seed := range seedCount(n) {
					f := newSimFleet(seed, n, 400*time.Millisecond)
					f.advance(time.Second)
					f.limit = limit
					f.advance(20 * time.Second)
					NewWithT(t).Expect(f.maxRequestsAfterNotice()).To(BeNumerically("<=", allowedRequests(limit)), "seed %d", seed)
				}
			})
		}
	}
}

// TestWaysToKeepALimit compares hosts that don't go by limits with those that do; it
// prints the most requests in a window, of those that are allowed.
func TestQuotasKeepALimitThatIsExceededWithoutThem(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{6, 60, 300} {
		var most [2]int
		for i, appliesQuotas := range []bool{false, true} {
			f := newSimFleet(7, n, 400*time.Millisecond)
			for _, h := range f.hosts {
				h.appliesQuotas = appliesQuotas
			}
			f.limit = 1
			f.advance(20 * time.Second)
			most[i] = f.maxRequestsAfterNotice()
		}
		t.Logf("%d hosts: %d as before, %d by parts, %d allowed", n, most[0], most[1], allowedRequests(1))
		g.Expect(most[0]).To(BeNumerically(">", allowedRequests(1)))
		g.Expect(most[1]).To(BeNumerically("<=", allowedRequests(1)))
	}
}

// mostOf is the largest number of requests in a window from all hosts, from a moment on.
func (f *simFleet) maxRequestsFrom(from time.Time) int {
	var times []time.Time
	for _, a := range f.arrivals {
		if !a.at.Before(from) {
			times = append(times, a.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return maxInWindow(times, checkWindow)
}

// knowing counts the hosts that work and know a limit.
func (f *simFleet) hostsWithLimit() (n int) {
	for _, h := range f.hosts {
		if len(h.account.Limits()) > 0 {
			n++
		}
	}
	return n
}

// comesBack is how long it may take until a limit that was lifted is known to be: the next
// call that may begin, or the one after it, as one in ten is refused without a word.
func maxLiftTime(limit float64) time.Duration {
	if limit == 0 {
		return 32 * time.Second
	}
	return 2*max(checkWindow, time.Duration(float64(time.Second)/limit)) + 2*time.Second
}

// TestLimitIsKnownToAllHostsAndItsEndToo has hosts tell each other: from the bound on all
// requests count, also those of hosts that had no answer, and all come back when the limit
// is lifted. Some hosts are cut off from the others for seconds meanwhile.
func TestLimitAndItsEndReachAllHosts(t *testing.T) {
	for _, n := range []int{6, 60, 300} {
		for _, limit := range []float64{0, 0.5, 1, 2.5, 20} {
			t.Run(fmt.Sprintf("%d hosts, %v a second", n, limit), func(t *testing.T) {
				t.Parallel()
				for seed := range seedCount(n) {
					g := NewWithT(t)
					f := newSimFleet(seed, n, 400*time.Millisecond)
					f.gossips = true
					f.advance(20 * time.Second) // all have started
					f.limit = limit
					f.advance(2 * time.Second)
					partitioned := f.hosts[f.rng.IntN(n)]
					partitioned.partitionedUntil = f.now.Add(3 * time.Second)
					f.advance(13 * time.Second)
					g.Expect(f.limitHeardAt).NotTo(BeZero())
					g.Expect(f.maxRequestsFrom(f.limitHeardAt.Add(fleetNoticeTime))).To(BeNumerically("<=", allowedRequests(limit)), "seed %d", seed)
					g.Expect(f.maxRequestsAfterNotice()).To(BeNumerically("<=", allowedRequests(limit)), "seed %d", seed)
					g.Expect(f.hostsWithLimit()).To(Equal(n), "seed %d", seed)
					f.limit = -1
					f.advance(maxLiftTime(limit))
					g.Expect(f.hostsWithLimit()).To(BeZero(), "seed %d", seed)
				}
			})
		}
	}
}

// BenchmarkTelling has one host hear a limit, and reports the calls between hosts that it
// takes until all know it, and how long that takes, in a fleet without other work.
func BenchmarkLimitPropagation(b *testing.B) {
	for _, n := range []int{6, 300, 3020} {
		b.Run(fmt.Sprint("hosts-", n), func(b *testing.B) {
			calls, took := 0, time.Duration(0)
			for i := range b.N {
				f := newSimFleet(uint64(i), n, time.Hour)
				f.gossips = true
				for _, h := range f.hosts {
					h.startsAt = start
				}
				l, _ := f.hosts[0].account.Hear(f.now, intake.Answer{Replica: replica, Notice: intake.Notice{Limit: intake.Limit{Named: true, PerSecond: 1}}})
				f.broadcastLimits(f.hosts[0], nil, []intake.Limited{l})
				for f.hostsWithLimit() < n {
					f.advance(simStep)
				}
				took += f.now.Sub(start)
				calls += f.peerCallCount
			}
			b.ReportMetric(float64(calls)/float64(b.N*n), "calls/host")
			b.ReportMetric(took.Seconds()/float64(b.N), "s")
		})
	}
}

// TestReplicaThatLeavesGetsNothingOfHostsThatWereTold has each host go by its own answers and
// what fellows tell it; a part of them is cut off from the others.
func TestNotifiedHostsSendNothingToALeavingReplica(t *testing.T) {
	for _, n := range []int{6, 60, 300} {
		t.Run(fmt.Sprint(n, " hosts"), func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(n) {
				g := NewWithT(t)
				f := newSimFleet(seed, n, 400*time.Millisecond)
				f.gossips = seed%2 == 0
				f.advance(2 * time.Second)
				for range n / 4 {
					f.hosts[f.rng.IntN(n)].partitionedUntil = f.now.Add(4 * time.Second)
				}
				f.leaving = true
				f.advance(20 * time.Second)
				for _, a := range f.arrivals {
					if heardAt := a.host.leavingHeardAt; !heardAt.IsZero() {
						g.Expect(a.at.Sub(heardAt)).To(BeNumerically("<=", leavingNoticeTime), "seed %d", seed)
					}
				}
			}
		})
	}
}

// TestReplicaThatAsksForRestIsLeftAloneByThatHost has the replica turn away half of what
// comes; hosts that it has not asked go on.
func TestHostRespectsRequestedRest(t *testing.T) {
	for _, n := range []int{6, 60, 300} {
		for _, rest := range []time.Duration{300 * time.Millisecond, 3 * time.Second, time.Hour} {
			t.Run(fmt.Sprintf("%d hosts, %s", n, rest), func(t *testing.T) {
				t.Parallel()
				f := newSimFleet(5, n, 100*time.Millisecond)
				f.rest = rest
				f.advance(15 * time.Second)
				rests := 0
				for _, h := range f.hosts {
					rests += len(h.requestedRests)
					for _, r := range h.requestedRests {
						during := 0
						for _, a := range f.arrivals {
							if a.host == h && !a.at.Before(r.Since.Add(hostNoticeTime)) && a.at.Before(r.Until) {
								during++
							}
						}
						NewWithT(t).Expect(during).To(BeNumerically("<=", allowedDuringRest))
					}
				}
				NewWithT(t).Expect(rests).To(BeNumerically(">=", 2*n), "hosts ask again when a rest is over")
			})
		}
	}
}
