package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// simulatedCut is the time for which a daemon loses the path to all replicas when it gets
// SIGUSR2. It replaces a real cut, which a test cannot cause. At every second signal
// connections are not answered instead of refused.
const simulatedCut = 2 * time.Second

// The guarantee for daemons that have lost the path to all replicas: from cutSettleTime after
// the start of a cut, undisturbed ones serve their callers' requests at least minCutRatio times
// as often as undisturbed daemons that reach the replicas do meanwhile, as long as one of the
// latter can be reached. Replicas crash at any time, and callers repeat refused requests at
// once; so the ratio is taken for each cutSlot in which both got minSlotRequests, and its mean
// is checked over the whole run if there are at least minCutSlots.
const (
	cutSettleTime   = 500 * time.Millisecond
	cutSlot         = 500 * time.Millisecond
	minCutRatio     = 2.0 / 3
	minSlotRequests = 5
	minCutSlots     = 3
)

const (
	// detourTail is for how long after a cut a daemon may still use other ones, since it
	// probes replicas one after the other.
	detourTail = 8 * time.Second
	// longestLinkFault is how long a fault of a daemon or its connections lasts at most.
	longestLinkFault = 3 * time.Second
)

// cutPeriod is a period during which daemons have lost the path to all replicas.
type cutPeriod struct {
	from, until  time.Time
	incarnations map[*daemon]int
}

// cutReplicas cuts random daemons off from all replicas, one or several at a time, until ctx
// ends. Each time at least one daemon is left out.
func (r *runner) cutReplicas(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, randomDuration(rng, 300*time.Millisecond, 1500*time.Millisecond))
		if ctx.Err() != nil {
			return
		}
		order := rng.Perm(len(r.daemons))
		period := cutPeriod{from: time.Now(), until: time.Now().Add(simulatedCut), incarnations: map[*daemon]int{}}
		for _, i := range order[:1+rng.IntN(max(1, len(order)-1))] {
			d := r.daemons[i]
			incarnation := d.currentIncarnation()
			// SIGUSR2 would end a process that has not yet installed its handler.
			if !d.ready() || d.currentIncarnation() != incarnation {
				continue
			}
			d.signal(syscall.SIGUSR2)
			period.incarnations[d] = incarnation
			r.recordFault("%s reaches no replica for %s", d.name, simulatedCut)
		}
		r.mu.Lock()
		r.cuts = append(r.cuts, period)
		r.mu.Unlock()
		sleep(ctx, simulatedCut)
	}
}

// peerMayHaveFailed reports whether a request may have gone through another daemon, because its
// own reached no replica, and a daemon was killed or suspended, or a fault began on the
// connections between them, until the request ended. The answer then breaks, like one whose
// replica fails. Daemons that are stopped gracefully are no reason.
func (r *runner) peerMayHaveFailed(att attempt) bool {
	cut := slices.ContainsFunc(r.cuts, func(p cutPeriod) bool {
		_, cut := p.incarnations[att.daemon]
		return cut && p.from.Before(att.endedAt) && p.until.Add(detourTail).After(att.startedAt)
	})
	return cut && slices.ContainsFunc(r.daemons, func(d *daemon) bool {
		from := att.startedAt.Add(-longestLinkFault)
		return !d.ranUninterrupted(from, att.endedAt) || d.linkFaultBetween(from, att.endedAt)
	})
}

// pathThroughPeer reports whether there was a daemon that reached the replicas during a cut, and
// was not stopped, killed or suspended, nor its connections disturbed, until a request ended.
func (r *runner) pathThroughPeer(p cutPeriod, att attempt) bool {
	from := p.from.Add(-longestLinkFault)
	return slices.ContainsFunc(r.daemons, func(d *daemon) bool {
		_, cut := p.incarnations[d]
		return !cut && d.ranUninterrupted(from, att.endedAt) && !d.linkFaultBetween(from, att.endedAt) && !d.stoppedBetween(from, att.endedAt)
	})
}

// cutTally counts the requests during one slot of a cut, of the daemons that were cut off and
// of the others.
type cutTally struct{ cutSent, cutServed, otherSent, otherServed int }

// ratio returns how much less often the daemons that were cut off served requests, 1 for as
// often; false if too few were sent, or the others served none.
func (t cutTally) ratio() (float64, bool) {
	if t.cutSent < minSlotRequests || t.otherSent < minSlotRequests || t.otherServed == 0 {
		return 0, false
	}
	return min(1, float64(t.cutServed)/float64(t.cutSent)/(float64(t.otherServed)/float64(t.otherSent))), true
}

// cutSlotKey is a slot of a cut.
type cutSlotKey struct {
	cut  int
	slot time.Duration
}

// checkCuts checks that daemons which reach no replica serve their callers through others.
func (r *runner) checkCuts() {
	sum, slots := 0.0, 0
	for _, t := range r.tallyCuts() {
		if ratio, enough := t.ratio(); enough {
			sum, slots = sum+ratio, slots+1
		}
	}
	if slots >= minCutSlots && sum < minCutRatio*float64(slots) {
		r.recordViolation("cut: daemons without replicas served requests %.2f times as often as the others, mean of %d slots of %s", sum/float64(slots), slots, cutSlot)
	}
}

// tallyCuts counts the requests during cuts of daemons that nothing else disturbed.
func (r *runner) tallyCuts() map[cutSlotKey]cutTally {
	tallies := map[cutSlotKey]cutTally{}
	for _, att := range r.attempts {
		i := slices.IndexFunc(r.cuts, func(p cutPeriod) bool {
			return att.startedAt.After(p.from.Add(cutSettleTime)) && att.startedAt.Before(p.until)
		})
		from := att.startedAt.Add(-undisturbedMargin)
		if i < 0 || att.abandoned || !att.daemon.undisturbedBetween(from, att.endedAt) || att.daemon.stoppedBetween(from, att.endedAt) {
			continue
		}
		served := 0
		if att.response.Err == nil && att.response.Status == http.StatusOK {
			served = 1
		}
		period := r.cuts[i]
		key := cutSlotKey{i, att.startedAt.Sub(period.from) / cutSlot}
		t := tallies[key]
		if incarnation, cut := period.incarnations[att.daemon]; !cut {
			t.otherSent, t.otherServed = t.otherSent+1, t.otherServed+served
		} else if incarnation == att.incarnation && !att.daemon.linkFaultBetween(from, att.endedAt) && r.pathThroughPeer(period, att) {
			t.cutSent, t.cutServed = t.cutSent+1, t.cutServed+served
		}
		tallies[key] = t
	}
	return tallies
}
