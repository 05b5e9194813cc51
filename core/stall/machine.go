package stall

import "time"

// Config holds the timeouts of an attempt.
type Config struct {
	// Ask is the silence after which the replica is first asked for the status of the run,
	// and AskEvery the interval between further questions.
	Ask, AskEvery time.Duration
	// Doubted is the silence after which the run at a suspected replica is abandoned.
	Doubted time.Duration
	// Any is the silence after which the run is abandoned regardless of the reported
	// status.
	Any time.Duration
	// SecureEvery is the interval at which a failed reservation is retried.
	SecureEvery time.Duration
}

// Account is the status of a run according to its replica.
type Account uint8

// The statuses of a run.
const (
	// Untold: the replica has not been asked yet, or its response has no information about
	// runs.
	Untold Account = iota
	// AtWork: the replica works on the run and has produced nothing that has not arrived.
	AtWork
	// NoAnswer: the replica does not respond.
	NoAnswer
	// Ahead: the replica has produced more than what arrived. The connection has lost it.
	Ahead
	// NotListed: the replica responds and does not know the run.
	NotListed
)

// String returns the name of the status in logs and metrics.
func (a Account) String() string {
	switch a {
	case AtWork:
		return "at_work"
	case NoAnswer:
		return "no_answer"
	case Ahead:
		return "ahead"
	case NotListed:
		return "not_listed"
	}
	return "untold"
}

// Doubted reports whether the status makes the replica suspect.
func (a Account) Doubted() bool { return a == NoAnswer || a == Ahead || a == NotListed }

// Action is what the owner of a Machine has to do.
type Action uint8

// The actions.
const (
	// None means that nothing is to be done.
	None Action = iota
	// Ask asks the replica for the status of the run.
	Ask
	// Secure reserves what a run at another replica needs.
	Secure
	// GiveBack releases the reservation, or cancels it if it is in progress.
	GiveBack
	// Leave abandons the run; the next one uses the reservation.
	Leave
)

// Machine is the state machine of one attempt. It is not safe for concurrent use.
type Machine struct {
	cfg       Config
	lastEvent time.Time // arrival of the last event
	// account is the status reported since lastEvent, as of the time of the report.
	account   Account
	lastQuery time.Time // when the replica was last asked; zero if not since lastEvent
	querying  bool
	// reserving says that Secure has not been answered yet, and reservationWanted that its
	// result is still needed.
	reserving, reservationWanted bool
	lastDenied                   time.Time // when a reservation last failed; zero if not since lastEvent
	abandoned                    bool
}

// New returns a Machine for an attempt whose response began at the given time.
func New(now time.Time, c Config) *Machine { return &Machine{cfg: c, lastEvent: now} }

// Left reports whether the run has been abandoned.
func (m *Machine) Left() bool { return m.abandoned }

// Account returns the status of the run reported since the last event.
func (m *Machine) Account() Account { return m.account }

// Silence returns the time since the last event.
func (m *Machine) Silence(now time.Time) time.Duration { return now.Sub(m.lastEvent) }

// Event records that an event of the response arrived. It cancels a reservation in
// progress.
func (m *Machine) Event(now time.Time) Action {
	if m.abandoned {
		return None
	}
	m.lastEvent, m.account = now, Untold
	m.lastQuery, m.lastDenied = time.Time{}, time.Time{}
	if m.reserving && m.reservationWanted {
		m.reservationWanted = false
		return GiveBack
	}
	return None
}

// Awake records that this host was suspended or got no processor time until now. Events
// that the replica sent meanwhile may still be unread, so the silence is measured from now.
func (m *Machine) Awake(now time.Time) Action { return m.Event(now) }

// Told records the status for which the replica was asked at the given time. A status that
// was asked for before the last event is outdated and ignored.
func (m *Machine) Told(asked time.Time, a Account) {
	m.querying = false
	if !asked.Before(m.lastEvent) {
		m.account = a
	}
}

// Secured records that everything that another run needs is reserved. It returns Leave or
// GiveBack.
func (m *Machine) Secured(now time.Time) Action {
	m.reserving = false
	if m.abandoned || !m.reservationWanted || !m.abandonDue(now) {
		return GiveBack
	}
	m.abandoned = true
	return Leave
}

// Denied records that the reservation failed, since something that another run needs is not
// available.
func (m *Machine) Denied(now time.Time) {
	m.reserving = false
	m.lastDenied = now
}

// Tick returns the action that is due. It has to be called again until it returns None, and
// at the time that Next returns.
func (m *Machine) Tick(now time.Time) Action {
	switch {
	case m.abandoned:
		return None
	case m.queryDue(now):
		m.querying, m.lastQuery = true, now
		return Ask
	case !m.reserving && m.abandonDue(now) && now.Sub(m.lastDenied) >= m.cfg.SecureEvery:
		m.reserving, m.reservationWanted = true, true
		return Secure
	}
	return None
}

// Next returns when Tick may next return an action if no other method is called before.
func (m *Machine) Next(now time.Time) time.Time {
	times := []time.Time{m.lastEvent.Add(m.cfg.Doubted), m.lastEvent.Add(m.cfg.Any), m.lastDenied.Add(m.cfg.SecureEvery)}
	if m.lastQuery.IsZero() {
		times = append(times, m.lastEvent.Add(m.cfg.Ask))
	} else {
		times = append(times, m.lastQuery.Add(m.cfg.AskEvery))
	}
	next := now.Add(m.cfg.AskEvery)
	for _, at := range times {
		if at.After(now) && at.Before(next) {
			next = at
		}
	}
	return next
}

// queryDue reports whether the replica is to be asked now.
func (m *Machine) queryDue(now time.Time) bool {
	if m.querying || m.Silence(now) < m.cfg.Ask {
		return false
	}
	return m.lastQuery.IsZero() || now.Sub(m.lastQuery) >= m.cfg.AskEvery
}

// abandonDue reports whether the run is to be abandoned once another one has been reserved.
func (m *Machine) abandonDue(now time.Time) bool {
	silence := m.Silence(now)
	return silence >= m.cfg.Any || m.account.Doubted() && silence >= m.cfg.Doubted
}
