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

const reportBody = `{"as_of_unix_ms":%d,"running":3,"queued":1,"slots":8,"kv_used":1024,"kv_total":65536,"tokens_per_second":812.5,"leaving":false}`

func newServer(handler http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(handler)
	ginkgo.DeferCleanup(s.Close)
	return s
}

func respondWith(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }
}

func address(s *httptest.Server) string { return s.Listener.Addr().String() }

// recordingObserver is an Observer that keeps all reports.
type recordingObserver struct {
	mu      sync.Mutex
	reports []load.Report
}

func (o *recordingObserver) Observe(reports ...load.Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reports = append(o.reports, reports...)
}

func (o *recordingObserver) upstreamNames() map[string]bool {
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
		s := newServer(respondWith(fmt.Sprintf(reportBody, 1_800_000_000_123)))
		r, err := NewClient().Get(context.Background(), "u", address(s))
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(load.Report{Upstream: "u", AsOf: time.UnixMilli(1_800_000_000_123), Running: 3, Queued: 1}))
	})

	ginkgo.DescribeTable("returns an error for an invalid report",
		func(handler http.HandlerFunc) {
			_, err := NewClient().Get(context.Background(), "u", address(newServer(handler)))
			Expect(err).To(HaveOccurred())
		},
		ginkgo.Entry("not JSON", respondWith("load: 3")),
		ginkgo.Entry("no as_of_unix_ms", respondWith(`{"running":3}`)),
		ginkgo.Entry("a negative count", respondWith(`{"as_of_unix_ms":1,"running":-3}`)),
		ginkgo.Entry("over the size limit", respondWith(strings.Repeat(" ", maxBodyBytes)+fmt.Sprintf(reportBody, 1))),
		ginkgo.Entry("an HTTP error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }),
		ginkgo.Entry("a redirect", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/elsewhere", http.StatusFound) }),
	)
})

var _ = ginkgo.Describe("Poller", func() {
	ginkgo.It("polls healthy upstreams while another one hangs, and stops when its context ends", func() {
		var hungPolls atomic.Int32
		releaseHanging := make(chan struct{})
		hanging := newServer(func(_ http.ResponseWriter, r *http.Request) {
			hungPolls.Add(1)
			select {
			case <-releaseHanging:
			case <-r.Context().Done():
			}
		})
		defer close(releaseHanging)
		healthy := newServer(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, reportBody, time.Now().UnixMilli()) })

		table := load.NewTable(load.Config{Self: "entry-1", Interval: 200 * time.Millisecond, PollsPerSecond: 100})
		table.Configure(time.Now(), []string{"good", "hung", "lost"}, []load.Host{{Name: "entry-1", FailureDomain: "d"}})
		observer := &recordingObserver{}
		p := NewPoller(table, observer, zap.NewNop(), time.Now)
		p.SetAddresses(map[string]string{"good": address(healthy), "hung": address(hanging)})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); p.Run(ctx) }()
		Eventually(hungPolls.Load, "5s").Should(BeNumerically(">=", 1))
		Eventually(func() int { observer.mu.Lock(); defer observer.mu.Unlock(); return len(observer.reports) }, "5s").Should(BeNumerically(">=", 3))
		Eventually(func() uint64 { return p.Stats().Failed }, "5s").Should(BeNumerically(">=", 1))
		Expect(observer.upstreamNames()).To(Equal(map[string]bool{"good": true}))
		cancel()
		Eventually(done, "5s").Should(BeClosed())
		Expect(len(p.slots)).To(BeZero())
	})
})

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	total *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.total}, err
}

type countingConn struct {
	net.Conn
	total *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.total.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.total.Add(int64(n))
	return n, err
}

// BenchmarkPollBytes reports the TCP payload of one poll in both directions on a
// reused connection.
func BenchmarkPollBytes(b *testing.B) {
	var transferred atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, reportBody, time.Now().UnixMilli())
	}))
	s.Listener = countingListener{s.Listener, &transferred}
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
	b.ReportMetric(float64(transferred.Load())/float64(b.N), "B/poll")
}
