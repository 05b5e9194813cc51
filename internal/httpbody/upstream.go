package httpbody

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Headers that bind a response to the attempt that requested it.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Attempt"
	// HeaderNotExecuted is set to "true" by an upstream that refused a call
	// without executing it.
	HeaderNotExecuted = "X-Not-Executed"
)

// Timeouts of connections to upstreams.
const (
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 90 * time.Second
	keepAlive       = 15 * time.Second
)

// NewTransport returns an HTTP transport that opens at most maxConns connections to
// each upstream; 0 means no limit.
func NewTransport(maxConns int) *Transport {
	return NewCheckedTransport(&http.Transport{
		DialContext:         NewDialFunc(&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}),
		MaxIdleConnsPerHost: max(maxConns, 64),
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: MaxHeadBytes,
	})
}

// NewDialFunc returns a DialContext function for an http.Transport. Its errors are
// *DialError, so that a failure to connect can be distinguished from a later one.
func NewDialFunc(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, &DialError{Err: err}
		}
		return conn, nil
	}
}

// DialError is a failure to connect: no part of the request was sent.
type DialError struct {
	Err error
	// Unconfirmed says that other hosts exist, and none that reaches other upstreams has
	// tried this one.
	Unconfirmed bool
	// PeerRefusals is the number of other hosts that reach upstreams, and whose connections
	// were refused; OwnRefused says that this host's was. ReachedAt is when this host last
	// connected to any upstream directly; zero if it never did.
	PeerRefusals int
	OwnRefused   bool
	ReachedAt    time.Time
}

// Error implements error.
func (e *DialError) Error() string { return "dial: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// IsNotSent reports whether err means that no byte of the request was sent.
func IsNotSent(err error) bool {
	var d *DialError
	return errors.As(err, &d) || errors.Is(err, ErrDeadlinePassed)
}

// ErrDeadlinePassed is returned for a call whose deadline passed before it was sent.
var ErrDeadlinePassed = errors.New("deadline passed before the call was sent")
