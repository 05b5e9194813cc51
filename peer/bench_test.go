package peer_test

import (
	"context"
	"fmt"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/wheatseam/wheatseam/certs"
	"github.com/wheatseam/wheatseam/peer"
)

// benchFleet starts transports for benchmarks, with or without TLS.
type benchFleet struct {
	b         *testing.B
	dir       string
	authority *certs.Authority // nil without TLS
	mu        sync.Mutex
	addresses map[string]string
}

func newBenchFleet(b *testing.B, tls bool) *benchFleet {
	f := &benchFleet{b: b, dir: b.TempDir(), addresses: map[string]string{}}
	if tls {
		var err error
		if f.authority, err = certs.OpenAuthority(f.dir, time.Now(), time.Hour); err != nil {
			b.Fatal(err)
		}
	}
	return f
}

func (f *benchFleet) start(name string) (*peer.Transport, *metrics.Set) {
	mux := peer.NewMux()
	peer.Handle(mux, "echo", func(_ context.Context, _ peer.Sender, req *text) (*text, error) { return req, nil })
	set := metrics.NewSet()
	cfg := peer.Config{
		Host: name, Incarnation: 1, Listen: "127.0.0.1:0", Plaintext: f.authority == nil, Mux: mux, Metrics: set,
		Resolve: func(host string) (string, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			a, ok := f.addresses[host]
			return a, ok
		},
	}
	if f.authority != nil {
		pair, err := f.authority.Issue(name, time.Now(), time.Hour)
		if err != nil {
			f.b.Fatal(err)
		}
		cert, key := certs.KeyPairFiles(f.dir, name)
		if err := pair.Write(cert, key); err != nil {
			f.b.Fatal(err)
		}
		cfg.TLS = peer.TLSFiles{CertFile: cert, KeyFile: key, CAFile: filepath.Join(f.dir, certs.AuthorityCertFile)}
	}
	t, err := peer.NewTransport(cfg)
	if err != nil {
		f.b.Fatal(err)
	}
	f.b.Cleanup(func() { t.Close() })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses[name] = t.Addr()
	return t, set
}

func (f *benchFleet) call(t *peer.Transport, host string, req *text) {
	var resp text
	if err := t.Call(context.Background(), host, "echo", req, &resp); err != nil {
		f.b.Error(err)
	}
}

// cpuTime returns the CPU time of this process, user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCall measures one call with both ends in this process: the CPU time of both
// ends and the bytes on the wire in both directions.
func BenchmarkCall(b *testing.B) {
	for _, tls := range []bool{false, true} {
		for _, size := range []int{64, 4096} {
			for _, parallel := range []bool{false, true} {
				b.Run(fmt.Sprintf("tls=%v/payload=%d/parallel=%v", tls, size, parallel), func(b *testing.B) {
					benchmarkCall(b, tls, size, parallel)
				})
			}
		}
	}
}

func benchmarkCall(b *testing.B, tls bool, size int, parallel bool) {
	f := newBenchFleet(b, tls)
	a, set := f.start("a")
	f.start("b")
	req := wrapperspb.String(strings.Repeat("x", size))
	f.call(a, "b", req)
	sent := set.GetOrCreateCounter(`wheatseam_peer_wire_bytes_total{direction="sent"}`)
	received := set.GetOrCreateCounter(`wheatseam_peer_wire_bytes_total{direction="received"}`)
	before, cpu := sent.Get()+received.Get(), cpuTime()
	b.ReportAllocs()
	b.ResetTimer()
	if parallel {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				f.call(a, "b", req)
			}
		})
	} else {
		for range b.N {
			f.call(a, "b", req)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N)/1000, "cpu-µs/call")
	b.ReportMetric(float64(sent.Get()+received.Get()-before)/float64(b.N), "wire-B/call")
}

// BenchmarkIdleSessions measures the memory of one end of an idle session: half of the
// growth of this process's heap and stacks, since the process holds both ends. Then it
// measures one call on each of the sessions.
func BenchmarkIdleSessions(b *testing.B) {
	for _, tls := range []bool{false, true} {
		for _, n := range []int{10, 50, 100, 200, 409} {
			b.Run(fmt.Sprintf("tls=%v/sessions=%d", tls, n), func(b *testing.B) { benchmarkIdle(b, tls, n) })
		}
	}
}

func benchmarkIdle(b *testing.B, tls bool, n int) {
	f := newBenchFleet(b, tls)
	hub, _ := f.start("hub")
	for i := range n {
		f.start(fmt.Sprint("peer-", i))
	}
	req := wrapperspb.String("x")
	round := func() {
		for i := range n {
			f.call(hub, fmt.Sprint("peer-", i), req)
		}
	}
	before := heapAndStackBytes()
	round()
	if live := len(hub.Sessions()); live != n {
		b.Fatalf("%d sessions, want %d", live, n)
	}
	grown := heapAndStackBytes() - before
	cpu := cpuTime()
	b.ResetTimer()
	for range b.N {
		round()
	}
	b.StopTimer()
	b.ReportMetric(float64(grown)/float64(2*n)/1024, "KiB/session-end")
	b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N)/float64(n)/1000, "cpu-µs/call")
}

// heapAndStackBytes returns the size of the heap and the stacks after a garbage
// collection.
func heapAndStackBytes() int64 {
	time.Sleep(50 * time.Millisecond) // lets goroutines of finished calls end
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
