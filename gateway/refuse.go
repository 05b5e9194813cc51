package gateway

import (
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/problem"
)

// refusal turns a planner's refusal into an answer: nothing has run.
func (x *exchange) refusal(r *stage.Refused) *problem.Error {
	if x.r.Context().Err() != nil {
		return problem.New(problem.CallerGone, "the caller left while its stages were made")
	}
	x.g.log.Info("stages refused", logging.Request(r.Job), zap.String("reason", string(r.Reason)),
		zap.Duration("predicted", r.Predicted), zap.Duration("retry_after", r.RetryAfter))
	e := problem.New(problem.Overloaded, "stages: %s", r.Reason)
	if r.Reason == stage.ReasonNoReplica {
		e = problem.New(problem.NoUpstream, "stages: no replica")
	}
	return retryable(e, x.comeBack(r.RetryAfter))
}

// The wait that a refused caller is told, as shares of the time that it has
// left: callers wait a third of it at most. Bursts last seconds, so that a
// caller who is back at once meets the same queue.
const (
	comeBackLeast = 0.2
	comeBackMost  = 0.32
)

// comeBack is when a refused caller should try again: after the wait at least,
// spread so that those refused together do not return together.
func (x *exchange) comeBack(least time.Duration) time.Duration {
	left := float64(clock.Until(x.deadline))
	after := time.Duration(left * (comeBackLeast + (comeBackMost-comeBackLeast)*rand.Float64()))
	return max(after, min(least, time.Duration(left*comeBackMost)))
}

func retryable(e *problem.Error, after time.Duration) *problem.Error {
	e.RetryAfter = after
	return e
}

// refuse answers with an error of this system's own. Where the status promises
// that nothing has run, nothing may run later either: no attempt is under way.
func (x *exchange) refuse(e *problem.Error) {
	x.outcome, x.detail = string(e.Kind), e.Detail
	x.retryAfter = e.RetryAfter
	if e.Kind == problem.CallerGone {
		// A caller that only closed its sending side still reads: net/http would
		// send it an empty 200.
		panic(http.ErrAbortHandler)
	}
	x.status = problem.Lookup(e.Kind).Status
	h := x.w.Header()
	platform.SetRefusalHeaders(h, x.req.ID, e.RetryAfter)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(x.status)
	_, _ = io.WriteString(x.w, string(e.Kind)+"\n") // a caller that is gone needs no answer
}
