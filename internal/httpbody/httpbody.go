// Package httpbody reads bounded HTTP bodies.
package httpbody

import (
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge is returned for a body over its limit.
var ErrTooLarge = errors.New("body over the limit")

// Read reads r whole, or fails with ErrTooLarge when it holds more than limit
// bytes.
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
