package httpserver

import (
	"bytes"
	"crypto/tls"
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatseam/wheatseam/core/connections"
)

// connKey is the key of a request's conn in its context.
type connKey struct{}

// connOf returns the conn of a connection that the listener accepted.
func connOf(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	return nc.(*conn)
}

// The phases of a conn, as net/http sees them: what it reads next.
const (
	readsHead int32 = iota
	readsBody
	awaitsHead
)

// conn is an accepted connection. net/http reads and writes it.
type conn struct {
	net.Conn
	server *Server
	id     connections.ID
	phase  atomic.Int32
	// givenUp is closed when the server closes the connection to make room.
	givenUp chan struct{}
	// parsePermit is the pool of the permit that the connection holds to parse a head; nil for none.
	parsePermit atomic.Pointer[chan struct{}]

	mu sync.Mutex
	// writeDeadline is the deadline that the handler has set; zero for none.
	writeDeadline time.Time

	// The following are used by the goroutine that reads. since is when the phase began.
	since     time.Time
	headBytes int
	// buffered is the cost of what was last read into net/http's buffer.
	buffered int64
	// idleDeadlineSet is set once net/http has set the deadline of the idle connection.
	idleDeadlineSet bool

	// writing is when the write in progress began, in nanoseconds since the server's epoch; 0 for
	// none.
	writing atomic.Int64
}

// epoch is the origin of conn.writing. Deadlines of connections are in the time of package time.
var epoch = time.Now().Add(-time.Second)

func newConn(s *Server, raw net.Conn, id connections.ID) *conn {
	return &conn{Conn: raw, server: s, id: id, since: time.Now(), givenUp: make(chan struct{})}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.parsed()
	phase := c.phase.Load()
	switch phase {
	case readsHead:
		_ = c.Conn.SetReadDeadline(c.since.Add(c.server.cfg.Limits().HeaderTimeout)) // a closed connection fails the read
	case awaitsHead:
		_ = c.Conn.SetReadDeadline(c.since.Add(c.server.cfg.Limits().IdleTimeout))
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	cost := c.cost(p[:n])
	if n > 1 && len(p) <= bufferBytes {
		c.buffered = cost
	}
	if phase == readsBody {
		return n, err
	}
	c.headBegins()
	if !c.headReceived(n, cost) {
		return 0, c.rejectHead()
	}
	if err := c.awaitParsing(); err != nil {
		return 0, err
	}
	return n, err
}

// awaitParsing waits until net/http may parse what was read of a head, and returns an error if the
// connection has been given up. Few heads are parsed at a time, so that requests in work don't
// share the processor with all clients that send heads.
func (c *conn) awaitParsing() error {
	pool := &c.server.firstParsing
	if c.headBytes > bufferBytes {
		pool = &c.server.furtherParsing
	}
	select {
	case *pool <- struct{}{}:
		c.parsePermit.Store(pool)
		c.server.awaitClosed(c.id)
		return nil
	case <-c.givenUp:
		return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: net.ErrClosed}
	}
}

// parsed releases the permit of awaitParsing, if the connection holds one. It is called by whatever
// net/http does next.
func (c *conn) parsed() {
	if pool := c.parsePermit.Swap(nil); pool != nil {
		<-*pool
	}
}

// cost returns the memory that bytes take once they are parsed as part of a head.
func (c *conn) cost(p []byte) int64 {
	if c.server.cfg.TLS != nil {
		return encryptedFactor * int64(len(p))
	}
	return int64(len(p)) + headerLineBytes*int64(bytes.Count(p, []byte{'\n'}))
}

// headBegins notes the first byte of the head of a further request.
func (c *conn) headBegins() {
	if c.phase.CompareAndSwap(awaitsHead, readsHead) {
		c.since, c.headBytes = time.Now(), 0
	}
}

// headReceived counts bytes of a head. It reports false if the head is over the limit.
func (c *conn) headReceived(n int, cost int64) bool {
	c.headBytes += n
	if c.server.cfg.TLS == nil && c.headBytes > c.server.cfg.Limits().MaxHeadBytes+bufferBytes {
		return false
	}
	c.server.headRead(c, cost)
	return true
}

// SetReadDeadline implements net.Conn. net/http sets a deadline when a connection becomes idle, and
// another one when it has found the start of the next head, which may have been in its buffer.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.phase.Load() == awaitsHead {
		if c.idleDeadlineSet {
			c.headBegins()
			c.headReceived(0, c.buffered)
			// A client that sends many requests ahead lets others go first after each.
			runtime.Gosched()
		}
		c.idleDeadlineSet = true
	}
	return c.Conn.SetReadDeadline(t)
}

// requestBegins notes that the head is complete, and reports whether the request may run.
func (c *conn) requestBegins(headBytes int64) bool {
	c.parsed()
	c.phase.Store(readsBody)
	return c.server.begin(c.id, headBytes)
}

// requestEnded notes that the request has been answered.
func (c *conn) requestEnded() {
	c.since, c.idleDeadlineSet = time.Now(), false
	c.phase.Store(awaitsHead)
	c.server.end(c.id)
}

var errHeadTooLarge = errors.New("head of the request is too large")

const (
	// lingerTimeout and lingerBytes bound what is read of a client whose head was rejected. If the
	// connection were closed before it has sent its head, it would lose the answer.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 64 << 10
	tooLarge      = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"
)

// rejectHead answers a head that is over the limit. It returns an error at which net/http closes the
// connection without an answer of its own.
func (c *conn) rejectHead() error {
	c.server.closings.note(closedHeadTooLarge, c.RemoteAddr())
	deadline := time.Now().Add(lingerTimeout)
	_ = c.Conn.SetDeadline(deadline) // if it fails, so do the calls below
	if _, err := c.Conn.Write([]byte(tooLarge)); err == nil && c.CloseWrite() == nil {
		discard := make([]byte, bufferBytes)
		for read := 0; read < lingerBytes; {
			n, err := c.Conn.Read(discard)
			if read += n; err != nil {
				break
			}
		}
	}
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errHeadTooLarge}
}

// writeChunkBytes is the size of the writes for which WriteTimeout holds.
const writeChunkBytes = 64 << 10

// Write implements net.Conn.
func (c *conn) Write(p []byte) (written int, err error) {
	c.parsed()
	defer c.writing.Store(0)
	for {
		now := time.Now()
		c.writing.Store(int64(now.Sub(epoch)))
		_ = c.Conn.SetWriteDeadline(c.writeLimit(now)) // a closed connection fails the write
		n, err := c.Conn.Write(p[:min(len(p), writeChunkBytes)])
		written += n
		if p = p[n:]; err != nil || len(p) == 0 {
			return written, err
		}
	}
}

// writeLimit returns the deadline of a write that begins now.
func (c *conn) writeLimit(now time.Time) time.Time {
	limit := now.Add(c.server.cfg.Limits().WriteTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(limit) {
		return c.writeDeadline
	}
	return limit
}

// writeBegan returns when the write in progress began; zero if there is none.
func (c *conn) writeBegan() time.Time {
	if at := c.writing.Load(); at != 0 {
		return epoch.Add(time.Duration(at))
	}
	return time.Time{}
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite ends the connection for writing. net/http does so before it closes a connection whose
// client may still be sending.
func (c *conn) CloseWrite() error {
	c.parsed()
	return c.Conn.(*net.TCPConn).CloseWrite()
}

// giveUp closes the connection to make room.
func (c *conn) giveUp() {
	close(c.givenUp)
	_ = c.Conn.Close() // net/http closes it, too
}

// Close implements net.Conn. net/http has released what it held for the connection.
func (c *conn) Close() error {
	c.parsed()
	err := c.Conn.Close()
	c.server.forget(c.id)
	return err
}
