package stall

import "time"

// Config holds the times of silence of an attempt.
type Config struct {
	// Ask is the silence after which the replica is asked for its account, and
	// asked again after each further AskEvery.
	Ask, AskEvery time.Duration
	// Doubted is the silence after which a doubted replica is left.
	Doubted time.Duration
	// Any is the silence after which any replica is left, whatever it says.
	Any time.Duration
	// SecureEvery is the time after which it is tried again to secure what could
	// not be had.
	SecureEvery time.Duration
}

// Account is what is known of a run from its replica.
type Account uint8

// The accounts.
const (
	// Untold: the replica was not asked yet, or answers without telling of runs.
	Untold Account = iota
	// AtWork: it works on the run, and has made nothing that has not arrived.
	AtWork
	// NoAnswer: it does not answer.
	NoAnswer
	// Ahead: it has made more than what arrived. The connection has lost it.
	Ahead
	// NotListed: it answers, and does not know the run.
	NotListed
)

// String names the account in logs and metrics.
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

// Doubted says whether the account speaks against the run.
func (a Account) Doubted() bool { return a == NoAnswer || a == Ahead || a == NotListed }

// Action is what the owner of a Machine is to do.
type Action uint8

// The actions.
const (
	// None is nothing.
	None Action = iota
	// Ask asks the replica for its account.
	Ask
	// Secure secures what a run at another replica needs.
	Secure
	// GiveBack gives back what was secured, or stops securing it.
	GiveBack
	// Leave ends the run, in favour of what was secured.
	Leave
)

// Machine watches one attempt. It is not safe for concurrent use.
type Machine struct {
	cfg       Config
	lastEvent time.Time // when the last event arrived
	// account is what was told since then, at the time told.
	account   Account
	lastQuery time.Time // when it was asked last
	querying  bool
	// securing says that Secure is not answered yet; wanted that its result is.
	reserving, reservationWanted bool
	lastDenied                   time.Time // when it was last denied
	abandoned                    bool
}

// New returns a machine for an attempt whose answer began now.
func New(now time.Time, c Config) *Machine { return &Machine{cfg: c, lastEvent: now} }

// Left says whether the run has been ended by Leave.
func (m *Machine) Left() bool { return m.abandoned }

// Account returns what is known of the run since its last event.
func (m *Machine) Account() Account { return m.account }

// Silence returns the time since the last event.
func (m *Machine) Silence(now time.Time) time.Duration { return now.Sub(m.lastEvent) }

// Event notes that an event of the answer arrived. Securing is given up with it.
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

// Awake notes that this host stood still until now, asleep or without processor time.
// What the replica sent meanwhile is yet to be read: its silence begins now.
func (m *Machine) Awake(now time.Time) Action { return m.Event(now) }

// Told notes the replica's account, for which it was asked at a time. One from
// before the last event says nothing any more.
func (m *Machine) Told(asked time.Time, a Account) {
	m.querying = false
	if !asked.Before(m.lastEvent) {
		m.account = a
	}
}

// Secured notes that everything that another run needs is held. The answer is
// Leave or GiveBack.
func (m *Machine) Secured(now time.Time) Action {
	m.reserving = false
	if m.abandoned || !m.reservationWanted || !m.abandonDue(now) {
		return GiveBack
	}
	m.abandoned = true
	return Leave
}

// Denied notes that something that another run needs can't be had.
func (m *Machine) Denied(now time.Time) {
	m.reserving = false
	m.lastDenied = now
}

// Tick returns what is due. It is to be called again until it returns None, and
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

// Next returns when Tick may next have something to do, if nothing happens before.
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

// askDue says whether the replica is to be asked.
func (m *Machine) queryDue(now time.Time) bool {
	if m.querying || m.Silence(now) < m.cfg.Ask {
		return false
	}
	return m.lastQuery.IsZero() || now.Sub(m.lastQuery) >= m.cfg.AskEvery
}

// due says whether the replica is to be left, if another run can be secured.
func (m *Machine) abandonDue(now time.Time) bool {
	silence := m.Silence(now)
	return silence >= m.cfg.Any || m.account.Doubted() && silence >= m.cfg.Doubted
}
