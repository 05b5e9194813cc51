package httpserver_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/connections"
	"github.com/wheatseam/wheatseam/internal/httpserver"
)

// largePath has an answer that is larger than all buffers between server and client.
const (
	largePath  = "/large"
	largeBytes = 64 << 20
)

// fixture is a server whose handler answers the path of a request, at /wait once release is closed.
type fixture struct {
	*WithT
	t       *testing.T
	server  *httpserver.Server
	limits  atomic.Pointer[httpserver.Limits]
	release chan struct{}
	served  atomic.Int64
}

func start(t *testing.T, config *tls.Config, change func(*httpserver.Limits)) *fixture {
	f := &fixture{WithT: NewWithT(t), t: t, release: make(chan struct{})}
	l := httpserver.SmallLimits()
	change(&l)
	f.limits.Store(&l)
	var err error
	f.server, err = httpserver.Listen(httpserver.Config{
		Name: "test", Address: "127.0.0.1:0", Handler: http.HandlerFunc(f.serve), Limits: func() httpserver.Limits { return *f.limits.Load() },
		TLS: config, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	f.Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- f.server.Serve() }()
	t.Cleanup(func() {
		f.Expect(f.server.Close()).To(Succeed())
		f.Expect(<-done).To(Succeed())
	})
	return f
}

func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	f.served.Add(1)
	_, _ = io.Copy(io.Discard, r.Body) // an error is the client's
	if r.URL.Path == "/wait" {
		<-f.release
	}
	if r.URL.Path == largePath {
		_, _ = w.Write(make([]byte, largeBytes)) // fails once the connection is closed
		return
	}
	_, _ = io.WriteString(w, r.URL.Path) // the client may have gone
}

// client is a connection that is closed at the end of the test.
type client struct {
	net.Conn
	f *fixture
	r *bufio.Reader
}

func (f *fixture) dial() *client {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.server.Addr())
	f.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(func() { _ = conn.Close() })
	return &client{conn, f, bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.f.t.Helper()
	_, err := io.WriteString(c, text)
	c.f.Expect(err).NotTo(HaveOccurred())
}

// expect reads an answer and expects its status.
func (c *client) expect(status int) {
	c.f.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	c.f.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	c.f.Expect(err).NotTo(HaveOccurred())
	c.f.Expect(resp.StatusCode).To(Equal(status))
}

// expectClosed expects that the server closes the connection without an answer.
func (c *client) expectClosed() {
	c.f.t.Helper()
	c.f.Expect(c.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	_, err := c.r.ReadByte()
	c.f.Expect(err).To(HaveOccurred())
	c.f.Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded))
}

// count expects a number of connections in a phase.
func (f *fixture) count(p connections.Phase, n int) {
	f.t.Helper()
	f.Eventually(func() int { return f.server.State().ByPhase[p] }).Should(Equal(n), "%s", p)
}

func request(path, lines string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + lines + "\r\n"
}

// headOf returns a request whose head has n bytes, of the given lines and another one.
func headOf(n int, lines string) string {
	line := func(fill int) string { return lines + "X: " + strings.Repeat("x", fill) + "\r\n" }
	return request("/", line(n-len(request("/", line(0)))))
}

func TestClientsInsideTheLimitsAreServed(t *testing.T) {
	f := start(t, nil, func(l *httpserver.Limits) { l.HeaderTimeout = 2 * time.Second })
	c := f.dial()
	for _, head := range []string{
		request("/", ""),
		headOf(16<<10, ""),
		headOf(16<<10, strings.Repeat("a:\r\n", 4000)),
	} {
		c.send(head)
		c.expect(http.StatusOK)
	}
	for _, part := range strings.SplitAfter(request("/", "A: b\r\nC: d\r\n"), "\n") {
		c.send(part)
		time.Sleep(200 * time.Millisecond)
	}
	c.expect(http.StatusOK)
	body := strings.Repeat("x", 1<<20)
	for range 2 {
		c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		c.expect(http.StatusOK)
	}
	c.send(strings.Repeat(request("/", ""), 100))
	for range 100 {
		c.expect(http.StatusOK)
	}
}

func TestHeadsOverTheLimitAreRejected(t *testing.T) {
	for name, head := range map[string]string{
		"header":        headOf(40<<10, ""),
		"many headers":  headOf(40<<10, strings.Repeat("a:\r\n", 8000)),
		"request line":  "GET /" + strings.Repeat("x", 40<<10) + " HTTP/1.1\r\nHost: a\r\n\r\n",
		"unfinished":    "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 40<<10),
		"second head":   request("/", "") + headOf(40<<10, ""),
		"much too long": headOf(60<<10, ""),
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, nil, func(*httpserver.Limits) {})
			c := f.dial()
			c.send(head)
			if name == "second head" {
				c.expect(http.StatusOK)
			}
			c.expect(http.StatusRequestHeaderFieldsTooLarge)
			c.expectClosed()
		})
	}
}

func TestLimitsChangeWhileTheServerRuns(t *testing.T) {
	f := start(t, nil, func(l *httpserver.Limits) { l.MaxHeadBytes, l.HeadMemory = 64<<10, httpserver.MinHeadMemory(64<<10) })
	c := f.dial()
	c.send(headOf(40<<10, ""))
	c.expect(http.StatusOK)
	changed := *f.limits.Load()
	changed.MaxHeadBytes = 16 << 10
	f.limits.Store(&changed)
	c.send(headOf(40<<10, ""))
	c.expect(http.StatusRequestHeaderFieldsTooLarge)
}

func TestNewConnectionsReplaceOthersButNoneInWork(t *testing.T) {
	f := start(t, nil, func(l *httpserver.Limits) { l.Connections = 3 })
	busy := f.dial()
	busy.send(request("/wait", ""))
	f.count(connections.Busy, 1)
	idle := f.dial()
	idle.send(request("/", ""))
	idle.expect(http.StatusOK)
	f.count(connections.Idle, 1)
	unfinished := f.dial()
	unfinished.send("GET / HTTP/1.1\r\n")
	f.count(connections.Fresh, 1)
	// One fresh connection of three is more than a quarter.
	first := f.dial()
	unfinished.expectClosed()
	first.send(request("/wait", ""))
	f.count(connections.Busy, 2)
	second := f.dial()
	idle.expectClosed()
	second.send(request("/wait", ""))
	f.count(connections.Busy, 3)
	f.dial().expectClosed()
	close(f.release)
	for _, c := range []*client{busy, first, second} {
		c.expect(http.StatusOK)
	}
	again := f.dial()
	again.send(request("/", ""))
	again.expect(http.StatusOK)
}

func TestHeadsThatDoNotFitAreGivenUp(t *testing.T) {
	f := start(t, nil, func(l *httpserver.Limits) { l.HeadMemory = 2 << 20 })
	lines := strings.Repeat("a:\r\n", 4000)
	var crowd []*client
	for range 5 {
		c := f.dial()
		c.send("GET / HTTP/1.1\r\nHost: a\r\n" + lines)
		crowd = append(crowd, c)
	}
	f.Eventually(func() int { return f.server.State().ByPhase[connections.Fresh] }).Should(BeNumerically("<", len(crowd)))
	f.Expect(f.server.State().HeadBytes).To(BeNumerically("<=", 2<<20))
	ordinary := f.dial()
	ordinary.send(request("/", ""))
	ordinary.expect(http.StatusOK)
	for _, c := range crowd {
		_ = c.Close()
	}
	f.Eventually(func() int64 { return f.server.State().HeadBytes }).Should(BeZero())
}

// What was read of a body with its head doesn't cost as much as a head for the time of the request.
func TestBodiesDoNotCountAsHeads(t *testing.T) {
	f := start(t, nil, func(*httpserver.Limits) {})
	c := f.dial()
	body := strings.Repeat("\n", 2000)
	c.send(fmt.Sprintf("POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	f.count(connections.Busy, 1)
	f.Expect(f.server.State().HeadBytes).To(BeNumerically("<", 1000))
	close(f.release)
	c.expect(http.StatusOK)
}

// A head whose start came with the request before it counts, too.
func TestHeadsSentAheadCount(t *testing.T) {
	f := start(t, nil, func(*httpserver.Limits) {})
	c := f.dial()
	c.send(request("/", "") + "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 500))
	c.expect(http.StatusOK)
	f.count(connections.Reading, 1)
	f.Expect(f.server.State().HeadBytes).To(BeNumerically(">", 500*200))
	c.send("\r\n")
	c.expect(http.StatusOK)
	f.count(connections.Idle, 1)
	f.Expect(f.server.State().HeadBytes).To(BeZero())
}

func TestTimeouts(t *testing.T) {
	f := start(t, nil, func(l *httpserver.Limits) {
		l.HeaderTimeout, l.IdleTimeout = 100*time.Millisecond, 200*time.Millisecond
	})
	silent, slow, idle := f.dial(), f.dial(), f.dial()
	slow.send("GET / HTTP/1.1\r\n")
	idle.send(request("/", ""))
	idle.expect(http.StatusOK)
	silent.expectClosed()
	slow.expectClosed()
	idle.expectClosed()
	for _, p := range connections.Phases() {
		f.count(p, 0)
	}
}

func TestUnreadAnswersTimeOut(t *testing.T) {
	f := start(t, nil, func(l *httpserver.Limits) { l.WriteTimeout = 100 * time.Millisecond })
	f.dial().send(request(largePath, ""))
	f.count(connections.Busy, 1)
	f.Eventually(func() int { return f.server.State().ByPhase[connections.Busy] }, 10*time.Second).Should(BeZero())
}

func TestUnreadAnswersAreClosedForNewConnections(t *testing.T) {
	f := start(t, nil, func(l *httpserver.Limits) { l.Connections, l.WriteTimeout = 1, time.Hour })
	f.dial().send(request(largePath, ""))
	f.count(connections.Busy, 1)
	f.dial().expectClosed()
	f.Eventually(func() bool {
		c := f.dial()
		_, _ = io.WriteString(c, request("/", "")) // fails if the server has closed it
		resp, err := http.ReadResponse(c.r, nil)
		return err == nil && resp.StatusCode == http.StatusOK
	}, 30*time.Second, 100*time.Millisecond).Should(BeTrue())
}

func TestTLS(t *testing.T) {
	certificate := httptest.NewUnstartedServer(nil)
	certificate.StartTLS()
	config := certificate.TLS.Clone()
	pool := certificate.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	certificate.Close()
	config.NextProtos = nil
	f := start(t, config, func(l *httpserver.Limits) { l.HeadMemory = 8 << 20 })
	dial := func() *client {
		c := f.dial()
		secure := tls.Client(c.Conn, &tls.Config{RootCAs: pool, ServerName: "example.com"})
		f.Expect(secure.HandshakeContext(context.Background())).To(Succeed())
		return &client{secure, f, bufio.NewReader(secure)}
	}
	c := dial()
	c.send(headOf(16<<10, ""))
	c.expect(http.StatusOK)
	c.send(request("/", ""))
	c.expect(http.StatusOK)
	f.count(connections.Idle, 1)
	large := dial()
	large.send(headOf(40<<10, ""))
	large.expect(http.StatusRequestHeaderFieldsTooLarge)
}

func TestShutdownWaitsForRequests(t *testing.T) {
	f := start(t, nil, func(*httpserver.Limits) {})
	c := f.dial()
	c.send(request("/wait", ""))
	f.count(connections.Busy, 1)
	done := make(chan error, 1)
	go func() { done <- f.server.Shutdown(context.Background()) }()
	f.Consistently(done, 200*time.Millisecond).ShouldNot(Receive())
	close(f.release)
	c.expect(http.StatusOK)
	f.Eventually(done).Should(Receive(BeNil()))
}
