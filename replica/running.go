package replica

import "time"

const (
	// runStep is the step in which the time that this process ran is counted.
	runStep = 10 * time.Millisecond
	// lateStep is the time between two steps from which the process stood still.
	lateStep = 2 * runStep
	// wakeGrace is for how long it must have run since it stood still: what came meanwhile
	// is read first.
	wakeGrace = 50 * time.Millisecond
)

// afterRunning calls f once this process has run for a time, unless stop is called before.
// Time in which it stood still, stopped or without a processor, does not count: answers
// may have come that nobody could read.
func afterRunning(d time.Duration, f func()) (stop func()) {
	stopped := make(chan struct{})
	ticker := time.NewTicker(runStep)
	go func() {
		defer ticker.Stop()
		if countSteps(d, ticker.C, stopped) {
			f()
		}
	}()
	return func() { close(stopped) }
}

// countSteps returns when the steps add up to a time, or false when stopped closes first.
func countSteps(d time.Duration, steps <-chan time.Time, stopped <-chan struct{}) bool {
	last := time.Now()
	for left := d; left > 0; {
		select {
		case <-steps:
		case <-stopped:
			return false
		}
		now := time.Now()
		if now.Sub(last) >= lateStep {
			left = max(left, wakeGrace)
		} else {
			left -= runStep
		}
		last = now
	}
	return true
}
