package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/internal/clock"
)

// hostState is what a transport knows about one host.
type hostState struct {
	name string

	mu       sync.Mutex
	sessions []*session // the preferred one first
	dialling chan struct{}
	backoff  *backoff.ExponentialBackOff
	nextDial time.Time
	lastErr  error  // why the last dial failed or the last session was dropped
	address  string // last dialled
}

// host returns the state of a host, made if there is none.
func (t *Transport) host(name string) *hostState {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hosts[name]
	if !ok {
		b := backoff.NewExponentialBackOff()
		b.InitialInterval, b.MaxInterval = t.cfg.MinBackoff, t.cfg.MaxBackoff
		b.Reset()
		h = &hostState{name: name, backoff: b}
		t.hosts[name] = h
	}
	return h
}

// session returns a usable session to a host and dials if there is none. All
// callers share one dial; after a failure only the one that starts the next
// dial waits for it. The error says that nothing was sent.
func (t *Transport) session(ctx context.Context, name string) (*session, error) {
	h := t.host(name)
	h.mu.Lock()
	if s := h.usable(); s != nil {
		proof := s.proof.Load()
		h.mu.Unlock()
		if proof == nil {
			return s, nil
		}
		select {
		case <-*proof:
			return t.session(ctx, name)
		case <-ctx.Done():
			return nil, contextError(ctx)
		}
	}
	done, err := t.ensureDial(h)
	h.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case <-done:
	case <-ctx.Done():
		return nil, contextError(ctx)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.usable(); s != nil {
		return s, nil
	}
	if h.lastErr == nil {
		return nil, fmt.Errorf("%w: session ended", ErrUnreachable)
	}
	return nil, fmt.Errorf("%w: %w", ErrUnreachable, h.lastErr)
}

// usable returns the preferred usable session, or nil. The caller holds h.mu.
func (h *hostState) usable() *session {
	for _, s := range h.sessions {
		if s.usable() {
			return s
		}
	}
	return nil
}

// ensureDial starts a dial unless one runs, and returns the channel that
// closes with its end. While the backoff lasts it fails. The caller holds h.mu.
func (t *Transport) ensureDial(h *hostState) (<-chan struct{}, error) {
	if h.dialling != nil && h.lastErr != nil {
		return nil, fmt.Errorf("%w: another dial is under way: %w", ErrUnreachable, h.lastErr)
	}
	if h.dialling != nil {
		return h.dialling, nil
	}
	address, ok := t.cfg.Resolve(h.name)
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownHost, h.name)
	}
	if address == h.address && clock.Now().Before(h.nextDial) {
		return nil, fmt.Errorf("%w: no dial before %s: %w", ErrUnreachable,
			h.nextDial.UTC().Format(time.RFC3339Nano), h.lastErr)
	}
	if !t.enter() {
		return nil, ErrClosed
	}
	h.address = address
	done := make(chan struct{})
	h.dialling = done
	go func() {
		defer t.wg.Done()
		err := t.dial(h.name, address)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.dialling = nil
		h.dialled(err)
		t.counters.countDial(err)
		if err != nil {
			t.cfg.Logger.Info("peer dial failed", zap.String("peer", h.name),
				zap.String("address", address), zap.Error(err))
		}
		close(done)
	}()
	return done, nil
}

// enter counts a goroutine of the transport, unless the transport is closed.
func (t *Transport) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.wg.Add(1)
	return true
}

// dialled notes the end of a dial. The caller holds h.mu.
func (h *hostState) dialled(err error) {
	h.lastErr = err
	if err == nil {
		h.nextDial = time.Time{}
		h.backoff.Reset()
		return
	}
	h.nextDial = clock.Now().Add(h.backoff.NextBackOff())
}

// register takes a new session in and starts serving it. It settles which
// session calls use when there are several to a host.
func (t *Transport) register(s *session) error {
	h := t.host(s.peer.Host)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := t.addSession(s); err != nil {
		return err
	}
	for _, old := range h.sessions {
		if old.peer.Incarnation > s.peer.Incarnation && old.usable() {
			t.removeSession(s)
			return fmt.Errorf("%w: incarnation %d is over", ErrIdentity, s.peer.Incarnation)
		}
	}
	t.settle(h, s)
	if !s.dialled {
		h.nextDial = time.Time{} // the host is alive
		h.backoff.Reset()
	}
	go t.serveSession(h, s)
	return nil
}

// settle places s among the sessions of h. The caller holds h.mu.
//
// A session of an earlier incarnation is dead. When the peer dials though it
// has a session, it has found that one broken. Only when both sides dialled at
// the same time are both sessions good: then both sides prefer the one that the
// host with the smaller name dialled, and the other one's dialler retires it.
func (t *Transport) settle(h *hostState, s *session) {
	kept := h.sessions[:0]
	preferred := true
	for _, old := range h.sessions {
		switch {
		case old.peer.Incarnation < s.peer.Incarnation:
			old.retired.Store(true)
			go old.close()
		case old.dialled == s.dialled || clock.Since(old.opened) > 2*t.cfg.DialTimeout:
			old.retire()
			kept = append(kept, old)
		default:
			preferred = s.dialled == (t.cfg.Host < h.name)
			loser := old
			if !preferred {
				loser = s
			}
			if loser.dialled {
				loser.retire()
			}
			kept = append(kept, old)
		}
	}
	if preferred {
		h.sessions = append([]*session{s}, kept...)
	} else {
		h.sessions = append(kept, s)
	}
}

// addSession counts s among the live sessions.
func (t *Transport) addSession(s *session) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.closed, t.draining && !s.dialled:
		return ErrClosed
	case !s.dialled && t.accepted >= t.cfg.MaxSessions:
		return fmt.Errorf("%w: %d sessions", ErrBusy, t.accepted)
	}
	t.sessions[s] = struct{}{}
	if !s.dialled {
		t.accepted++
	}
	t.wg.Add(1) // ended by removeSession
	return nil
}

// removeSession undoes addSession.
func (t *Transport) removeSession(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sessions, s)
	if !s.dialled {
		t.accepted--
	}
	t.wg.Done()
}

// forget takes an ended session out of its host's list.
func (h *hostState) forget(s *session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, old := range h.sessions {
		if old == s {
			h.sessions = append(h.sessions[:i], h.sessions[i+1:]...)
			return
		}
	}
}

// janitor closes idle sessions until the transport closes.
func (t *Transport) janitor() {
	tick := time.NewTicker(max(t.cfg.IdleTimeout/4, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-tick.C:
			t.sweep()
		}
	}
}

// sweep closes the sessions that are idle.
func (t *Transport) sweep() {
	t.mu.Lock()
	live := t.liveSessions()
	t.mu.Unlock()
	for _, s := range live {
		switch {
		case !s.idle(t.cfg.IdleTimeout):
		case s.retired.Load():
			s.close()
		default:
			s.retire()
		}
	}
}

// contextError returns ErrTimeout for a passed deadline, else the
// cancellation.
func contextError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrTimeout, context.Cause(ctx))
	}
	return ctx.Err()
}
