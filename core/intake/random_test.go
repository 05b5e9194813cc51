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
	// fleetNoticeTime is the time after the first response that announces a limit, and
	// hostNoticeTime the time after a host's own first one, from which the limit is
	// enforced.
	fleetNoticeTime = 3 * time.Second
	hostNoticeTime  = 500 * time.Millisecond
	// checkWindow is the window in which a replica may get at most allowedFactor times its
	// limit, plus allowedExtra requests.
	checkWindow   = 4 * time.Second
	allowedFactor = 1.5
	allowedExtra  = 5
	simStep       = 10 * time.Millisecond
	// quotaInterval is the interval at which hosts recompute their quotas.
	quotaInterval = 250 * time.Millisecond
	// leavingNoticeTime is how long a host that was notified may still send to a replica
	// that is leaving.
	leavingNoticeTime = 2 * time.Second
	// maxBackoff is the maximum duration of a backoff, and allowedDuringBackoff the number
	// of requests that may reach the replica during one.
	maxBackoff           = 4 * time.Second
	allowedDuringBackoff = 2
	// repeatInterval is the interval at which hosts send recent observations to their peers
	// again.
	repeatInterval = 3 * time.Second
)

// simHost is one host of a simulated fleet.
type simHost struct {
	name       string
	knownHosts []string
	// startsAt is when the host begins to send requests.
	startsAt time.Time
	// idle says that the host sends no requests.
	idle       bool
	limitTable intake.LimitTable
	limiters   *intake.Limiters
	limiter    *intake.Limiter
	// limitObservedAt is when the host first got a response that announces a limit, and
	// leavingObservedAt when it first got one that announces that the replica is leaving.
	limitObservedAt, leavingObservedAt time.Time
	leavingReplicas                    intake.LeavingReplicas
	backoffs                           intake.Backoffs
	// requestedBackoffs are the backoffs that the replica asked this host for.
	requestedBackoffs []intake.Backoff
	// appliesQuotas says that the host applies its quotas.
	appliesQuotas bool
	// neighbours are the peers to which the host sends new observations; calls with the
	// host fail until partitionedUntil.
	neighbours       []*simHost
	partitionedUntil time.Time
	lastRepeat       time.Time
}

// updateQuotas recomputes the host's quotas.
func (h *simHost) updateQuotas() {
	quotas := map[string]intake.Quota{}
	for _, l := range h.limitTable.Limits() {
		quotas[l.Replica] = intake.NewShares(h.name, h.knownHosts).LimitQuota(l, intake.Requester)
	}
	leaving, backingOff := map[string]intake.Quota{}, map[string]intake.Quota{}
	for _, l := range h.leavingReplicas.All() {
		leaving[l.Replica] = intake.Quota{}
	}
	for _, r := range h.backoffs.All() {
		backingOff[r.Replica] = intake.Quota{BlockedUntil: r.Until}
	}
	if h.appliesQuotas {
		h.limiters.SetQuotas(intake.AnnouncedLimit, quotas)
		h.limiters.SetQuotas(intake.Leaving, leaving)
		h.limiters.SetQuotas(intake.BackingOff, backingOff)
	}
}

// simResponse is a response in transit.
type simResponse struct {
	at   time.Time
	host *simHost
	intake.ReplicaResponse
}

// simPeerCall is a message with one host's observations to another host.
type simPeerCall struct {
	at   time.Time
	to   *simHost
	from *simHost
	// The times in limits and leavingReplicas are those of the observation at the sender.
	limits          []intake.ReplicaLimit
	leavingReplicas []intake.LeavingReplica
	sent            time.Time
}

// simFleet is a simulated fleet with one replica.
type simFleet struct {
	// gossips says that hosts send their observations to each other.
	gossips   bool
	peerCalls []simPeerCall
	// peerCallCount counts all calls that carry limits.
	peerCallCount   int
	rng             *rand.Rand
	now             time.Time
	hosts           []*simHost
	requestInterval time.Duration
	responses       []simResponse
	// limit is the limit that the replica announces; negative for none.
	limit           float64
	limitObservedAt time.Time
	// leaving says that the replica is leaving. backoff is the duration of the backoff that
	// it asks for as it refuses requests, which it does with half of them.
	leaving bool
	backoff time.Duration
	// arrivals holds the time and the sender of each request that reached the replica.
	arrivals []simArrival
}

type simArrival struct {
	at   time.Time
	host *simHost
}

// newSimFleet returns a fleet in which some hosts start during the simulation, some list
// dead hosts, and some do not list yet those that start late.
func newSimFleet(seed uint64, n int, requestInterval time.Duration) *simFleet {
	f := &simFleet{rng: rand.New(rand.NewPCG(seed, 11)), now: start, requestInterval: requestInterval, limit: -1}
	all := hostNames(n + n/2)
	living, dead, late := all[:n], all[n:], f.rng.IntN(4)
	for i, name := range living {
		h := &simHost{name: name, limiters: intake.NewLimiters(time.Time{}), knownHosts: slices.Clone(living), appliesQuotas: true, startsAt: start}
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
		h.limiter = h.limiters.Get(replica)
		f.hosts = append(f.hosts, h)
	}
	for i, h := range f.hosts {
		for k := 1; k < n && len(h.neighbours) < 8; k *= 3 {
			h.neighbours = append(h.neighbours, f.hosts[(i+k)%n], f.hosts[(i+n-k)%n])
		}
	}
	return f
}

// broadcastLimits sends limits to all neighbours of a host except one.
func (f *simFleet) broadcastLimits(h, except *simHost, limits []intake.ReplicaLimit) {
	if !f.gossips {
		return
	}
	for _, to := range h.neighbours {
		if to != except {
			f.sendLimits(h, to, limits)
		}
	}
}

// sendLimits sends limits from one host to another.
func (f *simFleet) sendLimits(from, to *simHost, limits []intake.ReplicaLimit) {
	if len(limits) > 0 && !f.now.Before(from.partitionedUntil) && !f.now.Before(to.partitionedUntil) && !f.now.Before(to.startsAt) {
		f.peerCallCount++
		f.peerCalls = append(f.peerCalls, simPeerCall{at: f.peerCallArrival(), to: to, from: from, limits: limits, sent: f.now})
	}
}

// peerCallArrival returns when a call between hosts that is made now arrives.
func (f *simFleet) peerCallArrival() time.Time {
	return f.now.Add(time.Duration(2+f.rng.IntN(200)) * time.Millisecond)
}

// broadcastLeaving sends leaving replicas to all neighbours of a host except one.
func (f *simFleet) broadcastLeaving(h, except *simHost, leaving []intake.LeavingReplica) {
	for _, to := range h.neighbours {
		if f.gossips && to != except && !f.now.Before(h.partitionedUntil) && !f.now.Before(to.partitionedUntil) {
			f.peerCalls = append(f.peerCalls, simPeerCall{at: f.peerCallArrival(), to: to, from: h, leavingReplicas: leaving, sent: f.now})
		}
	}
}

// deliverPeerCalls delivers the peer calls that are due. The times they contain are moved
// by the delay of the call, since the receiver knows only how old the observations were
// when they were sent.
func (f *simFleet) deliverPeerCalls() {
	due := f.peerCalls
	f.peerCalls = nil
	for _, c := range due {
		if f.now.Before(c.at) {
			f.peerCalls = append(f.peerCalls, c)
			continue
		}
		delay := f.now.Sub(c.sent)
		var limits []intake.ReplicaLimit
		for _, l := range c.limits {
			l.LastObserved, l.Since = l.LastObserved.Add(delay), l.Since.Add(delay)
			limits = append(limits, l)
		}
		changed, newer := c.to.limitTable.Merge(f.now, limits)
		if len(changed) > 0 {
			c.to.updateQuotas()
			f.broadcastLimits(c.to, c.from, changed)
		}
		f.sendLimits(c.to, c.from, newer)
		if added := c.to.leavingReplicas.Merge(f.now, slices.Clone(c.leavingReplicas)); len(added) > 0 {
			c.to.updateQuotas()
			f.broadcastLeaving(c.to, c.from, added)
		}
	}
}

// repeatLimits sends the limits that a host observed since the last repetition.
func (f *simFleet) repeatLimits(h *simHost) {
	if f.now.Sub(h.lastRepeat) >= repeatInterval {
		f.broadcastLimits(h, nil, h.limitTable.Reports(h.lastRepeat))
		h.lastRepeat = f.now
	}
}

// advance runs the simulation for a duration.
func (f *simFleet) advance(duration time.Duration) {
	for until := f.now.Add(duration); f.now.Before(until); f.now = f.now.Add(simStep) {
		f.deliverResponses()
		f.deliverPeerCalls()
		for _, h := range f.hosts {
			if f.now.Sub(start)%quotaInterval == 0 {
				h.limitTable.RemoveExpired(f.now, func(string) bool { return true })
				h.backoffs.RemoveExpired(f.now)
				h.updateQuotas()
				f.repeatLimits(h)
			}
			if f.now.Before(h.startsAt) || h.idle || f.rng.Float64() >= float64(simStep)/float64(f.requestInterval) {
				continue
			}
			if _, blocked := h.limiter.Blocked(f.now); !blocked {
				f.sendRequest(h)
			}
		}
	}
}

// sendRequest sends a request to the replica and schedules the response. One request in ten
// is refused without announcing the limit.
func (f *simFleet) sendRequest(h *simHost) {
	h.limiter.RecordCall(f.now)
	arrives := f.now.Add(time.Duration(f.rng.IntN(50)) * time.Millisecond)
	f.arrivals = append(f.arrivals, simArrival{arrives, h})
	a := intake.ReplicaResponse{Replica: replica, Sent: f.now, Served: f.rng.IntN(10) > 0}
	if f.limit >= 0 && a.Served {
		a.Notice.Limit = intake.Limit{Announced: true, PerSecond: f.limit}
	}
	a.Notice.Leaving = f.leaving
	if f.backoff > 0 && f.rng.IntN(2) == 0 {
		a.Served, a.Notice.Backoff = false, f.backoff
	}
	f.responses = append(f.responses, simResponse{arrives.Add(time.Duration(10+f.rng.IntN(400)) * time.Millisecond), h, a})
}

// deliverResponses delivers the responses that are due.
func (f *simFleet) deliverResponses() {
	f.responses = slices.DeleteFunc(f.responses, func(a simResponse) bool {
		if f.now.Before(a.at) {
			return false
		}
		if l, changed := a.host.limitTable.Observe(f.now, a.ReplicaResponse); changed {
			a.host.updateQuotas()
			f.broadcastLimits(a.host, nil, []intake.ReplicaLimit{l})
		}
		if l, first := a.host.leavingReplicas.Observe(f.now, a.ReplicaResponse); first {
			a.host.leavingObservedAt = f.now
			a.host.updateQuotas()
			f.broadcastLeaving(a.host, nil, []intake.LeavingReplica{l})
		}
		if r, _, changed := a.host.backoffs.Observe(f.now, a.ReplicaResponse, maxBackoff); changed {
			a.host.requestedBackoffs = append(a.host.requestedBackoffs, intake.Backoff{Since: f.now, Until: r.Until})
			a.host.updateQuotas()
		}
		if a.Notice.Limit.Announced && a.host.limitObservedAt.IsZero() {
			a.host.limitObservedAt = f.now
			if f.limitObservedAt.IsZero() {
				f.limitObservedAt = f.now
			}
		}
		return true
	})
}

// maxRequestsAfterNotice returns the maximum number of requests in a checkWindow from hosts
// that had been notified long enough before.
func (f *simFleet) maxRequestsAfterNotice() int {
	arrived := slices.Clone(f.arrivals)
	slices.SortFunc(arrived, func(a, b simArrival) int { return a.at.Compare(b.at) })
	var counted []time.Time
	for _, a := range arrived {
		if !a.host.limitObservedAt.IsZero() && a.at.Sub(a.host.limitObservedAt) >= hostNoticeTime && !f.limitObservedAt.IsZero() && a.at.Sub(f.limitObservedAt) >= fleetNoticeTime {
			counted = append(counted, a.at)
		}
	}
	return maxInWindow(counted, checkWindow)
}

// allowedRequests returns the number of requests in a checkWindow that is tolerated with a
// limit.
func allowedRequests(limit float64) int {
	return int(allowedFactor*limit*checkWindow.Seconds()) + allowedExtra
}

// seedCount returns the number of random schedules to run for a fleet of the given size.
func seedCount(hosts int) uint64 { return uint64(max(1, 120/hosts)) }

// Hosts learn of a limit from their own responses only, at different times, and have
// different lists of hosts. The requests of all hosts that have been notified must stay
// within allowedRequests.
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

// Compares hosts that ignore limits with hosts that apply their quotas. It logs the maximum
// number of requests in a window and the number that is allowed.
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
		t.Logf("%d hosts: %d without quotas, %d with quotas, %d allowed", n, most[0], most[1], allowedRequests(1))
		g.Expect(most[0]).To(BeNumerically(">", allowedRequests(1)))
		g.Expect(most[1]).To(BeNumerically("<=", allowedRequests(1)))
	}
}

// maxRequestsFrom returns the maximum number of requests in a checkWindow from all hosts,
// from a given time on.
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

// hostsWithLimit returns the number of hosts that know of an active limit.
func (f *simFleet) hostsWithLimit() (n int) {
	for _, h := range f.hosts {
		if len(h.limitTable.Limits()) > 0 {
			n++
		}
	}
	return n
}

// maxLiftTime returns the maximum time until all hosts know that a limit was lifted. It
// covers the next call that may begin and the one after it, since one request in ten is
// refused without announcing the limit.
func maxLiftTime(limit float64) time.Duration {
	if limit == 0 {
		return 32 * time.Second
	}
	return 2*max(checkWindow, time.Duration(float64(time.Second)/limit)) + 2*time.Second
}

// Hosts exchange their observations. Once fleetNoticeTime has passed, all requests together
// must stay within allowedRequests, including those of hosts that got no response
// themselves. When the limit is lifted, all hosts must learn of it. One host is partitioned
// from the others for 3 s meanwhile.
func TestLimitAndItsEndReachAllHosts(t *testing.T) {
	for _, n := range []int{6, 60, 300} {
		for _, limit := range []float64{0, 0.5, 1, 2.5, 20} {
			t.Run(fmt.Sprintf("%d hosts, %v a second", n, limit), func(t *testing.T) {
				t.Parallel()
				for seed := range seedCount(n) {
					g := NewWithT(t)
					f := newSimFleet(seed, n, 400*time.Millisecond)
					f.gossips = true
					f.advance(20 * time.Second) // until all hosts have started
					f.limit = limit
					f.advance(2 * time.Second)
					partitioned := f.hosts[f.rng.IntN(n)]
					partitioned.partitionedUntil = f.now.Add(3 * time.Second)
					f.advance(13 * time.Second)
					g.Expect(f.limitObservedAt).NotTo(BeZero())
					g.Expect(f.maxRequestsFrom(f.limitObservedAt.Add(fleetNoticeTime))).To(BeNumerically("<=", allowedRequests(limit)), "seed %d", seed)
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

// A limit is lifted while one host is partitioned from the others. It must learn of that from
// its peers soon after the partition, since it may have no call left to learn it from the
// replica.
func TestPartitionedHostLearnsThatALimitWasLifted(t *testing.T) {
	for _, n := range []int{6, 60, 300} {
		for _, partition := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("%d hosts, %s", n, partition), func(t *testing.T) {
				t.Parallel()
				for seed := range min(seedCount(n), 20) {
					g := NewWithT(t)
					f := newSimFleet(seed, n, 400*time.Millisecond)
					f.gossips = true
					f.advance(20 * time.Second) // until all hosts have started
					f.limit = 2.5
					f.advance(5 * time.Second)
					partitioned := f.hosts[f.rng.IntN(n)]
					partitioned.partitionedUntil = f.now.Add(partition)
					partitioned.idle = true
					f.limit = -1
					f.advance(partition + repeatInterval + time.Second)
					g.Expect(partitioned.limitTable.Limits()).To(BeEmpty(), "seed %d", seed)
				}
			})
		}
	}
}

// Measures how many calls between hosts it takes until all hosts know a limit that one of
// them observed, and how long, in a fleet without other traffic.
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
				l, _ := f.hosts[0].limitTable.Observe(f.now, intake.ReplicaResponse{Replica: replica, Notice: intake.Notice{Limit: intake.Limit{Announced: true, PerSecond: 1}}})
				f.broadcastLimits(f.hosts[0], nil, []intake.ReplicaLimit{l})
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

// Hosts learn that a replica is leaving from its responses and, for half of the seeds, from
// peers, while up to a quarter of the hosts are partitioned from the others. Hosts that got
// such a response themselves must stop sending to the replica within leavingNoticeTime.
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
					if observedAt := a.host.leavingObservedAt; !observedAt.IsZero() {
						g.Expect(a.at.Sub(observedAt)).To(BeNumerically("<=", leavingNoticeTime), "seed %d", seed)
					}
				}
			}
		})
	}
}

// The replica refuses half of the requests and asks their senders for a backoff; the other
// hosts continue to send.
func TestHostRespectsRequestedBackoff(t *testing.T) {
	for _, n := range []int{6, 60, 300} {
		for _, backoff := range []time.Duration{300 * time.Millisecond, 3 * time.Second, time.Hour} {
			t.Run(fmt.Sprintf("%d hosts, %s", n, backoff), func(t *testing.T) {
				t.Parallel()
				f := newSimFleet(5, n, 100*time.Millisecond)
				f.backoff = backoff
				f.advance(15 * time.Second)
				backoffs := 0
				for _, h := range f.hosts {
					backoffs += len(h.requestedBackoffs)
					for _, r := range h.requestedBackoffs {
						during := 0
						for _, a := range f.arrivals {
							if a.host == h && !a.at.Before(r.Since.Add(hostNoticeTime)) && a.at.Before(r.Until) {
								during++
							}
						}
						NewWithT(t).Expect(during).To(BeNumerically("<=", allowedDuringBackoff))
					}
				}
				NewWithT(t).Expect(backoffs).To(BeNumerically(">=", 2*n), "hosts send again when a backoff is over")
			})
		}
	}
}
