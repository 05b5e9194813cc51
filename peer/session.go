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

// methodRetire is the method by which a peer asks for no new calls on the
// session that carries the request.
const methodRetire = "peer.retire"

// quietTime is how long a retired session waits for calls that were under way
// when it was retired.
const quietTime = 100 * time.Millisecond

// errSilent is why a session was doubted or dropped.
var errSilent = errors.New("silent though calls were waiting")

// session is one connection to one process of one host, for calls both ways.
type session struct {
	t       *Transport
	peer    Sender
	dialled bool // by this side
	opened  time.Time
	mux     *yamux.Session
	meter   *meteredConn

	places   chan struct{} // one per call in flight from this side
	waiting  atomic.Int32  // calls that wait for a place
	serving  atomic.Int32  // calls from the peer being served
	lastUsed atomic.Int64  // by clock.Nanos
	retired  atomic.Bool   // takes no new calls
	doubted  atomic.Bool   // takes no new calls until the peer has given a sign of life
	dropped  atomic.Bool   // as silent
	// proof is closed when the peer has answered, or the session is dropped, after
	// this host slept; nil while nothing is to be proved.
	proof atomic.Pointer[chan struct{}]
}

// start runs a session over a greeted connection.
func (t *Transport) start(conn net.Conn, meter *meteredConn, from Sender, dialled bool) error {
	open := yamux.Server
	if dialled {
		open = yamux.Client
	}
	mux, err := open(&frameConn{Conn: conn}, t.yamux)
	if err != nil {
		return err
	}
	s := &session{
		t: t, peer: from, dialled: dialled, opened: clock.Now(), mux: mux, meter: meter,
		places: make(chan struct{}, t.cfg.MaxInFlight),
	}
	s.touch()
	if err := t.register(s); err != nil {
		mux.Close()
		return err
	}
	t.cfg.Logger.Debug("peer session opened", zap.String("peer", from.Host),
		zap.Uint64("incarnation", from.Incarnation), zap.Bool("dialled", dialled))
	return nil
}

// usable says whether new calls may use the session.
func (s *session) usable() bool {
	return !s.retired.Load() && !s.doubted.Load() && !s.mux.IsClosed()
}

func (s *session) touch() { s.lastUsed.Store(clock.Nanos()) }

// idle says whether the session has had no call for timeout.
func (s *session) idle(timeout time.Duration) bool {
	busy := len(s.places) > 0 || s.serving.Load() > 0
	return !busy && clock.Nanos()-s.lastUsed.Load() > int64(timeout)
}

// close ends the session at once; calls in flight fail.
func (s *session) close() {
	s.retired.Store(true)
	// yamux closes the connection; the error would be of the parting word.
	_ = s.mux.Close()
}

// retire asks the peer to make no new calls on the session, lets the calls in
// flight finish both ways and then closes it. yamux's own GoAway is of no use
// here: it resets the calls that the peer sends before it hears of it.
func (s *session) retire() {
	if s.retired.Swap(true) {
		return
	}
	s.t.wg.Go(func() {
		defer s.close()
		ctx, cancel := clock.WithTimeout(s.t.ctx, s.t.cfg.CallTimeout)
		defer cancel()
		if _, _, err := s.call(ctx, methodRetire, nil); err != nil {
			return // broken: nothing can finish on it
		}
		s.waitQuiet()
	})
}

// waitQuiet waits until no call was in flight for quietTime. Each call has a
// deadline of its own, so the wait ends.
func (s *session) waitQuiet() {
	tick := time.NewTicker(quietTime / 4)
	defer tick.Stop()
	for !s.idle(quietTime) {
		select {
		case <-s.mux.CloseChan():
			return
		case <-tick.C:
		}
	}
}

// checkSilence has the session doubted when nothing arrived for SilenceTimeout
// though a call was waiting: the peer is frozen, or the connection half-open, or
// the answers take their time.
func (s *session) checkSilence() {
	silent := s.silentFor() >= s.t.cfg.SilenceTimeout
	if !silent || !s.usable() || !s.doubted.CompareAndSwap(false, true) {
		return
	}
	s.noteSilent()
	if s.t.enter() {
		go s.settleDoubt()
	}
}

// settleDoubt drops the session unless the peer gives a sign of life. New calls take
// another session meanwhile, and those under way go on.
func (s *session) settleDoubt() {
	defer s.t.wg.Done()
	if s.answers() {
		s.doubted.Store(false)
		return
	}
	s.dropSilent()
}

// noteSilent counts the session as silent and has dials to the host know of it.
func (s *session) noteSilent() {
	s.t.counters.silent.Inc()
	h := s.t.host(s.peer.Host)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastErr = errSilent
}

// silentFor is how long an answer has been awaited without a byte; 0 when none
// is.
func (s *session) silentFor() time.Duration {
	since := s.meter.waitingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(clock.Nanos() - since)
}

// dropSilent ends the session without a word to the peer.
func (s *session) dropSilent() {
	silence := s.silentFor()
	if s.dropped.Swap(true) || s.mux.IsClosed() {
		return
	}
	s.retired.Store(true)
	s.t.cfg.Logger.Warn("peer session dropped as silent", zap.String("peer", s.peer.Host),
		zap.Duration("silence", silence))
	// The connection is closed first, as the parting word of yamux would wait
	// for a peer that takes no data.
	s.meter.Close()
	s.close()
}

// prove asks the peer for a sign of life after this host slept: peer, connection and
// what was believed of both may be gone, without a word that could have reached a
// sleeping host. Calls wait for the proof, so that none is sent into the void.
func (s *session) prove() {
	done := make(chan struct{})
	if !s.usable() || !s.proof.CompareAndSwap(nil, &done) {
		return
	}
	defer func() {
		s.proof.Store(nil)
		close(done)
	}()
	if !s.answers() {
		s.noteSilent()
		s.dropSilent()
	}
}

// answers says whether the peer answers a question that its session answers by itself,
// within SilenceTimeout.
func (s *session) answers() bool {
	s.meter.await()
	defer s.meter.settle()
	answered := make(chan error, 1)
	go func() {
		_, err := s.mux.Ping()
		answered <- err
	}()
	silence := clock.NewTimer(s.t.cfg.SilenceTimeout)
	defer silence.Stop()
	select {
	case err := <-answered:
		return err == nil
	case <-silence.C:
		return false
	}
}

// proveSessions has every session proved.
func (t *Transport) proveSessions(slept time.Duration) {
	t.mu.Lock()
	live := t.liveSessions()
	t.mu.Unlock()
	t.cfg.Logger.Warn("this host slept; sessions are proved", zap.Duration("slept", slept), zap.Int("sessions", len(live)))
	for _, s := range live {
		go s.prove()
	}
}

// meteredConn counts the bytes on the wire and notes since when an answer is
// awaited in silence.
type meteredConn struct {
	net.Conn
	counters     *counters
	waitingSince atomic.Int64 // by clock.Nanos; 0 while nothing is awaited
	awaited      atomic.Int32 // answers
}

// await notes that an answer is awaited from now on.
func (c *meteredConn) await() {
	c.awaited.Add(1)
	c.waitingSince.CompareAndSwap(0, clock.Nanos())
}

// settle notes that an answer is awaited no longer. Whether the peer has been
// silent is for the next byte to say.
func (c *meteredConn) settle() { c.awaited.Add(-1) }

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		var since int64
		if c.awaited.Load() > 0 {
			since = clock.Nanos() // for the other answers
		}
		c.waitingSince.Store(since)
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

// SessionInfo describes a session in a state dump.
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

// Sessions lists the live sessions, in no order.
func (t *Transport) Sessions() []SessionInfo {
	t.mu.Lock()
	live := t.liveSessions()
	t.mu.Unlock()
	infos := make([]SessionInfo, 0, len(live))
	for _, s := range live {
		infos = append(infos, SessionInfo{
			Host: s.peer.Host, Incarnation: s.peer.Incarnation,
			Address: s.meter.RemoteAddr().String(), Dialled: s.dialled,
			Opened: s.opened, LastUsed: time.Now().Add(time.Duration(s.lastUsed.Load() - clock.Nanos())),
			InFlight: len(s.places), Waiting: int(s.waiting.Load()),
			Serving: int(s.serving.Load()), Retired: s.retired.Load(),
		})
	}
	return infos
}

// countSessions counts the live sessions, for the gauge.
func (t *Transport) countSessions() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(len(t.sessions))
}
