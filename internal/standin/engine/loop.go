package engine

import "time"

// maxStepDelay is the maximum delay of a step behind its scheduled end. Beyond it,
// for example after a pause of the process, the engine does not catch up but
// schedules the following steps from the current time.
const maxStepDelay = 20 * time.Millisecond

// run executes steps until the engine is closed.
func (e *Engine) run() {
	defer close(e.stopped)
	stepEnd := time.Now()
	for e.ctx.Err() == nil {
		step := e.plan()
		if step == 0 {
			e.waitForWork()
			stepEnd = time.Now()
			continue
		}
		stepEnd = stepEnd.Add(time.Duration(float64(step) * e.cfg.TimeScale))
		e.sleepUntil(stepEnd)
		e.faults.WaitWhileFrozen(e.ctx)
		if now := time.Now(); now.Sub(stepEnd) > maxStepDelay {
			stepEnd = now
		}
		e.advance(step)
	}
}

func (e *Engine) plan() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	step := e.batch.plan()
	if step == 0 {
		e.updateLoad(time.Now())
	}
	return e.faults.ScaleServiceTime(step)
}

func (e *Engine) advance(step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.advance(step)
	e.updateLoad(time.Now())
}

// waitForWork waits until a sequence is submitted or the engine is closed.
func (e *Engine) waitForWork() {
	select {
	case <-e.wake:
	case <-e.ctx.Done():
	}
}

func (e *Engine) sleepUntil(due time.Time) {
	d := time.Until(due)
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-e.ctx.Done():
	}
}
