package peer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

// Sender identifies the process that sent a message. Host is verified by its
// certificate; on plaintext sessions it is only claimed.
type Sender struct {
	Host string
	// Incarnation is the start time of the sending process in Unix milliseconds.
	Incarnation uint64
	// SentAt is the sender's wall clock time when it sent the message.
	SentAt time.Time
}

// handler serves one encoded request and returns the encoded answer.
type handler func(ctx context.Context, from Sender, payload []byte) ([]byte, error)

// Mux holds the methods that a daemon serves. Methods may be registered before or while
// the transport serves. A Mux is safe for concurrent use.
type Mux struct {
	mu       sync.RWMutex
	handlers map[string]handler
	streams  map[string]streamHandler
}

// NewMux returns a mux without methods.
func NewMux() *Mux {
	return &Mux{handlers: make(map[string]handler), streams: make(map[string]streamHandler)}
}

// Handle registers h for method. It panics if the method is already registered, since
// that is a programming error. Each call of the handler runs in its own goroutine, many
// at the same time. Its context ends at the caller's deadline.
func Handle[Req, Resp proto.Message](m *Mux, method string, h func(ctx context.Context, from Sender, req Req) (Resp, error)) {
	var zero Req
	newRequest := func() Req { return zero.ProtoReflect().New().Interface().(Req) }
	m.add(method, func(ctx context.Context, from Sender, payload []byte) ([]byte, error) {
		req := newRequest()
		if err := proto.Unmarshal(payload, req); err != nil {
			return nil, fmt.Errorf("%w: request of %s: %w", ErrMalformed, method, err)
		}
		resp, err := h(ctx, from, req)
		if err != nil {
			return nil, &handlerError{err}
		}
		return proto.Marshal(resp)
	})
}

func (m *Mux) add(method string, h handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.handlers[method]; ok {
		panic("peer: method registered twice: " + method)
	}
	m.handlers[method] = h
}

func (m *Mux) addStream(method string, h streamHandler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.streams[method]; ok {
		panic("peer: method registered twice: " + method)
	}
	m.streams[method] = h
}

// lookupStream returns the handler of a method that opens streams, or nil.
func (m *Mux) lookupStream(method string) streamHandler {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.streams[method]
}

// lookup returns the handler of method, or nil.
func (m *Mux) lookup(method string) handler {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.handlers[method]
}

// CallLocal calls a method of a mux in the same process, for tests that need no
// sessions.
func CallLocal(ctx context.Context, m *Mux, from, method string, req, resp proto.Message) error {
	h := m.lookup(method)
	if h == nil {
		return fmt.Errorf("%w: %s", ErrUnknownMethod, method)
	}
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	answer, err := h(ctx, Sender{Host: from, SentAt: time.Now()}, payload)
	if err != nil {
		return err
	}
	return proto.Unmarshal(answer, resp)
}
