package stages

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// The times after which the jobs of a silent daemon are dropped.
const (
	// orphanAfter is for jobs whose end the daemon does not know: while it waits
	// for one it polls several times a second. It is also for refused ones of whose
	// results it knows: it gives them up at once.
	orphanAfter = 1500 * time.Millisecond
	// unreadAfter is for jobs whose results it has: it says when they have been
	// read, and their holders keep them for seconds only.
	unreadAfter = 20 * time.Second
	// sweepEvery is the interval at which silent daemons are looked for.
	sweepEvery = 500 * time.Millisecond
)

// run passes ticks when they are due and drops the jobs of silent daemons.
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
		if clock.Since(swept) >= sweepEvery {
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

// nextTick is the time until the machine's next tick or sweep, whichever comes
// first; with nothing to do it is long.
func (p *planner) nextTick() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := time.Hour
	if len(p.jobs) > 0 {
		wait = sweepEvery
	}
	now := clock.Now()
	if next, ok := p.machine.NextTick(now); ok {
		wait = min(wait, next.Sub(now))
	}
	return max(time.Millisecond, wait)
}

// sweep drops the jobs of daemons that have been silent for too long. They may have
// gone on with another planner, and the word of that have been lost: results that they
// were told of are left alone, and outlive their time.
func (p *planner) sweep(now time.Time) {
	p.mu.Lock()
	var actions []stage.Action
	dropped := map[string]int{}
	for id, e := range p.jobs {
		if e.orphaned(now) {
			dropped[e.owner]++
			actions = append(actions, p.cancel(id, true)...)
		}
	}
	for name, o := range p.owners {
		if o.jobs == 0 && now.Sub(o.heard) > unreadAfter {
			delete(p.owners, name)
		}
	}
	p.mu.Unlock()
	for name, jobs := range dropped {
		p.log.Warn("jobs of a silent daemon dropped", zap.String("peer", name), zap.Int("jobs", jobs))
	}
	p.perform(actions)
}

// orphaned says whether the daemon that waits for a job, or has its results, has
// not named it for too long.
func (e *entry) orphaned(now time.Time) bool {
	switch {
	case e.owner == "":
		return false
	case e.told.IsZero():
		return now.Sub(e.heard) >= orphanAfter
	case e.end.Refused != nil:
		return now.Sub(e.told) >= orphanAfter
	}
	return now.Sub(e.told) >= unreadAfter
}

// stoodStill gives the jobs of other daemons up when this one, with jobs to see to
// several times a second, has done nothing for so long that their owners have gone on
// with another planner: it was frozen or asleep. What was made is theirs, and left
// alone. The lock is held.
func (p *planner) stoodStill(now time.Time) []stage.Action {
	gap := now.Sub(p.stepped)
	p.stepped = now
	if gap < orphanAfter || len(p.jobs) == 0 {
		return nil
	}
	var actions []stage.Action
	for id, e := range p.jobs {
		if e.owner != "" && e.told.IsZero() {
			p.forget(id) // not by step, which would look again
			actions = append(actions, p.machine.Step(now, stage.Cancelled{Job: id, HandedOver: true})...)
		}
	}
	p.log.Warn("planner stood still; jobs of others given up", zap.Duration("for", gap), zap.Int("left", len(p.jobs)))
	return actions
}
