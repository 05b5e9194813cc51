// Package httpbody reads HTTP bodies up to a size limit and holds what is shared
// by the HTTP clients of upstreams: headers, the transport and the classification
// of connection errors.
package httpbody

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// MaxHeadBytes limits the head of a response, all interim responses before it included. net/http
// needs up to five times as much memory to read it.
const MaxHeadBytes = 64 << 10

// Errors of responses that are larger than any valid one, or never end.
var (
	// ErrTooLarge is returned for a body that exceeds its size limit.
	ErrTooLarge = errors.New("body over the limit")
	// ErrHeadTooLarge is returned for a head that exceeds MaxHeadBytes.
	ErrHeadTooLarge = fmt.Errorf("head over the limit of %d bytes", MaxHeadBytes)
)

// IsOversized reports whether err means that a response is larger than any valid one.
func IsOversized(err error) bool {
	return errors.Is(err, ErrTooLarge) || errors.Is(err, ErrHeadTooLarge)
}

// HeadError adds ErrHeadTooLarge to an error of http.Transport that means it. The transport must
// limit the head to MaxHeadBytes.
func HeadError(err error) error {
	// net/http has no type for this error.
	if err == nil || !strings.Contains(err.Error(), "server response headers exceeded") {
		return err
	}
	return fmt.Errorf("%w: %w", ErrHeadTooLarge, err)
}

// Read reads r until EOF. It returns an error that wraps ErrTooLarge if r holds
// more than limit bytes.
func Read(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(b)) > limit {
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
	}
	return b, nil
}
