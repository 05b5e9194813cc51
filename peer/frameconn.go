package peer

import (
	"encoding/binary"
	"net"
	"sync"
)

// The layout of a yamux header, as its specification fixes it: version, type,
// flags (2 bytes), stream id (4 bytes), length (4 bytes).
const (
	headerSize   = 12
	headerType   = 1
	headerLength = 8
	typeData     = 0
)

// frameConn joins the header of a data frame with the body that yamux writes
// after it, so that both leave in one segment and one TLS record. yamux writes
// from one goroutine; reads pass through.
type frameConn struct {
	net.Conn
	held []byte // a header whose body has yet to come
}

// maxPooled bounds the buffers that are kept for reuse, in bytes.
const maxPooled = 64 << 10

var joined = sync.Pool{New: func() any { return new([]byte) }}

// Write implements net.Conn.
func (c *frameConn) Write(b []byte) (int, error) {
	if len(c.held) > 0 {
		return c.writeJoined(b)
	}
	if hasBody(b) {
		c.held = append(c.held[:0], b...)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// writeJoined writes the held header and its body.
func (c *frameConn) writeJoined(body []byte) (int, error) {
	buf := joined.Get().(*[]byte)
	*buf = append(append((*buf)[:0], c.held...), body...)
	c.held = c.held[:0]
	_, err := c.Conn.Write(*buf)
	if cap(*buf) <= maxPooled {
		joined.Put(buf)
	}
	if err != nil {
		return 0, err
	}
	return len(body), nil
}

// hasBody says whether b is the header of a data frame with a body.
func hasBody(b []byte) bool {
	return len(b) == headerSize && b[headerType] == typeData &&
		binary.BigEndian.Uint32(b[headerLength:]) > 0
}
