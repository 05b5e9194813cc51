// Package service calls plain services over HTTP/JSON: encoders, retrievers,
// rerankers, and services such as signature seals.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/wheatseam/wheatseam/internal/httpbody"
)

// maxAnswerBytes bounds a service's answer.
const maxAnswerBytes = 4 << 20

// Client calls the upstreams of one pool. It is safe for concurrent use.
type Client struct {
	http *http.Client
	now  func() time.Time
}

// NewClient returns a client that holds at most maxConns connections to one
// upstream. now is the clock that NotAfter is checked against.
func NewClient(maxConns int, now func() time.Time) *Client {
	return &Client{http: &http.Client{Transport: httpbody.NewTransport(maxConns)}, now: now}
}

// Call is one attempt at a stage.
type Call struct {
	Address   string
	Path      string
	RequestID string
	Attempt   int
	Customer  string
	Stage     string
	// Key is sent as Idempotency-Key when set.
	IdempotencyKey string
	Input          json.RawMessage
	// NotAfter is checked right before the call is sent.
	NotAfter time.Time
}

// Error is a call that brought no result.
type Error struct {
	// Status is the HTTP status, or 0 when there was no answer.
	Status int
	// NotExecuted is set when the service is known not to have executed the
	// call.
	NotExecuted bool
	Err         error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Rejected reports whether the service found the call itself invalid, which
// means that it did not execute it. A conflict or a timeout says no such thing.
func (e *Error) Rejected() bool {
	switch e.Status {
	case http.StatusRequestTimeout, http.StatusConflict, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return e.Status >= 400 && e.Status < 500
}

// ErrForeignAnswer is an answer that belongs to another request or attempt.
var ErrForeignAnswer = errors.New("the answer belongs to another request or attempt")

type callBody struct {
	RequestID string          `json:"request_id"`
	Attempt   int             `json:"attempt"`
	Customer  string          `json:"customer"`
	Stage     string          `json:"stage"`
	Input     json.RawMessage `json:"input"`
}

type callAnswer struct {
	RequestID string          `json:"request_id"`
	Attempt   int             `json:"attempt"`
	Result    json.RawMessage `json:"result"`
}

// Do sends a call and returns its result. The error is an *Error.
func (c *Client) Do(ctx context.Context, call Call) (json.RawMessage, error) {
	req, err := newRequest(ctx, call)
	if err != nil {
		return nil, &Error{NotExecuted: true, Err: err}
	}
	if !c.now().Before(call.NotAfter) {
		return nil, &Error{NotExecuted: true, Err: httpbody.ErrTooLate}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &Error{NotExecuted: httpbody.NotSent(err), Err: fmt.Errorf("call %s: %w", call.Address, err)}
	}
	defer resp.Body.Close()
	raw, err := httpbody.Read(resp.Body, maxAnswerBytes)
	if err != nil {
		return nil, &Error{Status: resp.StatusCode, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp, call.Address)
	}
	return decodeAnswer(raw, call)
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	body, err := json.Marshal(callBody{call.RequestID, call.Attempt, call.Customer, call.Stage, call.Input})
	if err != nil {
		return nil, fmt.Errorf("encode call: %w", err)
	}
	target := "http://" + call.Address + call.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build call: %w", err)
	}
	// Without GetBody the transport never sends a call a second time by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(httpbody.HeaderRequestID, call.RequestID)
	req.Header.Set(httpbody.HeaderAttempt, strconv.Itoa(call.Attempt))
	if call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	return req, nil
}

func statusError(resp *http.Response, address string) *Error {
	return &Error{
		Status:      resp.StatusCode,
		NotExecuted: resp.Header.Get(httpbody.HeaderNotExecuted) == "true",
		Err:         fmt.Errorf("%s answered %d", address, resp.StatusCode),
	}
}

func decodeAnswer(raw []byte, call Call) (json.RawMessage, error) {
	var a callAnswer
	if err := json.Unmarshal(raw, &a); err != nil {
		return nil, &Error{Status: http.StatusOK, Err: fmt.Errorf("decode answer of %s: %w", call.Address, err)}
	}
	if a.RequestID != call.RequestID || a.Attempt != call.Attempt {
		return nil, &Error{Status: http.StatusOK, Err: fmt.Errorf("%s: %w", call.Address, ErrForeignAnswer)}
	}
	if len(a.Result) == 0 {
		a.Result = json.RawMessage("null")
	}
	return a.Result, nil
}

// StatusState is what a service knows of a call.
type CallState string

// The states that a service reports.
const (
	StatusUnknown CallState = "unknown"
	StatusRunning CallState = "running"
	StatusDone    CallState = "done"
)

// Status is a service's answer about a call.
type Status struct {
	State  CallState       `json:"state"`
	Result json.RawMessage `json:"result"`
}

// LookUp asks the service at address what became of the call with key.
func (c *Client) LookUpStatus(ctx context.Context, address, key string) (Status, error) {
	target := "http://" + address + "/v1/status/" + url.PathEscape(key)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Status{}, fmt.Errorf("build status look-up: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Status{}, fmt.Errorf("status look-up at %s: %w", address, err)
	}
	defer resp.Body.Close()
	raw, err := httpbody.Read(resp.Body, maxAnswerBytes)
	if err != nil {
		return Status{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return Status{}, statusError(resp, address)
	}
	var s Status
	if err := json.Unmarshal(raw, &s); err != nil {
		return Status{}, fmt.Errorf("decode status of %s: %w", address, err)
	}
	return s, nil
}
