package peer

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/wire"
)

// serveSession serves the peer's calls on a session until the session ends.
func (t *Transport) serveSession(h *hostState, s *session) {
	defer t.removeSession(s)
	defer h.removeSession(s)
	defer s.close()
	limit := int32(2 * t.cfg.MaxInFlight)
	for {
		stream, err := s.yamux.AcceptStream()
		if err != nil {
			return
		}
		s.markUsed()
		if s.servingCalls.Add(1) > limit {
			t.answer(stream, "", nil, fmt.Errorf("%w: over %d on one session", ErrBusy, limit))
			s.servingCalls.Add(-1)
			continue
		}
		go func() {
			defer s.servingCalls.Add(-1)
			defer s.markUsed()
			t.serveStream(s, stream)
		}()
	}
}

// serveStream serves the single call of a stream.
func (t *Transport) serveStream(s *session, stream *yamux.Stream) {
	// The deadline also covers a peer that sends its request too slowly.
	_ = stream.SetDeadline(time.Now().Add(t.cfg.CallTimeout)) // fails only on a closed stream
	env, n, err := readFrame(readStream{stream, s.reads}, t.cfg.MaxMessageBytes)
	if err != nil {
		if codeOf(err) != "" {
			t.answer(stream, "", nil, err)
			return
		}
		stream.Close()
		return
	}
	if h := t.cfg.Mux.lookupStream(env.Method); h != nil {
		t.counters.countReceived(env.Method, roleServer, n)
		t.serveOpen(s, stream, env, h)
		return
	}
	payload, err := t.serveCall(s, env)
	method := t.knownMethod(env.Method)
	t.counters.countReceived(method, roleServer, n)
	t.counters.countServed(method, err)
	_ = stream.SetDeadline(time.Now().Add(t.cfg.CallTimeout))
	t.answer(stream, method, payload, err)
}

// serveCall validates an envelope and runs its method.
func (t *Transport) serveCall(s *session, env *wire.Envelope) ([]byte, error) {
	return t.serve(s, env, func(ctx context.Context) ([]byte, error) {
		return t.dispatch(ctx, senderOf(env), env.Method, env.Payload)
	})
}

// serve validates an envelope and runs its handler within the time of the call. A request to
// retire the session is served at once.
func (t *Transport) serve(s *session, env *wire.Envelope, handle func(ctx context.Context) ([]byte, error)) ([]byte, error) {
	if err := checkVersion(env); err != nil {
		return nil, err
	}
	if env.From != s.peer.Host || env.Incarnation != s.peer.Incarnation {
		return nil, fmt.Errorf("%w: call of %q on a session of %q", ErrIdentity, env.From, s.peer.Host)
	}
	if env.Method == methodRetire {
		s.retired.Store(true)
		return nil, nil
	}
	timeout := t.cfg.CallTimeout
	if env.TimeoutMs > 0 {
		timeout = time.Duration(env.TimeoutMs) * time.Millisecond
	}
	ctx, cancel := clock.WithTimeout(t.ctx, timeout)
	defer cancel()
	select {
	case t.handlerPermits <- struct{}{}:
		defer func() { <-t.handlerPermits }()
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: no free handler", ErrBusy)
	}
	payload, err := handle(ctx)
	if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return nil, fmt.Errorf("%w: %w", ErrTimeout, err)
	}
	return payload, err
}

// dispatch runs the handler of method. A panic in a handler is logged and returned as
// an error, so that a single message cannot crash the daemon.
func (t *Transport) dispatch(ctx context.Context, from Sender, method string, payload []byte) (answer []byte, err error) {
	h := t.cfg.Mux.lookup(method)
	if h == nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknownMethod, method)
	}
	defer t.recoverHandler(method, from, &err)
	return h(ctx, from, payload)
}

// recoverHandler turns a panic of a handler into an error. It must be deferred directly.
func (t *Transport) recoverHandler(method string, from Sender, err *error) {
	if r := recover(); r != nil {
		t.counters.panics.Inc()
		t.cfg.Logger.Error("peer handler panicked", zap.String("method", method),
			zap.String("peer", from.Host), zap.Any("panic", r), zap.ByteString("stack", debug.Stack()))
		*err = fmt.Errorf("handler of %s panicked", method)
	}
}

// answer writes the answer of a stream and closes the stream. If the answer is too
// large it sends the error instead.
func (t *Transport) answer(stream *yamux.Stream, method string, payload []byte, err error) {
	defer stream.Close()
	t.writeAnswer(stream, method, payload, err)
}

// writeAnswer writes the answer of a stream, and reports whether it was written.
func (t *Transport) writeAnswer(stream *yamux.Stream, method string, payload []byte, err error) bool {
	env := t.envelope()
	if err == nil {
		env.Payload = payload
	} else {
		env.Error, env.ErrorCode = err.Error(), codeOf(err)
	}
	frame, err := encode(env, t.cfg.MaxMessageBytes)
	if err != nil {
		env.Payload, env.Error, env.ErrorCode = nil, err.Error(), codeOf(err)
		if frame, err = encode(env, t.cfg.MaxMessageBytes); err != nil {
			return false
		}
	}
	if _, err := stream.Write(frame); err != nil {
		return false
	}
	t.counters.countSent(method, roleServer, len(frame))
	return true
}

// knownMethod returns method, or "unknown" if it is not registered, so that peers
// cannot create metric series.
func (t *Transport) knownMethod(method string) string {
	if method != methodRetire && t.cfg.Mux.lookup(method) == nil {
		return methodUnknown
	}
	return method
}
