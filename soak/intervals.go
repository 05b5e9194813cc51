package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wheatseam/wheatseam/internal/faultrelay"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// With Config.LossInterval, all daemons are lost once in a while beside a release, as machines in
// operation are, and callers give their requests the time that people have. A stream sees one
// loss, or two if it is long.
const (
	// longTimeout and shortTimeout are the timeouts of the two kinds of resumable requests, and the
	// deadlines that callers set for them.
	longTimeout  = 20 * time.Second
	shortTimeout = 6 * time.Second
	// maxExtraInterval is the longest time by which an interval is longer than the least one.
	maxExtraInterval = 4 * time.Second
	// minReleaseLead and maxReleaseLead bound the time from the beginning of a release to the
	// loss.
	minReleaseLead = 1500 * time.Millisecond
	maxReleaseLead = 4 * time.Second
	// minOutage and maxOutage bound the time for which all daemons are down.
	minOutage = time.Second
	maxOutage = 2600 * time.Millisecond
	// minStreamInterval and maxStreamInterval bound the interval between the events of streams.
	// The longest one is a late pause.
	minStreamInterval = 60 * time.Millisecond
	maxStreamInterval = 240 * time.Millisecond
	// peerDelay is the time, one way, between two daemons.
	peerDelay = 1400 * time.Microsecond
)

// lossesApart reports whether there is a least interval between losses.
func (r *runner) lossesApart() bool { return r.cfg.LossInterval > 0 }

// timeouts returns the timeouts of routes that differ from the default, by their path prefixes.
func (r *runner) timeouts() map[string]time.Duration {
	if !r.lossesApart() {
		return nil
	}
	return map[string]time.Duration{site.ResumablePath: longTimeout, site.ShortResumablePath: shortTimeout}
}

// patience returns for how long after its beginning callers take a stream up.
func (r *runner) patience(c site.Call) time.Duration {
	if r.lossesApart() {
		return c.Deadline
	}
	return streamPatience
}

// downtime draws for how long daemons that were killed stay down.
func (r *runner) downtime(rng *rand.Rand) time.Duration {
	if r.lossesApart() {
		return randomDuration(rng, minOutage, maxOutage)
	}
	return randomDuration(rng, 0, maxDowntime)
}

// delayPeers delays the connections among daemons.
func (r *runner) delayPeers() {
	delay := faultrelay.Direction{Delay: peerDelay}
	for _, d := range r.daemons {
		d.peerRelay.Set(faultrelay.Conditions{ToTarget: delay, ToCaller: delay})
	}
}

// loseAllInIntervals loses all daemons after each interval, until ctx ends: beside a release, in
// which all old versions or some leave before the loss, during it, after it, or with the next one.
func (r *runner) loseAllInIntervals(ctx context.Context, rng *rand.Rand) {
	next := time.Now().Add(r.cfg.LossInterval / 2)
	for {
		lead := randomDuration(rng, minReleaseLead, maxReleaseLead)
		r.slowStreams(randomDuration(rng, minStreamInterval, maxStreamInterval))
		moment, all := leaveMoments[rng.IntN(len(leaveMoments))], rng.IntN(3) > 0
		sleep(ctx, time.Until(next)-lead)
		if ctx.Err() != nil {
			return
		}
		r.recordFault("a release, whose old versions leave %s the next loss", moment)
		r.joinVersion()
		if moment == leavesBefore {
			sleep(ctx, randomDuration(rng, 0, lead-drainTime))
			r.leaveOldVersions(all)
		}
		sleep(ctx, time.Until(next))
		if ctx.Err() != nil {
			return
		}
		next = time.Now().Add(r.cfg.LossInterval + randomDuration(rng, 0, maxExtraInterval))
		r.loseAll(ctx, rng, lossOfAll, func() {
			if moment == leavesDuring {
				r.leaveOldVersions(all)
			}
		})
		if moment == leavesAfter {
			sleep(ctx, randomDuration(rng, 0, maxReleaseLead))
			r.leaveOldVersions(all)
		}
	}
}
