package soak

import (
	"net/http"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// eventsPerStream is the number of events in a complete stream of an engine.
const eventsPerStream = 5

// checkGuarantees compares what callers received with what replicas ran and records the
// violations.
func (r *runner) checkGuarantees() {
	r.report.Requests = len(r.attempts)
	requests := map[string]int{}
	retries := map[string]int{}
	for _, att := range r.attempts {
		runs := r.ledger.Runs(att.call.ID)
		r.countOutcome(att)
		r.checkAttempt(att, runs)
		service := "plain"
		if att.call.Streams() {
			service = "llm"
		}
		requests[service]++
		retries[service] += max(0, len(runs)-1)
		r.checkDrain(att, runs)
		r.checkEvacuations(att, runs)
		r.checkStreams(att, runs)
	}
	windows := max(1, r.cfg.Duration.Seconds()/10)
	for service, n := range retries {
		if float64(n) > budgetRatio*float64(requests[service])+budgetSlack*(windows+1) {
			r.recordViolation("budget: %d retries for %d requests of %s", n, requests[service], service)
		}
	}
	r.checkConfigurations()
	r.checkPoisonRequests()
	r.checkEvents()
	r.countStreams()
	r.checkVersions()
	r.checkLimits()
	r.checkLeaving()
	r.checkBackoffs()
	r.checkCuts()
	r.checkRefusals()
	for _, f := range r.ledger.Violations() {
		r.recordViolation("replicas: %s", f)
	}
	for _, d := range r.daemons {
		if d.unexpectedExits > 0 {
			r.recordViolation("%s exited unexpectedly %d times", d.name, d.unexpectedExits)
		}
	}
}

func (r *runner) countOutcome(att attempt) {
	switch {
	case att.abandoned:
		r.report.Abandoned++
	case att.response.Err != nil:
		r.report.Incomplete++
	case att.response.Status == http.StatusOK:
		r.report.Served++
	case att.response.NotExecuted():
		r.report.Refused++
	default:
		r.report.Failed++
	}
}

// checkAttempt checks the guarantees that concern a single attempt.
func (r *runner) checkAttempt(att attempt, runs []site.Run) {
	id := att.call.ID
	atMostOnce := att.call.Path == site.UnsafePath || att.call.Path == site.StreamPath
	if atMostOnce && len(runs) > 1 {
		r.recordViolation("at most once: %s ran %d times", id, len(runs))
	}
	if len(runs) > 2 {
		r.recordViolation("attempts: %s ran %d times", id, len(runs))
	}
	if att.response.NotExecuted() && len(runs) > 0 && atMostOnce {
		r.recordViolation("refusal: %s was answered %d, which says that it did not run, but it ran", id, att.response.Status)
	}
	if mismatch := att.call.Check(att.response, eventsPerStream); mismatch != "" {
		r.recordViolation("answer: %s: %s", id, mismatch)
	}
	for _, run := range runs {
		if run.HasAPIKey || run.Tenant != "firma" || run.Body != att.call.Payload() || run.Target != att.call.Path+att.call.Payload() {
			r.recordViolation("request: %s reached %s with changed content or headers", id, run.Replica)
		}
	}
	if att.response.Err != nil && !att.abandoned && att.beforeDeadline(att.endedAt) && r.onlyStoppedGracefully(att) && !r.peerMayHaveFailed(att) && len(runs) > 0 && r.neverMisbehaved(runs) {
		r.recordViolation("graceful stop: %s of %s was aborted: %v", id, att.daemon.name, att.response.Err)
	}
}

// onlyStoppedGracefully reports whether the daemon was asked to stop, and no other fault
// has disturbed it since undisturbedMargin before the request. A daemon that was not
// stopped is excluded, since it may abort an answer that a replica aborted.
func (r *runner) onlyStoppedGracefully(att attempt) bool {
	att.daemon.mu.Lock()
	sigtermSent, incarnation := att.daemon.sigtermSent, att.daemon.incarnation
	att.daemon.mu.Unlock()
	return (sigtermSent || incarnation > att.incarnation) && att.daemon.undisturbedSince(att.startedAt.Add(-undisturbedMargin))
}

// neverMisbehaved reports whether none of the replicas of runs misbehaved at any time
// during the soak, so that none of them can have aborted the answer. Replicas change
// their behaviour within seconds, so checking only the time of the request is not enough.
func (r *runner) neverMisbehaved(runs []site.Run) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range runs {
		if rep := r.replicaByID(run.Replica); rep == nil || rep.WasUnhealthy() {
			return false
		}
	}
	return true
}

// replicaByID returns the replica with the id, or nil. The caller holds mu while the
// soak runs.
func (r *runner) replicaByID(id string) *site.Replica {
	if i := slices.IndexFunc(r.replicas, func(rep *site.Replica) bool { return rep.ID == id }); i >= 0 {
		return r.replicas[i]
	}
	return nil
}

// checkDrain checks that a draining replica got no new work after its drainLimit, from daemons
// that have been undisturbed since before the replica began to drain.
func (r *runner) checkDrain(att attempt, runs []site.Run) {
	for _, run := range runs {
		since, draining := r.drainingSince[run.Replica]
		if draining && att.startedAt.After(r.drainLimit(since)) && att.daemon.undisturbedSince(since.Add(-undisturbedMargin)) {
			r.recordViolation("drain: %s ran at %s %s after it began to drain", att.call.ID, run.Replica, att.startedAt.Sub(since).Round(time.Millisecond))
		}
	}
}

// drainLimit returns the time from which a replica that began to drain gets no new work, however
// often the store comes back from a copy later: drainBound after it began, if the store was not
// restored since undisturbedMargin before. Otherwise, daemons may not have seen the drain, since
// a copy lacked it, or since it was over and the replica gone before they read the copy: then they
// may try the replica for unlistedBound, besides, after the last copy that lacks the drain was
// made good.
func (r *runner) drainLimit(since time.Time) time.Time {
	limit, known := since.Add(drainBound), since
	stable := true
	for _, s := range r.restores {
		if s.from.After(limit) || s.until.Before(since.Add(-undisturbedMargin)) {
			continue
		}
		stable = false
		if s.copiedAt.Before(since) && s.until.After(known) && s.from.After(since) {
			known = s.until
		}
	}
	if stable {
		return limit
	}
	return known.Add(drainBound + unlistedBound)
}

// checkConfigurations checks that no daemon process reverts to an older configuration:
// once it has refused a revoked key, it serves no later request with that key.
func (r *runner) checkConfigurations() {
	type incarnationKey struct {
		daemon      *daemon
		incarnation int
		key         string
	}
	refusedAt := map[incarnationKey]time.Time{}
	attempts := slices.Clone(r.attempts)
	slices.SortFunc(attempts, func(a, b attempt) int { return a.endedAt.Compare(b.endedAt) })
	for _, att := range attempts {
		inc := incarnationKey{att.daemon, att.incarnation, att.call.Key}
		revokedAt, revoked := r.revokedAt[att.call.Key]
		if !revoked || att.response.Err != nil || att.startedAt.Before(revokedAt) {
			continue // before the revocation, 401 may mean that the daemon does not know the key yet
		}
		firstRefusal, refused := refusedAt[inc]
		switch {
		case att.response.Status == http.StatusUnauthorized && !refused:
			refusedAt[inc] = att.endedAt
		case att.response.Status == http.StatusOK && refused && att.startedAt.After(firstRefusal) && att.daemon.currentIncarnation() == att.incarnation:
			r.recordViolation("configuration: %s served %s with a revoked key that it had refused before", att.daemon.name, att.call.ID)
		}
	}
}
