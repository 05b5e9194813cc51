package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/internal/clock"
)

// The fixed limits of every session.
const (
	// streamWindow is the smallest receive window that yamux allows, in bytes. A
	// stream's buffer grows up to it only while there is unread data.
	streamWindow = 256 << 10
	// writeTimeout closes a session whose connection accepts no more data.
	writeTimeout = 2 * time.Second
	// streamCloseTimeout frees a stream that only this side has closed.
	streamCloseTimeout = 5 * time.Second
	// maxHandshakes bounds the accepted connections whose handshake is not complete.
	maxHandshakes = 64
)

// Transport calls other daemons and serves their calls. All methods are safe for
// concurrent use.
type Transport struct {
	cfg              Config
	tls              *tls.Config // nil for plaintext
	created          time.Time
	yamuxConfig      *yamux.Config
	listener         net.Listener
	counters         *counters
	handlerPermits   chan struct{} // one per call being served
	handshakePermits chan struct{} // one per accepted connection in its handshake

	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	// stopOnResume unregisters verifyAllSessions from the clock.
	stopOnResume func()
	wg           sync.WaitGroup // the accept loop, the idle loop, dials and sessions

	mu       sync.Mutex
	hosts    map[string]*hostState
	sessions map[*session]struct{}
	accepted int // live sessions that peers opened
	closed   bool
	draining bool
}

// NewTransport reads the key files, listens, and serves cfg.Mux until Close. It returns
// ErrPlaintext if TLS is off and the address is not a loopback address, and ErrIdentity
// if the certificate is for another host.
func NewTransport(cfg Config) (*Transport, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	t := &Transport{
		cfg:              cfg,
		created:          clock.Now(),
		yamuxConfig:      yamuxConfig(cfg),
		handlerPermits:   make(chan struct{}, cfg.MaxHandlers),
		handshakePermits: make(chan struct{}, maxHandshakes),
		hosts:            make(map[string]*hostState),
		sessions:         make(map[*session]struct{}),
	}
	if !cfg.Plaintext {
		var err error
		if t.tls, err = loadTLS(cfg.TLS); err != nil {
			return nil, err
		}
		if err := checkOwnName(t.tls, cfg.Host); err != nil {
			return nil, err
		}
	}
	var err error
	if t.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("peer: listen: %w", err)
	}
	t.counters = newCounters(cfg.Metrics, t.countSessions)
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.stopOnResume = clock.OnResume(t.verifyAllSessions)
	t.wg.Go(t.acceptLoop)
	t.wg.Go(t.closeIdleLoop)
	return t, nil
}

// yamuxConfig returns the settings of the yamux sessions. Keep-alives are off: calls
// detect a dead peer by themselves, and 409 idle sessions must cost nothing.
func yamuxConfig(cfg Config) *yamux.Config {
	y := yamux.DefaultConfig()
	// The caller limits itself to MaxInFlight streams. Twice that leaves room for
	// streams that were just abandoned, so a peer with the same settings never exceeds
	// the backlog.
	y.AcceptBacklog = 2 * cfg.MaxInFlight
	y.EnableKeepAlive = false
	y.ConnectionWriteTimeout = writeTimeout
	y.MaxStreamWindowSize = streamWindow
	y.StreamOpenTimeout = 0 // callers detect a silent session and close it
	y.StreamCloseTimeout = streamCloseTimeout
	y.LogOutput = nil
	y.Logger = yamuxLogger{cfg.Logger}
	return y
}

// yamuxLogger logs the messages of yamux at debug level, since relevant failures reach
// the callers as errors.
type yamuxLogger struct{ log *zap.Logger }

func (l yamuxLogger) Print(v ...any)                 { l.log.Debug(fmt.Sprint(v...)) }
func (l yamuxLogger) Printf(format string, v ...any) { l.log.Debug(fmt.Sprintf(format, v...)) }
func (l yamuxLogger) Println(v ...any)               { l.log.Debug(fmt.Sprint(v...)) }

// Addr returns the address on which the transport listens for peers.
func (t *Transport) Addr() string { return t.listener.Addr().String() }

// Shutdown stops accepting calls, waits until the calls in flight are answered or ctx
// ends, and closes the transport.
func (t *Transport) Shutdown(ctx context.Context) error {
	t.mu.Lock()
	t.draining = true
	live := t.liveSessions()
	t.mu.Unlock()
	t.listener.Close()
	for _, s := range live {
		s.retire()
	}
	err := t.waitSessions(ctx)
	return errors.Join(err, t.Close())
}

// waitSessions waits until no session is left, by polling.
func (t *Transport) waitSessions(ctx context.Context) error {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for t.countSessions() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("peer: %.0f sessions were still open when the shutdown context ended: %w", t.countSessions(), ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}

// Close closes all sessions at once and waits for their goroutines. The contexts of
// handlers that are still running are cancelled.
func (t *Transport) Close() error {
	t.mu.Lock()
	already := t.closed
	t.closed = true
	live := t.liveSessions()
	t.mu.Unlock()
	if already {
		return nil
	}
	t.stopOnResume()
	t.cancel()
	t.listener.Close()
	for _, s := range live {
		s.close()
	}
	t.wg.Wait()
	return nil
}

// liveSessions returns the live sessions. The caller holds t.mu.
func (t *Transport) liveSessions() []*session {
	live := make([]*session, 0, len(t.sessions))
	for s := range t.sessions {
		live = append(live, s)
	}
	return live
}

// acceptLoop accepts connections and performs each handshake in its own goroutine.
func (t *Transport) acceptLoop() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			t.cfg.Logger.Warn("peer accept failed", zap.Error(err))
			time.Sleep(10 * time.Millisecond) // avoids a busy loop when there are no free file descriptors
			continue
		}
		select {
		case t.handshakePermits <- struct{}{}:
			t.wg.Go(func() {
				defer func() { <-t.handshakePermits }()
				t.accept(conn)
			})
		default:
			t.counters.refusedConnections.Inc()
			conn.Close()
		}
	}
}

// accept creates a session on an accepted connection, or closes the connection.
func (t *Transport) accept(raw net.Conn) {
	address := raw.RemoteAddr().String()
	if t.cfg.checkPlaintext(address) != nil {
		raw.Close()
		return
	}
	from, err := t.establish(raw, "")
	if err != nil && !errors.Is(err, io.EOF) {
		t.counters.refusedConnections.Inc()
		t.cfg.Logger.Warn("peer refused", zap.String("peer", from.Host),
			zap.String("address", address), zap.Error(err))
	}
}

// localAddress returns the IP address the transport listens on, with any port, so that
// peers see the address in this host's settings as the source. It returns nil if the
// transport listens on all addresses.
func (t *Transport) localAddress() net.Addr {
	a, ok := t.listener.Addr().(*net.TCPAddr)
	if !ok || a.IP.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: a.IP}
}

// dial connects to host at address and creates a session.
func (t *Transport) dial(host, address string) error {
	if err := t.cfg.checkPlaintext(address); err != nil {
		return err
	}
	d := net.Dialer{Timeout: t.connectTimeout(), LocalAddr: t.localAddress()}
	raw, err := d.DialContext(t.ctx, "tcp", address)
	if err != nil {
		return err
	}
	_, err = t.establish(raw, host)
	return err
}

// connectTimeout returns the timeout of a connection attempt that starts now.
func (t *Transport) connectTimeout() time.Duration {
	if t.startingUp() {
		return t.cfg.StartupDialTimeout
	}
	return t.cfg.DialTimeout
}

// startingUp reports whether the startup period, if there is one, has not passed.
func (t *Transport) startingUp() bool {
	return t.cfg.StartupDialTimeout > 0 && clock.Since(t.created) < t.cfg.StartupPeriod
}

// establish creates a session on a connection: TLS, peer handshake, yamux. host is the
// host that was dialled, or "" for an accepted connection. On an error it closes the
// connection, and the returned sender is the one that the peer claimed to be.
func (t *Transport) establish(raw net.Conn, host string) (from Sender, err error) {
	metered := &meteredConn{Conn: raw, counters: t.counters}
	conn := t.wrapTLS(metered, host)
	err = withDeadline(conn, t.cfg.DialTimeout, func() (err error) {
		if tc, ok := conn.(*tls.Conn); ok {
			if err := tc.HandshakeContext(t.ctx); err != nil {
				return wrapCertificateError(err)
			}
		}
		if host == "" {
			from, err = t.serverHandshake(conn)
		} else {
			from, err = t.clientHandshake(conn, host)
		}
		return err
	})
	if err == nil {
		err = t.startSession(conn, metered, from, host != "")
	}
	if err != nil {
		conn.Close()
	}
	return from, err
}

// wrapTLS adds TLS to a connection, unless the transport uses plaintext.
func (t *Transport) wrapTLS(conn net.Conn, host string) net.Conn {
	switch {
	case t.tls == nil:
		return conn
	case host == "":
		return tls.Server(conn, t.tls)
	default:
		cfg := t.tls.Clone()
		cfg.ServerName = host
		return tls.Client(conn, cfg)
	}
}

// wrapCertificateError marks a certificate verification error as ErrIdentity.
func wrapCertificateError(err error) error {
	var v *tls.CertificateVerificationError
	if errors.As(err, &v) {
		return fmt.Errorf("%w: %w", ErrIdentity, err)
	}
	return err
}
