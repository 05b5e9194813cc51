package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/wheatseam/wheatseam/core/detour"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/replica"
	"github.com/wheatseam/wheatseam/wire"
)

const methodConnect = "tunnel.connect"

// otherReplicas is the number of other replicas that are tried to tell a replica that is
// down from a host that is cut off.
const otherReplicas = 2

// ServerConfig holds the dependencies of a Server.
type ServerConfig struct {
	// MaxOpen is the number of connections for peers that may be open at the same time.
	MaxOpen int
	// Direct connects from this host, and Paths is where results are recorded.
	Direct replica.DialFunc
	Paths  *Paths
	// Accepts reports whether connections are accepted now, and whether an address is that
	// of a replica.
	Accepts func(address string) bool
	// OnConnect is called with the result for each request of a peer. It must not block.
	OnConnect func(peer string, r detour.Result)
}

// Server connects to replicas for peers. It is safe for concurrent use.
type Server struct {
	cfg  ServerConfig
	open atomic.Int64
}

// NewServer returns a server. Its method is registered with Register.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg} }

// Register registers the server's method.
func (s *Server) Register(mux *peer.Mux) {
	peer.HandleStream(mux, methodConnect, s.connect)
}

// Open returns the number of connections that are open for peers.
func (s *Server) Open() int { return int(s.open.Load()) }

// connect serves a peer's request for a connection.
func (s *Server) connect(ctx context.Context, from peer.Sender, req *wire.TunnelRequest) (*wire.TunnelReply, peer.StreamFunc, error) {
	conn, r := s.dial(ctx, req.GetAddress())
	s.cfg.OnConnect(from.Host, r.Result)
	reply := &wire.TunnelReply{Result: resultToWire[r.Result], Room: uint32(r.Room), Hints: r.Hints}
	if conn == nil {
		return reply, nil, nil
	}
	return reply, func(stream net.Conn) {
		defer s.open.Add(-1)
		copyBoth(stream, conn)
	}, nil
}

// dial connects to a replica. The connection counts as open if it is not nil. It goes on when
// the peer no longer waits, since the result tells whether this host is cut off.
func (s *Server) dial(ctx context.Context, address string) (net.Conn, detour.Reply) {
	p := s.cfg.Paths
	if !s.cfg.Accepts(address) {
		return nil, detour.Reply{Result: detour.Unavailable}
	}
	if p.reach() == detour.ReachesNone {
		return nil, detour.Reply{Result: detour.PeerCutOff, Hints: p.hints()}
	}
	open := int(s.open.Add(1))
	if open > s.cfg.MaxOpen {
		s.open.Add(-1)
		return nil, detour.Reply{Result: detour.NoRoom}
	}
	ctx = context.WithoutCancel(ctx)
	conn, err := p.dialDirect(ctx, s.cfg.Direct, address)
	if err == nil {
		return conn, detour.Reply{Result: detour.Connected, Room: s.cfg.MaxOpen - open}
	}
	s.open.Add(-1)
	r := detour.Reply{Room: s.cfg.MaxOpen - open, Result: detour.ReplicaUnreachable}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	switch {
	case !s.reachesOthers(ctx, address, refused):
		r.Result, r.Hints = detour.PeerCutOff, p.hints()
	case refused:
		r.Result = detour.ReplicaRefused
	}
	return nil, r
}

// reachesOthers reports whether this host reaches any other replica, and tries some if it has
// not done so lately: for a refusal, in the last moment.
func (s *Server) reachesOthers(ctx context.Context, except string, refused bool) bool {
	p := s.cfg.Paths
	switch r := p.reach(); {
	case r == detour.ReachesNone:
		return false
	case r == detour.ReachesReplicas && (!refused || p.mayVote()):
		return true
	}
	results := make(chan bool, otherReplicas)
	tried := 0
	for _, address := range p.cfg.Sample(otherReplicas + 1) {
		if address != except && tried < otherReplicas {
			tried++
			go func() { results <- p.probe(ctx, s.cfg.Direct, address) }()
		}
	}
	if tried == 0 {
		return p.reach() == detour.ReachesReplicas
	}
	for range tried {
		if <-results {
			return true
		}
	}
	return false
}

// copyBoth copies between a peer's stream and a replica's connection, and closes the latter
// when either ends. A stream that ends without the last chunk tells the peer that the
// connection broke.
func copyBoth(stream, conn net.Conn) {
	conn = httpbody.DetectResets(conn)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		copyRequest(conn, stream)
		// A replica that takes no more bytes may still answer; the peer then closes the stream.
		_, _ = io.Copy(io.Discard, stream)
		conn.Close()
		// The peer takes nothing more of an answer that has not ended.
		_ = stream.SetWriteDeadline(time.Now()) // fails only on a closed stream
	}()
	_ = copyChunks(stream, conn) // the end of the stream tells the peer
	conn.Close()
	stream.Close()
	<-sent
}

const (
	// requestBuffer is the size in bytes of the buffer for what a peer sends.
	requestBuffer = 16 << 10
	// BufferBytes is what the buffers of an open connection take, without the windows of its stream.
	BufferBytes = requestBuffer + maxChunk
	// streamCheckInterval is the interval at which a stream is checked while the replica takes
	// no bytes.
	streamCheckInterval = time.Second
)

// copyRequest copies what a peer sends to a replica until either ends. While the replica takes no
// bytes, the stream is checked: one that the peer has closed is reset some seconds later at the
// latest.
func copyRequest(conn, stream net.Conn) {
	buf := make([]byte, requestBuffer)
	for {
		n, err := stream.Read(buf)
		for left := buf[:n]; len(left) > 0; {
			_ = conn.SetWriteDeadline(time.Now().Add(streamCheckInterval)) // fails only on a closed connection
			written, writeErr := conn.Write(left)
			left = left[written:]
			if writeErr != nil && (!errors.Is(writeErr, os.ErrDeadlineExceeded) || hasEnded(stream)) {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hasEnded reports whether the peer has closed a stream and nothing is left to read of it, or the
// stream was reset. It takes no bytes from the stream.
func hasEnded(stream net.Conn) bool {
	_ = stream.SetReadDeadline(time.Now()) // fails only on a closed stream
	_, err := stream.Read(nil)
	_ = stream.SetReadDeadline(time.Time{})
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// resultToWire maps the results that a server sends.
var resultToWire = map[detour.Result]wire.TunnelResult{
	detour.Connected:          wire.TunnelResult_TUNNEL_RESULT_CONNECTED,
	detour.ReplicaRefused:     wire.TunnelResult_TUNNEL_RESULT_REPLICA_REFUSED,
	detour.ReplicaUnreachable: wire.TunnelResult_TUNNEL_RESULT_REPLICA_UNREACHABLE,
	detour.PeerCutOff:         wire.TunnelResult_TUNNEL_RESULT_CUT_OFF,
	detour.NoRoom:             wire.TunnelResult_TUNNEL_RESULT_NO_ROOM,
	detour.Unavailable:        wire.TunnelResult_TUNNEL_RESULT_UNAVAILABLE,
}

// resultFromWire returns the result that a peer sent; Unavailable for an unknown one.
func resultFromWire(w wire.TunnelResult) detour.Result {
	for r, known := range resultToWire {
		if known == w {
			return r
		}
	}
	return detour.Unavailable
}
