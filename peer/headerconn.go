package peer

import (
	"encoding/binary"
	"net"
	"sync"
)

// The layout of a yamux header, as fixed by the yamux specification: version, type,
// flags (2 bytes), stream id (4 bytes), length (4 bytes).
const (
	headerSize         = 12
	headerTypeOffset   = 1
	headerLengthOffset = 8
	frameTypeData      = 0
)

// headerJoiningConn joins the header of a data frame with the body, which yamux writes
// separately, so that both are sent in one segment and one TLS record. yamux writes
// from a single goroutine. Reads are passed through.
type headerJoiningConn struct {
	net.Conn
	pendingHeader []byte // a header whose body has not been written yet
}

// maxPooledBytes bounds the capacity of the buffers that are kept for reuse.
const maxPooledBytes = 64 << 10

var writeBuffers = sync.Pool{New: func() any { return new([]byte) }}

// Write implements net.Conn.
func (c *headerJoiningConn) Write(b []byte) (int, error) {
	if len(c.pendingHeader) > 0 {
		return c.writeJoined(b)
	}
	if hasBody(b) {
		c.pendingHeader = append(c.pendingHeader[:0], b...)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// writeJoined writes the pending header and its body in one write.
func (c *headerJoiningConn) writeJoined(body []byte) (int, error) {
	buf := writeBuffers.Get().(*[]byte)
	*buf = append(append((*buf)[:0], c.pendingHeader...), body...)
	c.pendingHeader = c.pendingHeader[:0]
	_, err := c.Conn.Write(*buf)
	if cap(*buf) <= maxPooledBytes {
		writeBuffers.Put(buf)
	}
	if err != nil {
		return 0, err
	}
	return len(body), nil
}

// hasBody reports whether b is the header of a data frame that has a body.
func hasBody(b []byte) bool {
	return len(b) == headerSize && b[headerTypeOffset] == frameTypeData &&
		binary.BigEndian.Uint32(b[headerLengthOffset:]) > 0
}
