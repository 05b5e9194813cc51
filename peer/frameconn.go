package peer

import (
	"encoding/binary"
	"net"
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
	held  []byte // a header whose body has yet to come
	whole []byte // reused buffer of header and body
}

// Write implements net.Conn.
func (c *frameConn) Write(b []byte) (int, error) {
	if len(c.held) > 0 {
		c.whole = append(append(c.whole[:0], c.held...), b...)
		c.held = c.held[:0]
		if _, err := c.Conn.Write(c.whole); err != nil {
			return 0, err
		}
		if cap(c.whole) > readBuffer {
			c.whole = nil // keep no large buffer in an idle session
		}
		return len(b), nil
	}
	if hasBody(b) {
		c.held = append(c.held[:0], b...)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// hasBody says whether b is the header of a data frame with a body.
func hasBody(b []byte) bool {
	return len(b) == headerSize && b[headerType] == typeData &&
		binary.BigEndian.Uint32(b[headerLength:]) > 0
}
