package peer_test

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

// forwardingProxy forwards connections to a transport. Once frozen it keeps them open
// but discards all data.
type forwardingProxy struct {
	listener net.Listener
	frozen   atomic.Bool
}

func newForwardingProxy(target string) *forwardingProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &forwardingProxy{listener: l}
	DeferCleanup(l.Close)
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			go r.forward(in, out)
			go r.forward(out, in)
		}
	}()
	return r
}

func (p *forwardingProxy) forward(from, to net.Conn) {
	defer from.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if p.frozen.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *forwardingProxy) Addr() string { return p.listener.Addr().String() }
func (p *forwardingProxy) Freeze()      { p.frozen.Store(true) }

// dialTLS connects with the given key pair.
func dialTLS(address, server string, files peer.TLSFiles) net.Conn {
	cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	Expect(err).NotTo(HaveOccurred())
	pem, err := os.ReadFile(files.CAFile)
	Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	Expect(pool.AppendCertsFromPEM(pem)).To(BeTrue())
	conn, err := tls.Dial("tcp", address, &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, ServerName: server})
	Expect(err).NotTo(HaveOccurred())
	return conn
}

func handshakeFrame(from string) []byte { return handshakeFrameWithVersion(from, peer.ProtocolVersion) }

func handshakeFrameWithVersion(from string, version uint32) []byte {
	var buf bytes.Buffer
	_, err := protodelim.MarshalTo(&buf, &wire.Envelope{Version: version, From: from, Incarnation: 1})
	Expect(err).NotTo(HaveOccurred())
	return buf.Bytes()
}

func handshakeAs(conn net.Conn, from string) *wire.Envelope {
	return handshakeWithVersion(conn, from, peer.ProtocolVersion)
}

// callAs sends a call of "echo" that names from as the sender, without a transport.
func callAs(session *yamux.Session, from string) *wire.Envelope {
	stream, err := session.Open()
	Expect(err).NotTo(HaveOccurred())
	defer stream.Close()
	_, err = protodelim.MarshalTo(stream, &wire.Envelope{
		Version: peer.ProtocolVersion, From: from, Incarnation: 1, Method: "echo",
	})
	Expect(err).NotTo(HaveOccurred())
	env := &wire.Envelope{}
	Expect(protodelim.UnmarshalFrom(bufio.NewReader(stream), env)).To(Succeed())
	return env
}

// handshakeWithVersion performs the client's handshake without a transport and returns
// the answer.
func handshakeWithVersion(conn net.Conn, from string, version uint32) *wire.Envelope {
	_, err := conn.Write(handshakeFrameWithVersion(from, version))
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	env := &wire.Envelope{}
	err = protodelim.UnmarshalFrom(bufio.NewReader(io.Reader(conn)), env)
	Expect(err).NotTo(HaveOccurred())
	return env
}
