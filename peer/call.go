package peer

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/wire"
)

// Caller sends a request to a host and waits for the answer.
type Caller interface {
	Call(ctx context.Context, host, method string, req, resp proto.Message) error
}

// Call sends req to method at host and decodes the answer into resp. It returns when
// the answer has arrived or ctx ends; without a deadline in ctx, CallTimeout applies.
// Errors are of type *CallError. After an error the peer may still have served the
// call, unless Unsent reports true.
func (t *Transport) Call(ctx context.Context, host, method string, req, resp proto.Message) error {
	_, err := t.CallWithSender(ctx, host, method, req, resp)
	return err
}

// CallWithSender is like Call, but also returns the sender of the answer.
func (t *Transport) CallWithSender(ctx context.Context, host, method string, req, resp proto.Message) (Sender, error) {
	start := clock.Now()
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = clock.WithTimeout(ctx, t.cfg.CallTimeout)
		defer cancel()
	}
	from, sent, err := t.exchange(ctx, host, method, req, resp)
	t.counters.countCall(method, err, clock.Since(start))
	if err != nil {
		return Sender{}, &CallError{Host: host, Method: method, Unsent: !sent, Err: err}
	}
	return from, nil
}

// exchange makes one call. It returns the process that answered and reports whether the
// request may have been sent.
func (t *Transport) exchange(ctx context.Context, host, method string, req, resp proto.Message) (Sender, bool, error) {
	payload, err := proto.Marshal(req)
	if err != nil {
		return Sender{}, false, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if host == t.cfg.Host {
		return t.callSelf(ctx, method, payload, resp)
	}
	env, sent, err := t.send(ctx, host, method, payload)
	if err != nil {
		return Sender{}, sent, err
	}
	if env.ErrorCode != "" || env.Error != "" {
		return Sender{}, true, remoteError(host, method, env)
	}
	if env.From != host {
		return Sender{}, true, fmt.Errorf("%w: a process of host %q answered a call to host %q", ErrIdentity, env.From, host)
	}
	if err := proto.Unmarshal(env.Payload, resp); err != nil {
		return Sender{}, true, fmt.Errorf("%w: answer: %w", ErrMalformed, err)
	}
	return senderOf(env), true, nil
}

// callSelf serves a call to this host directly, without a connection.
func (t *Transport) callSelf(ctx context.Context, method string, payload []byte, resp proto.Message) (Sender, bool, error) {
	self := senderOf(t.envelope())
	answer, err := t.dispatch(ctx, self, method, payload)
	if err != nil {
		if codeOf(err) == "" {
			err = &RemoteError{Host: self.Host, Method: method, Message: err.Error()}
		}
		return Sender{}, true, err
	}
	return self, true, proto.Unmarshal(answer, resp)
}

// send makes the call over a session. If the session ended before anything was sent, it
// retries once on another session.
func (t *Transport) send(ctx context.Context, host, method string, payload []byte) (*wire.Envelope, bool, error) {
	for retry := false; ; retry = true {
		s, err := t.session(ctx, host)
		if err != nil {
			return nil, false, err
		}
		env, sent, err := s.call(ctx, method, payload)
		if err != nil && !sent && !retry && errors.Is(err, ErrUnreachable) {
			s.retired.Store(true)
			continue
		}
		return env, sent, err
	}
}

// exchangeResult is the outcome of one exchange on a stream.
type exchangeResult struct {
	env *wire.Envelope
	err error
}

// call makes one call on the session. The exchange runs in its own goroutine, because
// opening a stream and writing to it do not stop when ctx ends. writeTimeout bounds its
// duration and the call permits bound the number of such goroutines.
func (s *session) call(ctx context.Context, method string, payload []byte) (*wire.Envelope, bool, error) {
	if err := s.acquireCallPermit(ctx); err != nil {
		return nil, false, err
	}
	frame, err := s.encodeRequest(ctx, method, payload)
	if err != nil {
		s.releaseCallPermit()
		return nil, false, err
	}
	s.transport.counters.countSent(method, roleCaller, len(frame))
	s.conn.beginAwait()
	defer s.conn.endAwait()
	var sent atomic.Bool
	done := make(chan exchangeResult, 1)
	go func() {
		env, err := s.exchange(ctx, method, frame, &sent)
		s.releaseCallPermit() // released before the result is delivered, so that the caller's next call finds a permit
		done <- exchangeResult{env, err}
	}()
	select {
	case e := <-done:
		if e.err != nil && ctx.Err() != nil {
			e.err = contextError(ctx)
		}
		if e.err != nil {
			s.suspectIfSilent()
		}
		return e.env, sent.Load(), e.err
	case <-ctx.Done():
		s.suspectIfSilent()
		return nil, sent.Load(), contextError(ctx)
	}
}

// acquireCallPermit waits for a permit to have another call in flight on the session.
// It returns ErrBusy if MaxWaiting calls are already waiting.
func (s *session) acquireCallPermit(ctx context.Context) error {
	s.markUsed()
	select {
	case s.callPermits <- struct{}{}:
		return nil
	default:
	}
	if s.queuedCalls.Add(1) > int32(s.transport.cfg.MaxWaiting) {
		s.queuedCalls.Add(-1)
		return fmt.Errorf("%w: %d calls are already waiting for a permit to call %s", ErrBusy, s.transport.cfg.MaxWaiting, s.peer.Host)
	}
	defer s.queuedCalls.Add(-1)
	select {
	case s.callPermits <- struct{}{}:
		return nil
	case <-s.yamux.CloseChan():
		return fmt.Errorf("%w: session ended", ErrUnreachable)
	case <-ctx.Done():
		s.suspectIfSilent()
		return contextError(ctx)
	}
}

func (s *session) releaseCallPermit() {
	s.markUsed()
	<-s.callPermits
}

// encodeRequest encodes the envelope of a call, including the time left until the
// deadline.
func (s *session) encodeRequest(ctx context.Context, method string, payload []byte) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx)
	}
	env := s.transport.envelope()
	env.Method, env.Payload = method, payload
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline).Milliseconds()
		env.TimeoutMs = uint32(min(max(left, 1), math.MaxUint32))
	}
	return encode(env, s.transport.cfg.MaxMessageBytes)
}

// exchange sends a frame on a new stream and reads the answer. It sets sent before the
// first byte of the request can leave this host.
func (s *session) exchange(ctx context.Context, method string, frame []byte, sent *atomic.Bool) (*wire.Envelope, error) {
	stream, err := s.yamux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { expireStream(stream) })
	defer stop()
	if ctx.Err() != nil {
		return nil, contextError(ctx)
	}
	sent.Store(true)
	if _, err := stream.Write(frame); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	env, n, err := readFrame(readStream{stream, s.reads}, s.transport.cfg.MaxMessageBytes)
	s.transport.counters.countReceived(method, roleCaller, n)
	switch {
	case errors.Is(err, ErrTooLarge), errors.Is(err, ErrMalformed):
		return nil, err
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return env, nil
}

// expireStream makes pending and future reads and writes of a stream fail.
func expireStream(stream *yamux.Stream) {
	_ = stream.SetDeadline(time.Unix(1, 0)) // fails only on a closed stream
}
