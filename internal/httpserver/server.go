package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/connections"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// Config configures a Server.
type Config struct {
	// Name is the listener's name in metrics and logs.
	Name string
	// Address is ip:port; with port 0 the kernel selects a free port.
	Address string
	Handler http.Handler
	// Limits returns the limits in force. It is called often and must not block.
	Limits func() Limits
	// TLS is nil for plain HTTP.
	TLS     *tls.Config
	Logger  *zap.Logger
	Metrics *metrics.Set
	// ErrorLog receives the errors of net/http; nil for the standard logger.
	ErrorLog *log.Logger
}

// Server is an HTTP server whose clients have limits.
type Server struct {
	cfg      Config
	listener *net.TCPListener
	http     *http.Server
	closings closings
	// firstParsing and furtherParsing have permits that are held while net/http parses the first
	// bufferBytes of a head, and more of it: ordinary heads don't wait for large ones.
	firstParsing, furtherParsing chan struct{}

	mu sync.Mutex
	// closed is signalled when a connection was given up or has been closed.
	closed *sync.Cond
	set    *connections.Set
	conns  map[connections.ID]*conn
}

// minBacklog is the number of connections that may wait to be accepted, however few may be open: a
// client whose connection doesn't fit tries again after a second at the earliest.
const minBacklog = 128

// unlimited is longer than any timeout in force: the timeouts of net/http can't change.
const unlimited = 24 * time.Hour

// Listen returns a server that listens. Serve handles the requests.
func Listen(c Config) (*Server, error) {
	limits := c.Limits()
	s := &Server{cfg: c, set: connections.New(limits.forSet()), conns: map[connections.ID]*conn{}}
	s.firstParsing, s.furtherParsing = make(chan struct{}, runtime.GOMAXPROCS(0)), make(chan struct{}, runtime.GOMAXPROCS(0))
	s.closed = sync.NewCond(&s.mu)
	s.closings.init(c)
	lc := net.ListenConfig{Control: setReceiveBuffer}
	l, err := lc.Listen(context.Background(), "tcp", c.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", c.Name, err)
	}
	s.listener = l.(*net.TCPListener)
	if err := setBacklog(s.listener, max(minBacklog, limits.Connections)); err != nil {
		return nil, errors.Join(fmt.Errorf("listen for %s: set the backlog: %w", c.Name, err), l.Close())
	}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve), ErrorLog: c.ErrorLog,
		ReadHeaderTimeout: unlimited, IdleTimeout: unlimited, ReadTimeout: limits.ReadTimeout,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, connOf(nc))
		},
		ConnState: func(nc net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				connOf(nc).requestEnded()
			}
		},
	}
	if c.TLS != nil {
		s.http.MaxHeaderBytes = limits.MaxHeadBytes
	}
	s.registerGauges()
	return s, nil
}

// forSet returns the limits that core/connections applies.
func (l Limits) forSet() connections.Limits {
	return connections.Limits{Connections: l.Connections, HeadBytes: l.HeadMemory, IdleTimeout: l.KeepIdle}
}

// setReceiveBuffer bounds what the kernel holds of each connection, also of those that have not been
// accepted: they inherit the size from the listener.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
	return errors.Join(err, optErr)
}

// setBacklog bounds how many connections wait to be accepted: the kernel holds received bytes for
// them, too.
func setBacklog(l *net.TCPListener, n int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) })
	return errors.Join(err, listenErr)
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve handles requests until Shutdown or Close is called.
func (s *Server) Serve() error {
	var l net.Listener = &limitedListener{s}
	if s.cfg.TLS != nil {
		l = tls.NewListener(l, s.cfg.TLS)
	}
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.cfg.Name, err)
	}
	return nil
}

// Shutdown stops the listener and waits for the requests in progress, or until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	return errors.Join(err, ignoreClosed(s.listener.Close()))
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	err := s.http.Close()
	return errors.Join(err, ignoreClosed(s.listener.Close()))
}

// ignoreClosed returns nil for the error of closing a listener that the server has closed.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// serve calls the handler, unless the connection was given up while the head was being read: its
// client may have sent the request elsewhere by now.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*conn)
	if !c.requestBegins(headCost(r)) {
		panic(http.ErrAbortHandler)
	}
	s.cfg.Handler.ServeHTTP(w, r)
}

// headCost returns the memory of the parsed head of a request.
func headCost(r *http.Request) int64 {
	cost := headerLineBytes + len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			cost += headerLineBytes + len(name) + len(value)
		}
	}
	return int64(cost)
}

// limitedListener accepts connections for which there is room.
type limitedListener struct{ s *Server }

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.s.listener.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if c := l.s.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close() // nothing was read: the client may repeat any request
	}
}

// Addr implements net.Listener.
func (l *limitedListener) Addr() net.Addr { return l.s.listener.Addr() }

// Close implements net.Listener.
func (l *limitedListener) Close() error { return l.s.listener.Close() }

// admit adds a connection, in place of another one if need be. It returns nil if all others are
// needed more.
func (s *Server) admit(raw *net.TCPConn) *conn {
	limits := s.cfg.Limits()
	s.mu.Lock()
	for s.set.Closing() >= connections.MaxClosing {
		s.closed.Wait()
	}
	now := clock.Now()
	s.set.SetLimits(limits.forSet())
	o := s.set.Open(now)
	reason := closedForRoom(o.ReplacedPhase)
	replaced := s.conns[o.Replaces]
	if o.ID == 0 {
		if replaced = s.longestUnread(); replaced != nil {
			// Its handler may take a while to end, and has an account of its own for what it holds.
			s.set.Close(replaced.id)
			delete(s.conns, replaced.id)
			o, reason = s.set.Open(now), closedUnreadAnswer
		}
	}
	var c *conn
	if o.ID != 0 {
		c = newConn(s, raw, o.ID)
		s.conns[o.ID] = c
	}
	if replaced != nil {
		s.closed.Broadcast() // it may be waiting itself
	}
	s.mu.Unlock()
	if replaced != nil {
		s.closings.note(reason, replaced.RemoteAddr())
		replaced.giveUp()
	}
	if c == nil {
		s.closings.note(closedAllBusy, raw.RemoteAddr())
	}
	return c
}

// awaitClosed waits while many connections that were given up have not been closed: they have their
// memory until then. It doesn't wait for a connection that has itself been given up.
func (s *Server) awaitClosed(id connections.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.set.Closing() >= connections.MaxClosing && !s.set.IsClosing(id) {
		s.closed.Wait()
	}
}

// unreadGrace is for how long a client may leave an answer unread before its connection is closed
// for a new one.
const unreadGrace = 5 * time.Second

// longestUnread returns the connection whose answer has gone unread for the longest time, over
// unreadGrace; nil for none. mu must be held.
func (s *Server) longestUnread() *conn {
	var longest *conn
	since := time.Now().Add(-unreadGrace)
	for _, c := range s.conns {
		if began := c.writeBegan(); !began.IsZero() && began.Before(since) {
			longest, since = c, began
		}
	}
	return longest
}

// headRead notes that more of a head was read, and closes connections whose heads don't fit.
func (s *Server) headRead(c *conn, bytes int64) {
	limits := s.cfg.Limits().forSet()
	s.mu.Lock()
	s.set.SetLimits(limits)
	var givenUp []*conn
	for _, id := range s.set.HeadRead(clock.Now(), c.id, bytes) {
		givenUp = append(givenUp, s.conns[id])
	}
	if len(givenUp) > 0 {
		s.closed.Broadcast() // one of them may be waiting itself
	}
	s.mu.Unlock()
	for _, other := range givenUp {
		s.closings.note(closedHeadMemory, other.RemoteAddr())
		other.giveUp()
	}
}

// begin notes that the head of a request is complete, and reports whether the request may run.
func (s *Server) begin(id connections.ID, headBytes int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Begin(clock.Now(), id, headBytes)
}

// end notes that a request has been answered.
func (s *Server) end(id connections.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.End(clock.Now(), id)
}

// forget removes a connection that has been closed.
func (s *Server) forget(id connections.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Close(id)
	delete(s.conns, id)
	s.closed.Broadcast()
}
