package httpbody

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrResetDuringWrite is returned by reads of a connection that the peer reset, if a write has
// reported the reset.
var ErrResetDuringWrite = fmt.Errorf("connection reset during a write: %w", syscall.ECONNRESET)

// errInputEnded is returned by writes to a connection whose input has ended.
var errInputEnded = fmt.Errorf("write after the end of the input: %w", syscall.EPIPE)

// DetectResets returns conn with reads that return io.EOF only if the peer ended the connection in
// order. The kernel reports a reset once: after a write has failed with it, reads of a TCP
// connection return io.EOF, as if the peer had closed it. When a read reaches the end, no more can
// be written. Connections of other kinds are returned as they are.
func DetectResets(conn net.Conn) net.Conn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &resetConn{Conn: tcp}
	}
	return conn
}

// resetConn is a connection of DetectResets.
type resetConn struct {
	net.Conn
	// writeMu is held during writes. reset says that one failed with a reset.
	writeMu sync.Mutex
	reset   bool
	// endMu is held while the deadline of writes is set. ended says that a read has reached the end.
	endMu sync.Mutex
	ended bool
}

// NetConn returns the connection that was passed to DetectResets.
func (c *resetConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF && c.wasReset() {
		err = ErrResetDuringWrite
	}
	return n, err
}

// wasReset reports whether the connection, a read of which returned io.EOF, was reset. A write in
// progress may have taken the error from the kernel, so that its result is awaited.
func (c *resetConn) wasReset() bool {
	c.endWrites()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.reset
}

// endWrites makes writes fail, also those in progress.
func (c *resetConn) endWrites() {
	c.endMu.Lock()
	defer c.endMu.Unlock()
	c.ended = true
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// Write implements net.Conn.
func (c *resetConn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(b)
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		// After an end in order, it is EPIPE.
		c.reset = true
	case errors.Is(err, os.ErrDeadlineExceeded) && c.inputEnded():
		err = errInputEnded
	}
	return n, err
}

func (c *resetConn) inputEnded() bool {
	c.endMu.Lock()
	defer c.endMu.Unlock()
	return c.ended
}

// SetWriteDeadline implements net.Conn.
func (c *resetConn) SetWriteDeadline(t time.Time) error {
	c.endMu.Lock()
	defer c.endMu.Unlock()
	if c.ended {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *resetConn) SetDeadline(t time.Time) error {
	return errors.Join(c.Conn.SetReadDeadline(t), c.SetWriteDeadline(t))
}
