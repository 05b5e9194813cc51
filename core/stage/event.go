package stage

import (
	"time"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// Configured replaces the services that run stages, and their replicas.
type Configured struct {
	Services map[string]*catalog.Service
	Replicas []catalog.Replica
}

// Submitted asks for the results of a job. A job whose id is already known is ignored.
type Submitted struct{ Job Job }

// Cancelled says that a job is no longer needed or, if the job is ready, that its results
// have been read or are no longer needed. For a Transferable job it comes from the job's
// owner, unless HandedOver is set. It is also due for a job that was refused with
// ResultsHeld set.
type Cancelled struct {
	Job string
	// HandedOver says that another planner continues the job, or may do so: results
	// reported to the owner are not released here.
	HandedOver bool
}

// ProgressSent says that completed pieces are being reported to the owners of their jobs,
// in a message that may be lost.
type ProgressSent struct{ Pieces []Progress }

// ProgressAcked says that the owners of jobs have acknowledged completed pieces.
type ProgressAcked struct{ Pieces []Progress }

// CallOutcome is how a call to a replica ended.
type CallOutcome uint8

// The outcomes of calls.
const (
	// CallAnswered means that there is a result for each piece.
	CallAnswered CallOutcome = iota
	// CallNotExecuted means that the replica refused the call, or that it never reached the
	// replica.
	CallNotExecuted
	// CallUnreachable means that no connection could be made.
	CallUnreachable
	// CallFailed means that there was no usable answer; the pieces may have been executed.
	CallFailed
)

// ResultKind is what became of a piece in an answered call.
type ResultKind uint8

// The kinds of results.
const (
	PieceCompleted ResultKind = iota
	// PieceExpired means that the piece was not executed since its time had passed.
	PieceExpired
	// PieceInputMissing means that the piece was not executed since an input no longer
	// exists.
	PieceInputMissing
	// PieceOutOfMemory means that the piece was not executed since the replica had no
	// memory for its result.
	PieceOutOfMemory
	// PieceFailed means that the piece failed.
	PieceFailed
)

// Result is the result of one piece of an answered call.
type Result struct {
	Kind ResultKind
	// Handle identifies the result of a completed piece.
	Handle string
}

// CallEnded reports the end of a Run. If the outcome is CallAnswered, Results has one entry
// for each piece, in order.
type CallEnded struct {
	Call    uint64
	Outcome CallOutcome
	Results []Result
}

// MemoryReported reports the free memory that a replica had shortly before QueriedAt.
type MemoryReported struct {
	Replica string
	// QueriedAt is when the query was sent.
	QueriedAt time.Time
	Free      FreeMemory
}

// FreeMemory holds the bounds of a replica's free memory in bytes; replicas report it in
// large units.
type FreeMemory struct{ Min, Max int64 }

// Tick passes the time; it is due at the time that Machine.NextTick returns.
type Tick struct{}

func (Configured) isEvent()     {}
func (Submitted) isEvent()      {}
func (Cancelled) isEvent()      {}
func (ProgressSent) isEvent()   {}
func (ProgressAcked) isEvent()  {}
func (CallEnded) isEvent()      {}
func (MemoryReported) isEvent() {}
func (Tick) isEvent()           {}

// Job is the stage work of one request.
type Job struct {
	// ID is the id of the request.
	ID string
	// Key identifies the input of the stages that depend on no other stage.
	Key  string
	Rank catalog.Rank
	// Customer is the customer's name; "" if the request has none.
	Customer string
	// Due is when the results must be ready for an answer that is very likely on time,
	// Latest when they must be ready for one that may be on time, and Deadline when they
	// become useless. A Latest before Due counts as Due.
	Due, Latest, Deadline time.Time
	// ContinuesStream says that the caller holds the beginning of the answer: its stream broke
	// off, and the job is for the rest. Latest is then when the results must be ready for a rest
	// that is complete in time, however late its first event is.
	ContinuesStream bool
	// Domain is the failure domain in which the results will be read; "" if not yet known.
	Domain string
	Stages []Stage
	// Transferable says that the job's owner may hand the job to another planner, with the
	// results reported to it from here. Those are released only when the owner acknowledges
	// or cancels.
	Transferable bool
	// Completed are the pieces that an earlier planner completed, as far as the owner
	// knows.
	Completed []CompletedPiece
}

// CompletedPiece is a completed piece of a job.
type CompletedPiece struct {
	Stage, Index int
	// Handle identifies the result at the replica that computed it, Replica is that
	// replica's id.
	Handle, Replica string
}

// Stage is one stage of a job.
type Stage struct {
	Service string
	// DependsOn lists the indices of the stages whose results each piece reads.
	DependsOn []int
	// Pieces is the number of pieces; a stage with 0 pieces is left out.
	Pieces int
	// ResultBytes is the typical size of one result.
	ResultBytes int64
}

// String returns the name of the outcome for logs.
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
