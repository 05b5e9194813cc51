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

// The errors of calls to engines.
var (
	// ErrNoRoom: the engine has no place to hold.
	ErrNoCapacity = errors.New("no place to hold")
	// ErrUnknownCall: the replica answers, and does not serve the call.
	ErrUnsupportedCall = errors.New("the replica does not serve the call")
	// ErrOtherReplica: the address belongs to another replica now.
	ErrOtherReplica = errors.New("another replica has the address")
)

// maxHoldAnswer bounds the answers to calls about held places: a name.
const maxHoldAnswer = 4 << 10

// Runs asks an engine for its account of its runs, on a connection of its own: an
// open one may be what has failed. An engine that answers otherwise than asked, or
// resets the connection, gives ErrUnknownCall; other errors say that none answers.
func (c *Client) EngineReport(ctx context.Context, replica, address string) (platform.EngineReport, error) {
	status, body, err := c.ask(ctx, engineCall(http.MethodGet, platform.ReportPath, replica, address, nil), maxReport)
	switch {
	case err != nil && httpbody.BrokenOff(err):
		return platform.EngineReport{}, fmt.Errorf("%w: %w", ErrUnsupportedCall, err)
	case err != nil:
		return platform.EngineReport{}, err
	case status != http.StatusOK:
		return platform.EngineReport{}, fmt.Errorf("%w: status %d", ErrUnsupportedCall, status)
	}
	return platform.DecodeRuns(body)
}

// Hold reserves a place for a request of so many tokens and returns its name. It
// lapses after life, unless a request uses it.
func (c *Client) Reserve(ctx context.Context, replica, address string, tokens int, life time.Duration) (string, error) {
	body, err := platform.EncodeHold(tokens, life)
	if err != nil {
		return "", err
	}
	status, answer, err := c.ask(ctx, engineCall(http.MethodPost, platform.HoldTakePath, replica, address, body), maxHoldAnswer)
	switch {
	case err != nil:
		return "", err
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return "", fmt.Errorf("%w: status %d", ErrNoCapacity, status)
	case status != http.StatusOK:
		return "", fmt.Errorf("%w: status %d", ErrUnsupportedCall, status)
	}
	return platform.DecodeHold(answer)
}

// DropHold gives a reserved place back.
func (c *Client) ReleaseReservation(ctx context.Context, replica, address, hold string) error {
	call := engineCall(http.MethodDelete, platform.HoldDropTarget(hold), replica, address, nil)
	status, _, err := c.ask(ctx, call, maxHoldAnswer)
	if err == nil && status >= http.StatusMultipleChoices {
		return fmt.Errorf("give a held place back: status %d", status)
	}
	return err
}

// ask makes a call on a connection of its own and reads the answer, which has at
// most so many bytes.
func (c *Client) ask(ctx context.Context, call Call, most int64) (status int, body []byte, err error) {
	resp, err := c.Do(ctx, call)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	if resp.Head.Misdirected {
		return 0, nil, ErrOtherReplica
	}
	body, err = httpbody.Read(resp.Body, most)
	return resp.StatusCode, body, err
}

// engineCall is a call about an engine's runs and places.
func engineCall(method, target, replica, address string, body []byte) Call {
	h := http.Header{}
	if body != nil {
		h.Set("Content-Type", "application/json")
	}
	h = platform.EncodeAttempt(h, platform.Attempt{Replica: replica, Priority: -1})
	return Call{Replica: replica, Method: method, Address: address, Target: target, Host: address, Header: h, Body: body}
}
