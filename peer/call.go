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

// Caller sends one request to a host and waits for its answer.
type Caller interface {
	Call(ctx context.Context, host, method string, req, resp proto.Message) error
}

// Call sends req to method at host and fills resp with the answer. It returns
// when the answer is there, or at the latest when ctx ends (CallTimeout without
// a deadline). An error is a *CallError. The call may have been served when an
// error is returned, unless Unsent says otherwise.
func (t *Transport) Call(ctx context.Context, host, method string, req, resp proto.Message) error {
	_, err := t.Exchange(ctx, host, method, req, resp)
	return err
}

// Exchange is Call that also says which process answered, and when.
func (t *Transport) Exchange(ctx context.Context, host, method string, req, resp proto.Message) (Sender, error) {
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

// exchange returns the answerer, and whether the request may have left.
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
		return Sender{}, true, fmt.Errorf("%w: %q answered for %q", ErrIdentity, env.From, host)
	}
	if err := proto.Unmarshal(env.Payload, resp); err != nil {
		return Sender{}, true, fmt.Errorf("%w: answer: %w", ErrMalformed, err)
	}
	return senderOf(env), true, nil
}

// callSelf serves a call to this host itself without a connection.
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

// send makes the call over a session; one that ended before anything was sent
// is replaced once.
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

// exchanged is the end of one exchange on a stream.
type exchanged struct {
	env *wire.Envelope
	err error
}

// call makes one call on the session. The exchange runs in a goroutine of its
// own, since opening a stream and writing to it do not end with ctx; it is
// bounded by writeTimeout and the places of the session.
func (s *session) call(ctx context.Context, method string, payload []byte) (*wire.Envelope, bool, error) {
	if err := s.takePlace(ctx); err != nil {
		return nil, false, err
	}
	frame, err := s.request(ctx, method, payload)
	if err != nil {
		s.freePlace()
		return nil, false, err
	}
	s.t.counters.countSent(method, roleCaller, len(frame))
	s.meter.await()
	defer s.meter.settle()
	var sent atomic.Bool
	done := make(chan exchanged, 1)
	go func() {
		env, err := s.exchange(ctx, method, frame, &sent)
		s.freePlace() // before the answer, for the caller's next call
		done <- exchanged{env, err}
	}()
	select {
	case e := <-done:
		if e.err != nil && ctx.Err() != nil {
			e.err = contextError(ctx)
		}
		if e.err != nil {
			s.checkSilence()
		}
		return e.env, sent.Load(), e.err
	case <-ctx.Done():
		s.checkSilence()
		return nil, sent.Load(), contextError(ctx)
	}
}

// takePlace waits for a place among the session's calls in flight.
func (s *session) takePlace(ctx context.Context) error {
	s.touch()
	select {
	case s.places <- struct{}{}:
		return nil
	default:
	}
	if s.waiting.Add(1) > int32(s.t.cfg.MaxWaiting) {
		s.waiting.Add(-1)
		return fmt.Errorf("%w: %d wait for %s", ErrBusy, s.t.cfg.MaxWaiting, s.peer.Host)
	}
	defer s.waiting.Add(-1)
	select {
	case s.places <- struct{}{}:
		return nil
	case <-s.mux.CloseChan():
		return fmt.Errorf("%w: session ended", ErrUnreachable)
	case <-ctx.Done():
		s.checkSilence()
		return contextError(ctx)
	}
}

func (s *session) freePlace() {
	s.touch()
	<-s.places
}

// request serialises the envelope of a call with the time that is left.
func (s *session) request(ctx context.Context, method string, payload []byte) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx)
	}
	env := s.t.envelope()
	env.Method, env.Payload = method, payload
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline).Milliseconds()
		env.TimeoutMs = uint32(min(max(left, 1), math.MaxUint32))
	}
	return encode(env, s.t.cfg.MaxMessageBytes)
}

// exchange sends a frame on a stream of its own and reads the answer. It sets
// sent before the first byte of the request can leave.
func (s *session) exchange(ctx context.Context, method string, frame []byte, sent *atomic.Bool) (*wire.Envelope, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { expire(stream) })
	defer stop()
	if ctx.Err() != nil {
		return nil, contextError(ctx)
	}
	sent.Store(true)
	if _, err := stream.Write(frame); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	env, n, err := readFrame(stream, s.t.cfg.MaxMessageBytes)
	s.t.counters.countReceived(method, roleCaller, n)
	switch {
	case errors.Is(err, ErrTooLarge), errors.Is(err, ErrMalformed):
		return nil, err
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return env, nil
}

// expire ends the reads and writes of a stream.
func expire(stream *yamux.Stream) {
	_ = stream.SetDeadline(time.Unix(1, 0)) // fails only on a closed stream
}
