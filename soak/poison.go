package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// The guarantee for requests that crash the replicas that run them: after crashesToQuarantine
// crashes, or crashesOfPart if the cause is a part of their prompts, and another propagationTime,
// undisturbed daemons send such requests to replicas at most maxLateAttempts more times.
const (
	crashesToQuarantine = 3
	crashesOfPart       = 5
	propagationTime     = 3 * time.Second
	maxLateAttempts     = 3
)

// poisonRequest is a kind of requests that crash the replicas that run them: those with a
// content, or those with a part in their prompts, no two of which are alike.
type poisonRequest struct{ content, part, path string }

// poisonRequests holds one request for plain replicas, and one and a part for engines.
var poisonRequests = []poisonRequest{{content: "culprit-1", path: site.SafePath}, {content: "culprit-2", path: site.StreamPath}}

var poisonPart = poisonRequest{part: "bad", path: site.StreamPath}

// cause is what crashes replicas.
func (p poisonRequest) cause() string { return cmp.Or(p.content, p.part) }

// poisonFor returns what crashes a replica of rep's kind, with a random delay until the crash and
// a random downtime.
func poisonFor(rep *site.Replica, rng *rand.Rand, crashed func(string)) []site.PoisonRequest {
	p := site.PoisonRequest{
		CrashDelay: time.Duration(5+rng.IntN(60)) * time.Millisecond, Downtime: time.Duration(700+rng.IntN(1200)) * time.Millisecond,
		OnCrash: crashed,
	}
	switch rep.Kind {
	case site.Plain:
		p.Body = poisonRequests[0].content
	case site.Engine:
		byPart := p
		p.Body, byPart.Part = poisonRequests[1].content, poisonPart.part
		return []site.PoisonRequest{p, byPart}
	}
	return []site.PoisonRequest{p}
}

// recordCrash records that a replica crashed because of a content or a part of a prompt.
func (r *runner) recordCrash(cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashTimes[cause] = append(r.crashTimes[cause], time.Now())
	at := time.Since(r.startedAt).Round(time.Millisecond)
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%8s  a replica crashes while running %s", at, cause))
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

// sendPoisonPart sends requests with a part that crashes replicas to random daemons until ctx
// ends.
func (r *runner) sendPoisonPart(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-part-%d", r.cfg.Seed, n)
		parts := []string{fmt.Sprintf("doc%d:10", n), promptSystem}
		parts = slices.Insert(parts, rng.IntN(len(parts)+1), poisonPart.part+":20")
		call := site.Call{
			ID: id, Deadline: callDeadline, Key: r.randomKey(rng), Path: poisonPart.path, Prompt: strings.Join(parts, ",") + ",own:5",
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

// checkPoisonRequests checks how often daemons send poison requests to replicas from
// propagationTime after the crash by which they are known. Daemons that were disturbed count again
// undisturbedMargin and propagationTime later.
func (r *runner) checkPoisonRequests() {
	attempts := map[string]attempt{}
	for _, att := range r.attempts {
		attempts[att.call.ID] = att
	}
	for _, poison := range poisonRequests {
		r.checkPoison(attempts, poison, r.ledger.RunsWithBody(poison.content), crashesToQuarantine)
	}
	r.checkPoison(attempts, poisonPart, r.ledger.RunsWithPart(poisonPart.part), crashesOfPart)
}

func (r *runner) checkPoison(attempts map[string]attempt, poison poisonRequest, runs []site.Run, threshold int) {
	crashes := r.crashTimes[poison.cause()]
	if len(crashes) < threshold {
		return
	}
	known := crashes[threshold-1]
	lateRuns := 0
	for _, run := range runs {
		att, ok := attempts[run.RequestID]
		informed := run.StartedAt.Add(-propagationTime)
		from := informed.Add(-undisturbedMargin)
		if ok && informed.After(known) && att.daemon.undisturbedBetween(from, run.StartedAt) && att.daemon.ranUninterrupted(from, run.StartedAt) {
			lateRuns++
		}
	}
	if lateRuns > maxLateAttempts {
		r.recordViolation("poison request: %s was sent to replicas %d times later than %s after it had crashed %d; %d crashed", poison.cause(), lateRuns, propagationTime, threshold, len(crashes))
	}
}
