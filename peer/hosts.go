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

// hostState is a transport's state for one host.
type hostState struct {
	name string

	mu          sync.Mutex
	sessions    []*session // the preferred session first
	dialDone    chan struct{}
	backoff     *backoff.ExponentialBackOff
	nextDial    time.Time
	lastErr     error  // why the last dial failed or the last session became suspect or was closed
	lastAddress string // the address that was dialled last
}

// host returns the state of a host and creates it if there is none.
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

// session returns a usable session to a host and dials if there is none. All callers
// share one dial. After a failed dial only the caller that starts the next one waits
// for it; the others fail at once. If session returns an error, nothing has been sent.
func (t *Transport) session(ctx context.Context, name string) (*session, error) {
	h := t.host(name)
	h.mu.Lock()
	if s := h.usableSession(); s != nil {
		verification := s.verification.Load()
		h.mu.Unlock()
		if verification == nil {
			return s, nil
		}
		select {
		case <-*verification:
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
	if s := h.usableSession(); s != nil {
		return s, nil
	}
	if h.lastErr == nil {
		return nil, fmt.Errorf("%w: session ended", ErrUnreachable)
	}
	return nil, fmt.Errorf("%w: %w", ErrUnreachable, h.lastErr)
}

// usableSession returns the preferred usable session, or nil. The caller holds h.mu.
func (h *hostState) usableSession() *session {
	for _, s := range h.sessions {
		if s.usable() {
			return s
		}
	}
	return nil
}

// ensureDial starts a dial unless one is in progress, and returns a channel that is
// closed when it ends. It fails during the dial backoff. The caller holds h.mu.
func (t *Transport) ensureDial(h *hostState) (<-chan struct{}, error) {
	if h.dialDone != nil && h.lastErr != nil {
		return nil, fmt.Errorf("%w: another dial is under way: %w", ErrUnreachable, h.lastErr)
	}
	if h.dialDone != nil {
		return h.dialDone, nil
	}
	address, ok := t.cfg.Resolve(h.name)
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownHost, h.name)
	}
	if address == h.lastAddress && clock.Now().Before(h.nextDial) {
		return nil, fmt.Errorf("%w: no dial before %s: %w", ErrUnreachable,
			h.nextDial.UTC().Format(time.RFC3339Nano), h.lastErr)
	}
	if !t.addGoroutine() {
		return nil, ErrClosed
	}
	h.lastAddress = address
	done := make(chan struct{})
	h.dialDone = done
	go func() {
		defer t.wg.Done()
		err := t.dial(h.name, address)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.dialDone = nil
		h.recordDialResult(err, t.startingUp())
		t.counters.countDial(err)
		if err != nil {
			t.cfg.Logger.Info("peer dial failed", zap.String("peer", h.name),
				zap.String("address", address), zap.Error(err))
		}
		close(done)
	}()
	return done, nil
}

// addGoroutine adds a goroutine to t.wg, or returns false if the transport is closed.
func (t *Transport) addGoroutine() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.wg.Add(1)
	return true
}

// recordDialResult records the result of a dial and updates the backoff. The caller
// holds h.mu.
func (h *hostState) recordDialResult(err error, startingUp bool) {
	h.lastErr = err
	if err == nil || startingUp {
		h.nextDial = time.Time{}
		h.backoff.Reset()
		return
	}
	h.nextDial = clock.Now().Add(h.backoff.NextBackOff())
}

// register adds a new session and starts serving it. If there are several sessions to
// the host, it selects the one that new calls use.
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
			return fmt.Errorf("%w: incarnation %d was replaced by a later process of the host", ErrIdentity, s.peer.Incarnation)
		}
	}
	t.resolveDuplicates(h, s)
	if !s.dialled {
		h.nextDial = time.Time{} // the peer has just connected, so it is reachable
		h.backoff.Reset()
	}
	go t.serveSession(h, s)
	return nil
}

// resolveDuplicates adds s to the sessions of h and selects the preferred one. The
// caller holds h.mu.
//
// A session to an earlier incarnation is dead and is closed. If the side that dialled a
// session dials again, it has found that session broken, so the session is retired. A
// session that was opened longer ago than two dial timeouts is retired too. Otherwise
// both sides dialled at the same time and both sessions work: both sides then prefer the
// session dialled by the host with the smaller name, and the host that dialled the other
// session retires it.
func (t *Transport) resolveDuplicates(h *hostState, s *session) {
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
			redundant := old
			if !preferred {
				redundant = s
			}
			if redundant.dialled {
				redundant.retire()
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

// addSession adds s to the live sessions of the transport. It fails if the transport is
// closed or draining, or if there are MaxSessions accepted sessions.
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
	t.wg.Add(1) // matched by wg.Done in removeSession
	return nil
}

// removeSession reverses addSession.
func (t *Transport) removeSession(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sessions, s)
	if !s.dialled {
		t.accepted--
	}
	t.wg.Done()
}

// removeSession removes an ended session from the host's list.
func (h *hostState) removeSession(s *session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, old := range h.sessions {
		if old == s {
			h.sessions = append(h.sessions[:i], h.sessions[i+1:]...)
			return
		}
	}
}

// closeIdleLoop closes idle sessions periodically until the transport closes.
func (t *Transport) closeIdleLoop() {
	tick := time.NewTicker(max(t.cfg.IdleTimeout/4, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-tick.C:
			t.closeIdleSessions()
		}
	}
}

// closeIdleSessions retires sessions that have been idle for IdleTimeout, and closes
// those that are already retired.
func (t *Transport) closeIdleSessions() {
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

// contextError returns ErrTimeout if the deadline has passed, otherwise the context's
// error.
func contextError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrTimeout, context.Cause(ctx))
	}
	return ctx.Err()
}
