package stage

import "time"

// Action is something that the caller of Machine.Step has to do.
type Action interface{ isAction() }

// Piece names one piece of a call.
type Piece struct {
	Job   string
	Stage int
	Index int
	// Left is the time after which the result is of no use.
	Left time.Duration
	// Key is set for stages that come first, Inputs for all others.
	Key    string
	Inputs []string
}

// Run is one call to a replica. It is given up after Timeout, when no job of it
// waits any more.
type Run struct {
	Call    uint64
	Service string
	Replica string
	Address string
	Pieces  []Piece
	Timeout time.Duration
}

// Abandon gives a call up that nobody waits for any more, and on which its replica is
// not at work.
type Abandon struct{ Call uint64 }

// Free gives up results at the replica that made them. The calls to that replica
// which come with it or after it rely on their room: they are made once the
// replica has answered.
type Free struct {
	Replica string
	Address string
	Handles []string
}

// Inspect asks a replica how much room it has; it is answered by one Inspected,
// or by nothing when the replica does not tell.
type Inspect struct {
	Service string
	Replica string
	Address string
}

// Progress tells that a piece of a job has been made.
type Progress struct {
	Job   string
	Piece MadePiece
}

// Inform asks for the owner of a job to be told of the job's progress at once:
// results that it was told of have been read, and are given up once it has heard that.
type Inform struct{ Job string }

// Ready hands the results of a job over: those of the stages that no other
// stage reads, ordered by stage and piece.
type Ready struct {
	Job     string
	Handles []string
	// Domain is the failure domain in which most bytes of the results lie, and
	// DomainBytes their number.
	Domain      string
	DomainBytes int64
	// Timings tell where the time went, one entry for each stage with pieces.
	Timings []Timing
	// Took is the time since the job came, Predicted what admission expected.
	Took, Predicted time.Duration
	// Early is how long before the job's due time it is ready; negative when it
	// is late.
	Early time.Duration
}

// Timing is the course of one stage of a job.
type Timing struct {
	Stage int
	// Wait is the time from the last input to the start of the last call, Work
	// that call's.
	Wait, Work time.Duration
	// Crossed says that the results were made outside the stage's home.
	Crossed bool
}

// Reason says why a job was refused.
type Reason string

// The reasons.
const (
	// ReasonOverload jobs could not have been ready in time.
	ReasonOverload Reason = "overload"
	// ReasonExpired jobs passed their deadline.
	ReasonExpired Reason = "expired"
	// ReasonNoReplica jobs need a service without a usable replica.
	ReasonNoReplica Reason = "no_replica"
	// ReasonFailed jobs had a piece that failed too often.
	ReasonFailed Reason = "failed"
)

// Refused ends a job without results.
type Refused struct {
	Job    string
	Reason Reason
	// RetryAfter is when the job would have been admitted, as far as can be
	// seen; 0 when trying again is of no use.
	RetryAfter time.Duration
	// Predicted is when the results were expected, counted from now; 0 when no
	// prediction was made.
	Predicted time.Duration
	// Held says that results which the job's owner was told of wait for its word:
	// Cancelled is due.
	Held bool
}

// Suspected tells that a replica is avoided for a while.
type Suspected struct {
	Replica, Service string
	// Why is how its call ended, or "overdue" or "lapsed" while it has not.
	Why string
	// Failures counts those in a row.
	Failures int
	For      time.Duration
}

// Trusted tells that a replica that had failed has answered.
type Trusted struct{ Replica, Service string }

func (Suspected) isAction() {}
func (Trusted) isAction()   {}
func (Run) isAction()       {}
func (Abandon) isAction()   {}
func (Free) isAction()      {}
func (Inspect) isAction()   {}
func (Progress) isAction()  {}
func (Inform) isAction()    {}
func (Ready) isAction()     {}
func (Refused) isAction()   {}
