package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/holdings"
	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/problem"
)

const (
	// defaultMaxBodyBytes limits bodies where the configuration does not.
	defaultMaxBodyBytes = 4 << 20
	// bodyWaitFraction is the part of the time to the route's objective, or to the deadline, for
	// which a request may wait for the memory of its body: one that is refused later is of little
	// use to its caller.
	bodyWaitFraction = 0.2
)

// newBuffer returns the memory for a buffer of this request. Without memory its bytes are not read
// until there is some.
func (x *exchange) newBuffer(k holdings.Kind) *buffer {
	if x.memory == nil {
		return &buffer{}
	}
	until := x.deadline
	if k == holdings.Body {
		until = x.bodyWaitLimit()
	}
	ctx := x.ctx
	if ctx == nil {
		ctx = x.r.Context()
	}
	return &buffer{m: x.memory, ctx: ctx, kind: k, customer: x.customer(), route: x.route.Name, until: until}
}

// bodyWaitLimit is until when the request may wait for the memory of its body.
func (x *exchange) bodyWaitLimit() time.Time {
	limit := x.deadline.Sub(x.arrived)
	if o := x.route.Objective; o > 0 {
		limit = min(limit, o)
	}
	return x.arrived.Add(time.Duration(bodyWaitFraction * float64(limit)))
}

// maxBodyBytes is the largest body of a request.
func (x *exchange) maxBodyBytes() int64 {
	if limit := x.config.Limits.MaxBodyBytes; limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}

// readBody reads the whole body, so that an attempt can be retried and an early answer of a
// replica does not truncate it.
func (x *exchange) readBody() *problem.Error {
	limit := x.maxBodyBytes()
	hasher := poison.NewHasher(x.customer(), x.r.Method, strings.ToLower(x.r.Host), x.r.RequestURI)
	if x.r.ContentLength > limit {
		return problem.New(problem.TooLarge, "body over %d bytes", limit)
	}
	x.bodyMemory = x.newBuffer(holdings.Body)
	// A caller that sends slowly takes memory no longer than its deadline.
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(clock.ToMonotonic(x.deadline))
	body, _, err := httpbody.ReadHeld(io.TeeReader(http.MaxBytesReader(x.w, x.r.Body, limit), hasher), x.r.ContentLength, limit, x.bodyMemory)
	_ = rc.SetReadDeadline(time.Time{})
	x.r.Trailer = nil // not passed on, and not accounted for
	x.logMemory(x.bodyMemory, max(x.r.ContentLength, x.bodyMemory.held), err)
	var tooLarge *http.MaxBytesError
	var refusal *memoryRefusal
	switch {
	case errors.As(err, &tooLarge):
		return problem.New(problem.TooLarge, "body over %d bytes", limit)
	case errors.As(err, &refusal):
		x.releaseBody()
		x.bodyRefused = true
		return withRetryAfter(problem.New(problem.Overloaded, "no memory for the body: %v", err), x.retryDelay(refusal.expectedWait))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return problem.New(problem.DeadlineExceeded, "the body was not sent before the deadline")
	case err != nil:
		return problem.New(problem.BadRequest, "reading the body failed: %v", err)
	}
	x.body, x.fingerprint = body, hasher.Sum()
	return nil
}

// releaseBody releases the memory of the body, which is not used again.
func (x *exchange) releaseBody() {
	x.bodyMu.Lock()
	defer x.bodyMu.Unlock()
	x.releaseBodyLocked()
}

func (x *exchange) releaseBodyLocked() {
	if x.unretain != nil {
		x.unretain()
		x.unretain = nil
	}
	x.body = nil
	if x.bodyMemory != nil {
		x.bodyMemory.releaseAll()
	}
}

// pinBody keeps the body for another attempt. It reports false if the body was given up.
func (x *exchange) pinBody() bool {
	x.bodyMu.Lock()
	defer x.bodyMu.Unlock()
	x.bodyUse++
	if x.unretain != nil {
		x.unretain()
		x.unretain = nil
	}
	return !x.bodyGivenUp
}

// bodyForAttempt returns the body for the next attempt, and a function that is called once it has
// been written: from then on only a retry would need it, until pinBody.
func (x *exchange) bodyForAttempt() (body []byte, written func()) {
	x.bodyMu.Lock()
	defer x.bodyMu.Unlock()
	if x.memory == nil || len(x.body) <= holdings.SmallBytes {
		return x.body, nil
	}
	use := x.bodyUse
	return x.body, func() { x.retainBody(use) }
}

// retainBody lets the body be given up, unless it has been pinned since the given use.
func (x *exchange) retainBody(use int) {
	x.bodyMu.Lock()
	defer x.bodyMu.Unlock()
	if use != x.bodyUse || x.unretain != nil || x.body == nil {
		return
	}
	x.unretain = x.memory.retain(x.customer(), x.bodyMemory.held, x.giveUpBody)
}

// giveUpBody releases the body for the bodies of others, unless it has been pinned meanwhile.
func (x *exchange) giveUpBody() {
	x.bodyMu.Lock()
	defer x.bodyMu.Unlock()
	if x.unretain == nil {
		return
	}
	x.g.log.Info("body given up", logging.Request(x.req.ID), zap.String("customer", x.customer()), zap.Int("bytes", len(x.body)))
	x.memory.count("wheatseam_memory_given_up_total", holdings.Body)
	x.bodyGivenUp = true
	x.releaseBodyLocked()
}

// discardBody reads the rest of a refused body into no memory: the caller may read the answer only
// once it has sent all, and loses it if the connection is closed before.
func (x *exchange) discardBody() {
	if !x.bodyRefused {
		return
	}
	rc := http.NewResponseController(x.w)
	_ = rc.Flush()
	_ = rc.SetReadDeadline(clock.ToMonotonic(x.deadline))
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(x.w, x.r.Body, x.maxBodyBytes())) // the answer has been sent
	_ = rc.SetReadDeadline(time.Time{})
}
