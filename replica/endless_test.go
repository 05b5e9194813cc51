package replica_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/internal/standin/site"
	"github.com/wheatseam/wheatseam/replica"
)

// endlessListener counts connections that are open.
type endlessListener struct {
	net.Listener
	accepted, open atomic.Int64
}

func (l *endlessListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
		l.open.Add(1)
	}
	return &countedConn{Conn: c, open: &l.open}, err
}

type countedConn struct {
	net.Conn
	open *atomic.Int64
}

func (c *countedConn) Close() error {
	c.open.Add(-1)
	return c.Conn.Close()
}

// serveEndless starts a server of endless bytes.
func serveEndless(t *testing.T, k site.Endless, interval time.Duration, unasked bool) *endlessListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	counted := &endlessListener{Listener: l}
	go site.ServeEndless(counted, k, http.Header{}, interval, unasked)
	return counted
}

const (
	// callTimeout is the time that each call has, and maxCallTime the time it may take.
	callTimeout = 300 * time.Millisecond
	maxCallTime = 2 * time.Second
	// maxAllocated is the number of bytes that a call may allocate: less than the default limit
	// of net/http for the head of a response.
	maxAllocated = 8 << 20
	// maxTestBody is the limit for bodies that the test reads itself.
	maxTestBody = 1 << 20
)

// endlessCalls are the calls to replicas, by name. They return whether the call failed.
var endlessCalls = map[string]func(ctx context.Context, c *replica.Client, address string) error{
	"request": func(ctx context.Context, c *replica.Client, address string) error {
		resp, err := c.Do(ctx, replica.Call{Replica: "r", RequestID: "a", ExecutesRequest: true, Method: http.MethodPost, Address: address, Target: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = httpbody.Read(resp.Body, maxTestBody)
		return err
	},
	"pieces": func(ctx context.Context, c *replica.Client, address string) error {
		_, outcome, err := c.RunPieces(ctx, stage.Run{Replica: "r", Address: address, Timeout: callTimeout, Pieces: []stage.Piece{{}}})
		if outcome != stage.CallFailed {
			return nil // what was sent may have run
		}
		return err
	},
	"report": func(ctx context.Context, c *replica.Client, address string) error {
		_, err := c.EngineReport(ctx, "r", address)
		return err
	},
	"reservation": func(ctx context.Context, c *replica.Client, address string) error {
		_, err := c.Reserve(ctx, "r", address, 10, time.Second)
		return err
	},
	"free memory": func(ctx context.Context, c *replica.Client, address string) error {
		_, err := c.FreeMemory(ctx, stage.QueryMemory{Replica: "r", Address: address})
		return err
	},
	"release": func(ctx context.Context, c *replica.Client, address string) error {
		return c.ReleaseResults(ctx, stage.Release{Replica: "r", Address: address, Handles: []string{"h"}})
	},
}

// callEndless makes a call to a replica that sends endless bytes, and expects that it ends in time
// with its connection.
func callEndless(t *testing.T, kind site.Endless, interval time.Duration, call func(context.Context, *replica.Client, string) error) {
	g := NewWithT(t)
	l := serveEndless(t, kind, interval, false)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- call(ctx, replica.NewClient(nil, nil), l.Addr().String()) }()
	var err error
	g.Eventually(done, maxCallTime).Should(Receive(&err))
	switch kind {
	case site.EndlessStatusLine, site.EndlessHead, site.EndlessInterim:
		g.Expect(err).To(HaveOccurred())
		g.Expect(httpbody.IsOversized(err)).To(Equal(interval == 0), err.Error())
	case site.EndlessAfterResponse:
	default:
		g.Expect(err).To(HaveOccurred())
	}
	g.Eventually(l.open.Load, "3s").Should(BeZero())
}

// Guards against calls that hold megabytes of an endless response, and against connections that
// stay open afterwards.
func TestCallsHoldLittleOfEndlessResponses(t *testing.T) {
	for _, kind := range site.EndlessKinds() {
		for name, call := range endlessCalls {
			t.Run(kind.String()+", "+name, func(t *testing.T) {
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				callEndless(t, kind, 0, call)
				runtime.ReadMemStats(&after)
				NewWithT(t).Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", maxAllocated))
			})
		}
	}
}

// Guards against calls that do not end in time while a replica sends a few bytes at a time.
func TestCallsEndWhileReplicaSendsSlowEndlessBytes(t *testing.T) {
	for _, kind := range site.EndlessKinds() {
		for name, call := range endlessCalls {
			t.Run(kind.String()+", "+name, func(t *testing.T) {
				t.Parallel()
				callEndless(t, kind, 10*time.Millisecond, call)
			})
		}
	}
}

// Guards against bytes that were sent before any request, and are taken for an answer.
func TestProbesIgnoreUnaskedBytes(t *testing.T) {
	g := NewWithT(t)
	l := serveEndless(t, site.EndlessBody, 0, true)
	c := replica.NewClient(nil, nil)
	for range 20 {
		refused, err := c.RefusesConnections(context.Background(), l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(refused).To(BeFalse())
		result, err := c.CheckCrash(context.Background(), l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Accepted).To(BeTrue())
	}
	g.Eventually(l.open.Load, "3s").Should(BeZero())
}

// Guards against results that are released twice because the replica, which has released them, sends
// endless bytes in response.
func TestResultsAreReleasedOnceAtAnEndlessReplica(t *testing.T) {
	for _, kind := range site.EndlessKinds() {
		t.Run(kind.String(), func(t *testing.T) {
			g := NewWithT(t)
			l := serveEndless(t, kind, 0, false)
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			_ = replica.NewClient(nil, nil).ReleaseResults(ctx, stage.Release{Replica: "r", Address: l.Addr().String(), Handles: []string{"h"}})
			g.Expect(l.accepted.Load()).To(Equal(int64(1)))
		})
	}
}

// Guards against pieces that wait for the end of an endless response, whose head says that they were
// not run.
func TestRefusalOfPiecesCountsBeforeItsBodyEnds(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go site.ServeEndless(l, site.EndlessBody, http.Header{"Not-Executed": {"1"}}, 10*time.Millisecond, false)
	start := time.Now()
	_, outcome, err := replica.NewClient(nil, nil).RunPieces(context.Background(), stage.Run{Replica: "r", Address: l.Addr().String(), Timeout: 5 * time.Second, Pieces: []stage.Piece{{}}})
	g.Expect(err).To(HaveOccurred())
	g.Expect(outcome).To(Equal(stage.CallNotExecuted))
	g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
}
