// Package problem defines the fixed set of error kinds that a caller can receive,
// and the table that maps each kind to its HTTP response. Callers receive errors as
// RFC 9457 problem documents.
package problem

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind identifies an error to callers.
type Kind string

// The error kinds.
const (
	BadRequest       Kind = "bad_request"
	NotFound         Kind = "not_found"
	TooLarge         Kind = "too_large"
	Unauthorized     Kind = "unauthorized"
	Forbidden        Kind = "forbidden"
	UnknownPipeline  Kind = "unknown_pipeline"
	KeyRequired      Kind = "key_required"
	KeyInvalid       Kind = "key_invalid"
	KeyExpired       Kind = "key_expired"
	KeyReused        Kind = "key_reused"
	InProgress       Kind = "in_progress"
	OutcomeUnknown   Kind = "outcome_unknown"
	RateLimited      Kind = "rate_limited"
	Overloaded       Kind = "overloaded"
	DeadlineTooShort Kind = "deadline_too_short"
	DeadlineExceeded Kind = "deadline_exceeded"
	NoUpstream       Kind = "no_upstream"
	UpstreamFailed   Kind = "upstream_failed"
	UpstreamRefused  Kind = "upstream_refused"
	NoMajority       Kind = "no_majority"
	NotReady         Kind = "not_ready"
	Draining         Kind = "draining"
	Quarantined      Kind = "quarantined"
	VersionUnknown   Kind = "version_unknown"
	VersionGone      Kind = "version_gone"
	CallerGone       Kind = "caller_gone"
	Internal         Kind = "internal"
)

// Execution says whether any non-repeatable stage of the request has run.
type Execution string

// The values of Execution.
const (
	NotRun     Execution = "not_run"
	MayHaveRun Execution = "may_have_run"
	Ran        Execution = "ran"
)

// Row describes the HTTP response for one kind.
type Row struct {
	Kind   Kind
	Status int
	Title  string
	// Retryable says that a later retry may succeed. The response then has a
	// Retry-After header if the error sets RetryAfter.
	Retryable bool
}

// Table has one row for each kind, in the order of the table in docs/API.md.
var Table = []Row{
	{BadRequest, http.StatusBadRequest, "The request is malformed", false},
	{NotFound, http.StatusNotFound, "There is no such resource", false},
	{TooLarge, http.StatusRequestEntityTooLarge, "The request is too large", false},
	{Unauthorized, http.StatusUnauthorized, "The API key is missing or unknown", false},
	{Forbidden, http.StatusForbidden, "The customer may not use this pipeline", false},
	{UnknownPipeline, http.StatusNotFound, "There is no such pipeline", false},
	{KeyRequired, http.StatusBadRequest, "The pipeline needs an Idempotency-Key", false},
	{KeyInvalid, http.StatusBadRequest, "The Idempotency-Key is not a UUIDv7 of about now", false},
	{KeyExpired, http.StatusGone, "The Idempotency-Key is older than the retention window", false},
	{KeyReused, http.StatusUnprocessableEntity, "The Idempotency-Key was used for another request", false},
	{InProgress, http.StatusConflict, "A request with this Idempotency-Key is still running", true},
	{OutcomeUnknown, http.StatusConflict, "It is not known whether the request has run", true},
	{RateLimited, http.StatusTooManyRequests, "The customer is over its limit", true},
	{Overloaded, http.StatusServiceUnavailable, "There is no capacity within the deadline", true},
	{DeadlineTooShort, http.StatusBadRequest, "The deadline is shorter than the pipeline needs", false},
	{DeadlineExceeded, http.StatusGatewayTimeout, "The deadline passed", true},
	{NoUpstream, http.StatusServiceUnavailable, "No upstream of the pool is available", true},
	{UpstreamFailed, http.StatusBadGateway, "The upstream failed", true},
	{UpstreamRefused, http.StatusBadGateway, "The upstream refused the request", false},
	{NoMajority, http.StatusServiceUnavailable, "Too few claim holders can be reached", true},
	{NotReady, http.StatusServiceUnavailable, "The host is not ready", true},
	{Draining, http.StatusServiceUnavailable, "The host is leaving", true},
	{Quarantined, http.StatusServiceUnavailable, "The request, or a part of its prompt, crashed the replicas that ran it", true},
	{VersionUnknown, http.StatusServiceUnavailable, "It is not known which software version began the stream", true},
	{VersionGone, http.StatusServiceUnavailable, "No upstream has the software version that began the stream", false},
	{CallerGone, 499, "The caller went away", false},
	{Internal, http.StatusInternalServerError, "An internal error", true},
}

// Lookup returns the row of k, or that of Internal if k is unknown.
func Lookup(k Kind) Row {
	for _, r := range Table {
		if r.Kind == k {
			return r
		}
	}
	return Lookup(Internal)
}

// Error is the error type that is returned to callers.
type Error struct {
	Kind      Kind
	Execution Execution
	// RetryAfter is the delay after which a retry may succeed. If it is zero, it is
	// omitted from the response.
	RetryAfter time.Duration
	Detail     string
	// StagesRun holds the names of the stages that are known to have run.
	StagesRun []string
	Err       error
}

// New returns an error of kind k with Execution NotRun.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Execution: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Detail, e.Err)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// FromError returns the *Error in the chain of err. If there is none, it returns an
// error of kind Internal with Execution MayHaveRun, since it is unknown whether a stage
// has run.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Execution: MayHaveRun, Detail: "unexpected error", Err: err}
}
