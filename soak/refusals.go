package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// The guarantee for replicas that announce how many calls they can refuse in a second: from
// propagationTime after all replicas of a service began to announce it, they refuse more in
// at most maxFalls plus a tenth of their number seconds.
const maxFalls = 2

// refusalPeriod is a period during which the replicas of a service announce how many calls
// they can refuse, and from the middle of it have less room.
type refusalPeriod struct {
	replicas    []*site.Replica
	perSecond   int
	from, until time.Time
}

// announceRefusalLimits lets the replicas of one service after the other announce how many
// calls they can refuse, until ctx ends.
func (r *runner) announceRefusalLimits(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, randomDuration(rng, 200*time.Millisecond, 1500*time.Millisecond))
		service := []string{"plain", "llm", "encode"}[rng.IntN(3)]
		period := refusalPeriod{perSecond: 4 + rng.IntN(8)}
		r.mu.Lock()
		for _, rep := range r.replicas {
			if rep.Service == service {
				period.replicas = append(period.replicas, rep)
			}
		}
		r.mu.Unlock()
		r.recordFault("the replicas of %s can refuse %d calls a second", service, period.perSecond)
		for _, rep := range period.replicas {
			rep.AnnounceRefusalLimit(strconv.Itoa(period.perSecond))
		}
		sleep(ctx, propagationTime)
		period.from = time.Now()
		for _, rep := range period.replicas {
			rep.SetRoom(1 + rng.IntN(3))
		}
		sleep(ctx, randomDuration(rng, time.Second, 3*time.Second))
		period.until = time.Now()
		for _, rep := range period.replicas {
			rep.SetRoom(0)
			rep.AnnounceRefusalLimit("")
		}
		r.mu.Lock()
		r.refusalPeriods = append(r.refusalPeriods, period)
		r.mu.Unlock()
	}
}

// checkRefusals checks how often replicas had to refuse more calls than they announced.
func (r *runner) checkRefusals() {
	for _, period := range r.refusalPeriods {
		falls := 0
		for _, rep := range period.replicas {
			falls += fallsWithin(rep.Refusals(), period)
		}
		if bound := maxFalls + len(period.replicas)/10; falls > bound {
			r.recordViolation("refusals: replicas that can refuse %d calls a second had to refuse more %d times, allowed %d", period.perSecond, falls, bound)
		}
	}
}

// fallsWithin counts the seconds of a period, one after the other, in which there are more
// refusals than announced.
func fallsWithin(refusals []time.Time, period refusalPeriod) int {
	falls := 0
	var window []time.Time
	for _, at := range refusals {
		if at.Before(period.from) || at.After(period.until) {
			continue
		}
		window = append(window, at)
		for at.Sub(window[0]) >= time.Second {
			window = window[1:]
		}
		if len(window) > period.perSecond {
			falls++
			window = nil
		}
	}
	return falls
}
