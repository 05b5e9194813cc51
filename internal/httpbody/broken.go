package httpbody

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// IsConnectionBroken reports whether err means that the peer closed or reset the connection,
// as opposed to a timeout or a malformed message.
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
