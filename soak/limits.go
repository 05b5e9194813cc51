package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// The guarantee for replicas that announce a rate limit, from propagationTime after a caller
// first received it: in any limitWindow, the daemon processes that had passed on an answer
// with the limit at least limitPropagation before send the replica, all together, at most
// limitOverage times the requests that the limit allows, plus limitSlack.
const (
	limitPropagation = 500 * time.Millisecond
	limitWindow      = 4 * time.Second
	limitOverage     = 1.5
	limitSlack       = 5
)

// limitPeriod is a period during which a replica announces a rate limit in all its answers.
type limitPeriod struct {
	replica   string
	perSecond float64
	// until is the end of the period; zero if it has not ended.
	from, until time.Time
}

// announceLimits lets replicas announce rate limits, one after the other, until ctx ends.
func (r *runner) announceLimits(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, randomDuration(rng, 200*time.Millisecond, 1500*time.Millisecond))
		perSecond := []float64{0, 0.5, 1, 3}[rng.IntN(4)]
		r.mu.Lock()
		rep := r.replicas[rng.IntN(len(r.replicas))]
		r.limits = append(r.limits, limitPeriod{replica: rep.ID, perSecond: perSecond, from: time.Now()})
		period := &r.limits[len(r.limits)-1]
		r.mu.Unlock()
		r.recordFault("%s announces a limit of %g requests a second", rep.ID, perSecond)
		rep.AnnounceRateLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
		sleep(ctx, randomDuration(rng, 4*time.Second, 9*time.Second))
		r.mu.Lock()
		period.until = time.Now()
		r.mu.Unlock()
		rep.AnnounceRateLimit("")
		r.recordFault("%s no longer announces a limit", rep.ID)
	}
}

// checkLimits checks that daemon processes that ran uninterrupted keep to the limits in
// the answers that they passed on.
func (r *runner) checkLimits() {
	for _, period := range r.limits {
		informedAt, arrivals := r.informedArrivals(period)
		if informedAt.IsZero() {
			continue
		}
		bound := int(limitOverage*period.perSecond*limitWindow.Seconds()) + limitSlack
		if n := maxInWindow(arrivals, informedAt.Add(propagationTime), limitWindow); n > bound {
			r.recordViolation("limit: %s got %d requests in %s while its limit was %g a second; allowed %d", period.replica, n, limitWindow, period.perSecond, bound)
		}
	}
}

// daemonIncarnation identifies one process of a daemon.
type daemonIncarnation struct {
	daemon      *daemon
	incarnation int
}

// informedArrivals returns when a caller first received an answer with the limit, and when
// requests arrived from daemon processes that had passed on such an answer at least
// limitPropagation before and ran uninterrupted. The first is zero if no request ran at
// the replica in the period.
func (r *runner) informedArrivals(period limitPeriod) (firstInformed time.Time, arrivals []time.Time) {
	type arrival struct {
		at   time.Time
		from daemonIncarnation
	}
	var all []arrival
	informedAt := map[daemonIncarnation]time.Time{}
	for _, att := range r.attempts {
		for _, run := range r.ledger.Runs(att.call.ID) {
			if run.Replica != period.replica || run.StartedAt.Before(period.from) || !period.until.IsZero() && run.StartedAt.After(period.until) {
				continue
			}
			p := daemonIncarnation{att.daemon, att.incarnation}
			all = append(all, arrival{run.StartedAt, p})
			if at, known := informedAt[p]; !known || att.endedAt.Before(at) {
				informedAt[p] = att.endedAt
			}
			if firstInformed.IsZero() || att.endedAt.Before(firstInformed) {
				firstInformed = att.endedAt
			}
		}
	}
	for _, a := range all {
		if a.at.Sub(informedAt[a.from]) >= limitPropagation && a.from.daemon.ranUninterrupted(period.from.Add(-undisturbedMargin), a.at) {
			arrivals = append(arrivals, a.at)
		}
	}
	return firstInformed, arrivals
}

// maxInWindow returns the largest number of times, not counting those before from, that lie
// within one window.
func maxInWindow(times []time.Time, from time.Time, window time.Duration) int {
	times = slices.DeleteFunc(times, func(t time.Time) bool { return t.Before(from) })
	slices.SortFunc(times, time.Time.Compare)
	maxCount, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}
