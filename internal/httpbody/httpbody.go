// Package httpbody reads HTTP bodies up to a size limit and holds what is shared
// by the HTTP clients of upstreams: headers, the transport and the classification
// of connection errors.
package httpbody

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
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

// ErrNoMemory is returned for a body that needs more memory than a Memory has left.
var ErrNoMemory = errors.New("no memory is left for incomplete bodies")

// UncountedBytes is the size up to which a body is read without a Memory.
const UncountedBytes = 64 << 10

// Memory is where bodies get the memory for their buffers.
type Memory interface {
	// Take takes n bytes. It returns an error that wraps ErrNoMemory, and takes nothing, if
	// fewer are left.
	Take(n int64) error
	// Release returns n bytes that were taken.
	Release(n int64)
}

// FixedMemory is a Memory of a fixed size for the buffers of all incomplete bodies together. It is
// safe for concurrent use.
type FixedMemory struct{ left atomic.Int64 }

// NewMemory returns a FixedMemory of the given number of bytes.
func NewMemory(bytes int64) *FixedMemory {
	m := &FixedMemory{}
	m.left.Store(bytes)
	return m
}

// Take implements Memory.
func (m *FixedMemory) Take(n int64) error {
	if m.left.Add(-n) < 0 {
		m.left.Add(n)
		return ErrNoMemory
	}
	return nil
}

// Release implements Memory.
func (m *FixedMemory) Release(n int64) { m.left.Add(n) }

// minBuffer is the size in bytes of the first buffer for a body.
const minBuffer = 4 << 10

// Read reads r until EOF. It returns an error that wraps ErrTooLarge if r holds
// more than limit bytes.
func Read(r io.Reader, limit int64) ([]byte, error) { return ReadWithin(r, limit, nil) }

// ReadWithin is Read, and takes the memory for the buffer from m while it reads; nil for no
// limit. It returns an error that wraps ErrNoMemory if not enough is left.
func ReadWithin(r io.Reader, limit int64, m Memory) ([]byte, error) {
	body, taken, err := ReadHeld(r, -1, limit, m)
	if m != nil && taken > 0 {
		m.Release(taken)
	}
	return body, err
}

// ReadHeld is ReadWithin for a body of the given length, -1 if it is not known, and leaves it to the
// caller to release the bytes taken, also after an error. A known length is taken before the first
// read; else bodies of up to UncountedBytes take nothing.
func ReadHeld(r io.Reader, length, limit int64, m Memory) (body []byte, taken int64, err error) {
	if length > limit {
		return nil, 0, fmt.Errorf("%w of %d bytes: length %d", ErrTooLarge, limit, length)
	}
	size := min(minBuffer, limit+1)
	if length >= 0 {
		// The last byte finds out that the body has ended.
		size = length + 1
		if m != nil {
			if err := m.Take(length); err != nil {
				return nil, 0, fmt.Errorf("read body of %d bytes: %w", length, err)
			}
			taken = length
		}
	}
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			size := min(2*int64(cap(buf)), limit+1)
			if m != nil && size > UncountedBytes {
				if err := m.Take(size - taken); err != nil {
					return nil, taken, fmt.Errorf("read body, %d bytes read: %w", len(buf), err)
				}
				taken = size
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, taken, fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
		case err == io.EOF:
			return buf, taken, nil
		case err != nil:
			return nil, taken, fmt.Errorf("read body: %w", err)
		}
	}
}
