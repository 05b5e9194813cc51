package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/gateway"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// The load of BenchmarkSlowReaders: bodies and answers of the largest sizes, which replicas and
// callers read in 13 and 26 s, and small requests of another customer.
const (
	largeBodyBytes   = 4 << 20
	largeAnswerBytes = 8 << 20
	slowChunk        = 32 << 10
	slowInterval     = 100 * time.Millisecond
	slowWindow       = 64 << 10
	largePath        = "/large/"
	slowLoadPeriod   = 40 * time.Second
)

// slowRead reads to the end, 320 KiB a second.
func slowRead(r io.Reader) error {
	for buf := make([]byte, slowChunk); ; time.Sleep(slowInterval) {
		if _, err := io.ReadFull(r, buf); err == io.EOF || err == io.ErrUnexpectedEOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// slowReplica registers a replica that reads slowly, and answers some requests with large answers.
func (f *fixture) slowReplica(id string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.Expect(err).NotTo(HaveOccurred())
	answer := make([]byte, largeAnswerBytes)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if slowRead(r.Body) != nil {
			return
		}
		attempt := r.Header.Get("Attempt-Id")
		w.Header().Set("Attempt-Id", attempt)
		w.Header().Set("Response-Signature", "signed."+id+"."+attempt)
		if strings.HasSuffix(r.URL.Path, "/answer") {
			_, _ = w.Write(answer)
		}
	})}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		_ = c.(*net.TCPConn).SetReadBuffer(slowWindow)
		return ctx
	}
	go func() { _ = server.Serve(l) }()
	f.test.Cleanup(func() { _ = server.Close() })
	f.store.Put("servers/"+id, map[string]any{
		"service": "plain", "address": l.Addr().String(), "zone": site.DefaultFailureDomain, "concurrency": 64, "phase": "ready", "seq": 1,
	})
}

// shares counts requests of one kind.
type shares struct{ sent, served, refused, broken atomic.Int64 }

func (s *shares) served100() float64 { return 100 * float64(s.served.Load()) / float64(s.sent.Load()) }

// sendEvery sends a request in every interval until the end.
func (s *shares) sendEvery(g *gatewayProcess, group *sync.WaitGroup, interval time.Duration, end time.Time, key, path string, body []byte, read func(io.Reader) error) {
	for time.Now().Before(end) {
		group.Go(func() { s.send(g, key, path, body, read) })
		time.Sleep(interval)
	}
}

func (s *shares) send(g *gatewayProcess, key, path string, body []byte, read func(io.Reader) error) {
	s.sent.Add(1)
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			err = c.(*net.TCPConn).SetReadBuffer(slowWindow)
		}
		return c, err
	}}
	r, err := http.NewRequest(http.MethodPost, "http://"+g.callers+path, bytes.NewReader(body))
	if err != nil {
		s.broken.Add(1)
		return
	}
	r.Host = host
	r.Header.Set("Attempt-Id", fmt.Sprintf("%08x", nextID.Add(1)))
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("Deadline-Ms", "40000")
	resp, err := transport.RoundTrip(r)
	if err != nil {
		s.broken.Add(1)
		return
	}
	defer resp.Body.Close()
	switch err := read(resp.Body); {
	case err != nil:
		s.broken.Add(1)
	case resp.StatusCode == http.StatusOK:
		s.served.Add(1)
	case resp.StatusCode == http.StatusServiceUnavailable:
		s.refused.Add(1)
	default:
		s.broken.Add(1)
	}
}

// BenchmarkSlowReaders measures what a host holds, and whom it serves, while replicas read the
// largest bodies and callers the largest answers slowly. Run it once: -benchtime 1x.
func BenchmarkSlowReaders(b *testing.B) {
	f := newFixtureOf(b)
	f.store.Delete("servers/p1")
	f.store.Delete("servers/p2")
	for i := range 6 {
		f.slowReplica(fmt.Sprint("slow", i))
	}
	f.otherKey, f.maxBodyBytes = "key-2", largeBodyBytes
	f.largeRoute = true
	f.configure()
	g := f.startWith(zap.NewNop(), func(s *gateway.Settings) { s.Limits.MemoryMB = 284 }).ready()
	quick := func(r io.Reader) error { _, err := io.Copy(io.Discard, r); return err }
	var bodies, answers, small shares
	var senders sync.WaitGroup
	end := time.Now().Add(slowLoadPeriod)
	large := make([]byte, largeBodyBytes)
	senders.Go(func() {
		bodies.sendEvery(g, &senders, 200*time.Millisecond, end, "key-1", largePath+"body", large, quick)
	})
	senders.Go(func() {
		answers.sendEvery(g, &senders, 400*time.Millisecond, end, "key-1", largePath+"answer", []byte("x"), slowRead)
	})
	senders.Go(func() { small.sendEvery(g, &senders, 50*time.Millisecond, end, "key-2", safePath, []byte("x"), quick) })
	var peakHeap uint64
	var peakHeld int64
	for second := 1; time.Now().Before(end); second++ {
		time.Sleep(time.Second)
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		state := g.gateway.State().Memory
		peakHeap, peakHeld = max(peakHeap, m.HeapInuse), max(peakHeld, state.Total)
		if second%5 == 0 {
			b.Logf("%2d s: held %d MB of %d (bodies %d, answers %d), %d retained, heap %d MB", second, state.Total>>20, state.Limit>>20, state.Held["body"]>>20, state.Held["answer"]>>20, state.Retained, m.HeapInuse>>20)
		}
	}
	senders.Wait()
	for name, s := range map[string]*shares{"bodies": &bodies, "answers": &answers, "small": &small} {
		b.Logf("%s: %d sent, %d served, %d refused, %d broken", name, s.sent.Load(), s.served.Load(), s.refused.Load(), s.broken.Load())
		b.ReportMetric(s.served100(), name+"-served-%")
	}
	b.ReportMetric(float64(peakHeap>>20), "peak-heap-MB")
	b.ReportMetric(float64(peakHeld>>20), "peak-held-MB")
	f.Expect(peakHeld).To(BeNumerically("<=", g.gateway.State().Memory.Limit))
}
