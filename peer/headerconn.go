package peer

import (
	"encoding/binary"
	"net"
	"sync"
)

// The layout of a yamux header, as fixed by the yamux specification: version, type,
// flags (2 bytes), stream id (4 bytes), length (4 bytes).
const (
	headerSize            = 12
	headerTypeOffset      = 1
	headerFlagsOffset     = 2
	headerLengthOffset    = 8
	frameTypeData         = 0
	frameTypeWindowUpdate = 1
	flagSYN               = 1
)

// headerJoiningConn joins frames that yamux writes separately, so that they are sent in one segment and
// one TLS record: the header of a data frame with its body, and the frame that opens a stream with the
// next one. Whoever opens a stream writes to it or closes it at once. yamux writes from a single
// goroutine. Reads are passed through.
type headerJoiningConn struct {
	net.Conn
	// pending has not been written yet; bodyNext says that it ends with a header whose body is
	// written next.
	pending  []byte
	bodyNext bool
}

// maxPooledBytes bounds the capacity of the buffers that are kept for reuse.
const maxPooledBytes = 64 << 10

var writeBuffers = sync.Pool{New: func() any { return new([]byte) }}

// Write implements net.Conn.
func (c *headerJoiningConn) Write(b []byte) (int, error) {
	if !c.bodyNext {
		c.bodyNext = hasBody(b)
		if c.bodyNext || opensStream(b) {
			c.pending = append(c.pending, b...)
			return len(b), nil
		}
	}
	c.bodyNext = false
	if len(c.pending) == 0 {
		return c.Conn.Write(b)
	}
	return c.writeJoined(b)
}

// writeJoined writes what is pending and b in one write.
func (c *headerJoiningConn) writeJoined(b []byte) (int, error) {
	buf := writeBuffers.Get().(*[]byte)
	*buf = append(append((*buf)[:0], c.pending...), b...)
	c.pending = c.pending[:0]
	_, err := c.Conn.Write(*buf)
	if cap(*buf) <= maxPooledBytes {
		writeBuffers.Put(buf)
	}
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// hasBody reports whether b is the header of a data frame that has a body.
func hasBody(b []byte) bool {
	return len(b) == headerSize && b[headerTypeOffset] == frameTypeData &&
		binary.BigEndian.Uint32(b[headerLengthOffset:]) > 0
}

// opensStream reports whether b is the frame that opens a stream.
func opensStream(b []byte) bool {
	return len(b) == headerSize && b[headerTypeOffset] == frameTypeWindowUpdate &&
		binary.BigEndian.Uint16(b[headerFlagsOffset:])&flagSYN != 0
}
