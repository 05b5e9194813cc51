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

// Bounds of a request's fields.
const (
	maxKeyBytes    = 64
	maxPrefixBytes = 256 << 10
	// idempotencyHeader names the header that bears a caller's key.
	idempotencyHeader = "Idempotency-Key"
)

// body is the JSON body of a request.
type body struct {
	Input      json.RawMessage `json:"input"`
	DeadlineMs int64           `json:"deadline_ms"`
	Stream     bool            `json:"stream"`
	Prefix     string          `json:"prefix"`
}

// decode authenticates and checks a request.
func (s *Server) decode(r *http.Request, id string) (Submission, *problem.Error) {
	var sub Submission
	b := s.cfg.Backend.Bundle()
	if b == nil {
		return sub, notReady()
	}
	customer, err := s.customers.customer(b, r.Header.Get("Authorization"))
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
	if sub.Deadline, err = deadline(sub, parsed.DeadlineMs); err != nil {
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

// deadline works out the request's deadline; the pipeline's bounds it.
func deadline(sub Submission, millis int64) (time.Time, *problem.Error) {
	if millis < 0 {
		return time.Time{}, problem.New(problem.BadRequest, "deadline_ms is negative")
	}
	limit := sub.Pipeline.Deadline
	if millis == 0 || millis > limit.Milliseconds() {
		return sub.Arrived.Add(limit), nil
	}
	return sub.Arrived.Add(time.Duration(millis) * time.Millisecond), nil
}

// idempotencyKey checks the caller's key: a UUIDv7 whose time lies within the
// retention of claims.
func idempotencyKey(r *http.Request, sub Submission) (string, *problem.Error) {
	text := r.Header.Get(idempotencyHeader)
	if text == "" {
		if needsKey(sub.Pipeline) {
			return "", problem.New(problem.KeyRequired, "pipeline %s has a stage that may not be repeated", sub.Pipeline.Name)
		}
		return "", nil
	}
	if len(text) > maxKeyBytes {
		return "", problem.New(problem.KeyInvalid, "the key is over %d bytes", maxKeyBytes)
	}
	key, made, err := uuidtime.Parse(text)
	if err != nil {
		return "", problem.New(problem.KeyInvalid, "the key is %v", err)
	}
	age := sub.Arrived.Sub(made)
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

func needsKey(p *bundle.Pipeline) bool {
	_, ok := p.FirstNonRepeatable()
	return ok
}
