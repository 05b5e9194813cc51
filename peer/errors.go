package peer

import (
	"errors"
	"fmt"
)

// The errors of a call, to be tested for with errors.Is.
var (
	// ErrUnreachable means that the peer cannot be dialled, or the session broke before the
	// answer arrived. See Unsent.
	ErrUnreachable = errors.New("peer: host is unreachable")
	// ErrTimeout means that no answer arrived by the call's deadline.
	ErrTimeout = errors.New("peer: call timed out")
	// ErrUnknownHost means that the resolver does not know the host.
	ErrUnknownHost = errors.New("peer: unknown host")
	// ErrUnknownMethod means that the called daemon does not have the method.
	ErrUnknownMethod = errors.New("peer: unknown method")
	// ErrTooLarge means that a message exceeds the size limit of either side.
	ErrTooLarge = errors.New("peer: message is too large")
	// ErrBusy means that the call was rejected because too many calls are in flight
	// or waiting.
	ErrBusy = errors.New("peer: too many calls")
	// ErrIdentity means that the peer's certificate or handshake names another host.
	ErrIdentity = errors.New("peer: host has another identity")
	// ErrVersion means that the peer speaks no common version of the protocol.
	ErrVersion = errors.New("peer: no common protocol version")
	// ErrPlaintext means that the address must not be used without TLS.
	ErrPlaintext = errors.New("peer: plaintext is only for loopback addresses")
	// ErrClosed means that the transport is closed.
	ErrClosed = errors.New("peer: transport is closed")
	// ErrMalformed means that an envelope or a message cannot be parsed.
	ErrMalformed = errors.New("peer: malformed message")
)

// RemoteError is an error returned by the method's handler at the called host.
type RemoteError struct {
	Host    string
	Method  string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer: %s at %s: %s", e.Method, e.Host, e.Message)
}

// CallError identifies the call that failed. Err is or wraps one of the errors above, a
// *RemoteError or context.Canceled.
type CallError struct {
	Host   string
	Method string
	// Unsent reports that no byte of the request left this host.
	Unsent bool
	Err    error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s at %s: %v", e.Method, e.Host, e.Err)
}

// Unwrap returns Err.
func (e *CallError) Unwrap() error { return e.Err }

// Unsent reports whether err comes from a call of which no byte left this host.
func Unsent(err error) bool {
	var c *CallError
	return errors.As(err, &c) && c.Unsent
}

// The error codes of an envelope. The code is empty for an error that the handler
// returned.
const (
	codeUnknownMethod = "unknown_method"
	codeTooLarge      = "too_large"
	codeBusy          = "busy"
	codeIdentity      = "identity"
	codeVersion       = "version"
	codeMalformed     = "malformed"
	codeTimeout       = "timeout"
)

var codeErrors = map[string]error{
	codeUnknownMethod: ErrUnknownMethod,
	codeTooLarge:      ErrTooLarge,
	codeBusy:          ErrBusy,
	codeIdentity:      ErrIdentity,
	codeVersion:       ErrVersion,
	codeMalformed:     ErrMalformed,
	codeTimeout:       ErrTimeout,
}

// handlerError is an error that a handler returned. It does not unwrap: an error of a
// call that the handler made must not be mistaken for an error of the call being
// served.
type handlerError struct{ err error }

// Error implements error.
func (e *handlerError) Error() string { return e.err.Error() }

// codeOf returns the error code for err, or "" for an error that the handler returned.
func codeOf(err error) string {
	for code, e := range codeErrors {
		if errors.Is(err, e) {
			return code
		}
	}
	return ""
}
