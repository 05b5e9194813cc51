package tunnel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
)

const (
	// chunkHeader is the size in bytes of a chunk's length.
	chunkHeader = 2
	// maxChunk is the largest chunk in bytes that a Server sends.
	maxChunk = 16 << 10
)

// ErrBroken means that a connection through a peer was not closed by the replica.
var ErrBroken = fmt.Errorf("tunnel: connection through a peer broke: %w", syscall.ECONNRESET)

// Conn is a connection to a replica through a peer.
type Conn struct {
	net.Conn
	peer string
	// left is the number of unread bytes of the current chunk.
	left int
	// end is the error of all further reads; nil before the end.
	end error
}

// Via returns the name of the peer; see replica.Via.
func (c *Conn) Via() string { return c.peer }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if c.end == nil && c.left == 0 {
		c.end = c.nextChunk()
	}
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, broken(err)
}

// nextChunk reads the length of the next chunk. It returns io.EOF at the end.
func (c *Conn) nextChunk() error {
	var header [chunkHeader]byte
	if _, err := io.ReadFull(c.Conn, header[:]); err != nil {
		return broken(err)
	}
	if c.left = int(binary.BigEndian.Uint16(header[:])); c.left == 0 {
		return io.EOF
	}
	return nil
}

// broken turns the end of a stream, which is not that of the replica's connection, into
// ErrBroken. A deadline stays what it is.
func broken(err error) error {
	var timeout net.Error
	if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		return err
	}
	return fmt.Errorf("%w (%w)", ErrBroken, err)
}

// copyChunks copies what a replica sends to a stream, in chunks, until either fails. When the
// replica has closed the connection, it sends an empty chunk, which marks the end.
func copyChunks(stream io.Writer, replica io.Reader) error {
	buf := make([]byte, chunkHeader+maxChunk)
	for {
		n, err := replica.Read(buf[chunkHeader:])
		if n > 0 {
			binary.BigEndian.PutUint16(buf, uint16(n))
			if _, err := stream.Write(buf[:chunkHeader+n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			_, err = stream.Write(make([]byte, chunkHeader))
			return err
		case err != nil:
			return err
		}
	}
}
