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

// The fixed bounds of every session.
const (
	// streamWindow is the least receive window that yamux allows; buffers grow
	// up to it only while data waits to be read.
	streamWindow = 256 << 10
	// writeTimeout ends a session whose connection takes no more data.
	writeTimeout = 2 * time.Second
	// streamCloseTimeout frees a stream that only this side has closed.
	streamCloseTimeout = 5 * time.Second
	// maxGreetings bounds the accepted connections not yet greeted.
	maxGreetings = 64
)

// Transport calls fellow daemons and serves their calls. All methods are safe
// for concurrent use.
type Transport struct {
	cfg      Config
	tls      *tls.Config // nil for plaintext
	yamux    *yamux.Config
	listener net.Listener
	counters *counters
	handlers chan struct{} // one place per call being served
	greeting chan struct{} // one place per connection being greeted

	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	// stopWaking ends that sessions are proved after this host slept.
	stopWaking func()
	wg         sync.WaitGroup // the listener, the janitor and all sessions

	mu       sync.Mutex
	hosts    map[string]*hostState
	sessions map[*session]struct{}
	accepted int // live sessions that peers opened
	closed   bool
	draining bool
}

// NewTransport reads the key files, listens, and serves cfg.Mux until Close.
// The error is ErrPlaintext when TLS is off and the address is no loopback
// address, and ErrIdentity when the certificate is for another host.
func NewTransport(cfg Config) (*Transport, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	t := &Transport{
		cfg:      cfg,
		yamux:    yamuxConfig(cfg),
		handlers: make(chan struct{}, cfg.MaxHandlers),
		greeting: make(chan struct{}, maxGreetings),
		hosts:    make(map[string]*hostState),
		sessions: make(map[*session]struct{}),
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
	t.stopWaking = clock.OnResume(t.proveSessions)
	t.wg.Go(t.acceptLoop)
	t.wg.Go(t.janitor)
	return t, nil
}

// yamuxConfig returns the session settings. Keep-alives are off, since calls
// notice a dead peer by themselves and 409 idle sessions must cost nothing.
func yamuxConfig(cfg Config) *yamux.Config {
	y := yamux.DefaultConfig()
	// The caller's own bound is MaxInFlight, so the backlog is never exceeded
	// by a peer with the same settings, also with streams just given up.
	y.AcceptBacklog = 2 * cfg.MaxInFlight
	y.EnableKeepAlive = false
	y.ConnectionWriteTimeout = writeTimeout
	y.MaxStreamWindowSize = streamWindow
	y.StreamOpenTimeout = 0 // a silent session is ended by its callers
	y.StreamCloseTimeout = streamCloseTimeout
	y.LogOutput = nil
	y.Logger = yamuxLogger{cfg.Logger}
	return y
}

// yamuxLogger hands the lines of yamux on at debug level: what matters of them
// reaches the callers as errors.
type yamuxLogger struct{ log *zap.Logger }

func (l yamuxLogger) Print(v ...any)                 { l.log.Debug(fmt.Sprint(v...)) }
func (l yamuxLogger) Printf(format string, v ...any) { l.log.Debug(fmt.Sprintf(format, v...)) }
func (l yamuxLogger) Println(v ...any)               { l.log.Debug(fmt.Sprint(v...)) }

// Addr returns the address that peers reach.
func (t *Transport) Addr() string { return t.listener.Addr().String() }

// Shutdown stops taking calls, waits until those in flight are answered or
// ctx ends, and closes the transport.
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

// waitSessions polls until no session is left.
func (t *Transport) waitSessions(ctx context.Context) error {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for t.countSessions() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("peer: shutdown cut %.0f sessions: %w", t.countSessions(), ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}

// Close ends all sessions at once and waits for their goroutines; handlers
// that still run see their contexts end.
func (t *Transport) Close() error {
	t.mu.Lock()
	already := t.closed
	t.closed = true
	live := t.liveSessions()
	t.mu.Unlock()
	if already {
		return nil
	}
	t.stopWaking()
	t.cancel()
	t.listener.Close()
	for _, s := range live {
		s.close()
	}
	t.wg.Wait()
	return nil
}

// liveSessions lists the sessions. The caller holds t.mu.
func (t *Transport) liveSessions() []*session {
	live := make([]*session, 0, len(t.sessions))
	for s := range t.sessions {
		live = append(live, s)
	}
	return live
}

// acceptLoop greets each accepted connection in a goroutine of its own.
func (t *Transport) acceptLoop() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			t.cfg.Logger.Warn("peer accept failed", zap.Error(err))
			time.Sleep(10 * time.Millisecond) // out of descriptors: don't spin
			continue
		}
		select {
		case t.greeting <- struct{}{}:
			t.wg.Go(func() {
				defer func() { <-t.greeting }()
				t.accept(conn)
			})
		default:
			t.counters.refused.Inc()
			conn.Close()
		}
	}
}

// accept makes a session of an accepted connection, or closes it.
func (t *Transport) accept(raw net.Conn) {
	address := raw.RemoteAddr().String()
	if t.cfg.checkPlaintext(address) != nil {
		raw.Close()
		return
	}
	from, err := t.establish(raw, "")
	if err != nil && !errors.Is(err, io.EOF) {
		t.counters.refused.Inc()
		t.cfg.Logger.Warn("peer refused", zap.String("peer", from.Host),
			zap.String("address", address), zap.Error(err))
	}
}

// localAddress is the IP that this transport listens on, with any port: peers
// then see the address that the settings name. It is nil for all addresses.
func (t *Transport) localAddress() net.Addr {
	a, ok := t.listener.Addr().(*net.TCPAddr)
	if !ok || a.IP.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: a.IP}
}

// dial connects to host at address and makes a session.
func (t *Transport) dial(host, address string) error {
	if err := t.cfg.checkPlaintext(address); err != nil {
		return err
	}
	d := net.Dialer{Timeout: t.cfg.DialTimeout, LocalAddr: t.localAddress()}
	raw, err := d.DialContext(t.ctx, "tcp", address)
	if err != nil {
		return err
	}
	_, err = t.establish(raw, host)
	return err
}

// establish makes a session of a connection: TLS, greeting, yamux. host is the
// host that was dialled, or "" for an accepted connection. On an error the
// connection is closed; the sender is the one that the peer claimed to be.
func (t *Transport) establish(raw net.Conn, host string) (from Sender, err error) {
	meter := &meteredConn{Conn: raw, counters: t.counters}
	conn := t.secure(meter, host)
	err = bounded(conn, t.cfg.DialTimeout, func() (err error) {
		if tc, ok := conn.(*tls.Conn); ok {
			if err := tc.HandshakeContext(t.ctx); err != nil {
				return identityError(err)
			}
		}
		if host == "" {
			from, err = t.welcome(conn)
		} else {
			from, err = t.greet(conn, host)
		}
		return err
	})
	if err == nil {
		err = t.start(conn, meter, from, host != "")
	}
	if err != nil {
		conn.Close()
	}
	return from, err
}

// secure puts TLS on a connection, unless the transport is plaintext.
func (t *Transport) secure(conn net.Conn, host string) net.Conn {
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

// identityError marks a certificate that does not verify as ErrIdentity.
func identityError(err error) error {
	var v *tls.CertificateVerificationError
	if errors.As(err, &v) {
		return fmt.Errorf("%w: %w", ErrIdentity, err)
	}
	return err
}
