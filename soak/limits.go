package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// The promise on replicas that name a limit: from contact after it was first named, processes
// that had passed an answer of it on limitTold before send no more in limitWindow than
// limitOverage times what it allows, and limitSlack.
const (
	limitTold    = 500 * time.Millisecond
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
)

// limitSpell is a time during which a replica names a limit in all its answers.
type limitSpell struct {
	replica   string
	perSecond float64
	// until is zero while it lasts.
	from, until time.Time
}

// nameLimits has replicas name limits, one after the other, until ctx ends.
func (r *Run) nameLimits(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		rest(ctx, between(rng, 200*time.Millisecond, 1500*time.Millisecond))
		perSecond := []float64{0, 0.5, 1, 3}[rng.IntN(4)]
		r.mu.Lock()
		rep := r.replicas[rng.IntN(len(r.replicas))]
		r.limits = append(r.limits, limitSpell{replica: rep.ID, perSecond: perSecond, from: time.Now()})
		spell := &r.limits[len(r.limits)-1]
		r.mu.Unlock()
		r.note("%s names a limit of %g a second", rep.ID, perSecond)
		rep.AdvertiseRateLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
		rest(ctx, between(rng, 4*time.Second, 9*time.Second))
		r.mu.Lock()
		spell.until = time.Now()
		r.mu.Unlock()
		rep.AdvertiseRateLimit("")
		r.note("%s names no limit any more", rep.ID)
	}
}

// checkLimits holds processes that ran on meanwhile to the limits that they were told.
func (r *Run) checkLimits() {
	for _, s := range r.limits {
		first, counted := r.toldOf(s)
		if first.IsZero() {
			continue
		}
		bound := int(limitOverage*s.perSecond*limitWindow.Seconds()) + limitSlack
		if n := mostWithin(counted, first.Add(contact), limitWindow); n > bound {
			r.violate("limit: %s got %d requests in %s when it had named %g a second; allowed %d", s.replica, n, limitWindow, s.perSecond, bound)
		}
	}
}

// daemonLife is one life of a daemon.
type daemonLife struct {
	daemon *daemon
	life   int
}

// toldOf returns when a limit was first told, and when requests arrived of processes that
// had been told and ran through since.
func (r *Run) toldOf(s limitSpell) (first time.Time, arrived []time.Time) {
	type arrival struct {
		at   time.Time
		from daemonLife
	}
	var all []arrival
	told := map[daemonLife]time.Time{}
	for _, x := range r.calls {
		for _, run := range r.ledger.Runs(x.call.ID) {
			if run.Replica != s.replica || run.StartedAt.Before(s.from) || !s.until.IsZero() && run.StartedAt.After(s.until) {
				continue
			}
			p := daemonLife{x.daemon, x.life}
			all = append(all, arrival{run.StartedAt, p})
			if at, known := told[p]; !known || x.ended.Before(at) {
				told[p] = x.ended
			}
			if first.IsZero() || x.ended.Before(first) {
				first = x.ended
			}
		}
	}
	for _, a := range all {
		if a.at.Sub(told[a.from]) >= limitTold && a.from.daemon.ranThrough(s.from.Add(-settle), a.at) {
			arrived = append(arrived, a.at)
		}
	}
	return first, arrived
}

// mostWithin is the largest number of times, from a moment on, within a span.
func mostWithin(times []time.Time, from time.Time, span time.Duration) int {
	times = slices.DeleteFunc(times, func(t time.Time) bool { return t.Before(from) })
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
