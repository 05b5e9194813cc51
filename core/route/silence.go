package route

import (
	"time"

	"github.com/wheatseam/wheatseam/core/request"
)

const (
	// briefSilence is the longest time for which an upstream may process nothing and go on
	// without being ejected as slow. Such a silence delays every call in flight, but it is
	// one event.
	briefSilence = 1500 * time.Millisecond
	// silenceDrain is the least time after a silence in which the calls that it delayed
	// complete; it is longer if their usual latency is.
	silenceDrain = 100 * time.Millisecond
)

// silence is a time in which an upstream may have processed nothing, as shown by slow calls.
type silence struct {
	// shownAt is when the first slow call ended; zero if there was none.
	shownAt time.Time
	// endedAt is when a call first completed at or after shownAt; zero if none has yet.
	endedAt time.Time
	// delayed is the number of further calls that it may have delayed.
	delayed int
}

// observeSlow records a slow call, of the given multiple of the usual latency, that has ended
// at now. It reports whether the call may have been delayed by the silence that an earlier call
// has shown. The call then says nothing new of the upstream's latency.
func (s *silence) observeSlow(now time.Time, o *request.Outcome, ratio float64) bool {
	usual := scaleDuration(o.Latency, 1/ratio)
	if s.explains(now, now.Add(-o.Latency), usual, o.Latency-usual) {
		s.delayed++
		return true
	}
	*s = silence{shownAt: now}
	return false
}

// explains reports whether the silence may have delayed a call by delay that began at begin
// and ended at now.
func (s *silence) explains(now, begin time.Time, usual, delay time.Duration) bool {
	switch {
	case s.shownAt.IsZero() || delay > briefSilence || now.Sub(s.shownAt) > briefSilence:
		return false
	case s.endedAt.IsZero():
		return true
	}
	return begin.Before(s.endedAt) && now.Sub(s.endedAt) <= max(silenceDrain, 2*usual)
}

// observeCompleted records that a call has completed at now.
func (s *silence) observeCompleted(now time.Time) {
	if !s.shownAt.IsZero() && s.endedAt.IsZero() {
		s.endedAt = now
	}
}
