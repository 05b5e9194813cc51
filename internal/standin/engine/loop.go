package engine

import "time"

// maxLate is how far the steps may fall behind real time before the engine
// stops trying to catch up, as after a pause.
const maxLate = 20 * time.Millisecond

// run takes step after step until the engine is closed.
func (e *Engine) run() {
	defer close(e.stopped)
	due := time.Now()
	for e.ctx.Err() == nil {
		step := e.plan()
		if step == 0 {
			e.idle()
			due = time.Now()
			continue
		}
		due = due.Add(time.Duration(float64(step) * e.cfg.TimeScale))
		e.sleepUntil(due)
		e.faults.AwaitThaw(e.ctx)
		if now := time.Now(); now.Sub(due) > maxLate {
			due = now
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
	return e.faults.Slow(step)
}

func (e *Engine) advance(step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.advance(step)
	e.updateLoad(time.Now())
}

func (e *Engine) idle() {
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
