package peer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/wire"
)

// ProtocolVersion is the protocol version of this daemon, and MinVersion the oldest
// version it accepts.
const (
	ProtocolVersion = 1
	MinVersion      = 1
)

// readBufferSize is the size in bytes of the buffer through which a frame is read.
const readBufferSize = 1024

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// envelope returns an envelope with this daemon as the sender and the current time.
func (t *Transport) envelope() *wire.Envelope {
	return &wire.Envelope{
		Version:     ProtocolVersion,
		From:        t.cfg.Host,
		Incarnation: t.cfg.Incarnation,
		SentUnixMs:  time.Now().UnixMilli(),
	}
}

// encode encodes env with a length prefix, or returns ErrTooLarge if env exceeds limit
// bytes. The output equals that of protodelim.MarshalTo, but in one slice, which can be
// sent with a single write.
func encode(env *wire.Envelope, limit int) ([]byte, error) {
	n := proto.Size(env)
	if n > limit {
		return nil, fmt.Errorf("%w: %d bytes, bound %d", ErrTooLarge, n, limit)
	}
	frame := make([]byte, 0, n+protowire.SizeVarint(uint64(n)))
	frame = protowire.AppendVarint(frame, uint64(n))
	frame, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(frame, env)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return frame, nil
}

// readFrame reads one envelope of at most limit bytes and returns it with its size. It
// may read past the end of the envelope.
func readFrame(r io.Reader, limit int) (*wire.Envelope, int, error) {
	br := readerPool.Get().(*bufio.Reader)
	br.Reset(r)
	defer func() { br.Reset(nil); readerPool.Put(br) }()
	return decode(br, limit)
}

// decode reads one envelope of at most limit bytes. It does not read past the
// envelope's end if r does not buffer.
func decode(r protodelim.Reader, limit int) (*wire.Envelope, int, error) {
	env := &wire.Envelope{}
	err := protodelim.UnmarshalOptions{MaxSize: int64(limit)}.UnmarshalFrom(r, env)
	var large *protodelim.SizeTooLargeError
	switch {
	case errors.As(err, &large):
		return nil, 0, fmt.Errorf("%w: %w", ErrTooLarge, err)
	case errors.Is(err, proto.Error):
		return nil, 0, fmt.Errorf("%w: %w", ErrMalformed, err)
	case err != nil:
		return nil, 0, err
	}
	return env, proto.Size(env), nil
}

// senderOf returns the sender named in env.
func senderOf(env *wire.Envelope) Sender {
	return Sender{Host: env.From, Incarnation: env.Incarnation, SentAt: time.UnixMilli(env.SentUnixMs)}
}

// byteReader reads single bytes without read-ahead.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}
