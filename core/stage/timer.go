package stage

import "time"

// timer holds the next time at which something is checked. The zero value is not set. The
// check that follows schedules the timer again.
type timer struct{ at time.Time }

// schedule sets the timer to a time, unless it is already set to an earlier one.
func (a *timer) schedule(at time.Time) {
	if a.at.IsZero() || at.Before(a.at) {
		a.at = at
	}
}

// due reports whether the time has come, and resets the timer if so.
func (a *timer) due(now time.Time) bool {
	if a.at.IsZero() || now.Before(a.at) {
		return false
	}
	a.at = time.Time{}
	return true
}
