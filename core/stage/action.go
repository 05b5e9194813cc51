package stage

import "time"

// Action is something that the caller of Machine.Step has to do.
type Action interface{ isAction() }

// Piece identifies one piece of work in a call.
type Piece struct {
	Job   string
	Stage int
	Index int
	// TimeLeft is the time after which the result is no longer useful.
	TimeLeft time.Duration
	// Key is set for pieces of stages without inputs, Inputs (result handles) for all
	// others.
	Key    string
	Inputs []string
}

// Run starts one call to a replica. After Timeout the Machine abandons the call once no job
// needs any of its pieces any more and the replica is presumed not to execute it; see
// Abandon.
type Run struct {
	Call    uint64
	Service string
	Replica string
	Address string
	Pieces  []Piece
	Timeout time.Duration
}

// Abandon cancels a call that no job needs any more and that its replica is presumed not to
// execute.
type Abandon struct{ Call uint64 }

// Release releases results at the replica that holds them. Calls to that replica that are
// issued in the same step or later rely on the memory that the release frees, so the caller
// sends them only after the replica has answered the release.
type Release struct {
	Replica string
	Address string
	Handles []string
}

// QueryMemory asks a replica how much memory it has free for results. The caller reports
// one MemoryReported in return, or nothing if the replica does not answer.
type QueryMemory struct {
	Service string
	Replica string
	Address string
}

// Progress reports that a piece of a job is completed.
type Progress struct {
	Job   string
	Piece CompletedPiece
}

// NotifyOwner asks the caller to report a job's progress to the job's owner at once:
// results reported to the owner have been read, and are released once the owner has
// acknowledged the progress.
type NotifyOwner struct{ Job string }

// Ready delivers the results of a job: those of the stages that no other stage reads,
// ordered by stage and piece.
type Ready struct {
	Job     string
	Handles []string
	// Domain is the failure domain that holds most bytes of the results, and DomainBytes
	// the number of bytes there.
	Domain      string
	DomainBytes int64
	// Timings has one entry for each stage with pieces.
	Timings []Timing
	// Elapsed is the time since the job was submitted, Predicted the time that admission
	// predicted.
	Elapsed, Predicted time.Duration
	// Preferred says that the job continues a stream and went ahead of new work.
	Preferred bool
	// Early is the time from now to the job's due time; negative if the job is late.
	Early time.Duration
}

// Timing is the time that one stage of a job spent waiting and executing.
type Timing struct {
	Stage int
	// Wait is the time from the last input to the start of the last call, and Execution the
	// time from then until the last piece was completed.
	Wait, Execution time.Duration
	// CrossDomain says that some results were computed outside the stage's preferred
	// failure domain.
	CrossDomain bool
}

// Reason is the reason for which a job was refused.
type Reason string

// The reasons.
const (
	// ReasonOverload means that the job could not be completed in time.
	ReasonOverload Reason = "overload"
	// ReasonOverShare means that the job's customer has had its share of a service that is
	// short of capacity.
	ReasonOverShare Reason = "over_share"
	// ReasonExpired means that the job passed its deadline.
	ReasonExpired Reason = "expired"
	// ReasonNoReplica means that the job needs a service without a usable replica.
	ReasonNoReplica Reason = "no_replica"
	// ReasonTooLarge means that a stage of the job has more than MaxStagePieces pieces.
	ReasonTooLarge Reason = "too_large"
	// ReasonFailed means that a piece of the job failed too often.
	ReasonFailed Reason = "failed"
)

// Refused ends a job without results.
type Refused struct {
	Job    string
	Reason Reason
	// RetryAfter is the estimated time until the job would be admitted; 0 if a retry is
	// useless.
	RetryAfter time.Duration
	// Predicted is the predicted time from now until the results; 0 if no prediction was
	// made.
	Predicted time.Duration
	// Service is the service that is short of capacity; "" if none is.
	Service string
	// Share is the work of the customer that was admitted recently as a multiple of its fair
	// share, for ReasonOverShare; 0 if the share is zero.
	Share float64
	// Preferred says that the job continues a stream and would have gone ahead of new work.
	Preferred bool
	// ResultsHeld says that results reported to the job's owner are kept until the owner
	// has acknowledged the refusal, which the caller reports with Cancelled.
	ResultsHeld bool
}

// Suspected reports that no calls are made to a replica for a while.
type Suspected struct {
	Replica, Service string
	// Cause is the outcome of the replica's call, or "overdue" or "lapsed" if the call has
	// not ended.
	Cause string
	// Failures is the number of consecutive failures, and Duration the time for which no
	// calls are made to the replica.
	Failures int
	Duration time.Duration
}

// Trusted reports that a replica has answered a call after failures.
type Trusted struct{ Replica, Service string }

func (Suspected) isAction()   {}
func (Trusted) isAction()     {}
func (Run) isAction()         {}
func (Abandon) isAction()     {}
func (Release) isAction()     {}
func (QueryMemory) isAction() {}
func (Progress) isAction()    {}
func (NotifyOwner) isAction() {}
func (Ready) isAction()       {}
func (Refused) isAction()     {}
