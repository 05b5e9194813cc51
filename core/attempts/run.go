package attempts

import "time"

// Config holds the times of a Run.
type Config struct {
	// QueryInterval is the interval between two queries for the report of a replica whose run
	// has been given up.
	QueryInterval time.Duration
	// ContactTime is for how long a replica that answered counts as reached.
	ContactTime time.Duration
	// CanStop says that the replica supports stopping a run.
	CanStop bool
}

// State is the state of a Run.
type State uint8

// The states, in the order in which a run passes through them; it may skip some, and changes
// between Writing and Silent.
const (
	// Reserved: nothing has been sent.
	Reserved State = iota
	// Sent: the request has been sent, and the replica has not answered.
	Sent
	// Writing: the replica sends its answer.
	Writing
	// Silent: the replica has sent nothing for a while.
	Silent
	// GivenUp: this host has closed the connection. The run may go on.
	GivenUp
	// Ended: the run has ended, or nothing more can be known about it.
	Ended
)

// String returns the name of the state in logs.
func (s State) String() string {
	return [...]string{"reserved", "sent", "writing", "silent", "given_up", "ended"}[s]
}

// Ending says how the end of a run is known.
type Ending uint8

// The endings.
const (
	// NoEnding: the run may go on.
	NoEnding Ending = iota
	// NeverSent: nothing reached the replica.
	NeverSent
	// ByReplica: the replica ended the connection or says that it did not execute the request.
	ByReplica
	// Stopped: the replica says that it stopped the run.
	Stopped
	// NotListed: the replica does not list the run.
	NotListed
	// ProcessEnded: the process that executed the run has ended.
	ProcessEnded
	// TimeOver: the time that the replica was given is over.
	TimeOver
	// Unreachable: the replica does not answer.
	Unreachable
	// Unreported: the replica does not report its runs.
	Unreported
)

// String returns the name of the ending in logs and metrics.
func (e Ending) String() string {
	return [...]string{"none", "never_sent", "by_replica", "stopped", "not_listed", "process_ended", "time_over", "unreachable", "unreported"}[e]
}

// Report is what a query for a replica's report returned.
type Report uint8

// The reports.
const (
	// NoAnswer: the replica did not answer.
	NoAnswer Report = iota
	// Unclear: the replica answered, and its answer says nothing about its runs.
	Unclear
	// NoRuns: the replica does not report its runs.
	NoRuns
	// Lists: the list has the run.
	Lists
	// ListsNot: the list does not have the run, and no request waits.
	ListsNot
	// MayWait: the list does not have the run, and requests wait. The run may be one of them.
	MayWait
	// OtherProcess: the process has ended, or another one has its address.
	OtherProcess
)

// StopResult is a replica's answer to the request to stop a run.
type StopResult uint8

// The results.
const (
	// StopFailed: there was no answer, or the replica can't stop the run now.
	StopFailed StopResult = iota
	// RunStopped: the run has stopped.
	RunStopped
	// NoSuchRun: the replica has no such run.
	NoSuchRun
)

// Action is what the owner of a Run has to do.
type Action uint8

// The actions.
const (
	// Wait: nothing is due before the time that comes with it.
	Wait Action = iota
	// Stop asks the replica to stop the run.
	Stop
	// Query asks the replica for its report.
	Query
	// Begin: another run may begin.
	Begin
)

// Run is the state machine of one run of a request at one replica. It is not safe for
// concurrent use.
type Run struct {
	cfg    Config
	state  State
	ending Ending
	// until is when the time that the replica was given is over.
	until     time.Time
	givenUpAt time.Time
	// answeredAt is when the replica last answered on another connection; zero if never.
	answeredAt time.Time
	// failed says that the last query had no answer.
	failed bool
	// reports says that the replica has reported its runs, unreported that it does not.
	reports, unreported bool
	// stopping and querying say that the action has not been answered; stopped, that Stop was
	// returned.
	stopped, stopping, querying bool
	// absent says that the replica has no such run.
	absent    bool
	lastQuery time.Time // zero if none since the run was given up
}

// New returns a Run that is Reserved.
func New(c Config) *Run { return &Run{cfg: c} }

// State returns the state.
func (r *Run) State() State { return r.state }

// Ending returns how the end is known; NoEnding if it is not.
func (r *Run) Ending() Ending { return r.ending }

// Sent records that the request is sent, and until when the replica may work on it.
func (r *Run) Sent(until time.Time) {
	if r.state == Reserved {
		r.state, r.until = Sent, until
	}
}

// Heard records that the replica sent a part of its answer.
func (r *Run) Heard() {
	switch r.state {
	case Sent, Silent, Writing:
		r.state, r.failed = Writing, false
	}
}

// Silence records that the replica has sent nothing for a while.
func (r *Run) Silence() {
	if r.state == Sent || r.state == Writing {
		r.state = Silent
	}
}

// Failed records that the attempt ended without this host's doing: reached says that something
// was sent.
func (r *Run) Failed(reached bool) {
	switch {
	case r.state >= GivenUp:
	case reached:
		r.end(ByReplica)
	default:
		r.end(NeverSent)
	}
}

// GiveUp records that this host has closed the connection.
func (r *Run) GiveUp(now time.Time) {
	switch r.state {
	case Reserved:
		r.end(NeverSent)
	case Sent, Writing, Silent:
		r.state, r.givenUpAt = GivenUp, now
		// A query that is in progress does not tell what the close has done.
		r.querying = false
		r.check(now)
	}
}

// Reported records what a query that was sent at queriedAt returned.
func (r *Run) Reported(queriedAt, now time.Time, p Report) {
	if r.state == Reserved || r.state == Ended {
		return
	}
	r.querying = false
	current := r.state == GivenUp && !queriedAt.Before(r.givenUpAt)
	r.failed = p == NoAnswer
	if !r.failed {
		r.answeredAt = now
	}
	switch p {
	case Lists, ListsNot, MayWait:
		r.reports = true
	case NoRuns:
		r.unreported = !r.reports
	}
	switch {
	case p == OtherProcess:
		r.end(ProcessEnded)
	case !current:
	case p == ListsNot, p == MayWait && r.absent:
		r.end(NotListed)
	default:
		r.check(now)
	}
}

// StopAnswered records the replica's answer to the request to stop the run.
func (r *Run) StopAnswered(now time.Time, s StopResult) {
	r.stopping = false
	if r.state == Ended {
		return
	}
	if s != StopFailed {
		r.answeredAt, r.failed = now, false
	}
	switch s {
	case RunStopped:
		r.end(Stopped)
	case NoSuchRun:
		r.absent = true
	}
}

// Next returns the action that is due. With Wait comes the time at which to ask again, at the
// latest; an answer may come sooner.
func (r *Run) Next(now time.Time) (Action, time.Time) {
	r.check(now)
	next := now.Add(r.cfg.QueryInterval)
	switch {
	case r.state == Ended:
		return Begin, now
	case r.state != GivenUp || r.stopping:
		return Wait, next
	case r.cfg.CanStop && !r.stopped && !r.failed:
		r.stopped, r.stopping = true, true
		return Stop, now
	case r.querying:
		return Wait, next
	case r.lastQuery.IsZero() || now.Sub(r.lastQuery) >= r.cfg.QueryInterval:
		r.querying, r.lastQuery = true, now
		return Query, now
	}
	return Wait, r.lastQuery.Add(r.cfg.QueryInterval)
}

// check ends a run that has been given up if time alone, or what is known of the replica, says
// that there is nothing to wait for.
func (r *Run) check(now time.Time) {
	if r.state != GivenUp {
		return
	}
	switch {
	case !now.Before(r.until):
		r.end(TimeOver)
	case r.failed && (r.answeredAt.IsZero() || now.Sub(r.answeredAt) >= r.cfg.ContactTime):
		r.end(Unreachable)
	case r.unreported && !r.reports:
		r.end(Unreported)
	}
}

func (r *Run) end(e Ending) { r.state, r.ending = Ended, e }
