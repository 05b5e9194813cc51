package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// The promise on replicas that ask for rest: from restPassing after one has turned a process
// away until the end of its rest, no more than restAllowed requests of the process reach it.
const (
	restPassing = 500 * time.Millisecond
	restAllowed = 2
)

// leaveUnregistered has replicas leave of which the store never says so, until ctx ends:
// they tell it in their answers, and their entries go when they do.
func (r *Run) leaveUnregistered(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		rest(ctx, between(rng, 2*time.Second, 5*time.Second))
		r.mu.Lock()
		rep := r.replicas[rng.IntN(len(r.replicas))]
		_, draining := r.draining[rep.ID]
		_, leaving := r.leavers[rep.ID]
		r.mu.Unlock()
		if draining || leaving || ctx.Err() != nil {
			continue
		}
		id := fmt.Sprintf("%s-unregistered-%d", rep.Service, n)
		if err := r.addReplica(id, rep.Service, rep.Kind); err != nil {
			r.violate("replica %s: %v", id, err)
			return
		}
		r.note("%s says that it leaves, and its entry does not; %s replaces it", rep.ID, id)
		r.mu.Lock()
		r.leavers[rep.ID] = time.Now()
		r.mu.Unlock()
		rep.AdvertiseLeaving()
		time.AfterFunc(2*drainBound, func() { r.store.Delete("servers/" + rep.ID) })
	}
}

// askForRest has replicas turn all work away and ask for rest, one after the other, until
// ctx ends.
func (r *Run) askForRest(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		rest(ctx, between(rng, 500*time.Millisecond, 2*time.Second))
		r.mu.Lock()
		rep := r.replicas[rng.IntN(len(r.replicas))]
		r.mu.Unlock()
		seconds := strconv.FormatFloat(0.5+2.5*rng.Float64(), 'f', 2, 64)
		r.note("%s turns all work away and asks for %s s of rest", rep.ID, seconds)
		rep.RefuseWithRetryAfter(seconds)
		rest(ctx, between(rng, 500*time.Millisecond, 3*time.Second))
		rep.RefuseWithRetryAfter("")
	}
}

// sender is the process that a request came through.
type sender struct {
	daemonLife
	began time.Time
}

// senders returns them by request.
func (r *Run) senders() map[string]sender {
	out := make(map[string]sender, len(r.calls))
	for _, x := range r.calls {
		out[x.call.ID] = sender{daemonLife{x.daemon, x.life}, x.began}
	}
	return out
}

// checkLeavers holds processes that passed on an answer in which a replica says that it
// leaves, and ran through since, to sending it nothing more.
func (r *Run) checkLeavers() {
	senders := r.senders()
	for replica, since := range r.leavers {
		told := map[daemonLife]time.Time{}
		for _, x := range r.calls {
			for _, run := range r.ledger.Runs(x.call.ID) {
				p := daemonLife{x.daemon, x.life}
				if at, known := told[p]; run.Replica == replica && run.StartedAt.After(since) && (!known || x.ended.Before(at)) {
					told[p] = x.ended
				}
			}
		}
		for _, a := range r.replica(replica).Arrivals() {
			s, known := senders[a.RequestID]
			at, heard := told[s.daemonLife]
			if known && heard && s.began.Sub(at) > drainBound && s.daemon.ranThrough(at, a.ArrivedAt) {
				r.violate("leaving: %s reached %s %s after it had told %s that it leaves", a.RequestID, replica, s.began.Sub(at).Round(time.Millisecond), s.daemon.name)
			}
		}
	}
}

// checkRests holds processes that ran through to the rests that replicas asked them for.
func (r *Run) checkRests() {
	senders := r.senders()
	for _, rep := range r.replicas {
		arrivals := rep.Arrivals()
		for i, asked := range arrivals {
			seconds, err := strconv.ParseFloat(asked.RetryAfter, 64)
			s, known := senders[asked.RequestID]
			if err != nil || !known {
				continue
			}
			until := asked.ArrivedAt.Add(time.Duration(seconds * float64(time.Second)))
			if n := s.sentBetween(arrivals[i+1:], senders, asked.ArrivedAt.Add(restPassing), until); n > restAllowed && s.daemon.ranThrough(asked.ArrivedAt.Add(-settle), until) {
				r.violate("rest: %s got %d requests from %s in the %s s for which it had asked for rest", rep.ID, n, s.daemon.name, asked.RetryAfter)
			}
		}
	}
}

// sentBetween counts the arrivals from a process between two moments.
func (p daemonLife) sentBetween(arrivals []site.Arrival, senders map[string]sender, from, until time.Time) int {
	n := 0
	for _, a := range arrivals {
		if !a.ArrivedAt.Before(from) && a.ArrivedAt.Before(until) && senders[a.RequestID].daemonLife == p {
			n++
		}
	}
	return n
}
