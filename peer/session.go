package peer

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/internal/clock"
)

// methodRetire is the method with which a peer requests that no new calls be made on
// the session that carries the request.
const methodRetire = "peer.retire"

// retireIdleTime is how long a retired session must have been without calls before it
// is closed. It leaves time for calls that were in transit when the session was
// retired.
const retireIdleTime = 100 * time.Millisecond

// errSilent is the reason why a session became suspect or was closed.
var errSilent = errors.New("no data received while calls waited for answers")

// session is one connection to one process of a host. Both sides make calls on it.
type session struct {
	transport *Transport
	peer      Sender
	dialled   bool // by this side
	opened    time.Time
	yamux     *yamux.Session
	conn      *meteredConn
	reads     *pendingReads

	callPermits    chan struct{} // one per call in flight from this side
	queuedCalls    atomic.Int32  // calls that wait for a permit
	servingCalls   atomic.Int32  // calls from the peer that are being served, and its open streams
	openStreams    atomic.Int32  // streams that this side has opened, see OpenStream
	lastUsed       atomic.Int64  // by clock.Nanos
	retired        atomic.Bool   // accepts no new calls
	suspect        atomic.Bool   // accepts no new calls until the peer has answered a ping
	closedAsSilent atomic.Bool   // because the peer did not answer
	// verification is non-nil while the session is being verified after a suspension of
	// this host. The channel is closed when the peer has answered or the session has
	// been closed.
	verification atomic.Pointer[chan struct{}]
}

// startSession runs a session over a connection whose handshake is complete.
func (t *Transport) startSession(conn net.Conn, meter *meteredConn, from Sender, dialled bool) error {
	open := yamux.Server
	if dialled {
		open = yamux.Client
	}
	reads := newPendingReads()
	mux, err := open(&readEndingConn{&headerJoiningConn{Conn: conn}, reads}, t.yamuxConfig)
	if err != nil {
		return err
	}
	s := &session{
		transport: t, peer: from, dialled: dialled, opened: clock.Now(), yamux: mux, conn: meter, reads: reads,
		callPermits: make(chan struct{}, t.cfg.MaxInFlight),
	}
	s.markUsed()
	if err := t.register(s); err != nil {
		mux.Close()
		return err
	}
	t.cfg.Logger.Debug("peer session opened", zap.String("peer", from.Host),
		zap.Uint64("incarnation", from.Incarnation), zap.Bool("dialled", dialled))
	return nil
}

// usable reports whether the session accepts new calls.
func (s *session) usable() bool {
	return !s.retired.Load() && !s.suspect.Load() && !s.yamux.IsClosed()
}

func (s *session) markUsed() { s.lastUsed.Store(clock.Nanos()) }

// idle reports whether the session has had no call for timeout.
func (s *session) idle(timeout time.Duration) bool {
	busy := len(s.callPermits) > 0 || s.servingCalls.Load() > 0 || s.openStreams.Load() > 0
	return !busy && clock.Nanos()-s.lastUsed.Load() > int64(timeout)
}

// close closes the session at once. Calls in flight fail.
func (s *session) close() {
	s.retired.Store(true)
	s.reads.end()
	// yamux closes the connection. The error would only concern the closing message,
	// which does not matter.
	_ = s.yamux.Close()
}

// retire asks the peer to make no new calls on the session, waits until the calls in
// flight have finished in both directions and then closes it. yamux's own GoAway cannot
// be used: it resets the calls that the peer sends before it receives the GoAway.
func (s *session) retire() {
	if s.retired.Swap(true) {
		return
	}
	s.transport.wg.Go(func() {
		defer s.close()
		ctx, cancel := clock.WithTimeout(s.transport.ctx, s.transport.cfg.CallTimeout)
		defer cancel()
		if _, _, err := s.call(ctx, methodRetire, nil); err != nil {
			return // the session is broken, so no call can finish on it
		}
		s.waitUntilIdle()
	})
}

// waitUntilIdle waits until no call has been in flight, and no stream open, for
// retireIdleTime. Every call has a deadline; a stream ends with what uses it, or with the
// session.
func (s *session) waitUntilIdle() {
	tick := time.NewTicker(retireIdleTime / 4)
	defer tick.Stop()
	for !s.idle(retireIdleTime) {
		select {
		case <-s.yamux.CloseChan():
			return
		case <-tick.C:
		}
	}
}

// suspectIfSilent marks the session as suspect if no data arrived for SilenceTimeout
// while a call waited for an answer. Either the peer hangs, or the connection is
// half-open, or the handlers are slow; verifySuspect tells these cases apart.
func (s *session) suspectIfSilent() {
	silent := s.silence() >= s.transport.cfg.SilenceTimeout
	if !silent || !s.usable() || !s.suspect.CompareAndSwap(false, true) {
		return
	}
	s.recordSilence()
	if s.transport.addGoroutine() {
		go s.verifySuspect()
	}
}

// verifySuspect closes the session unless the peer answers a ping. In the meantime new
// calls use another session, and the calls in flight continue.
func (s *session) verifySuspect() {
	defer s.transport.wg.Done()
	if s.pingPeer() {
		s.suspect.Store(false)
		return
	}
	s.closeSilent()
}

// recordSilence counts the session as silent and sets the error that calls return while
// the host is being dialled again.
func (s *session) recordSilence() {
	s.transport.counters.silentSessions.Inc()
	h := s.transport.host(s.peer.Host)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastErr = errSilent
}

// silence returns how long no data has arrived since an answer began to be awaited, or
// 0 if no answer has been awaited since data last arrived.
func (s *session) silence() time.Duration {
	since := s.conn.silentSince.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(clock.Nanos() - since)
}

// closeSilent closes the session without notifying the peer.
func (s *session) closeSilent() {
	silence := s.silence()
	if s.closedAsSilent.Swap(true) || s.yamux.IsClosed() {
		return
	}
	s.retired.Store(true)
	s.transport.cfg.Logger.Warn("peer session closed: no data received while calls waited for answers", zap.String("peer", s.peer.Host),
		zap.Duration("silence", silence))
	// The connection is closed first, because closing the yamux session may send a
	// closing message, which would block on a peer that reads no data.
	s.conn.Close()
	s.close()
}

// verifyAfterResume pings the peer after this host was suspended. The peer may have
// closed the connection or exited in the meantime, and a suspended host cannot have
// received any notice of it. Calls wait for the result, so that none is sent on a dead
// session.
func (s *session) verifyAfterResume() {
	done := make(chan struct{})
	if !s.usable() || !s.verification.CompareAndSwap(nil, &done) {
		return
	}
	defer func() {
		s.verification.Store(nil)
		close(done)
	}()
	if !s.pingPeer() {
		s.recordSilence()
		s.closeSilent()
	}
}

// pingPeer reports whether the peer's yamux session answers a ping within
// SilenceTimeout. The peer's handlers are not involved.
func (s *session) pingPeer() bool {
	s.conn.beginAwait()
	defer s.conn.endAwait()
	answered := make(chan error, 1)
	go func() {
		_, err := s.yamux.Ping()
		answered <- err
	}()
	silence := clock.NewTimer(s.transport.cfg.SilenceTimeout)
	defer silence.Stop()
	select {
	case err := <-answered:
		return err == nil
	case <-silence.C:
		return false
	}
}

// verifyAllSessions starts the verification of every session after this host was
// suspended.
func (t *Transport) verifyAllSessions(suspendedFor time.Duration) {
	t.mu.Lock()
	live := t.liveSessions()
	t.mu.Unlock()
	t.cfg.Logger.Warn("host was suspended; verifying peer sessions", zap.Duration("slept", suspendedFor), zap.Int("sessions", len(live)))
	for _, s := range live {
		go s.verifyAfterResume()
	}
}

// meteredConn counts the bytes on the wire and records since when no data has arrived
// while an answer is awaited.
type meteredConn struct {
	net.Conn
	counters       *counters
	silentSince    atomic.Int64 // by clock.Nanos; 0 if no answer has been awaited since data last arrived
	pendingAnswers atomic.Int32 // the number of answers that are awaited
}

// beginAwait records that another answer is awaited.
func (c *meteredConn) beginAwait() {
	c.pendingAnswers.Add(1)
	c.silentSince.CompareAndSwap(0, clock.Nanos())
}

// endAwait records that an answer is no longer awaited. It leaves silentSince alone:
// only received data shows that the peer is not silent.
func (c *meteredConn) endAwait() { c.pendingAnswers.Add(-1) }

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		var since int64
		if c.pendingAnswers.Load() > 0 {
			since = clock.Nanos() // other answers are still awaited
		}
		c.silentSince.Store(since)
		c.counters.wireReceived.Add(n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.wireSent.Add(n)
	return n, err
}

// SessionInfo describes a session in a state dump for operators.
type SessionInfo struct {
	Host        string    `json:"host"`
	Incarnation uint64    `json:"incarnation"`
	Address     string    `json:"address"`
	Dialled     bool      `json:"dialled"`
	Opened      time.Time `json:"opened"`
	LastUsed    time.Time `json:"last_used"`
	InFlight    int       `json:"in_flight"`
	Waiting     int       `json:"waiting"`
	Serving     int       `json:"serving"`
	Retired     bool      `json:"retired"`
}

// Sessions lists the live sessions in no particular order.
func (t *Transport) Sessions() []SessionInfo {
	t.mu.Lock()
	live := t.liveSessions()
	t.mu.Unlock()
	infos := make([]SessionInfo, 0, len(live))
	for _, s := range live {
		infos = append(infos, SessionInfo{
			Host: s.peer.Host, Incarnation: s.peer.Incarnation,
			Address: s.conn.RemoteAddr().String(), Dialled: s.dialled,
			Opened: s.opened, LastUsed: time.Now().Add(time.Duration(s.lastUsed.Load() - clock.Nanos())),
			InFlight: len(s.callPermits), Waiting: int(s.queuedCalls.Load()),
			Serving: int(s.servingCalls.Load()), Retired: s.retired.Load(),
		})
	}
	return infos
}

// countSessions returns the number of live sessions, for the gauge.
func (t *Transport) countSessions() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(len(t.sessions))
}
