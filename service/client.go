// Package service is the HTTP/JSON client for plain services: encoders,
// retrievers, rerankers, and others such as signing services.
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

// maxResponseBytes limits the body of a response.
const maxResponseBytes = 4 << 20

// Client calls the upstreams of one pool. It is safe for concurrent use.
type Client struct {
	http *http.Client
	now  func() time.Time
}

// NewClient returns a client with at most maxConns connections to each upstream.
// now is the clock that Call.NotAfter is checked against.
func NewClient(maxConns int, now func() time.Time) *Client {
	return &Client{http: &http.Client{Transport: httpbody.NewTransport(maxConns)}, now: now}
}

// Call is one attempt to run a stage at an upstream.
type Call struct {
	Address   string
	Path      string
	RequestID string
	Attempt   int
	Customer  string
	Stage     string
	// IdempotencyKey, if set, is sent as the Idempotency-Key header.
	IdempotencyKey string
	Input          json.RawMessage
	// NotAfter is the time from which the call must no longer be sent. It is
	// checked right before the call is sent.
	NotAfter time.Time
}

// Error is the error of a call that returned no result.
type Error struct {
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// NotExecuted is true if the service is known not to have executed the call.
	NotExecuted bool
	Err         error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Rejected reports whether the service rejected the call as invalid, which means
// that it did not execute it. Statuses 408, 409, 425 and 429 are excluded, since
// they do not say that the call is invalid.
func (e *Error) Rejected() bool {
	switch e.Status {
	case http.StatusRequestTimeout, http.StatusConflict, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return e.Status >= 400 && e.Status < 500
}

// ErrMismatchedResponse means that the response belongs to another request or
// attempt.
var ErrMismatchedResponse = errors.New("the answer belongs to another request or attempt")

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
		return nil, &Error{NotExecuted: true, Err: httpbody.ErrDeadlinePassed}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &Error{NotExecuted: httpbody.IsNotSent(err), Err: fmt.Errorf("call %s: %w", call.Address, err)}
	}
	defer resp.Body.Close()
	raw, err := httpbody.Read(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, &Error{Status: resp.StatusCode, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp, call.Address)
	}
	return decodeResponse(raw, call)
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
	// Without GetBody the HTTP transport cannot resend the call on its own.
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

func decodeResponse(raw []byte, call Call) (json.RawMessage, error) {
	var response callAnswer
	if err := json.Unmarshal(raw, &response); err != nil {
		return nil, &Error{Status: http.StatusOK, Err: fmt.Errorf("decode answer of %s: %w", call.Address, err)}
	}
	if response.RequestID != call.RequestID || response.Attempt != call.Attempt {
		return nil, &Error{Status: http.StatusOK, Err: fmt.Errorf("%s: %w", call.Address, ErrMismatchedResponse)}
	}
	if len(response.Result) == 0 {
		response.Result = json.RawMessage("null")
	}
	return response.Result, nil
}

// CallState is the state of a call as its service reports it.
type CallState string

// The states of a call.
const (
	StatusUnknown CallState = "unknown"
	StatusRunning CallState = "running"
	StatusDone    CallState = "done"
)

// Status is a service's response to a status query for a call.
type Status struct {
	State  CallState       `json:"state"`
	Result json.RawMessage `json:"result"`
}

// LookUpStatus queries the service at address for the status of the call with the
// given idempotency key.
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
	raw, err := httpbody.Read(resp.Body, maxResponseBytes)
	if err != nil {
		return Status{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return Status{}, statusError(resp, address)
	}
	var status Status
	if err := json.Unmarshal(raw, &status); err != nil {
		return Status{}, fmt.Errorf("decode status of %s: %w", address, err)
	}
	return status, nil
}
