package replica

import "time"

const (
	// tickInterval is the interval at which the process's run time is counted.
	tickInterval = 10 * time.Millisecond
	// pauseThreshold is the time between two ticks from which the process counts as
	// having been suspended.
	pauseThreshold = 2 * tickInterval
	// resumeGrace is the minimum run time left after a suspension, so that data that
	// arrived during it is read before the timer fires.
	resumeGrace = 50 * time.Millisecond
)

// afterRunTime calls f once this process has run for d, unless stop is called first.
// Time in which the process was stopped or got no CPU does not count, because it could
// not read responses that arrived meanwhile.
func afterRunTime(d time.Duration, f func()) (stop func()) {
	stopped := make(chan struct{})
	ticker := time.NewTicker(tickInterval)
	go func() {
		defer ticker.Stop()
		if waitRunTime(d, ticker.C, stopped) {
			f()
		}
	}()
	return func() { close(stopped) }
}

// waitRunTime returns true once the ticks add up to d of run time, or false when stopped
// is closed first.
func waitRunTime(d time.Duration, ticks <-chan time.Time, stopped <-chan struct{}) bool {
	lastTick := time.Now()
	for remaining := d; remaining > 0; {
		select {
		case <-ticks:
		case <-stopped:
			return false
		}
		now := time.Now()
		if now.Sub(lastTick) >= pauseThreshold {
			remaining = max(remaining, resumeGrace)
		} else {
			remaining -= tickInterval
		}
		lastTick = now
	}
	return true
}
