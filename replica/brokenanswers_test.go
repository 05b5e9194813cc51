package replica_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/replica"
)

// serveRaw starts a server that reads the head of one request on each connection, and then calls
// answer.
func serveRaw(t *testing.T, answer func(*net.TCPConn)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against results of pieces whose connection was reset while the call was being written.
func TestResultsThatAreResetDuringCallsAreNotComplete(t *testing.T) {
	g := NewWithT(t)
	address := serveRaw(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+`{"entries":[{"handle":"h"}]}`)
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	run := stage.Run{Replica: "r", Address: address, Timeout: 2 * time.Second, Pieces: []stage.Piece{{Job: "j", Key: strings.Repeat("k", 6<<20)}}}
	for range 12 {
		_, outcome, err := replica.NewClient(nil, nil).RunPieces(context.Background(), run)
		g.Expect(err).To(HaveOccurred())
		g.Expect(outcome).To(Equal(stage.CallFailed))
	}
}
