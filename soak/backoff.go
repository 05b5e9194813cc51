package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// The guarantee for replicas that ask a daemon to back off: after a replica has refused a
// request of a daemon process, from backoffPropagation later until the end of the requested
// backoff, at most maxRequestsDuringBackoff requests of that process reach the replica.
const (
	backoffPropagation       = 500 * time.Millisecond
	maxRequestsDuringBackoff = 2
)

// announceLeaving lets replicas leave, one after the other, until ctx ends. Only the answers
// of a replica announce that it is leaving; its entry in the store does not, and is deleted
// when the replica has left.
func (r *runner) announceLeaving(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, randomDuration(rng, 2*time.Second, 5*time.Second))
		r.mu.Lock()
		rep := r.replicas[rng.IntN(len(r.replicas))]
		_, draining := r.drainingSince[rep.ID]
		_, leaving := r.leavingSince[rep.ID]
		r.mu.Unlock()
		if draining || leaving || ctx.Err() != nil {
			continue
		}
		id := fmt.Sprintf("%s-unregistered-%d", rep.Service, n)
		if err := r.addReplica(id, rep.Service, rep.Kind); err != nil {
			r.recordViolation("replica %s: %v", id, err)
			return
		}
		r.recordFault("%s announces in its answers, but not in its entry, that it is leaving; %s replaces it", rep.ID, id)
		r.mu.Lock()
		r.leavingSince[rep.ID] = time.Now()
		r.mu.Unlock()
		rep.AnnounceLeaving()
		time.AfterFunc(2*drainBound, func() { r.store.Delete("servers/" + rep.ID) })
	}
}

// requestBackoffs lets replicas refuse all work and ask for a backoff, one after the other,
// until ctx ends.
func (r *runner) requestBackoffs(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, randomDuration(rng, 500*time.Millisecond, 2*time.Second))
		r.mu.Lock()
		rep := r.replicas[rng.IntN(len(r.replicas))]
		r.mu.Unlock()
		seconds := strconv.FormatFloat(0.5+2.5*rng.Float64(), 'f', 2, 64)
		r.recordFault("%s refuses all work and asks for a backoff of %s s", rep.ID, seconds)
		rep.RefuseWithRetryAfter(seconds)
		sleep(ctx, randomDuration(rng, 500*time.Millisecond, 3*time.Second))
		rep.RefuseWithRetryAfter("")
	}
}

// sender is the daemon process that a caller sent a request to, and when.
type sender struct {
	daemonIncarnation
	startedAt time.Time
	// answerMayBeLost says that the replica's answer may have been lost with another daemon,
	// through which the process was connected.
	answerMayBeLost bool
}

// sendersByRequest returns the sender of each request, by request id.
func (r *runner) sendersByRequest() map[string]sender {
	out := make(map[string]sender, len(r.attempts))
	for _, att := range r.attempts {
		out[att.call.ID] = sender{daemonIncarnation{att.daemon, att.incarnation}, att.startedAt, r.peerMayHaveFailed(att)}
	}
	return out
}

// checkLeaving checks that a daemon process that has passed on an answer in which a replica
// announces that it is leaving, and has run uninterrupted since, sends that replica no new
// requests after drainBound.
func (r *runner) checkLeaving() {
	senders := r.sendersByRequest()
	for replica, since := range r.leavingSince {
		informedAt := map[daemonIncarnation]time.Time{}
		for _, att := range r.attempts {
			for _, run := range r.ledger.Runs(att.call.ID) {
				p := daemonIncarnation{att.daemon, att.incarnation}
				if at, known := informedAt[p]; run.Replica == replica && run.StartedAt.After(since) && (!known || att.endedAt.Before(at)) {
					informedAt[p] = att.endedAt
				}
			}
		}
		for _, a := range r.replicaByID(replica).Arrivals() {
			s, known := senders[a.RequestID]
			at, informed := informedAt[s.daemonIncarnation]
			if known && informed && s.startedAt.Sub(at) > drainBound && s.daemon.ranUninterrupted(at, a.ArrivedAt) {
				r.recordViolation("leaving: %s reached %s %s after it had announced to %s that it is leaving", a.RequestID, replica, s.startedAt.Sub(at).Round(time.Millisecond), s.daemon.name)
			}
		}
	}
}

// checkBackoffs checks that daemon processes that ran uninterrupted keep to the backoffs
// that replicas asked for.
func (r *runner) checkBackoffs() {
	senders := r.sendersByRequest()
	for _, rep := range r.replicas {
		arrivals := rep.Arrivals()
		for i, refusal := range arrivals {
			seconds, err := strconv.ParseFloat(refusal.RetryAfter, 64)
			s, known := senders[refusal.RequestID]
			if err != nil || !known || s.answerMayBeLost {
				continue
			}
			until := refusal.ArrivedAt.Add(time.Duration(seconds * float64(time.Second)))
			if n := s.countArrivals(arrivals[i+1:], senders, refusal.ArrivedAt.Add(backoffPropagation), until); n > maxRequestsDuringBackoff && s.daemon.ranUninterrupted(refusal.ArrivedAt.Add(-undisturbedMargin), until) {
				r.recordViolation("backoff: %s got %d requests from %s in the backoff of %s s that it had asked for", rep.ID, n, s.daemon.name, refusal.RetryAfter)
			}
		}
	}
}

// countArrivals counts the arrivals that process p sent, from inclusive to until exclusive.
func (p daemonIncarnation) countArrivals(arrivals []site.Arrival, senders map[string]sender, from, until time.Time) int {
	n := 0
	for _, a := range arrivals {
		if !a.ArrivedAt.Before(from) && a.ArrivedAt.Before(until) && senders[a.RequestID].daemonIncarnation == p {
			n++
		}
	}
	return n
}
