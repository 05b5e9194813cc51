package stage

import (
	"time"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// Event is something that happened; see Machine.Step.
type Event interface{ isEvent() }

// Configured replaces the services that run stages and their replicas.
type Configured struct {
	Services map[string]*catalog.Service
	Replicas []catalog.Replica
}

// Submitted asks for the results of a job. A job with the id of one that is
// known is ignored.
type Submitted struct{ Job Job }

// Cancelled says that nobody waits for a job any more, or, of a ready one, that
// its results have been read or are of no more use. For a Shared job it is its
// owner's word, unless Moved is set. It is also due for a job that was refused with
// Held set.
type Cancelled struct {
	Job string
	// Moved says that another planner goes on with the job, or may: the results that
	// its owner was told of are not given up here.
	Moved bool
}

// Told says that the owners of jobs are being told of pieces, in a message that may be
// lost.
type Told struct{ Pieces []Progress }

// Known says that the owners of jobs have heard of pieces.
type Known struct{ Pieces []Progress }

// CallOutcome says how a call to a replica ended.
type CallOutcome uint8

// The outcomes of calls.
const (
	// CallAnswered has a result for each piece.
	CallAnswered CallOutcome = iota
	// CallNotExecuted was refused by the replica, or never reached it.
	CallNotExecuted
	// CallUnreachable could not be sent: no connection.
	CallUnreachable
	// CallFailed got no usable answer; its pieces may have been made.
	CallFailed
)

// ResultKind says what became of a piece in an answered call.
type ResultKind uint8

// The kinds of results.
const (
	Made ResultKind = iota
	// TooLate pieces were not made since their time had passed.
	TooLate
	// InputGone pieces were not made since an input no longer exists.
	InputGone
	// NoRoom pieces were not made since the replica could not hold the result.
	NoRoom
	// Broken pieces failed.
	Broken
)

// Result is what became of one piece.
type Result struct {
	Kind ResultKind
	// Handle names the result when it was made.
	Handle string
}

// CallEnded ends a Run. Results has one entry for each piece, in order, when
// the outcome is CallAnswered.
type CallEnded struct {
	Call    uint64
	Outcome CallOutcome
	Results []Result
}

// Inspected tells how much room a replica had some moments before Asked.
type Inspected struct {
	Replica string
	// Asked is when the replica was asked.
	Asked time.Time
	Room  Room
}

// Room bounds the free room of a replica, in bytes: it is told in large units.
type Room struct{ Least, Most int64 }

// Tick tells the time; it is due at the time that Machine.NextTick returns.
type Tick struct{}

func (Configured) isEvent() {}
func (Submitted) isEvent()  {}
func (Cancelled) isEvent()  {}
func (Told) isEvent()       {}
func (Known) isEvent()      {}
func (CallEnded) isEvent()  {}
func (Inspected) isEvent()  {}
func (Tick) isEvent()       {}

// Job is the stage work of one request.
type Job struct {
	// ID is the request's id.
	ID string
	// Key is what the first stages work on.
	Key  string
	Rank catalog.Rank
	// Due is when the results must be ready for an answer that is most likely
	// on time, Latest when for one that may be, Deadline when they are of no
	// more use. A Latest before Due counts as Due.
	Due, Latest, Deadline time.Time
	// Domain is the failure domain in which the results will be read; "" if
	// that is open.
	Domain string
	Stages []Stage
	// Shared says that the job's owner may hand it to another planner, with the
	// results that it was told of here: these are given up at its word only.
	Shared bool
	// Made are pieces that an earlier planner had made for the job, as far as
	// that is known.
	Made []MadePiece
}

// MadePiece is the result of a piece of a job.
type MadePiece struct {
	Stage, Index int
	// Handle names the result at its maker, Replica is the maker's id.
	Handle, Replica string
}

// Stage is one stage of a job.
type Stage struct {
	Service string
	// After lists the stages whose results each piece reads.
	After []int
	// Pieces is their number; 0 leaves the stage out.
	Pieces int
	// ResultBytes is the usual size of one result.
	ResultBytes int64
}

// String names the outcome in logs.
func (o CallOutcome) String() string {
	switch o {
	case CallAnswered:
		return "answered"
	case CallNotExecuted:
		return "not_executed"
	case CallUnreachable:
		return "unreachable"
	}
	return "failed"
}
