package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/stages"
)

// stageRefusal turns a planner's refusal into an answer: nothing has run.
func (x *exchange) stageRefusal(j stage.Job, r *stage.Refused) *problem.Error {
	if x.r.Context().Err() != nil {
		return problem.New(problem.CallerGone, "the caller disconnected while its stages ran")
	}
	x.g.log.Info("stages refused", logging.Request(r.Job), zap.String("reason", string(r.Reason)), zap.String("service", r.Service),
		zap.String("customer", x.customer()), zap.Float64("share", r.Share),
		zap.Duration("predicted", r.Predicted), zap.Duration("retry_after", r.RetryAfter), zap.Duration("left", clock.Until(j.Latest)),
		zap.Bool("continues", j.ContinuesStream), zap.Bool("preferred", r.Preferred))
	if r.Reason == stage.ReasonOverShare {
		x.g.countShareExceeded(r.Service, x.customer())
	}
	e := problem.New(problem.Overloaded, "stages: %s", r.Reason)
	switch r.Reason {
	case stage.ReasonNoReplica:
		e = problem.New(problem.NoUpstream, "stages: no replica")
	case stage.ReasonTooLarge:
		return problem.New(problem.TooLarge, "a stage of over %d pieces", stage.MaxStagePieces)
	}
	return withRetryAfter(e, x.retryDelay(r.RetryAfter))
}

// countContinuation counts the outcome of the stages of a request that continues a stream.
func (g *Gateway) countContinuation(end *stages.JobOutcome) {
	result := "as_new"
	switch {
	case end.Refused != nil:
		result = "refused"
	case end.Ready.Preferred:
		result = "preferred"
	}
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_stage_continuations_total{result=%q}", result)).Inc()
}

// The Retry-After of a refused caller, as fractions of the time left to its deadline:
// callers wait for at most a third of it. Bursts last seconds, so that a caller that
// returns at once meets the same queue.
const (
	minRetryDelayFraction = 0.2
	maxRetryDelayFraction = 0.32
)

// retryDelay is when a refused caller should try again: after minDelay at the earliest,
// randomized so that callers refused together do not return together.
func (x *exchange) retryDelay(minDelay time.Duration) time.Duration {
	left := float64(clock.Until(x.deadline))
	delay := time.Duration(left * (minRetryDelayFraction + (maxRetryDelayFraction-minRetryDelayFraction)*rand.Float64()))
	return max(delay, min(minDelay, time.Duration(left*maxRetryDelayFraction)))
}

func withRetryAfter(e *problem.Error, after time.Duration) *problem.Error {
	e.RetryAfter = after
	return e
}

// respondError answers with an error of this system's own. Where the status implies that
// nothing has run, nothing may run later either: no attempt is in progress.
func (x *exchange) respondError(e *problem.Error) {
	x.outcome, x.detail = string(e.Kind), e.Detail
	x.retryAfter = e.RetryAfter
	if e.Kind == problem.CallerGone {
		// A caller that closed only its sending side still reads: net/http would send it an
		// empty 200.
		panic(http.ErrAbortHandler)
	}
	x.status = problem.Lookup(e.Kind).Status
	h := x.w.Header()
	platform.SetRefusalHeaders(h, x.req.ID, e.RetryAfter)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := string(e.Kind) + "\n"
	if x.bodyRefused {
		h.Set("Content-Length", strconv.Itoa(len(text)))
		// The answer is sent before the body has been read.
		_ = http.NewResponseController(x.w).EnableFullDuplex()
	}
	x.w.WriteHeader(x.status)
	_, _ = io.WriteString(x.w, text) // a caller that has disconnected needs no answer
}
