package replica

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/platform"
)

// Errors returned by calls to engines.
var (
	// ErrNoCapacity means that the engine has no free capacity for a reservation.
	ErrNoCapacity = errors.New("engine has no capacity for a reservation")
	// ErrUnsupportedCall means that the replica responds but does not support the call.
	ErrUnsupportedCall = errors.New("replica does not support the call")
	// ErrUnknownCall is an ErrUnsupportedCall of a replica that does not know the call.
	ErrUnknownCall = errors.New("replica does not know the call")
	// ErrNoSuchRun means that the engine has no such run.
	ErrNoSuchRun = errors.New("engine has no such run")
	// ErrMisdirected means that the address now belongs to another replica.
	ErrMisdirected = errors.New("address belongs to another replica")
)

// maxReservationResponseBytes bounds responses about reservations, which hold only
// an id.
const maxReservationResponseBytes = 4 << 10

// EngineReport fetches an engine's report of its runs. It opens a new connection, since an
// existing one may itself be what has failed. It returns ErrUnsupportedCall when the
// engine answers with another status than 200, sends a malformed head or resets the connection, with
// ErrUnknownCall if the status says that it does not know the call, and platform.ErrMalformed when the
// report can't be parsed. It returns ErrMisdirected when another replica has the address, and an error
// of package httpbody when the report exceeds maxReportBytes. Any other error means that the engine did
// not respond.
func (c *Client) EngineReport(ctx context.Context, replica, address string) (platform.EngineReport, error) {
	body, err := c.getFromEngine(ctx, platform.ReportPath, replica, address, maxReportBytes)
	if err != nil {
		return platform.EngineReport{}, err
	}
	return platform.DecodeEngineReport(body)
}

// maxCachedPartsBytes bounds a list of cached parts.
const maxCachedPartsBytes = 1 << 20

// CachedParts fetches the list of the parts of prompts that an engine keeps. The call delays the
// engine's work. Its errors are those of EngineReport; the list may have maxCachedPartsBytes.
func (c *Client) CachedParts(ctx context.Context, replica, address string) (platform.CachedParts, error) {
	body, err := c.getFromEngine(ctx, platform.CachedPartsPath, replica, address, maxCachedPartsBytes)
	if err != nil {
		return platform.CachedParts{}, err
	}
	return platform.DecodeCachedParts(body)
}

// getFromEngine reads the body of a response with status 200, on a connection of its own.
func (c *Client) getFromEngine(ctx context.Context, path, replica, address string, maxBytes int64) ([]byte, error) {
	status, body, err := c.doSingleUse(ctx, newEngineCall(http.MethodGet, path, replica, address, nil), maxBytes)
	switch {
	case err != nil && (httpbody.IsConnectionBroken(err) || errors.Is(err, httpbody.ErrMalformedHead)):
		return nil, fmt.Errorf("%w: %w", ErrUnsupportedCall, err)
	case err != nil:
		return nil, err
	case status == http.StatusNotFound || status == http.StatusMethodNotAllowed || status == http.StatusNotImplemented:
		return nil, fmt.Errorf("%w: %w: status %d", ErrUnsupportedCall, ErrUnknownCall, status)
	case status != http.StatusOK:
		return nil, fmt.Errorf("%w: status %d", ErrUnsupportedCall, status)
	}
	return body, nil
}

// Reserve reserves a slot and memory at an engine for a request of the given number of
// tokens and returns the id of the reservation. The reservation expires after ttl
// unless a request uses it.
func (c *Client) Reserve(ctx context.Context, replica, address string, tokens int, ttl time.Duration) (string, error) {
	body, err := platform.EncodeReservation(tokens, ttl)
	if err != nil {
		return "", err
	}
	status, responseBody, err := c.doSingleUse(ctx, newEngineCall(http.MethodPost, platform.ReservePath, replica, address, body), maxReservationResponseBytes)
	switch {
	case err != nil:
		return "", err
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return "", fmt.Errorf("%w: status %d", ErrNoCapacity, status)
	case status != http.StatusOK:
		return "", fmt.Errorf("%w: status %d", ErrUnsupportedCall, status)
	}
	return platform.DecodeReservation(responseBody)
}

// ReleaseReservation releases a reservation.
func (c *Client) ReleaseReservation(ctx context.Context, replica, address, reservationID string) error {
	call := newEngineCall(http.MethodDelete, platform.ReleaseReservationTarget(reservationID), replica, address, nil)
	status, _, err := c.doSingleUse(ctx, call, maxReservationResponseBytes)
	if err == nil && status >= http.StatusMultipleChoices {
		return fmt.Errorf("release reservation: status %d", status)
	}
	return err
}

// RunCopy is the memory of a run that an engine has stopped.
type RunCopy struct {
	// Handle names the memory at that engine.
	Handle string
	// Copied says that the destination has a copy.
	Copied bool
}

// StopRun stops the run of a request at an engine, which copies its memory to the engine at
// destination, an ip:port, if there is room. It returns ErrNoSuchRun when the engine has no such
// run. After any other error the run may go on.
func (c *Client) StopRun(ctx context.Context, replica, address, requestID, destination string) (RunCopy, error) {
	body, err := platform.EncodeLastMove(requestID, destination)
	if err != nil {
		return RunCopy{}, err
	}
	status, responseBody, err := c.doSingleUse(ctx, newEngineCall(http.MethodPost, platform.MovePath, replica, address, body), maxReservationResponseBytes)
	switch {
	case err != nil:
		return RunCopy{}, err
	case status == http.StatusNotFound:
		return RunCopy{}, ErrNoSuchRun
	case status != http.StatusOK && status != http.StatusServiceUnavailable:
		return RunCopy{}, fmt.Errorf("%w: status %d", ErrUnsupportedCall, status)
	}
	handle, err := platform.DecodeMove(responseBody)
	switch {
	case err != nil:
		return RunCopy{}, fmt.Errorf("%w: status %d: %w", ErrUnsupportedCall, status, err)
	case handle == "":
		return RunCopy{}, fmt.Errorf("%w: status %d without a handle", ErrUnsupportedCall, status)
	}
	return RunCopy{Handle: handle, Copied: status == http.StatusOK}, nil
}

// ReleaseCopy releases the memory of a run that an engine has stopped, at both ends.
func (c *Client) ReleaseCopy(ctx context.Context, replica, address, handle string) error {
	call := newEngineCall(http.MethodDelete, platform.ReleaseCopyTarget(handle), replica, address, nil)
	status, _, err := c.doSingleUse(ctx, call, maxReservationResponseBytes)
	if err == nil && status >= http.StatusMultipleChoices {
		return fmt.Errorf("release copy: status %d", status)
	}
	return err
}

// doSingleUse makes a call on a connection of its own and reads a response body of
// at most maxBytes.
func (c *Client) doSingleUse(ctx context.Context, call Call, maxBytes int64) (status int, body []byte, err error) {
	resp, err := c.Do(ctx, call)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	if resp.Head.Misdirected {
		return 0, nil, ErrMisdirected
	}
	body, err = httpbody.Read(resp.Body, maxBytes)
	return resp.StatusCode, body, err
}

// newEngineCall returns a call that concerns an engine's runs or reservations.
func newEngineCall(method, target, replica, address string, body []byte) Call {
	h := http.Header{}
	if body != nil {
		h.Set("Content-Type", "application/json")
	}
	h = platform.EncodeAttempt(h, platform.Attempt{Replica: replica, Priority: -1})
	return Call{Replica: replica, Method: method, Address: address, Target: target, Host: address, Header: h, Body: body}
}
