package httpbody

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// BrokenOff reports whether err means that the other side ended a connection,
// and not that time ran out or that the bytes were wrong.
func IsConnectionBroken(err error) bool {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}
