package stall

import "time"

// Config holds the timeouts of an attempt.
type Config struct {
	// QueryAfter is the silence after which the replica is first queried for the status of
	// the run, and QueryInterval the interval between further queries.
	QueryAfter, QueryInterval time.Duration
	// SuspectTimeout is the silence after which the run at a suspected replica is
	// abandoned.
	SuspectTimeout time.Duration
	// MaxSilence is the silence after which the run is abandoned regardless of the reported
	// status.
	MaxSilence time.Duration
	// ReserveRetryInterval is the interval at which a failed reservation is retried.
	ReserveRetryInterval time.Duration
}

// RunStatus is the status of a run according to its replica.
type RunStatus uint8

// The statuses of a run.
const (
	// Unknown: the replica has not been queried yet, or its response has no information
	// about runs.
	Unknown RunStatus = iota
	// Running: the replica works on the run and has produced nothing that has not arrived.
	Running
	// NoAnswer: the replica does not respond.
	NoAnswer
	// OutputLost: the replica has produced more than what arrived; the connection has lost
	// the difference.
	OutputLost
	// NotListed: the replica responds and does not know the run.
	NotListed
)

// String returns the name of the status in logs and metrics.
func (a RunStatus) String() string {
	switch a {
	case Running:
		return "at_work"
	case NoAnswer:
		return "no_answer"
	case OutputLost:
		return "ahead"
	case NotListed:
		return "not_listed"
	}
	return "untold"
}

// Suspect reports whether the status makes it likely that the run at the replica has
// failed.
func (a RunStatus) Suspect() bool { return a == NoAnswer || a == OutputLost || a == NotListed }

// Action is what the owner of a Monitor has to do.
type Action uint8

// The actions.
const (
	// None means that nothing is to be done.
	None Action = iota
	// Query asks the replica for the status of the run.
	Query
	// Reserve reserves what a run at another replica needs.
	Reserve
	// Release releases the reservation, or cancels it if it is in progress.
	Release
	// Abandon abandons the run; the next one uses the reservation.
	Abandon
)

// Monitor is the state machine of one attempt. It is not safe for concurrent use.
type Monitor struct {
	cfg       Config
	lastEvent time.Time // arrival of the last event
	// status is the status reported since lastEvent, as of the time of the report.
	status    RunStatus
	lastQuery time.Time // when the replica was last queried; zero if not since lastEvent
	querying  bool
	// reserving says that a Reserve has not been answered yet, and reservationWanted that
	// its result is still needed.
	reserving, reservationWanted bool
	lastDenied                   time.Time // when a reservation last failed; zero if not since lastEvent
	abandoned                    bool
}

// New returns a Monitor for an attempt whose response began at the given time.
func New(now time.Time, c Config) *Monitor { return &Monitor{cfg: c, lastEvent: now} }

// Abandoned reports whether the run has been abandoned.
func (m *Monitor) Abandoned() bool { return m.abandoned }

// Status returns the status of the run reported since the last event.
func (m *Monitor) Status() RunStatus { return m.status }

// Silence returns the time since the last event.
func (m *Monitor) Silence(now time.Time) time.Duration { return now.Sub(m.lastEvent) }

// Event records that an event of the response arrived. It cancels a reservation in
// progress.
func (m *Monitor) Event(now time.Time) Action {
	if m.abandoned {
		return None
	}
	m.lastEvent, m.status = now, Unknown
	m.lastQuery, m.lastDenied = time.Time{}, time.Time{}
	if m.reserving && m.reservationWanted {
		m.reservationWanted = false
		return Release
	}
	return None
}

// HostResumed records that this host was suspended or got no processor time until now.
// Events that the replica sent meanwhile may still be unread, so the silence is measured
// from now.
func (m *Monitor) HostResumed(now time.Time) Action { return m.Event(now) }

// RecordStatus records the status that a query returned which was sent at queriedAt. The
// status is ignored as outdated if the query was sent before the last event.
func (m *Monitor) RecordStatus(queriedAt time.Time, a RunStatus) {
	m.querying = false
	if !queriedAt.Before(m.lastEvent) {
		m.status = a
	}
}

// Reserved records that everything that another run needs is reserved. It returns Abandon
// or Release.
func (m *Monitor) Reserved(now time.Time) Action {
	m.reserving = false
	if m.abandoned || !m.reservationWanted || !m.abandonDue(now) {
		return Release
	}
	m.abandoned = true
	return Abandon
}

// ReservationFailed records that the reservation failed because something that another run
// needs is not available.
func (m *Monitor) ReservationFailed(now time.Time) {
	m.reserving = false
	m.lastDenied = now
}

// Tick returns the action that is due. It has to be called again until it returns None, and
// at the time that Next returns.
func (m *Monitor) Tick(now time.Time) Action {
	switch {
	case m.abandoned:
		return None
	case m.queryDue(now):
		m.querying, m.lastQuery = true, now
		return Query
	case !m.reserving && m.abandonDue(now) && now.Sub(m.lastDenied) >= m.cfg.ReserveRetryInterval:
		m.reserving, m.reservationWanted = true, true
		return Reserve
	}
	return None
}

// Next returns when Tick may next return an action if no other method is called before.
func (m *Monitor) Next(now time.Time) time.Time {
	times := []time.Time{m.lastEvent.Add(m.cfg.SuspectTimeout), m.lastEvent.Add(m.cfg.MaxSilence), m.lastDenied.Add(m.cfg.ReserveRetryInterval)}
	if m.lastQuery.IsZero() {
		times = append(times, m.lastEvent.Add(m.cfg.QueryAfter))
	} else {
		times = append(times, m.lastQuery.Add(m.cfg.QueryInterval))
	}
	next := now.Add(m.cfg.QueryInterval)
	for _, at := range times {
		if at.After(now) && at.Before(next) {
			next = at
		}
	}
	return next
}

// queryDue reports whether a query is due.
func (m *Monitor) queryDue(now time.Time) bool {
	if m.querying || m.Silence(now) < m.cfg.QueryAfter {
		return false
	}
	return m.lastQuery.IsZero() || now.Sub(m.lastQuery) >= m.cfg.QueryInterval
}

// abandonDue reports whether the run is to be abandoned once another one has been reserved.
func (m *Monitor) abandonDue(now time.Time) bool {
	silence := m.Silence(now)
	return silence >= m.cfg.MaxSilence || m.status.Suspect() && silence >= m.cfg.SuspectTimeout
}
