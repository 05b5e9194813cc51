package httpbody

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Headers that bind an answer to the attempt that asked for it.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Attempt"
	// HeaderNotExecuted is set to "true" by an upstream that refused a call
	// without executing it.
	HeaderNotExecuted = "X-Not-Executed"
)

// Timeouts and pool bounds of connections to upstreams.
const (
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 90 * time.Second
	keepAlive       = 15 * time.Second
)

// NewTransport returns an HTTP transport that holds at most maxConns
// connections to one upstream; 0 is no bound.
func NewTransport(maxConns int) *http.Transport {
	return &http.Transport{
		DialContext:         NewDialFunc(&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}),
		MaxIdleConnsPerHost: max(maxConns, 64),
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// Dial returns a transport's way to connect whose failures are DialErrors.
func NewDialFunc(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, &DialError{Err: err}
		}
		return conn, nil
	}
}

// DialError is a failure to connect: nothing of the request was sent.
type DialError struct{ Err error }

// Error implements error.
func (e *DialError) Error() string { return "dial: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// NotSent reports whether err means that no byte of a request has left.
func IsNotSent(err error) bool {
	var d *DialError
	return errors.As(err, &d) || errors.Is(err, ErrDeadlinePassed)
}

// ErrTooLate is returned for a call whose deadline passed before it was sent.
var ErrDeadlinePassed = errors.New("deadline passed before the call was sent")
