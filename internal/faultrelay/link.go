package faultrelay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// A direction of a link holds at most chunkSize * queueLength bytes.
const (
	chunkSize   = 32 << 10
	queueLength = 16
)

// chunk is what one read yielded: data, the end of the stream, or a failure.
type chunk struct {
	data []byte
	err  error
	read time.Time
}

// link is one relayed connection.
type link struct {
	relay  *Relay
	caller *net.TCPConn
	// ip is the caller's.
	ip string
	// silenced says that nothing passes any more; the relay's lock guards it.
	silenced bool
	// ended is closed when the link has ended.
	ended chan struct{}

	mu     sync.Mutex
	target *net.TCPConn
	over   bool
}

func newLink(r *Relay, caller *net.TCPConn) *link {
	ip, _, err := net.SplitHostPort(caller.RemoteAddr().String())
	if err != nil {
		ip = ""
	}
	return &link{relay: r, caller: caller, ip: ip, ended: make(chan struct{})}
}

// run relays until both directions have ended.
func (l *link) run() {
	target := l.dial()
	if target == nil {
		// A blackhole that came about meanwhile hides this end of the connection too: a
		// target that has died after its kernel accepted may fail the dial.
		l.await(func(c Conditions) bool { return !c.ToCaller.Blackhole })
		l.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() {
		l.forward(l.caller, target, toTarget, func(n int) { l.relay.count(n, 0) })
	})
	both.Go(func() {
		l.forward(target, l.caller, toCaller, func(n int) { l.relay.count(0, n) })
	})
	both.Wait()
	l.end((*net.TCPConn).Close)
}

func toTarget(c Conditions) Direction { return c.ToTarget }

func toCaller(c Conditions) Direction { return c.ToCaller }

// dial connects to the target once neither direction is a blackhole. It returns
// nil when that failed or the link was reset.
func (l *link) dial() *net.TCPConn {
	reachable := func(c Conditions) bool { return !c.ToTarget.Blackhole && !c.ToCaller.Blackhole }
	if !l.await(reachable) {
		return nil
	}
	conn, err := net.DialTimeout("tcp", l.relay.dialAddress(), dialTimeout)
	if err != nil {
		return nil
	}
	target := conn.(*net.TCPConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		_ = abort(target)
		return nil
	}
	l.target = target
	return target
}

// forward copies from one connection to the other. The end of the stream is
// passed on; a failure resets the link.
func (l *link) forward(from, to *net.TCPConn, side func(Conditions) Direction, count func(int)) {
	queue := make(chan chunk, queueLength)
	var reader sync.WaitGroup
	reader.Go(func() { l.read(from, queue) })
	defer reader.Wait()
	for {
		c, ok := l.next(queue)
		if !ok || !l.deliverable(c, side) {
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

// read reads chunks into queue until the stream ends or the link is reset.
func (l *link) read(from *net.TCPConn, queue chan<- chunk) {
	for {
		data := make([]byte, chunkSize)
		n, err := from.Read(data)
		now := time.Now()
		if n > 0 && !l.put(queue, chunk{data: data[:n], read: now}) {
			return
		}
		if err != nil {
			l.put(queue, chunk{err: err, read: now})
			return
		}
	}
}

func (l *link) put(queue chan<- chunk, c chunk) bool {
	select {
	case queue <- c:
		return true
	case <-l.ended:
		return false
	}
}

func (l *link) next(queue <-chan chunk) (chunk, bool) {
	select {
	case c := <-queue:
		return c, true
	case <-l.ended:
		return chunk{}, false
	}
}

// deliverable waits until c has been delayed enough and its direction is no
// blackhole. It returns false when the link was reset.
func (l *link) deliverable(c chunk, side func(Conditions) Direction) bool {
	for {
		if !l.await(func(c Conditions) bool { return !side(c).Blackhole }) {
			return false
		}
		conditions, changed := l.relay.state(l)
		d := side(conditions)
		wait := time.Until(c.read.Add(d.Delay))
		if !d.Blackhole && (d.Delay == 0 || wait <= 0) {
			return true
		}
		if !l.pause(wait, changed) {
			return false
		}
	}
}

// await waits until the conditions satisfy ok. It returns false when the link
// was reset.
func (l *link) await(ok func(Conditions) bool) bool {
	for {
		conditions, changed := l.relay.state(l)
		if ok(conditions) {
			return true
		}
		select {
		case <-changed:
		case <-l.ended:
			return false
		}
	}
}

// pause waits for d or until the conditions change. It returns false when the
// link was reset.
func (l *link) pause(d time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-l.ended:
		return false
	}
	return true
}

// reset ends the link and resets both connections, so that either side sees an
// error at once. It does nothing to a link that has ended.
func (l *link) reset() { l.end(abort) }

// end ends the link and closes both connections, unless that was done before.
func (l *link) end(closeConn func(*net.TCPConn) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return
	}
	l.over = true
	close(l.ended)
	_ = closeConn(l.caller)
	if l.target != nil {
		_ = closeConn(l.target)
	}
}

// abort closes a connection with a reset.
func abort(c *net.TCPConn) error {
	_ = c.SetLinger(0)
	return c.Close()
}
