package peer

import (
	"errors"
	"fmt"
)

// The errors of a call, to be tested with errors.Is.
var (
	// ErrUnreachable is a peer that can't be dialled, or a session that broke
	// before the answer came. See Unsent.
	ErrUnreachable = errors.New("peer: host is unreachable")
	// ErrTimeout is an answer that did not come within the call's deadline.
	ErrTimeout = errors.New("peer: call timed out")
	// ErrUnknownHost is a host that the resolver does not know.
	ErrUnknownHost = errors.New("peer: unknown host")
	// ErrUnknownMethod is a method that the called daemon does not have.
	ErrUnknownMethod = errors.New("peer: unknown method")
	// ErrTooLarge is a message over the bound, at either side.
	ErrTooLarge = errors.New("peer: message is too large")
	// ErrBusy is a call refused as too many are in flight or waiting.
	ErrBusy = errors.New("peer: too many calls")
	// ErrIdentity is a peer whose certificate or greeting names another host.
	ErrIdentity = errors.New("peer: host has another identity")
	// ErrVersion is a peer that speaks no common release of the protocol.
	ErrVersion = errors.New("peer: no common protocol version")
	// ErrPlaintext is an address that must not be used without TLS.
	ErrPlaintext = errors.New("peer: plaintext is only for loopback addresses")
	// ErrClosed is a call on a closed transport.
	ErrClosed = errors.New("peer: transport is closed")
	// ErrMalformed is an envelope or message that can't be parsed.
	ErrMalformed = errors.New("peer: malformed message")
)

// RemoteError is an error that the method's handler returned.
type RemoteError struct {
	Host    string
	Method  string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer: %s at %s: %s", e.Method, e.Host, e.Message)
}

// CallError says which call failed; Err is or wraps one of the errors above,
// a *RemoteError, or context.Canceled.
type CallError struct {
	Host   string
	Method string
	// Unsent says that no byte of the request left this host.
	Unsent bool
	Err    error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s at %s: %v", e.Method, e.Host, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Unsent says whether err is of a call of which no byte left this host.
func Unsent(err error) bool {
	var c *CallError
	return errors.As(err, &c) && c.Unsent
}

// The error codes of an envelope. An empty code is a handler's own error.
const (
	codeUnknownMethod = "unknown_method"
	codeTooLarge      = "too_large"
	codeBusy          = "busy"
	codeIdentity      = "identity"
	codeVersion       = "version"
	codeMalformed     = "malformed"
	codeTimeout       = "timeout"
)

// codeErrors holds the error that each code stands for.
var codeErrors = map[string]error{
	codeUnknownMethod: ErrUnknownMethod,
	codeTooLarge:      ErrTooLarge,
	codeBusy:          ErrBusy,
	codeIdentity:      ErrIdentity,
	codeVersion:       ErrVersion,
	codeMalformed:     ErrMalformed,
	codeTimeout:       ErrTimeout,
}

// handlerError is a handler's own error. It hides what it wraps: an error of a
// call that the handler made must not pass for one of the call being served.
type handlerError struct{ err error }

// Error implements error.
func (e *handlerError) Error() string { return e.err.Error() }

// codeOf returns the code for err, and "" for a handler's own error.
func codeOf(err error) string {
	for code, e := range codeErrors {
		if errors.Is(err, e) {
			return code
		}
	}
	return ""
}
