package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/internal/uuidtime"
	"github.com/wheatseam/wheatseam/problem"
)

// Limits on the fields of a request.
const (
	maxIdempotencyKeyBytes = 64
	maxPrefixBytes         = 256 << 10
	// idempotencyHeader is the header that carries the caller's idempotency key.
	idempotencyHeader = "Idempotency-Key"
)

// body is the JSON body of a request.
type body struct {
	Input      json.RawMessage `json:"input"`
	DeadlineMs int64           `json:"deadline_ms"`
	Stream     bool            `json:"stream"`
	Prefix     string          `json:"prefix"`
}

// decode authenticates the caller, then parses and validates the request. id
// becomes the request ID.
func (s *Server) decode(r *http.Request, id string) (Submission, *problem.Error) {
	var sub Submission
	b := s.cfg.Backend.Bundle()
	if b == nil {
		return sub, notReady()
	}
	customer, err := s.authenticator.authenticate(b, r.Header.Get("Authorization"))
	if err != nil {
		return sub, err
	}
	pipeline, err := findPipeline(b, customer, r.PathValue("name"))
	if err != nil {
		return sub, err
	}
	parsed, err := s.readBody(r)
	if err != nil {
		return sub, err
	}
	sub = Submission{
		RequestID: id, Bundle: b, Customer: customer, Pipeline: pipeline,
		Arrived: s.cfg.Backend.Now(), Stream: parsed.Stream, Prefix: parsed.Prefix,
		Input: parsed.Input,
	}
	if sub.Deadline, err = requestDeadline(sub, parsed.DeadlineMs); err != nil {
		return sub, err
	}
	sub.IdempotencyKey, err = idempotencyKey(r, sub)
	return sub, err
}

func notReady() *problem.Error {
	e := problem.New(problem.NotReady, "no configuration is in force yet")
	e.RetryAfter = time.Second
	return e
}

func findPipeline(b *bundle.Bundle, c *bundle.Customer, name string) (*bundle.Pipeline, *problem.Error) {
	for i := range b.Pipelines {
		if b.Pipelines[i].Name != name {
			continue
		}
		if !slices.Contains(c.Pipelines, name) {
			return nil, problem.New(problem.Forbidden, "customer %s may not use pipeline %s", c.Name, name)
		}
		return &b.Pipelines[i], nil
	}
	return nil, problem.New(problem.UnknownPipeline, "there is no pipeline %q", name)
}

func (s *Server) readBody(r *http.Request) (body, *problem.Error) {
	var parsed body
	raw, err := httpbody.Read(r.Body, s.cfg.MaxBodyBytes)
	if errors.Is(err, httpbody.ErrTooLarge) {
		return parsed, problem.New(problem.TooLarge, "the body is over %d bytes", s.cfg.MaxBodyBytes)
	}
	if err != nil {
		return parsed, problem.New(problem.BadRequest, "the body could not be read")
	}
	if err := json.Unmarshal(raw, &parsed); err != nil {
		return parsed, problem.New(problem.BadRequest, "the body is no valid JSON: %v", err)
	}
	if len(parsed.Input) == 0 || string(parsed.Input) == "null" {
		return parsed, problem.New(problem.BadRequest, "the body has no input")
	}
	if len(parsed.Prefix) > maxPrefixBytes {
		return parsed, problem.New(problem.TooLarge, "the prefix is over %d bytes", maxPrefixBytes)
	}
	return parsed, nil
}

// requestDeadline returns the absolute deadline of a request. The deadline of
// the pipeline is the upper limit, and the default if deadlineMs is 0.
func requestDeadline(sub Submission, deadlineMs int64) (time.Time, *problem.Error) {
	if deadlineMs < 0 {
		return time.Time{}, problem.New(problem.BadRequest, "deadline_ms is negative")
	}
	limit := sub.Pipeline.Deadline
	if deadlineMs == 0 || deadlineMs > limit.Milliseconds() {
		return sub.Arrived.Add(limit), nil
	}
	return sub.Arrived.Add(time.Duration(deadlineMs) * time.Millisecond), nil
}

// idempotencyKey validates and returns the caller's idempotency key, or "" if
// there is none and the pipeline does not require one. The key must be a UUIDv7
// whose timestamp lies within the retention period of claims and not further in
// the future than the bundle allows.
func idempotencyKey(r *http.Request, sub Submission) (string, *problem.Error) {
	header := r.Header.Get(idempotencyHeader)
	if header == "" {
		if requiresKey(sub.Pipeline) {
			return "", problem.New(problem.KeyRequired, "pipeline %s has a stage that may not be repeated", sub.Pipeline.Name)
		}
		return "", nil
	}
	if len(header) > maxIdempotencyKeyBytes {
		return "", problem.New(problem.KeyInvalid, "the key is over %d bytes", maxIdempotencyKeyBytes)
	}
	key, createdAt, err := uuidtime.Parse(header)
	if err != nil {
		return "", problem.New(problem.KeyInvalid, "the key is %v", err)
	}
	age := sub.Arrived.Sub(createdAt)
	if age < -sub.Bundle.Claims.MaxKeyAhead {
		return "", problem.New(problem.KeyInvalid, "the key lies %v in the future", -age)
	}
	if age > sub.Bundle.Claims.Retention {
		e := problem.New(problem.KeyExpired, "the key is %v old", age.Truncate(time.Second))
		e.Execution = problem.MayHaveRun
		return "", e
	}
	return key, nil
}

func requiresKey(p *bundle.Pipeline) bool {
	_, ok := p.FirstNonRepeatable()
	return ok
}
