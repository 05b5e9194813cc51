package upstreamload

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/load"
)

func TestUpstreamload(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Upstreamload")
}

const okBody = `{"as_of_unix_ms":%d,"running":3,"queued":1,"slots":8,"kv_used":1024,"kv_total":65536,"tokens_per_second":812.5,"leaving":false}`

func serve(handler http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(handler)
	ginkgo.DeferCleanup(s.Close)
	return s
}

func respond(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }
}

func address(s *httptest.Server) string { return s.Listener.Addr().String() }

// observed is an Observer.
type observed struct {
	mu      sync.Mutex
	reports []load.Report
}

func (o *observed) Observe(reports ...load.Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reports = append(o.reports, reports...)
}

func (o *observed) upstreams() map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	names := map[string]bool{}
	for _, r := range o.reports {
		names[r.Upstream] = true
	}
	return names
}

var _ = ginkgo.Describe("Client", func() {
	ginkgo.It("reads a report", func() {
		s := serve(respond(fmt.Sprintf(okBody, 1_800_000_000_123)))
		r, err := NewClient().Get(context.Background(), "u", address(s))
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(load.Report{Upstream: "u", AsOf: time.UnixMilli(1_800_000_000_123), Running: 3, Queued: 1}))
	})

	ginkgo.DescribeTable("refuses what is no report",
		func(handler http.HandlerFunc) {
			_, err := NewClient().Get(context.Background(), "u", address(serve(handler)))
			Expect(err).To(HaveOccurred())
		},
		ginkgo.Entry("no JSON", respond("load: 3")),
		ginkgo.Entry("no as-of", respond(`{"running":3}`)),
		ginkgo.Entry("a negative count", respond(`{"as_of_unix_ms":1,"running":-3}`)),
		ginkgo.Entry("over the bound", respond(strings.Repeat(" ", maxBodyBytes)+fmt.Sprintf(okBody, 1))),
		ginkgo.Entry("an error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }),
		ginkgo.Entry("a redirect", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/elsewhere", http.StatusFound) }),
	)
})

var _ = ginkgo.Describe("Poller", func() {
	ginkgo.It("polls what the table says, hangs or not, and ends with its context", func() {
		var stuck atomic.Int32
		release := make(chan struct{})
		hung := serve(func(_ http.ResponseWriter, r *http.Request) {
			stuck.Add(1)
			select {
			case <-release:
			case <-r.Context().Done():
			}
		})
		defer close(release)
		good := serve(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, okBody, time.Now().UnixMilli()) })

		table := load.NewTable(load.Config{Self: "entry-1", Interval: 200 * time.Millisecond, PollsPerSecond: 100})
		table.Configure(time.Now(), []string{"good", "hung", "lost"}, []load.Host{{Name: "entry-1", FailureDomain: "d"}})
		heard := &observed{}
		p := NewPoller(table, heard, zap.NewNop(), time.Now)
		p.SetAddresses(map[string]string{"good": address(good), "hung": address(hung)})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); p.Run(ctx) }()
		Eventually(stuck.Load, "5s").Should(BeNumerically(">=", 1))
		Eventually(func() int { heard.mu.Lock(); defer heard.mu.Unlock(); return len(heard.reports) }, "5s").Should(BeNumerically(">=", 3))
		Eventually(func() uint64 { return p.Stats().Failed }, "5s").Should(BeNumerically(">=", 1))
		Expect(heard.upstreams()).To(Equal(map[string]bool{"good": true}))
		cancel()
		Eventually(ended, "5s").Should(BeClosed())
		Expect(len(p.slots)).To(BeZero())
	})
})

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkPollBytes gives the TCP payload of one poll, both ways, on a
// connection that is kept.
func BenchmarkPollBytes(b *testing.B) {
	var bytes atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, okBody, time.Now().UnixMilli())
	}))
	s.Listener = countingListener{s.Listener, &bytes}
	s.Start()
	defer s.Close()
	c := NewClient()
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Get(context.Background(), "u", address(s)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/poll")
}
