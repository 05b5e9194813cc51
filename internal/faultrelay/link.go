package faultrelay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// One direction of a link buffers at most chunkSize * queueLength bytes.
const (
	chunkSize   = 32 << 10
	queueLength = 16
)

// chunk is the result of one read: data, or the error that ended the stream
// (io.EOF for a regular end).
type chunk struct {
	data   []byte
	err    error
	readAt time.Time
}

// link relays one connection: it pairs the caller's connection to the relay with
// the relay's connection to the target.
type link struct {
	relay    *Relay
	caller   *net.TCPConn
	callerIP string
	// blackholed is set when the link forwards nothing for the rest of its life. It is
	// guarded by Relay.mu.
	blackholed bool
	// done is closed when the link has ended.
	done chan struct{}

	mu     sync.Mutex
	target *net.TCPConn
	closed bool
}

func newLink(r *Relay, caller *net.TCPConn) *link {
	ip, _, err := net.SplitHostPort(caller.RemoteAddr().String())
	if err != nil {
		ip = ""
	}
	return &link{relay: r, caller: caller, callerIP: ip, done: make(chan struct{})}
}

// run relays until both directions have ended.
func (l *link) run() {
	target := l.dial()
	if target == nil {
		// The dial may fail because the target died after its kernel had accepted the
		// connection. A blackhole that was set in the meantime must hide this reset from
		// the caller as well.
		l.awaitConditions(func(c Conditions) bool { return !c.ToCaller.Blackhole })
		l.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() {
		l.forward(l.caller, target, toTarget, func(n int) { l.relay.addBytes(n, 0) })
	})
	both.Go(func() {
		l.forward(target, l.caller, toCaller, func(n int) { l.relay.addBytes(0, n) })
	})
	both.Wait()
	l.close((*net.TCPConn).Close)
}

func toTarget(c Conditions) Direction { return c.ToTarget }

func toCaller(c Conditions) Direction { return c.ToCaller }

// dial waits until neither direction is a blackhole and connects to the target.
// It returns nil if the dial failed or the link was reset.
func (l *link) dial() *net.TCPConn {
	reachable := func(c Conditions) bool { return !c.ToTarget.Blackhole && !c.ToCaller.Blackhole }
	if !l.awaitConditions(reachable) {
		return nil
	}
	conn, err := net.DialTimeout("tcp", l.relay.currentTarget(), dialTimeout)
	if err != nil {
		return nil
	}
	target := conn.(*net.TCPConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = closeWithReset(target)
		return nil
	}
	l.target = target
	return target
}

// forward copies one direction and applies its conditions, which side selects. It
// passes the end of the stream on; a read or write error resets the link.
func (l *link) forward(from, to *net.TCPConn, side func(Conditions) Direction, count func(int)) {
	queue := make(chan chunk, queueLength)
	var reader sync.WaitGroup
	reader.Go(func() { l.readChunks(from, queue) })
	defer reader.Wait()
	for {
		c, ok := l.dequeue(queue)
		if !ok || !l.awaitDelivery(c, side) {
			return
		}
		if errors.Is(c.err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if c.err != nil {
			l.reset()
			return
		}
		n, err := to.Write(c.data)
		count(n)
		if err != nil {
			l.reset()
			return
		}
	}
}

// readChunks reads chunks into queue until the stream ends or the link is reset.
func (l *link) readChunks(from *net.TCPConn, queue chan<- chunk) {
	for {
		data := make([]byte, chunkSize)
		n, err := from.Read(data)
		now := time.Now()
		if n > 0 && !l.enqueue(queue, chunk{data: data[:n], readAt: now}) {
			return
		}
		if err != nil {
			l.enqueue(queue, chunk{err: err, readAt: now})
			return
		}
	}
}

func (l *link) enqueue(queue chan<- chunk, c chunk) bool {
	select {
	case queue <- c:
		return true
	case <-l.done:
		return false
	}
}

func (l *link) dequeue(queue <-chan chunk) (chunk, bool) {
	select {
	case c := <-queue:
		return c, true
	case <-l.done:
		return chunk{}, false
	}
}

// awaitDelivery waits until c has been delayed by its direction's Delay and the
// direction is not a blackhole. It returns false if the link was reset.
func (l *link) awaitDelivery(c chunk, side func(Conditions) Direction) bool {
	for {
		if !l.awaitConditions(func(c Conditions) bool { return !side(c).Blackhole }) {
			return false
		}
		conditions, changed := l.relay.conditionsAndChange(l)
		d := side(conditions)
		wait := time.Until(c.readAt.Add(d.Delay))
		if !d.Blackhole && (d.Delay == 0 || wait <= 0) {
			return true
		}
		if !l.waitForChange(wait, changed) {
			return false
		}
	}
}

// awaitConditions waits until the conditions satisfy ok. It returns false if the
// link was reset.
func (l *link) awaitConditions(ok func(Conditions) bool) bool {
	for {
		conditions, changed := l.relay.conditionsAndChange(l)
		if ok(conditions) {
			return true
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

// waitForChange waits for d or until the conditions change. It returns false if
// the link was reset.
func (l *link) waitForChange(d time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-l.done:
		return false
	}
	return true
}

// reset ends the link and resets both connections, so that both sides see an error
// at once. It does nothing if the link has already ended.
func (l *link) reset() { l.close(closeWithReset) }

// close ends the link and closes both connections with closeConn. Only the first
// call has an effect.
func (l *link) close(closeConn func(*net.TCPConn) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.done)
	_ = closeConn(l.caller)
	if l.target != nil {
		_ = closeConn(l.target)
	}
}

// closeWithReset closes a connection with a TCP RST.
func closeWithReset(c *net.TCPConn) error {
	_ = c.SetLinger(0)
	return c.Close()
}
