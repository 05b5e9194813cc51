// Package httpbody reads HTTP bodies up to a size limit and holds what is shared
// by the HTTP clients of upstreams: headers, the transport and the classification
// of connection errors.
package httpbody

import (
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge is returned for a body that exceeds its size limit.
var ErrTooLarge = errors.New("body over the limit")

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
