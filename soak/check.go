package soak

import (
	"net/http"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// eventsOfStream is the number of events of an engine's stream.
const eventsOfStream = 5

// check holds what callers heard against what replicas did.
func (r *Run) check() {
	r.report.Requests = len(r.calls)
	firsts := map[string]int{}
	repeats := map[string]int{}
	for _, x := range r.calls {
		runs := r.ledger.Runs(x.call.ID)
		r.count(x)
		r.checkOne(x, runs)
		service := "plain"
		if x.call.Path == site.StreamPath || x.call.Path == site.ResumablePath {
			service = "llm"
		}
		firsts[service]++
		repeats[service] += max(0, len(runs)-1)
		r.checkDrain(x, runs)
		r.checkEvacuations(x, runs)
		r.checkSilence(x, runs)
	}
	windows := max(1, r.cfg.Duration.Seconds()/10)
	for service, n := range repeats {
		if float64(n) > budgetRatio*float64(firsts[service])+budgetSlack*(windows+1) {
			r.violate("budget: %d repeats for %d requests of %s", n, firsts[service], service)
		}
	}
	r.checkVersions()
	r.checkCulprits()
	r.checkLimits()
	r.checkLeavers()
	r.checkRests()
	for _, f := range r.ledger.Violations() {
		r.violate("replicas: %s", f)
	}
	for _, d := range r.daemons {
		if d.ends > 0 {
			r.violate("%s ended by itself %d times", d.name, d.ends)
		}
	}
}

func (r *Run) count(x done) {
	switch {
	case x.left:
		r.report.Left++
	case x.heard.Err != nil:
		r.report.Broken++
	case x.heard.Status == http.StatusOK:
		r.report.Served++
	case x.heard.NotExecuted():
		r.report.Refused++
	default:
		r.report.Failed++
	}
}

// checkOne holds one attempt to the promises about it.
func (r *Run) checkOne(x done, runs []site.Run) {
	id := x.call.ID
	once := x.call.Path == site.UnsafePath || x.call.Path == site.StreamPath
	if once && len(runs) > 1 {
		r.violate("at most once: %s ran %d times", id, len(runs))
	}
	if len(runs) > 2 {
		r.violate("attempts: %s ran %d times", id, len(runs))
	}
	if x.heard.NotExecuted() && len(runs) > 0 && once {
		r.violate("refusal: %s was answered %d and ran", id, x.heard.Status)
	}
	if wrong := x.call.Check(x.heard, eventsOfStream); wrong != "" {
		r.violate("answer: %s: %s", id, wrong)
	}
	for _, run := range runs {
		if run.HasAPIKey || run.Tenant != "firma" || run.Body != x.call.Payload() || run.Target != x.call.Path+x.call.Payload() {
			r.violate("request: %s reached %s changed", id, run.Replica)
		}
	}
	if x.heard.Err != nil && !x.left && x.inTime(x.ended) && r.gracefulOnly(x) && len(runs) > 0 && r.answersWell(runs) {
		r.violate("graceful stop: %s of %s was broken off: %v", id, x.daemon.name, x.heard.Err)
	}
}

// gracefulOnly says whether the daemon was asked to stop and nothing else
// touched it around a request. A daemon that was not stopped at all may break
// off what a replica broke off.
func (r *Run) gracefulOnly(x done) bool {
	x.daemon.mu.Lock()
	graceful, life := x.daemon.graceful, x.daemon.life
	x.daemon.mu.Unlock()
	return (graceful || life > x.life) && x.daemon.calm(x.began.Add(-settle))
}

// answersWell says whether the replicas of runs had no misbehaviour during the
// soak that could have broken the answer off. Replicas change by the second, so
// that only those are taken that never misbehaved.
func (r *Run) answersWell(runs []site.Run) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range runs {
		if rep := r.replica(run.Replica); rep == nil || rep.WasUnhealthy() {
			return false
		}
	}
	return true
}

// replica returns a replica by its id; nil without it. The lock is held.
func (r *Run) replica(id string) *site.Replica {
	if i := slices.IndexFunc(r.replicas, func(rep *site.Replica) bool { return rep.ID == id }); i >= 0 {
		return r.replicas[i]
	}
	return nil
}

// checkDrain holds runs at draining replicas to the bound, for daemons that
// nothing touched meanwhile.
func (r *Run) checkDrain(x done, runs []site.Run) {
	for _, run := range runs {
		since, draining := r.draining[run.Replica]
		if draining && x.began.After(since.Add(drainBound)) && x.daemon.calm(since.Add(-settle)) {
			r.violate("drain: %s ran at %s %s after it drained", x.call.ID, run.Replica, x.began.Sub(since).Round(time.Millisecond))
		}
	}
}

// checkVersions holds each life of a daemon to never going back: once it has
// refused a key that was taken away, it serves it no more.
func (r *Run) checkVersions() {
	type life struct {
		daemon *daemon
		number int
		key    string
	}
	refused := map[life]time.Time{}
	calls := slices.Clone(r.calls)
	slices.SortFunc(calls, func(a, b done) int { return a.ended.Compare(b.ended) })
	for _, x := range calls {
		l := life{x.daemon, x.life, x.call.Key}
		takenAway, revoked := r.revoked[x.call.Key]
		if !revoked || x.heard.Err != nil || x.began.Before(takenAway) {
			continue // also a key that this daemon does not know yet is refused
		}
		at, known := refused[l]
		switch {
		case x.heard.Status == http.StatusUnauthorized && !known:
			refused[l] = x.ended
		case x.heard.Status == http.StatusOK && known && x.began.After(at) && x.daemon.lives() == x.life:
			r.violate("configuration: %s served %s after it had refused its key", x.daemon.name, x.call.ID)
		}
	}
}
