package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/wire"
)

// StreamOpener opens streams of bytes to hosts.
type StreamOpener interface {
	// OpenStream sends req to method at host, decodes the answer into resp, and returns the
	// stream on which the answer came.
	OpenStream(ctx context.Context, host, method string, req, resp proto.Message) (net.Conn, error)
}

// StreamFunc uses a stream after its answer has been sent. The stream is closed when it
// returns, and fails when the session ends.
type StreamFunc func(stream net.Conn)

// streamHandler serves the encoded request that opens a stream, and returns the encoded
// answer and what then uses the stream; nil closes it.
type streamHandler func(ctx context.Context, from Sender, payload []byte) (answer []byte, use StreamFunc, err error)

// HandleStream registers h for method, like Handle. If h returns a StreamFunc with its
// answer, the stream stays open.
func HandleStream[Req, Resp proto.Message](m *Mux, method string, h func(ctx context.Context, from Sender, req Req) (Resp, StreamFunc, error)) {
	var zero Req
	m.addStream(method, func(ctx context.Context, from Sender, payload []byte) ([]byte, StreamFunc, error) {
		req := zero.ProtoReflect().New().Interface().(Req)
		if err := proto.Unmarshal(payload, req); err != nil {
			return nil, nil, fmt.Errorf("%w: request of %s: %w", ErrMalformed, method, err)
		}
		resp, use, err := h(ctx, from, req)
		if err != nil {
			return nil, nil, &handlerError{err}
		}
		answer, err := proto.Marshal(resp)
		return answer, use, err
	})
}

// serveOpen serves the request that opens a stream, and then the stream.
func (t *Transport) serveOpen(s *session, stream *yamux.Stream, env *wire.Envelope, h streamHandler) {
	defer stream.Close()
	var use StreamFunc
	payload, err := t.serve(s, env, func(ctx context.Context) (answer []byte, err error) {
		defer t.recoverHandler(env.Method, senderOf(env), &err)
		answer, use, err = h(ctx, senderOf(env), env.Payload)
		return answer, err
	})
	t.counters.countServed(env.Method, err)
	_ = stream.SetDeadline(time.Now().Add(t.cfg.CallTimeout)) // fails only on a closed stream
	sent := t.writeAnswer(stream, env.Method, payload, err)
	if use == nil {
		return
	}
	if !sent {
		// Only a stream on which the answer has been sent is used; use closes what it holds
		// when the stream fails at once.
		expireStream(stream)
	} else {
		_ = stream.SetDeadline(time.Time{})
	}
	use(readStream{stream, s.reads})
}

// OpenStream sends req to method at host, decodes the answer into resp, and returns the
// stream on which the answer came. It returns an error like Call if no answer arrives until
// ctx ends; the stream does not end with ctx. The caller must close it.
func (t *Transport) OpenStream(ctx context.Context, host, method string, req, resp proto.Message) (net.Conn, error) {
	start := clock.Now()
	conn, sent, err := t.openStream(ctx, host, method, req, resp)
	t.counters.countCall(method, err, clock.Since(start))
	if err != nil {
		return nil, &CallError{Host: host, Method: method, Unsent: !sent, Err: err}
	}
	return conn, nil
}

func (t *Transport) openStream(ctx context.Context, host, method string, req, resp proto.Message) (net.Conn, bool, error) {
	payload, err := proto.Marshal(req)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	s, err := t.session(ctx, host)
	if err != nil {
		return nil, false, err
	}
	stream, env, sent, err := s.open(ctx, method, payload)
	if err != nil {
		return nil, sent, err
	}
	switch {
	case env.ErrorCode != "" || env.Error != "":
		err = remoteError(host, method, env)
	case env.From != host:
		err = fmt.Errorf("%w: a process of host %q answered a call to host %q", ErrIdentity, env.From, host)
	default:
		if unmarshalErr := proto.Unmarshal(env.Payload, resp); unmarshalErr != nil {
			err = fmt.Errorf("%w: answer: %w", ErrMalformed, unmarshalErr)
		}
	}
	if err != nil {
		stream.Close()
		return nil, true, err
	}
	return stream, true, nil
}

// openResult is the outcome of opening a stream.
type openResult struct {
	stream *openedStream
	env    *wire.Envelope
	err    error
}

// open opens a stream and waits for the answer. As in call, the exchange runs in its own
// goroutine, which closes a stream that is no longer awaited.
func (s *session) open(ctx context.Context, method string, payload []byte) (*openedStream, *wire.Envelope, bool, error) {
	s.markUsed()
	frame, err := s.encodeRequest(ctx, method, payload)
	if err != nil {
		return nil, nil, false, err
	}
	if s.openStreams.Add(1) > int32(s.transport.cfg.MaxInFlight) {
		s.openStreams.Add(-1)
		return nil, nil, false, fmt.Errorf("%w: %d streams are open to %s", ErrBusy, s.transport.cfg.MaxInFlight, s.peer.Host)
	}
	s.transport.counters.countSent(method, roleCaller, len(frame))
	s.conn.beginAwait()
	defer s.conn.endAwait()
	var sent atomic.Bool
	done := make(chan openResult)
	go func() {
		r := s.exchangeOpen(ctx, frame, &sent)
		select {
		case done <- r:
		case <-ctx.Done():
			if r.stream != nil {
				r.stream.Close()
			}
		}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			s.suspectIfSilent()
		}
		return r.stream, r.env, sent.Load(), r.err
	case <-ctx.Done():
		s.suspectIfSilent()
		return nil, nil, sent.Load(), contextError(ctx)
	}
}

// exchangeOpen sends the request that opens a stream and reads the answer, but not what
// follows it.
func (s *session) exchangeOpen(ctx context.Context, frame []byte, sent *atomic.Bool) openResult {
	raw, err := s.yamux.OpenStream()
	if err != nil {
		s.openStreams.Add(-1)
		return openResult{err: fmt.Errorf("%w: %w", ErrUnreachable, err)}
	}
	stream := &openedStream{Stream: raw, session: s}
	stop := context.AfterFunc(ctx, func() { expireStream(raw) })
	sent.Store(true)
	var env *wire.Envelope
	if _, err = raw.Write(frame); err == nil {
		env, _, err = decode(byteReader{readStream{raw, s.reads}}, s.transport.cfg.MaxMessageBytes)
	}
	if !stop() && err == nil {
		err = contextError(ctx)
	}
	if err != nil {
		stream.Close()
		if !errors.Is(err, ErrTooLarge) && !errors.Is(err, ErrMalformed) {
			err = fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
		return openResult{err: err}
	}
	return openResult{stream: stream, env: env}
}

// openedStream is a stream that this side has opened.
type openedStream struct {
	*yamux.Stream
	session *session
	closed  atomic.Bool
}

// Read implements net.Conn.
func (o *openedStream) Read(b []byte) (int, error) {
	return readStream{o.Stream, o.session.reads}.Read(b)
}

// Close closes the stream in both directions.
func (o *openedStream) Close() error {
	if !o.closed.Swap(true) {
		o.session.openStreams.Add(-1)
		o.session.markUsed()
	}
	return o.Stream.Close()
}
