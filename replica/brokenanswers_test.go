package replica_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/httpbody"
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

// malformedAnswer is an answer with a malformed head and a valid body.
func malformedAnswer(body string) func(*net.TCPConn) {
	return func(c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.1 600 Trouble\r\n\r\n"+body) }
}

// Guards against calls whose malformed answer counts as valid, or as none: the replica has received them.
func TestMalformedAnswersToCalls(t *testing.T) {
	ctx := context.Background()
	client := replica.NewClient(nil, nil)
	t.Run("results are released once", func(t *testing.T) {
		g := NewWithT(t)
		var calls atomic.Int64
		address := serveRaw(t, func(c *net.TCPConn) {
			calls.Add(1)
			malformedAnswer("{}")(c)
		})
		g.Expect(client.ReleaseResults(ctx, stage.Release{Replica: "r", Address: address, Handles: []string{"h"}})).To(MatchError(httpbody.ErrMalformedHead))
		g.Expect(calls.Load()).To(BeEquivalentTo(1))
	})
	t.Run("an engine responds to a report call", func(t *testing.T) {
		_, err := client.EngineReport(ctx, "r", serveRaw(t, malformedAnswer(`{"queued":0,"active":0,"runs":[]}`)))
		NewWithT(t).Expect(err).To(MatchError(replica.ErrUnsupportedCall))
	})
	t.Run("an engine reserves nothing", func(t *testing.T) {
		_, err := client.Reserve(ctx, "r", serveRaw(t, malformedAnswer(`{"hold":"h"}`)), 1, time.Second)
		NewWithT(t).Expect(err).To(MatchError(httpbody.ErrMalformedHead))
	})
	t.Run("pieces may have run", func(t *testing.T) {
		run := stage.Run{Replica: "r", Address: serveRaw(t, malformedAnswer(`{"entries":[{"handle":"h"}]}`)), Timeout: time.Second, Pieces: []stage.Piece{{Job: "j", Key: "k"}}}
		_, outcome, err := client.RunPieces(ctx, run)
		NewWithT(t).Expect(err).To(MatchError(httpbody.ErrMalformedHead))
		NewWithT(t).Expect(outcome).To(Equal(stage.CallFailed))
	})
}
