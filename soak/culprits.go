package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// The promise on requests that crash replicas: crashesToKnow make one known, and
// contact later undisturbed daemons send it on in moreAllowed attempts at most.
const (
	crashesToKnow = 3
	contact       = 3 * time.Second
	moreAllowed   = 3
)

// culprit is a request that crashes the replicas that run it.
type culprit struct{ content, path string }

// culprits come to plain replicas and to engines.
var culprits = []culprit{{"culprit-1", site.SafePath}, {"culprit-2", site.StreamPath}}

// poison is what crashes a replica.
func poison(rep *site.Replica, rng *rand.Rand, crashed func(string)) site.PoisonRequest {
	p := site.PoisonRequest{
		CrashDelay: time.Duration(5+rng.IntN(60)) * time.Millisecond, Downtime: time.Duration(700+rng.IntN(1200)) * time.Millisecond,
		OnCrash: crashed,
	}
	switch rep.Kind {
	case site.Plain:
		p.Body = culprits[0].content
	case site.Engine:
		p.Body = culprits[1].content
	}
	return p
}

// noteCrash notes that a replica crashed under a culprit.
func (r *Run) noteCrash(content string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed[content] = append(r.crashed[content], time.Now())
	at := time.Since(r.began).Round(time.Millisecond)
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%8s  a replica crashes under %s", at, content))
}

// returned registers a replica that has started again, unless it is leaving.
func (r *Run) returned(rep *site.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, leaving := r.draining[rep.ID]; !leaving {
		r.store.Put("servers/"+rep.ID, site.StoreEntry(rep, "ready"))
	}
}

// sendCulprits sends the culprits to any daemon, under new ids, until ctx ends.
func (r *Run) sendCulprits(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		c := culprits[rng.IntN(len(culprits))]
		call := site.Call{
			ID: fmt.Sprintf("%d-culprit-%d", r.cfg.Seed, n), Deadline: callDeadline, Key: r.drawKey(rng), Path: c.path, Content: c.content,
		}
		r.send(http.DefaultClient, rng, r.daemons[rng.IntN(len(r.daemons))], call)
		time.Sleep(time.Duration(100+rng.IntN(300)) * time.Millisecond)
	}
}

// suspendHosts has the hosts of daemons sleep until ctx ends.
func (r *Run) suspendHosts(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(1000+rng.IntN(3000)) * time.Millisecond):
		}
		r.suspend(r.daemons[rng.IntN(len(r.daemons))], time.Duration(200+rng.IntN(1500))*time.Millisecond)
	}
}

// checkCulprits holds the daemons that were undisturbed to the promise.
func (r *Run) checkCulprits() {
	calls := map[string]done{}
	for _, x := range r.calls {
		calls[x.call.ID] = x
	}
	for _, c := range culprits {
		crashed := r.crashed[c.content]
		if len(crashed) < crashesToKnow {
			continue
		}
		third := crashed[crashesToKnow-1]
		late := 0
		for _, run := range r.ledger.RunsWithBody(c.content) {
			x, ok := calls[run.RequestID]
			if ok && run.StartedAt.After(third.Add(contact)) && x.daemon.calm(third) && x.life == x.daemon.lives() {
				late++
			}
		}
		if late > moreAllowed {
			r.violate("culprits: %s was sent to replicas %d times later than %s after it had crashed three; %d crashed", c.content, late, contact, len(crashed))
		}
	}
}
