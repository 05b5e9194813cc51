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
	// Attempt counts from 1.
	Attempt int
	// Prefix is a hash of the prompt's shared prefix; 0 when there is none.
	Prefix uint64
	// Tried names the upstreams that earlier attempts used; they are avoided.
	Tried []string
	// TriedDomains names the failure domains of earlier attempts; others are
	// preferred.
	TriedDomains []string
	// Domain is the failure domain in which the call's inputs lie; it is
	// preferred. "" when that does not matter.
	Domain string
	// Budget is the time left for this stage.
	Budget time.Duration
	// Read is the time that an engine needs to read what the prompt does not
	// share with others, and FirstByte the usual time to the first byte of the
	// answer; 0 when they are not known.
	Read, FirstByte time.Duration
}

// Choice is the upstream that a Router picked. It counts as in flight there
// until Done is called for it.
type Choice struct {
	// Request is the one that the upstream was picked for.
	Request       string
	Pool          string
	Upstream      string
	Address       string
	FailureDomain string
}

// CallResult says how a call to an upstream ended.
type CallResult uint8

// The call results.
const (
	CallOK CallResult = iota
	// CallFailed is a transport failure, a timeout or a 5xx answer.
	CallFailed
	// CallRefused is an answer that the upstream is busy or leaving.
	CallRefused
	// CallCancelled is a call that this side gave up; it blames nobody.
	CallCancelled
)

// Outcome reports the end of a call to the Router that picked its upstream.
type Outcome struct {
	Choice Choice
	Stage  string
	Result CallResult
	// Latency is the time from sending to the last byte.
	Latency time.Duration
	// FirstByte is the time from sending to the first byte or token.
	FirstByte time.Duration
	// Work is how much the call had to do, in a unit that is the same for all
	// calls of its stage: tokens, or the milliseconds that it was expected to
	// take. Upstreams are compared by the latency for each unit; 0 when it is
	// not known.
	Work int
}

// Router picks upstreams. Implementations are safe for concurrent use, do no
// I/O and read no clock.
type Router interface {
	// Pick chooses an upstream and counts the call as in flight. It adds its
	// reasons to rec. The error is of kind problem.NoUpstream.
	Pick(now time.Time, q Query, rec record.Recorder) (Choice, *problem.Error)
	// Done ends a picked call.
	Done(now time.Time, o Outcome)
	// Expect returns the measured latency of a stage of a pool at quantile
	// (0 to 1), and false while too few calls were measured.
	Expect(pool, stage string, quantile float64) (time.Duration, bool)
	// ExpectFirstByte is Expect for the time to the first byte or token.
	ExpectFirstByte(pool, stage string, quantile float64) (time.Duration, bool)
}

// Need is what one stage of a plan asks of its pool.
type Need struct {
	Stage string
	Pool  string
	// Expected is the expected service time.
	Expected time.Duration
}

// Plan is a whole request as admission sees it on arrival.
type Plan struct {
	Request  string
	Customer string
	Pipeline string
	Deadline time.Time
	Needs    []Need
}

// Ticket asks for one slot of a pool for one call.
type Ticket struct {
	Request  string
	Attempt  int
	Stage    string
	Pool     string
	Customer string
	Deadline time.Time
	// Expected is the expected service time of this stage.
	Expected time.Duration
	// After is the expected time of all later stages: the slot is of use only
	// if it is granted before Deadline - After - Expected.
	After time.Duration
}

// StartBy is the last time at which a start is expected to meet the deadline.
func (t Ticket) StartBy() time.Time { return t.Deadline.Add(-t.After - t.Expected) }

// Verdict is the answer to a Ticket.
type Verdict uint8

// The verdicts.
const (
	Granted Verdict = iota
	Queued
	Refused
)

// Grant ends the wait of a queued ticket: Err is nil when the slot is granted.
type Grant struct {
	Ticket Ticket
	Err    *problem.Error
}

// Admitter limits what enters the system and each pool. Implementations are
// safe for concurrent use, do no I/O and read no clock.
type Admitter interface {
	// Arrive admits or refuses a whole request.
	Arrive(now time.Time, p Plan, rec record.Recorder) *problem.Error
	// Leave ends an admitted request, whatever became of it.
	Leave(now time.Time, p Plan, attained bool)
	// Acquire asks for a slot. A queued ticket is answered by a later Grant.
	Acquire(now time.Time, t Ticket, rec record.Recorder) (Verdict, *problem.Error)
	// Abandon takes a queued ticket out of its queue. A ticket that was granted
	// meanwhile is left: whoever gets its Grant owes the Release.
	Abandon(now time.Time, t Ticket)
	// Release returns a granted slot and reports how the call went.
	Release(now time.Time, t Ticket, r CallResult, latency time.Duration) []Grant
	// Tick ends the waits that can no longer succeed. It is called every
	// 10 ms or so.
	Tick(now time.Time) []Grant
}

// Budget bounds retries or hedges to a share of the calls.
// Implementations are safe for concurrent use.
type Budget interface {
	// Deposit counts one first attempt.
	Deposit(now time.Time)
	// Withdraw takes one extra attempt, or returns false.
	Withdraw(now time.Time) bool
}

// Health tells pools that fail as a whole. Implementations are safe for
// concurrent use.
type Health interface {
	// Allow says whether a request that needs the pools may start, and names a
	// failing pool if not. Some requests are let through to probe.
	Allow(now time.Time, pools []string) (failing string, ok bool)
	// Succeeded and Failed note how a call to a pool ended.
	Succeeded(pool string)
	Failed(now time.Time, pool string)
}

// Claimer is what carries out Claim, Release and Record actions. It does I/O
// and is used by the runtime, never by a Machine. Implementations are safe for
// concurrent use.
type Claimer interface {
	// Acquire claims key for the request, which arrived at the given time, and
	// waits for the decision until ctx ends. digest identifies the pipeline
	// and input: the same key with another digest is problem.KeyReused. A key
	// with a recorded result gives that result. A key that another request
	// has claimed is waited for; without a result in time the error is
	// problem.OutcomeUnknown with MayHaveRun.
	Acquire(ctx context.Context, key ClaimKey, request string, arrived time.Time, digest [32]byte) ClaimDecided
	// Release gives up a claim under which nothing was sent. From then on the
	// holders refuse every attempt at key that arrived before the release, so
	// that a NotRun answer stays true when a paused daemon wakes.
	Release(ctx context.Context, key ClaimKey, request string) error
	// Void makes a NotRun answer true for a request that is refused before it
	// claimed: it places the same mark as Release does, unless the key is
	// claimed or recorded, and reports whether nothing has run or will run for
	// attempts that arrived before now.
	Void(ctx context.Context, key ClaimKey) (notRun bool, err error)
	// Record stores the result at a majority of the holders.
	Record(ctx context.Context, key ClaimKey, request string, result []byte) error
}
