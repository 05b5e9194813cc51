package tunnel_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/detour"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/replica"
	"github.com/wheatseam/wheatseam/tunnel"
)

// testHost is a host with a transport, a server and a dialer.
type testHost struct {
	name      string
	direct    replica.DirectDialer
	paths     *tunnel.Paths
	server    *tunnel.Server
	dialer    *tunnel.Dialer
	transport *peer.Transport
	maxOpen   int
	closed    atomic.Bool // accepts nothing
	states    chan tunnel.State
}

// testFleet is a set of hosts and the addresses of replicas.
type testFleet struct {
	*WithT
	t        *testing.T
	mu       sync.Mutex
	hosts    map[string]*testHost
	replicas []string
}

func newFleet(t *testing.T, names ...string) *testFleet {
	f := &testFleet{WithT: NewWithT(t), t: t, hosts: map[string]*testHost{}}
	for _, n := range names {
		f.add(n)
	}
	return f
}

func (f *testFleet) add(name string) *testHost {
	h := &testHost{name: name, maxOpen: 8, states: make(chan tunnel.State, 16)}
	h.paths = tunnel.NewPaths(tunnel.PathsConfig{
		Self: name, Peers: func() []string { return f.others(name) },
		Sample: func(int) []string { return f.addresses() }, Count: func() int { return len(f.addresses()) },
		IsReplica: func(string) bool { return true }, OnChange: func(_, s tunnel.State) { h.states <- s },
	})
	mux := peer.NewMux()
	h.server = tunnel.NewServer(tunnel.ServerConfig{
		MaxOpen: h.maxOpen, Direct: h.direct.Dial, Paths: h.paths,
		Accepts: func(string) bool { return !h.closed.Load() }, OnConnect: func(string, detour.Result) {},
	})
	h.server.Register(mux)
	var err error
	h.transport, err = peer.NewTransport(peer.Config{
		Host: name, Incarnation: 1, Listen: "127.0.0.1:0", Plaintext: true, Mux: mux, MaxBackoff: 50 * time.Millisecond,
		Resolve: func(host string) (string, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			o := f.hosts[host]
			if o == nil {
				return "", false
			}
			return o.transport.Addr(), true
		},
	})
	f.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(func() { _ = h.transport.Close() })
	h.dialer = tunnel.NewDialer(tunnel.DialerConfig{Direct: h.direct.Dial, Paths: h.paths, Streams: h.transport, OnReply: func(string, detour.Result) {}})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[name] = h
	return h
}

func (f *testFleet) others(name string) (out []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := range f.hosts {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

func (f *testFleet) addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.replicas...)
}

// replica starts a server that handles each connection.
func (f *testFleet) replica(handle func(*net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c.(*net.TCPConn))
		}
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicas = append(f.replicas, l.Addr().String())
	return l.Addr().String()
}

func echo(c *net.TCPConn) {
	defer c.Close()
	_, _ = io.Copy(c, c)
}

// dial connects from a host that is cut off, and expects that a peer connects. As requests do, it
// tries again if no peer has answered within detour.ConnectLimit.
func (f *testFleet) dial(h *testHost, address string) (c net.Conn) {
	f.t.Helper()
	h.direct.SimulateCut(time.Minute, false)
	f.Eventually(func() (err error) {
		c, err = h.dialer.Dial(context.Background(), address)
		return err
	}, "4s", "50ms").Should(Succeed())
	f.t.Cleanup(func() { _ = c.Close() })
	f.Expect(replica.Via(c)).NotTo(BeEmpty())
	return c
}

func TestBytesPassBothWays(t *testing.T) {
	f := newFleet(t, "a", "b")
	c := f.dial(f.hosts["a"], f.replica(echo))
	sent := make([]byte, 3<<20)
	for i := range sent {
		sent[i] = byte(i * 7)
	}
	go func() { _, _ = c.Write(sent) }()
	received := make([]byte, len(sent))
	_, err := io.ReadFull(c, received)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(received).To(Equal(sent))
	f.Expect(replica.Via(c)).To(Equal("b"))
}

// Guards against answers without a length that look complete although the replica reset the
// connection, or the host between was lost.
func TestEndOfTheReplicaDiffersFromABrokenConnection(t *testing.T) {
	partial := func(end func(*net.TCPConn)) func(*net.TCPConn) {
		return func(c *net.TCPConn) {
			_, _ = c.Write([]byte("part"))
			time.Sleep(50 * time.Millisecond)
			end(c)
		}
	}
	for name, c := range map[string]struct {
		handle func(*net.TCPConn)
		lose   bool
		broken bool
	}{
		"closed": {partial(func(c *net.TCPConn) { _ = c.Close() }), false, false},
		"reset":  {partial(func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }), false, true},
		"lost":   {partial(func(*net.TCPConn) {}), true, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "a", "b")
			conn := f.dial(f.hosts["a"], f.replica(c.handle))
			if c.lose {
				time.AfterFunc(100*time.Millisecond, func() { _ = f.hosts["b"].transport.Close() })
			}
			body, err := io.ReadAll(conn)
			f.Expect(string(body)).To(Equal("part"))
			if !c.broken {
				f.Expect(err).NotTo(HaveOccurred())
				return
			}
			f.Expect(err).To(MatchError(tunnel.ErrBroken))
			f.Expect(httpbody.IsConnectionBroken(err)).To(BeTrue())
		})
	}
}

// Guards against a reset that looks like the end of an answer, since the write of the request takes the
// error, and against an answer that ends in order before the request does and looks broken.
func TestEndsDuringUploadsDifferFromResets(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(*net.TCPConn)
		broken bool
	}{
		"reset":                    {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, true},
		"closed with bytes unread": {func(c *net.TCPConn) { _, _ = c.Read(make([]byte, 1)); _ = c.Close() }, true},
		"ended in order":           {func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, "a", "b")
			address := f.replica(func(conn *net.TCPConn) {
				_, _ = conn.Write([]byte("part"))
				time.Sleep(5 * time.Millisecond)
				c.end(conn)
			})
			for range 12 {
				conn := f.dial(f.hosts["a"], address)
				go func() { _, _ = conn.Write(make([]byte, 8<<20)) }() // fails once the connection has ended
				body, err := io.ReadAll(conn)
				f.Expect(string(body)).To(Equal("part"))
				if c.broken {
					f.Expect(err).To(MatchError(tunnel.ErrBroken))
				} else {
					f.Expect(err).NotTo(HaveOccurred())
				}
				f.Expect(conn.Close()).To(Succeed())
			}
		})
	}
}

// Guards against replicas that work on for callers that have left.
func TestClosingEndsTheReplicasConnection(t *testing.T) {
	f := newFleet(t, "a", "b")
	ended := make(chan error, 1)
	c := f.dial(f.hosts["a"], f.replica(func(c *net.TCPConn) {
		_, err := bufio.NewReader(c).ReadByte()
		ended <- err
	}))
	f.Expect(f.hosts["b"].server.Open()).To(Equal(1))
	f.Expect(c.Close()).To(Succeed())
	f.Eventually(ended, "2s").Should(Receive(Not(BeNil())))
	f.Eventually(f.hosts["b"].server.Open, "2s").Should(BeZero())
}

// Guards against connections that pass a second host: a host that is cut off connects for
// nobody, and names those that do.
func TestHostThatIsCutOffIsNotUsed(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	address := f.replica(echo)
	f.hosts["b"].direct.SimulateCut(time.Minute, false)
	for range 4 {
		f.Expect(replica.Via(f.dial(f.hosts["a"], address))).To(Equal("c"))
		f.Expect(replica.Via(f.dial(f.hosts["b"], address))).To(Equal("c"))
	}
	f.Expect(f.hosts["c"].server.Open()).To(Equal(8))
}

func TestHostThatDrainsOrHasNoRoomIsNotUsed(t *testing.T) {
	f := newFleet(t, "a", "b")
	address := f.replica(echo)
	f.hosts["b"].closed.Store(true)
	f.hosts["a"].direct.SimulateCut(time.Minute, false)
	_, err := f.hosts["a"].dialer.Dial(context.Background(), address)
	f.Expect(httpbody.IsNotSent(err)).To(BeTrue())
	f.hosts["b"].closed.Store(false)
	f.Eventually(func() error {
		c, err := f.hosts["a"].dialer.Dial(context.Background(), address)
		if err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
		return err
	}, "4s", "50ms").Should(Succeed())
	for range f.hosts["b"].maxOpen - 1 {
		f.dial(f.hosts["a"], address)
	}
	_, err = f.hosts["a"].dialer.Dial(context.Background(), address)
	f.Expect(httpbody.IsNotSent(err)).To(BeTrue())
	f.Expect(f.hosts["b"].server.Open()).To(Equal(f.hosts["b"].maxOpen))
}

// Guards against a replica that counts as crashed because the path to it is cut.
func TestRefusalIsConfirmedByHostsThatReachOthers(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.replica(echo)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.Expect(err).NotTo(HaveOccurred())
	gone := l.Addr().String()
	f.Expect(l.Close()).To(Succeed())
	refuses := func() bool {
		_, err := f.hosts["a"].dialer.Dial(context.Background(), gone)
		var dial *httpbody.DialError
		f.Expect(errors.As(err, &dial)).To(BeTrue())
		return errors.Is(err, syscall.ECONNREFUSED) && !dial.Unconfirmed
	}
	for _, h := range f.hosts {
		h.direct.SimulateCut(time.Second, false)
	}
	f.Expect(refuses()).To(BeFalse(), "no host reaches any replica")
	f.Eventually(refuses, "8s", "50ms").Should(BeTrue())
}

// Guards against a failed connection of which the log doesn't tell why no other host made it.
func TestFailureNamesThePeersThatWereAsked(t *testing.T) {
	f := newFleet(t, "a", "b")
	address := f.replica(echo)
	for _, h := range f.hosts {
		h.direct.SimulateCut(time.Minute, false)
	}
	dial := func() error {
		_, err := f.hosts["a"].dialer.Dial(context.Background(), address)
		return err
	}
	f.Eventually(dial, "2s", "10ms").Should(MatchError(ContainSubstring("connection refused; peers asked: b (peer_cut_off)")))
	f.Expect(dial()).To(MatchError(ContainSubstring("connection refused; peers asked: none")), "b has just said so")
	f.Expect(httpbody.IsNotSent(dial())).To(BeTrue())
}

func TestAttemptEndsWithItsContext(t *testing.T) {
	f := newFleet(t, "a", "b")
	address := f.replica(echo)
	for _, h := range f.hosts {
		h.direct.SimulateCut(time.Minute, true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := f.hosts["a"].dialer.Dial(ctx, address)
	f.Expect(err).To(MatchError(context.DeadlineExceeded))
	f.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
}

// Guards against old daemons, which do not know the method, being asked again and again.
func TestHostWithoutTheMethodIsLeftOut(t *testing.T) {
	f := newFleet(t, "a")
	old, err := peer.NewTransport(peer.Config{Host: "old", Incarnation: 1, Listen: "127.0.0.1:0", Plaintext: true, Mux: peer.NewMux(), Resolve: func(string) (string, bool) { return "", false }})
	f.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = old.Close() })
	f.hosts["old"] = &testHost{name: "old", transport: old}
	replies := make(chan detour.Result, 16)
	a := f.hosts["a"]
	a.dialer = tunnel.NewDialer(tunnel.DialerConfig{Direct: a.direct.Dial, Paths: a.paths, Streams: a.transport, OnReply: func(_ string, r detour.Result) { replies <- r }})
	a.direct.SimulateCut(time.Minute, false)
	address := f.replica(echo)
	for range 3 {
		_, err := a.dialer.Dial(context.Background(), address)
		f.Expect(httpbody.IsNotSent(err)).To(BeTrue())
	}
	f.Expect(replies).To(HaveLen(1))
	f.Expect(<-replies).To(Equal(detour.Unsupported))
}

// endlessSender sends bytes until the connection closes, and reads nothing unless read is set. A
// silent one sends nothing for some seconds.
func endlessSender(open *atomic.Int64, read, silent bool) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		open.Add(1)
		defer open.Add(-1)
		defer c.Close()
		if read {
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
		if silent {
			time.Sleep(9 * time.Second)
		}
		for buf := make([]byte, 16<<10); ; {
			if _, err := c.Write(buf); err != nil {
				return
			}
		}
	}
}

// Guards against a peer that goes on relaying endless bytes for a host that has closed the
// connection, and against other connections through it that wait meanwhile.
func TestEndlessBytesEndWhenTheHostCloses(t *testing.T) {
	const (
		soon = time.Second
		// late is when the peer notices a closed stream while the replica takes no bytes.
		late = 7 * time.Second
	)
	for name, c := range map[string]struct {
		// received is the number of bytes that the host reads, and sent of those that it sends.
		received, sent int64
		reads, silent  bool
		within         time.Duration
	}{
		"nothing is read":                     {0, 0, true, false, soon},
		"a part is read":                      {1 << 20, 0, true, false, soon},
		"the replica reads nothing":           {1 << 20, 0, false, false, soon},
		"the replica reads nothing of a body": {0, 64 << 20, false, false, late},
		"the replica reads and sends nothing": {0, 64 << 20, false, true, late},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, "a", "b")
			var open atomic.Int64
			endless := f.replica(endlessSender(&open, c.reads, c.silent))
			other := f.replica(echo)
			conn := f.dial(f.hosts["a"], endless)
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				_, _ = io.CopyN(conn, zeros{}, c.sent)
			}()
			_, err := io.CopyN(io.Discard, conn, c.received)
			f.Expect(err).NotTo(HaveOccurred())
			time.Sleep(200 * time.Millisecond) // all windows are full
			o := f.dial(f.hosts["a"], other)
			_, err = o.Write([]byte("x"))
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(o.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
			_, err = io.ReadFull(o, make([]byte, 1))
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(o.Close()).To(Succeed())
			f.Expect(conn.Close()).To(Succeed())
			f.Eventually(f.hosts["b"].server.Open, c.within).Should(BeZero())
			f.Eventually(open.Load, "10s").Should(BeZero())
			f.Eventually(sent, "1s").Should(BeClosed())
		})
	}
}

// Guards against a body that is cut because its replica reads it late.
func TestReplicaMayReadLate(t *testing.T) {
	const size = 32 << 20
	t.Parallel()
	f := newFleet(t, "a", "b")
	conn := f.dial(f.hosts["a"], f.replica(func(c *net.TCPConn) {
		defer c.Close()
		time.Sleep(2500 * time.Millisecond)
		_, _ = io.CopyN(c, c, size)
	}))
	go func() { _, _ = io.CopyN(conn, zeros{}, size) }()
	_, err := io.CopyN(io.Discard, conn, size)
	f.Expect(err).NotTo(HaveOccurred())
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }
