package peer

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// endReadsTimeout limits how long the end of a connection is kept from yamux while reads end.
const endReadsTimeout = 50 * time.Millisecond

// pendingReads are the streams of a session that are being read. They have to end before yamux
// learns that the connection has failed: it first wakes the reads and closes the streams only after
// its receive loop has ended, and a read does not block in between. With one processor the receive
// loop may then never run.
type pendingReads struct {
	mu      sync.Mutex
	streams map[*yamux.Stream]int
	ended   bool
	// none is closed when no stream is being read, once the reads have been ended.
	none chan struct{}
}

func newPendingReads() *pendingReads {
	return &pendingReads{streams: map[*yamux.Stream]int{}, none: make(chan struct{})}
}

// read reads from a stream. If the connection fails, the stream ends as it does with its session.
func (p *pendingReads) read(s *yamux.Stream, b []byte) (int, error) {
	p.mu.Lock()
	p.streams[s]++
	if p.ended {
		expireStream(s)
	}
	p.mu.Unlock()
	n, err := s.Read(b)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams[s]--; p.streams[s] == 0 {
		delete(p.streams, s)
	}
	p.checkNone()
	if p.ended && errors.Is(err, yamux.ErrTimeout) {
		err = io.EOF
	}
	return n, err
}

// checkNone closes none if it is time. The caller holds mu.
func (p *pendingReads) checkNone() {
	if !p.ended || len(p.streams) > 0 {
		return
	}
	select {
	case <-p.none:
	default:
		close(p.none)
	}
}

// end ends all reads, and waits for them.
func (p *pendingReads) end() {
	p.mu.Lock()
	p.ended = true
	for s := range p.streams {
		expireStream(s)
	}
	p.checkNone()
	p.mu.Unlock()
	timer := time.NewTimer(endReadsTimeout)
	defer timer.Stop()
	select {
	case <-p.none:
	case <-timer.C:
	}
}

// readEndingConn ends the reads of its streams before it reports that the connection has failed.
type readEndingConn struct {
	net.Conn
	reads *pendingReads
}

// Read implements net.Conn.
func (c *readEndingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.reads.end()
	}
	return n, err
}

// Write implements net.Conn.
func (c *readEndingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.reads.end()
	}
	return n, err
}

// readStream is a stream whose reads end before its session does.
type readStream struct {
	*yamux.Stream
	reads *pendingReads
}

// Read implements net.Conn.
func (s readStream) Read(b []byte) (int, error) { return s.reads.read(s.Stream, b) }
