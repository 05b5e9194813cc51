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

// relay passes connections on to a transport until it is frozen; then it keeps
// them open and passes nothing.
type relay struct {
	listener net.Listener
	frozen   atomic.Bool
}

func newRelay(target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{listener: l}
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
			go r.pass(in, out)
			go r.pass(out, in)
		}
	}()
	return r
}

func (r *relay) pass(from, to net.Conn) {
	defer from.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if r.frozen.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *relay) Addr() string { return r.listener.Addr().String() }
func (r *relay) Freeze()      { r.frozen.Store(true) }

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

func greeting(from string) []byte { return greetingOf(from, peer.ProtocolVersion) }

func greetingOf(from string, version uint32) []byte {
	var buf bytes.Buffer
	_, err := protodelim.MarshalTo(&buf, &wire.Envelope{Version: version, From: from, Incarnation: 1})
	Expect(err).NotTo(HaveOccurred())
	return buf.Bytes()
}

func greetAs(conn net.Conn, from string) *wire.Envelope {
	return greetWith(conn, from, peer.ProtocolVersion)
}

// callAs makes a call to "echo" by hand in the name of from.
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

// greetWith opens a connection by hand and returns the answer.
func greetWith(conn net.Conn, from string, version uint32) *wire.Envelope {
	_, err := conn.Write(greetingOf(from, version))
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	env := &wire.Envelope{}
	err = protodelim.UnmarshalFrom(bufio.NewReader(io.Reader(conn)), env)
	Expect(err).NotTo(HaveOccurred())
	return env
}
