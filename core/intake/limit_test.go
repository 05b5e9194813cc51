package intake_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/intake"
)

// replicaLimit is the limit of a replica that announced it at start.
func replicaLimit(replica string, perSecond float64) intake.ReplicaLimit {
	return intake.ReplicaLimit{Replica: replica, Limit: intake.Limit{Announced: true, PerSecond: perSecond}, Since: start, LastObserved: start}
}

// rateOf returns the rate of a quota in calls per second.
func rateOf(p intake.Quota) float64 { return float64(p.Calls) / p.Window.Seconds() }

func TestQuotasAddUpToTheLimitRate(t *testing.T) {
	for _, n := range []int{1, 6, 60, 300} {
		hosts := hostNames(n)
		for _, limit := range []float64{0.1, 0.2, 0.25, 0.5, 1, 2.5, 20, 100, 1e6} {
			sum := 0.0
			for _, h := range hosts {
				p := intake.NewShares(h, hosts).LimitQuota(replicaLimit("r", limit), intake.Requester)
				NewWithT(t).Expect(p.Calls).To(BeNumerically("<=", intake.MaxTrackedCalls))
				sum += rateOf(p)
			}
			NewWithT(t).Expect(sum).To(BeNumerically("~", limit, 1e-3*limit), "%d hosts, %v a second", n, limit)
		}
	}
}

// Two planners that succeed each other within the checked window may both have begun their
// calls. Together with those of the other hosts these must stay within allowedRequests,
// while a single planner gets at least half of the limit.
func TestTwoConsecutivePlannersStayWithinTheLimit(t *testing.T) {
	hosts := hostNames(60)
	for _, limit := range []float64{0.5, 1, 2.5, 4} {
		g := NewWithT(t)
		calls := 0
		for i, h := range hosts {
			role := intake.StageRequester
			if i < 2 {
				role = intake.Planner
			}
			calls += intake.NewShares(h, hosts).LimitQuota(replicaLimit("r", limit), role).Calls
		}
		g.Expect(calls).To(BeNumerically("<=", allowedRequests(limit)), "%v a second", limit)
		planner := intake.NewShares(hosts[0], hosts).LimitQuota(replicaLimit("r", limit), intake.Planner)
		g.Expect(rateOf(planner)).To(BeNumerically(">=", 0.5*limit))
	}
}

func TestQuotasByRoleAddUpToTheCalls(t *testing.T) {
	hosts := hostNames(60)
	for _, calls := range []int{1, 2, 4, 12} {
		sum := 0
		for i, h := range hosts {
			role := intake.StageRequester
			if i == 7 {
				role = intake.Planner
			}
			sum += intake.NewShares(h, hosts).CallsForRole("r", calls, role)
		}
		NewWithT(t).Expect(sum).To(Equal(calls))
		NewWithT(t).Expect(intake.NewShares(hosts[7], hosts).CallsForRole("r", calls, intake.Planner)).To(BeNumerically(">=", 0.75*float64(calls)))
	}
}

func TestHostsWithoutQuotaProbeInTurn(t *testing.T) {
	g := NewWithT(t)
	hosts := hostNames(6)
	for _, limit := range []float64{0, 0.01} {
		var probeTimes []time.Duration
		for _, h := range hosts {
			limiters := intake.NewLimiters(time.Time{})
			limiter := limiters.Get("r")
			limiters.SetQuotas(intake.AnnouncedLimit, map[string]intake.Quota{"r": intake.NewShares(h, hosts).LimitQuota(replicaLimit("r", limit), intake.Requester)})
			for d := time.Duration(0); d < 2*time.Minute; d += 100 * time.Millisecond {
				if _, blocked := limiter.Blocked(start.Add(d)); !blocked {
					probeTimes = append(probeTimes, d)
					limiter.RecordCall(start.Add(d))
					_, blocked = limiter.Blocked(start.Add(d))
					g.Expect(blocked).To(BeTrue(), "one call only")
					break
				}
			}
		}
		g.Expect(probeTimes).To(ConsistOf(10*time.Second, 20*time.Second, 30*time.Second, 40*time.Second, 50*time.Second, time.Minute))
	}
}

func TestLimiterReportsWhenTheNextCallIsAllowed(t *testing.T) {
	g := NewWithT(t)
	limiters := intake.NewLimiters(time.Time{})
	limiter := limiters.Get("r")
	g.Expect(limiter.NextAllowed(start)).To(Equal(start))
	limiters.SetQuotas(intake.AnnouncedLimit, map[string]intake.Quota{"r": {Calls: 2, Window: 4 * time.Second}})
	limiter.RecordCall(start)
	g.Expect(limiter.NextAllowed(at(1))).To(Equal(at(1)))
	limiter.RecordCall(at(1))
	g.Expect(limiter.NextAllowed(at(2))).To(Equal(at(4)))
	source, blocked := limiter.Blocked(at(2))
	g.Expect(blocked).To(BeTrue())
	g.Expect(fmt.Sprint(source)).To(Equal("limited"))

	limiters.SetQuotas(intake.Cold, map[string]intake.Quota{"r": {Window: time.Second}})
	g.Expect(limiter.NextAllowed(at(2))).To(Equal(at(4)), "both quotas apply")
	g.Expect(limiter.NextAllowed(at(5))).To(Equal(at(6)), "another host may begin a call")
	limiters.SetQuotas(intake.BackingOff, map[string]intake.Quota{"r": {BlockedUntil: at(9)}})
	g.Expect(limiter.NextAllowed(at(5))).To(Equal(at(9)))
	_, bounded := limiter.Rate(at(5))
	g.Expect(bounded).To(BeTrue())
	limiters.SetQuotas(intake.Cold, nil)
	limiters.SetQuotas(intake.AnnouncedLimit, nil)
	source, blocked = limiter.Blocked(at(8.9))
	g.Expect(blocked).To(BeTrue())
	g.Expect(source).To(Equal(intake.BackingOff))
	_, blocked = limiter.Blocked(at(9))
	g.Expect(blocked).To(BeFalse())
	_, bounded = limiter.Rate(at(9))
	g.Expect(bounded).To(BeFalse())
	limiters.SetQuotas(intake.BackingOff, nil)

	limiters.SetQuotas(intake.Leaving, map[string]intake.Quota{"r": {}})
	g.Expect(limiter.IsLeaving()).To(BeTrue())
	g.Expect(limiter.NextAllowed(at(5))).To(BeTemporally(">", at(1e9)))
	limiters.SetQuotas(intake.Leaving, nil)
	g.Expect(limiter.IsLeaving()).To(BeFalse())
	limiters.SetQuotas(intake.Cold, nil)
	limiters.SetQuotas(intake.AnnouncedLimit, nil)
	_, blocked = limiter.Blocked(at(2))
	g.Expect(blocked).To(BeFalse())

	limiters.SetQuotas(intake.AnnouncedLimit, map[string]intake.Quota{"later": {Window: time.Second}})
	_, blocked = limiters.Get("later").Blocked(start)
	g.Expect(blocked).To(BeTrue(), "a limiter created after the quota was set")
}

// Guards against calls that are forgotten when a view lists their replica no longer, or not yet, so
// that a replica that is back after a moment gets a second quota beside them.
func TestCallsCountAtAReplicaThatIsUnlistedForAMoment(t *testing.T) {
	now := time.Unix(1000, 0)
	none := func(string) bool { return false }
	t.Run("in flight", func(t *testing.T) {
		g := NewWithT(t)
		limiters := intake.NewLimiters(time.Time{})
		limiters.SetQuotas(intake.Refusals, map[string]intake.Quota{"r": {InFlight: &intake.InFlightQuota{Calls: 1, Refusals: 1, Window: time.Second}}})
		limiters.Get("r").RecordCall(now)
		limiters.RemoveUnlisted(now.Add(20*time.Second), none)
		_, blocked := limiters.Get("r").Blocked(now.Add(21 * time.Second))
		g.Expect(blocked).To(BeTrue())
		limiters.Get("r").RecordEnd()
		_, blocked = limiters.Get("r").Blocked(now.Add(21 * time.Second))
		g.Expect(blocked).To(BeFalse())
	})
	t.Run("begun in the window", func(t *testing.T) {
		g := NewWithT(t)
		limiters := intake.NewLimiters(time.Time{})
		limiters.SetQuotas(intake.Cold, map[string]intake.Quota{"r": {Calls: 1, Window: intake.ColdWindow}})
		limiters.Get("r").RecordCall(now)
		limiters.Get("r").RecordEnd()
		limiters.RemoveUnlisted(now.Add(100*time.Millisecond), none)
		_, blocked := limiters.Get("r").Blocked(now.Add(200 * time.Millisecond))
		g.Expect(blocked).To(BeTrue())
	})
	t.Run("refused", func(t *testing.T) {
		g := NewWithT(t)
		limiters := intake.NewLimiters(time.Time{})
		limiters.SetQuotas(intake.Refusals, map[string]intake.Quota{"r": {InFlight: &intake.InFlightQuota{Calls: 1, Refusals: 1, Window: 30 * time.Second}}})
		limiters.Get("r").RecordCall(now)
		limiters.Get("r").RecordRefusal(now, true)
		limiters.Get("r").RecordEnd()
		limiters.RemoveUnlisted(now.Add(20*time.Second), none)
		_, blocked := limiters.Get("r").Blocked(now.Add(21 * time.Second))
		g.Expect(blocked).To(BeTrue())
	})
	t.Run("and is removed when nothing of it counts", func(t *testing.T) {
		g := NewWithT(t)
		limiters := intake.NewLimiters(time.Time{})
		before := limiters.Get("r")
		before.RecordCall(now)
		limiters.RemoveUnlisted(now.Add(time.Hour), none)
		g.Expect(limiters.Get("r")).NotTo(BeIdenticalTo(before))
	})
}

// Guards against hosts that restart within a window and begin their quota of calls again: the replica
// gets those of both processes.
func TestCallsOfAnEarlierProcessCount(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	quota := map[string]intake.Quota{"r": {Calls: 2, Window: intake.ColdWindow}}
	blocked := func(limiters *intake.Limiters, at time.Time) bool {
		_, b := limiters.Get("r").Blocked(at)
		return b
	}
	restarted := intake.NewLimiters(start)
	restarted.SetQuotas(intake.Cold, quota)
	g.Expect(blocked(restarted, start.Add(intake.ColdWindow-1))).To(BeTrue())
	g.Expect(restarted.Get("r").NextAllowed(start)).To(Equal(start.Add(intake.ColdWindow)))
	g.Expect(blocked(restarted, start.Add(intake.ColdWindow))).To(BeFalse())
	restarted.Get("r").RecordCall(start.Add(intake.ColdWindow))
	g.Expect(blocked(restarted, start.Add(intake.ColdWindow))).To(BeFalse())

	first := intake.NewLimiters(time.Time{})
	first.SetQuotas(intake.Cold, quota)
	g.Expect(blocked(first, start)).To(BeFalse(), "no earlier process has called")
}
