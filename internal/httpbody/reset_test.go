package httpbody_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/httpbody"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = dialed.Close(); _ = accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against a reset that looks like an end in order, and against the reverse, for writes that
// have ended and writes in progress.
func TestDetectResets(t *testing.T) {
	const part = "part"
	reset := func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	endInOrder := func(c *net.TCPConn) { _ = c.CloseWrite() }
	for name, c := range map[string]struct {
		end func(*net.TCPConn)
		// written says that the write ends before the read begins.
		written bool
		want    error
	}{
		"reset taken by an earlier write":       {reset, true, syscall.ECONNRESET},
		"reset during a write":                  {reset, false, syscall.ECONNRESET},
		"end in order during a write":           {endInOrder, false, nil},
		"end in order, then reset by the write": {func(c *net.TCPConn) { endInOrder(c); time.Sleep(20 * time.Millisecond); reset(c) }, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range 20 {
				g := NewWithT(t)
				client, server := connect(t)
				conn := httpbody.DetectResets(client)
				_, err := io.WriteString(server, part)
				g.Expect(err).NotTo(HaveOccurred())
				written := make(chan error, 1)
				go func() {
					_, err := conn.Write(make([]byte, 32<<20))
					written <- err
				}()
				time.Sleep(5 * time.Millisecond)
				c.end(server)
				if c.written {
					g.Expect(<-written).To(HaveOccurred())
				}
				body, err := io.ReadAll(conn)
				g.Expect(string(body)).To(Equal(part))
				if c.want == nil {
					g.Expect(err).NotTo(HaveOccurred())
				} else {
					g.Expect(err).To(MatchError(c.want))
					g.Expect(httpbody.IsConnectionBroken(err)).To(BeTrue())
				}
				if !c.written {
					g.Eventually(written, "2s").Should(Receive(&err), "the write ends")
					g.Expect(httpbody.IsConnectionBroken(err)).To(BeTrue(), "%v", err)
				}
			}
		})
	}
}

// Guards against a write that goes on after the end of the input, whose deadline its caller extends.
func TestNothingIsWrittenAfterTheEnd(t *testing.T) {
	g := NewWithT(t)
	client, server := connect(t)
	conn := httpbody.DetectResets(client)
	g.Expect(server.CloseWrite()).To(Succeed())
	_, err := io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetWriteDeadline(time.Now().Add(time.Minute))).To(Succeed())
	g.Expect(conn.SetDeadline(time.Now().Add(time.Minute))).To(Succeed())
	_, err = conn.Write(make([]byte, 32<<20))
	g.Expect(httpbody.IsConnectionBroken(err)).To(BeTrue(), "%v", err)
}

// Guards against reads that wait for a write which no deadline ends: other connections than those of
// TCP tell an end from a reset themselves.
func TestOnlyTCPConnectionsAreChanged(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	NewWithT(t).Expect(httpbody.DetectResets(client)).To(BeIdenticalTo(client))
}
