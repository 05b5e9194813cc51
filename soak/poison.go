package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// The guarantee for poison requests, which crash the replicas that run them: after
// crashesToQuarantine crashes and another propagationTime, undisturbed daemons send the
// request to replicas at most maxLateAttempts more times.
const (
	crashesToQuarantine = 3
	propagationTime     = 3 * time.Second
	maxLateAttempts     = 3
)

// poisonRequest is a request that crashes the replicas that run it.
type poisonRequest struct{ content, path string }

// poisonRequests holds one request for plain replicas and one for engines.
var poisonRequests = []poisonRequest{{"culprit-1", site.SafePath}, {"culprit-2", site.StreamPath}}

// poisonFor returns the content that crashes a replica of rep's kind, with a random delay
// until the crash and a random downtime.
func poisonFor(rep *site.Replica, rng *rand.Rand, crashed func(string)) site.PoisonRequest {
	p := site.PoisonRequest{
		CrashDelay: time.Duration(5+rng.IntN(60)) * time.Millisecond, Downtime: time.Duration(700+rng.IntN(1200)) * time.Millisecond,
		OnCrash: crashed,
	}
	switch rep.Kind {
	case site.Plain:
		p.Body = poisonRequests[0].content
	case site.Engine:
		p.Body = poisonRequests[1].content
	}
	return p
}

// recordCrash records that a replica crashed while running a poison request.
func (r *runner) recordCrash(content string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashTimes[content] = append(r.crashTimes[content], time.Now())
	at := time.Since(r.startedAt).Round(time.Millisecond)
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%8s  a replica crashes while running %s", at, content))
}

// registerRestarted registers a replica that has restarted after a crash, unless it is
// draining.
func (r *runner) registerRestarted(rep *site.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, draining := r.drainingSince[rep.ID]; !draining {
		r.store.Put("servers/"+rep.ID, site.StoreEntry(rep, "ready"))
	}
}

// sendPoisonRequests sends the poison requests to random daemons, each time under a new id,
// until ctx ends.
func (r *runner) sendPoisonRequests(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		poison := poisonRequests[rng.IntN(len(poisonRequests))]
		call := site.Call{
			ID: fmt.Sprintf("%d-culprit-%d", r.cfg.Seed, n), Deadline: callDeadline, Key: r.randomKey(rng), Path: poison.path, Content: poison.content,
		}
		r.send(http.DefaultClient, rng, r.daemons[rng.IntN(len(r.daemons))], call)
		time.Sleep(time.Duration(100+rng.IntN(300)) * time.Millisecond)
	}
}

// suspendHosts simulates the suspension of random daemons' hosts until ctx ends.
func (r *runner) suspendHosts(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(1000+rng.IntN(3000)) * time.Millisecond):
		}
		r.suspendHost(r.daemons[rng.IntN(len(r.daemons))], time.Duration(200+rng.IntN(1500))*time.Millisecond)
	}
}

// checkPoisonRequests checks that undisturbed daemons send a poison request to replicas at
// most maxLateAttempts times from propagationTime after the crash that quarantines it.
func (r *runner) checkPoisonRequests() {
	attempts := map[string]attempt{}
	for _, att := range r.attempts {
		attempts[att.call.ID] = att
	}
	for _, poison := range poisonRequests {
		crashes := r.crashTimes[poison.content]
		if len(crashes) < crashesToQuarantine {
			continue
		}
		third := crashes[crashesToQuarantine-1]
		lateRuns := 0
		for _, run := range r.ledger.RunsWithBody(poison.content) {
			att, ok := attempts[run.RequestID]
			if ok && run.StartedAt.After(third.Add(propagationTime)) && att.daemon.undisturbedSince(third) && att.incarnation == att.daemon.currentIncarnation() {
				lateRuns++
			}
		}
		if lateRuns > maxLateAttempts {
			r.recordViolation("poison request: %s was sent to replicas %d times later than %s after it had crashed three; %d crashed", poison.content, lateRuns, propagationTime, len(crashes))
		}
	}
}
