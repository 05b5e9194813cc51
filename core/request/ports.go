package request

import (
	"context"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/record"
)

// Query asks a Router for one upstream for one attempt at one stage.
type Query struct {
	Request  string
	Customer string
	Pool     string
	Stage    string
	Kind     bundle.StageKind
	// Attempt is the number of the attempt at this stage, starting at 1.
	Attempt int
	// Prefix is a hash of the prompt's shared prefix, or 0 if there is none.
	Prefix uint64
	// TriedUpstreams holds the upstreams of earlier attempts, which the Router avoids.
	TriedUpstreams []string
	// TriedFailureDomains holds the failure domains of earlier attempts. The Router
	// prefers other domains.
	TriedFailureDomains []string
	// InputFailureDomain is the failure domain that stores the call's inputs. The Router
	// prefers it. It is "" if the location of the inputs does not matter.
	InputFailureDomain string
	// Budget is the time left for this stage.
	Budget time.Duration
	// PrefillTime is the expected time that an engine needs to process the part of the
	// prompt that is not in a shared prefix. ExpectedFirstByte is the usual time
	// to the first byte of the response. Either is 0 if it is not known.
	PrefillTime, ExpectedFirstByte time.Duration
	// GapObjective is the longest pause between two events of a stream that is still on
	// time, and ExpectedEvents the expected number of events of the stream; 0 if there is no
	// objective or the number is not known.
	GapObjective   time.Duration
	ExpectedEvents int
	// Version is the version of the software that began the stream, if FixedVersion is set:
	// only upstreams of that version can continue it.
	Version      string
	FixedVersion bool
}

// Choice is the upstream that a Router picked for a call. The call counts as in
// flight at the upstream until Done is called.
type Choice struct {
	// Request is the ID of the request for which the upstream was picked.
	Request       string
	Pool          string
	Upstream      string
	Address       string
	FailureDomain string
	// Version is the version of the upstream's software; "" if it is not known.
	Version string
	// Slowdown is the predicted slowdown of the upstream's machine, and ExpectedPause the
	// expected longest pause of a stream with a gap objective; 0 in pools whose upstreams
	// report no slowdowns.
	Slowdown      float64
	ExpectedPause time.Duration
}

// CallResult is the result of a call to an upstream.
type CallResult uint8

// Results of a call.
const (
	CallOK CallResult = iota
	// CallFailed is a transport failure, a timeout or a 5xx response.
	CallFailed
	// CallRefused means that the upstream responded that it is busy or is being
	// taken out of service.
	CallRefused
	// CallCancelled means that this daemon cancelled the call. It does not count
	// as a failure of the upstream.
	CallCancelled
)

// Outcome reports the end of a call to the Router that picked its upstream.
type Outcome struct {
	Choice Choice
	Stage  string
	Result CallResult
	// Latency is the time from sending the call to the last byte of the response.
	Latency time.Duration
	// FirstByte is the time from sending the call to the first byte or token.
	FirstByte time.Duration
	// LongestPause is the longest time between two events of a stream; 0 if there was none.
	LongestPause time.Duration
	// Work is the amount of work in the call, in a unit that is the same for all
	// calls of its stage: tokens, or the expected duration in milliseconds. It is
	// 0 if unknown. Upstreams are compared by their latency per unit of work.
	Work int
}

// Router picks upstreams. Implementations are safe for concurrent use, do no
// I/O and read no clock.
type Router interface {
	// Pick chooses an upstream and counts the call as in flight. It adds the
	// reasons for the choice to rec. The error is of kind problem.NoUpstream, or
	// problem.VersionGone if no upstream has the version that the query names.
	Pick(now time.Time, q Query, rec record.Recorder) (Choice, *problem.Error)
	// Done reports the end of a call whose upstream was chosen by Pick.
	Done(now time.Time, o Outcome)
	// ExpectedLatency returns the measured latency of a stage at a pool at the given
	// quantile (0 to 1). It returns false until enough calls have been measured.
	ExpectedLatency(pool, stage string, quantile float64) (time.Duration, bool)
	// ExpectedFirstByte is like ExpectedLatency, for the time to the first byte or token.
	ExpectedFirstByte(pool, stage string, quantile float64) (time.Duration, bool)
}

// PlannedStage is one stage of a plan and the service time it needs from its pool.
type PlannedStage struct {
	Stage string
	Pool  string
	// Expected is the expected service time.
	Expected time.Duration
}

// Plan is the information about a request that admission uses on arrival.
type Plan struct {
	Request  string
	Customer string
	Pipeline string
	Deadline time.Time
	Stages   []PlannedStage
}

// Ticket is a request for one slot of a pool, for one call.
type Ticket struct {
	Request  string
	Attempt  int
	Stage    string
	Pool     string
	Customer string
	Deadline time.Time
	// Expected is the expected service time of this stage.
	Expected time.Duration
	// ExpectedAfter is the expected total time of all later stages. The slot is
	// useful only if it is granted by Deadline - ExpectedAfter - Expected.
	ExpectedAfter time.Duration
}

// LatestStart returns the latest time at which the call can start and is still
// expected to meet the deadline.
func (t Ticket) LatestStart() time.Time { return t.Deadline.Add(-t.ExpectedAfter - t.Expected) }

// AcquireResult is the result of Admitter.Acquire.
type AcquireResult uint8

// Results of Admitter.Acquire.
const (
	Granted AcquireResult = iota
	Queued
	Refused
)

// Grant ends the wait of a queued ticket. Err is nil if the slot is granted.
type Grant struct {
	Ticket Ticket
	Err    *problem.Error
}

// Admitter limits the requests that enter the system and the calls that run at
// each pool. Implementations are safe for concurrent use, do no I/O and read no clock.
type Admitter interface {
	// Admit admits or refuses a whole request.
	Admit(now time.Time, p Plan, rec record.Recorder) *problem.Error
	// Finish ends an admitted request, whatever its outcome. attained says
	// whether it was answered within its deadline.
	Finish(now time.Time, p Plan, attained bool)
	// Acquire requests a slot. A queued ticket is answered by a later Grant.
	Acquire(now time.Time, t Ticket, rec record.Recorder) (AcquireResult, *problem.Error)
	// Abandon removes a ticket from its queue. It does nothing if the ticket has
	// already been granted; the receiver of the Grant must then call Release.
	Abandon(now time.Time, t Ticket)
	// Release returns a granted slot and reports the result of the call. It
	// returns the grants that follow.
	Release(now time.Time, t Ticket, r CallResult, latency time.Duration) []Grant
	// Tick refuses queued tickets that can no longer meet their deadline. It
	// returns their Grants and any others that are due. The caller calls it about
	// every 10 ms.
	Tick(now time.Time) []Grant
}

// Budget limits retries or hedges to a fraction of the calls.
// Implementations are safe for concurrent use.
type Budget interface {
	// Deposit counts one first attempt.
	Deposit(now time.Time)
	// Withdraw takes one retry or hedge from the budget, or returns false if the
	// budget is used up.
	Withdraw(now time.Time) bool
}

// Health detects pools that fail as a whole. Implementations are safe for
// concurrent use.
type Health interface {
	// Allow reports whether a request that needs the pools may start. If not, it
	// returns the name of a failing pool. Some requests are allowed as probes of
	// a failing pool.
	Allow(now time.Time, pools []string) (failing string, ok bool)
	// Succeeded and Failed report the result of a call to a pool.
	Succeeded(pool string)
	Failed(now time.Time, pool string)
}

// Claimer carries out AcquireClaim, ReleaseClaim and RecordResult actions. It does I/O and
// is used by the code that executes actions, never by a Machine. Implementations are safe
// for concurrent use.
type Claimer interface {
	// Acquire claims key for the request, which arrived at the given time, and
	// waits for the decision until ctx ends. digest identifies the pipeline
	// and input: the same key with another digest fails with problem.KeyReused.
	// If a result is recorded for the key, Acquire returns it. If another
	// request has claimed the key, Acquire waits for its result; if there is
	// none in time, the error is problem.OutcomeUnknown with MayHaveRun.
	Acquire(ctx context.Context, key ClaimKey, request string, arrived time.Time, digest [32]byte) ClaimDecided
	// Release releases a claim under which no call was sent. From then on the
	// holders refuse every attempt at key that arrived before the release, so
	// that a NotRun response stays true even if a suspended daemon resumes.
	Release(ctx context.Context, key ClaimKey, request string) error
	// Void makes a NotRun response true for a request that is refused before it
	// claimed the key. Unless the key is claimed or recorded, the holders refuse
	// attempts at it as after Release. notRun reports that no attempt that
	// arrived before now has run or will run.
	Void(ctx context.Context, key ClaimKey) (notRun bool, err error)
	// Record stores the result at a majority of the holders.
	Record(ctx context.Context, key ClaimKey, request string, result []byte) error
}
