package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

const (
	// minStreamPause and maxStreamPause bound how long engines pause inside their streams.
	minStreamPause = 900 * time.Millisecond
	maxStreamPause = 3 * time.Second
	// resumeMargin is how long a daemon that was suspended and resumed may still wrongly end
	// streams.
	resumeMargin = time.Second
	// startMargin bounds the time between a request's arrival at a replica and the start of
	// its run.
	startMargin = 100 * time.Millisecond
)

// pauseEngines repeatedly makes some or all engines pause inside their streams, until ctx
// ends.
func (r *runner) pauseEngines(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		after, pause := rng.IntN(eventsPerStream), randomDuration(rng, minStreamPause, maxStreamPause)
		active, idle := randomDuration(rng, 150*time.Millisecond, 600*time.Millisecond), randomDuration(rng, 800*time.Millisecond, 1800*time.Millisecond)
		oneIn := 1 + rng.IntN(3)
		r.mu.Lock()
		engines := slices.DeleteFunc(slices.Clone(r.replicas), func(rep *site.Replica) bool { return rep.Kind != site.Engine })
		r.mu.Unlock()
		for i, rep := range engines {
			if i%oneIn == 0 {
				r.recordFault("%s pauses for %s after %d events", rep.ID, pause.Round(time.Millisecond), after)
				rep.PauseStreams(after, pause)
			}
		}
		sleep(ctx, active)
		for _, rep := range engines {
			rep.PauseStreams(0, 0)
		}
		sleep(ctx, idle)
	}
}

// randomDuration draws a duration from lower to upper, exclusive.
func randomDuration(rng *rand.Rand, lower, upper time.Duration) time.Duration {
	return lower + time.Duration(rng.Int64N(int64(upper-lower)))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// checkStreams checks that daemons don't end the streams of healthy replicas because a stream
// pauses. A stream must not be aborted while its caller waits, and if a daemon ends a run,
// another run must continue the request. Daemons that were interrupted, that are in the tail
// of their shutdown grace, or whose request is past its deadline, are exempt.
func (r *runner) checkStreams(att attempt, runs []site.Run) {
	if att.abandoned || len(runs) == 0 {
		return
	}
	if !att.daemon.ranUninterrupted(att.startedAt.Add(-resumeMargin), att.endedAt) || att.daemon.graceEnding(att.startedAt, att.endedAt) || r.peerMayHaveFailed(att) {
		return
	}
	last := runs[len(runs)-1]
	if last.Service != "llm" || !r.healthyDuring(last, att) {
		return
	}
	if last.End == site.Completed && last.EndedAt.Sub(last.StartedAt) >= minStreamPause {
		r.report.PausedStreams++
	}
	switch {
	case last.End == site.Cancelled && att.beforeDeadline(last.EndedAt):
		r.recordViolation("stream: %s of %s was ended at %s after %s, and no other run continued it", att.call.ID, att.daemon.name, last.Replica, last.EndedAt.Sub(last.StartedAt).Round(time.Millisecond))
	case att.response.Err != nil && att.beforeDeadline(att.endedAt):
		r.recordViolation("stream: %s of %s was aborted after %s; its state at %s: %s", att.call.ID, att.daemon.name, att.endedAt.Sub(att.startedAt).Round(time.Millisecond), last.Replica, last.End)
	}
}

// healthyDuring reports whether the replica of a run did not misbehave until both the run and
// the answer had ended, and was not draining.
func (r *runner) healthyDuring(run site.Run, att attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.replicaByID(run.Replica)
	if rep == nil {
		return false
	}
	since, draining := r.drainingSince[run.Replica]
	drainedBeforeEnd := draining && since.Before(att.endedAt)
	return !drainedBeforeEnd && rep.HealthyThroughout(run.StartedAt.Add(-startMargin), att.endedAt)
}

// silenceReplicas makes random replicas process nothing for about a second, one after the
// other, until ctx ends. They count as healthy.
func (r *runner) silenceReplicas(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, randomDuration(rng, 500*time.Millisecond, 2*time.Second))
		duration := randomDuration(rng, 500*time.Millisecond, 1200*time.Millisecond)
		r.mu.Lock()
		rep := r.replicas[rng.IntN(len(r.replicas))]
		r.mu.Unlock()
		r.recordFault("%s is silent for %s", rep.ID, duration)
		rep.Silence(duration)
		sleep(ctx, duration)
	}
}
