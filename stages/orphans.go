package stages

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// Timeouts after which the jobs of an unresponsive owner are dropped.
const (
	// orphanTimeout applies to jobs whose outcome has not been sent to the owner: an
	// owner that waits for an outcome polls several times a second. It also applies to
	// refused jobs with results known to the owner, which drops those at once.
	orphanTimeout = 1500 * time.Millisecond
	// unreadTimeout applies to jobs whose results the owner has: it drops the job once
	// the results have been read, and replicas keep results only for some seconds.
	unreadTimeout = 20 * time.Second
	// sweepInterval is the interval between checks for orphaned jobs.
	sweepInterval = 500 * time.Millisecond
)

// run passes due ticks to the machine and drops orphaned jobs, until ctx ends.
func (p *planner) run(ctx context.Context) {
	timer := clock.NewTimer(time.Hour)
	defer timer.Stop()
	swept := clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
			p.tick()
		}
		if clock.Since(swept) >= sweepInterval {
			swept = clock.Now()
			p.sweep(swept)
		}
		timer.Reset(p.nextTick())
	}
}

func (p *planner) tick() {
	p.mu.Lock()
	actions := p.step(stage.Tick{})
	p.mu.Unlock()
	p.perform(actions)
}

// nextTick returns the time until the machine's next tick or the next sweep, whichever
// comes first; an hour if nothing is due.
func (p *planner) nextTick() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := time.Hour
	if len(p.jobs) > 0 {
		wait = sweepInterval
	}
	now := clock.Now()
	if next, ok := p.machine.NextTick(now); ok {
		wait = min(wait, next.Sub(now))
	}
	return max(time.Millisecond, wait)
}

// sweep drops the jobs that their owners have not polled for too long. Such an owner may
// have handed its jobs over to another planner, and the message about the handover may have
// been lost, so results that were reported to the owner are not released here; they expire
// at the replica.
func (p *planner) sweep(now time.Time) {
	p.mu.Lock()
	var actions []stage.Action
	dropped := map[string]int{}
	for id, e := range p.jobs {
		if e.orphaned(now) {
			dropped[e.owner]++
			actions = append(actions, p.cancelJob(id, true)...)
		}
	}
	for name, o := range p.owners {
		if o.jobs == 0 && now.Sub(o.lastSeen) > unreadTimeout {
			delete(p.owners, name)
		}
	}
	p.mu.Unlock()
	for name, jobs := range dropped {
		p.log.Warn("dropped jobs of an unresponsive daemon", zap.String("peer", name), zap.Int("jobs", jobs))
	}
	p.perform(actions)
}

// orphaned returns whether the owner of a job, which waits for its outcome or has its
// results, has exceeded the timeout for it.
func (e *plannedJob) orphaned(now time.Time) bool {
	switch {
	case e.owner == "":
		return false
	case e.outcomeSentAt.IsZero():
		return now.Sub(e.lastPolled) >= orphanTimeout
	case e.outcome.Refused != nil:
		return now.Sub(e.outcomeSentAt) >= orphanTimeout
	}
	return now.Sub(e.outcomeSentAt) >= unreadTimeout
}

// dropAfterStall drops the jobs of other daemons whose outcome has not been sent to their
// owners, if this process was suspended (stopped, or the machine suspended) for so long that
// the owners have handed them over to another planner. It detects this by the time since the
// last event, since a planner with jobs receives events several times a second. Results that
// were reported to the owners are not released. The caller holds the lock.
func (p *planner) dropAfterStall(now time.Time) []stage.Action {
	gap := now.Sub(p.lastStep)
	p.lastStep = now
	if gap < orphanTimeout || len(p.jobs) == 0 {
		return nil
	}
	var actions []stage.Action
	for id, e := range p.jobs {
		if e.owner != "" && e.outcomeSentAt.IsZero() {
			p.removeJob(id) // not through step, which would call dropAfterStall again
			actions = append(actions, p.machine.Step(now, stage.Cancelled{Job: id, HandedOver: true})...)
		}
	}
	p.log.Warn("planner was suspended; dropped the jobs of other daemons", zap.Duration("for", gap), zap.Int("left", len(p.jobs)))
	return actions
}
