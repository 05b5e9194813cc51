package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

const (
	// leastPause and mostPause bound how long engines pause inside their streams.
	leastPause = 900 * time.Millisecond
	mostPause  = 3 * time.Second
	// woken is how long a process that was halted may still end what it should not.
	woken = time.Second
	// begun bounds the time from a request's arrival at a replica to its run.
	begun = 100 * time.Millisecond
)

// pauseEngines has engines pause inside their streams, some at a time or all, until
// ctx ends.
func (r *Run) pauseEngines(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		after, pause := rng.IntN(eventsOfStream), between(rng, leastPause, mostPause)
		lasts, calm := between(rng, 150*time.Millisecond, 600*time.Millisecond), between(rng, 800*time.Millisecond, 1800*time.Millisecond)
		oneIn := 1 + rng.IntN(3)
		r.mu.Lock()
		engines := slices.DeleteFunc(slices.Clone(r.replicas), func(rep *site.Replica) bool { return rep.Kind != site.Engine })
		r.mu.Unlock()
		for i, rep := range engines {
			if i%oneIn == 0 {
				r.note("%s pauses for %s after %d events", rep.ID, pause.Round(time.Millisecond), after)
				rep.PauseStreams(after, pause)
			}
		}
		rest(ctx, lasts)
		for _, rep := range engines {
			rep.PauseStreams(0, 0)
		}
		rest(ctx, calm)
	}
}

// between draws a time.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// rest waits for a while, or until ctx ends.
func rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// checkSilence holds daemons that ran on, and have time, to not ending streams of sound replicas: a
// stream is broken off for no caller that waits, and where a run is ended another one
// goes on.
func (r *Run) checkSilence(x done, runs []site.Run) {
	if x.left || len(runs) == 0 {
		return
	}
	if !x.daemon.ranThrough(x.began.Add(-woken), x.ended) || x.daemon.graceOver(x.began, x.ended) {
		return
	}
	last := runs[len(runs)-1]
	if last.Service != "llm" || !r.sound(last, x) {
		return
	}
	if last.End == site.Completed && last.EndedAt.Sub(last.StartedAt) >= leastPause {
		r.report.Paused++
	}
	switch {
	case last.End == site.Cancelled && x.inTime(last.EndedAt):
		r.violate("silence: %s of %s was ended at %s after %s, and nothing went on", x.call.ID, x.daemon.name, last.Replica, last.EndedAt.Sub(last.StartedAt).Round(time.Millisecond))
	case x.heard.Err != nil && x.inTime(x.ended):
		r.violate("silence: %s of %s was broken off after %s; %s had it %s", x.call.ID, x.daemon.name, x.ended.Sub(x.began).Round(time.Millisecond), last.Replica, last.End)
	}
}

// sound says whether the replica of a run behaved well until the run and the answer
// had ended, and was not leaving.
func (r *Run) sound(run site.Run, x done) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.replica(run.Replica)
	if rep == nil {
		return false
	}
	since, draining := r.draining[run.Replica]
	leaving := draining && since.Before(x.ended)
	return !leaving && rep.HealthyThroughout(run.StartedAt.Add(-begun), x.ended)
}
