package claims

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/certs"
	"github.com/wheatseam/wheatseam/peer"
)

// benchHosts is the number of hosts. Three of them hold each key.
const benchHosts = 7

// newLoopbackFleet returns services connected by TLS sessions over loopback.
func newLoopbackFleet(b *testing.B) []*Service {
	dir := b.TempDir()
	authority, err := certs.OpenAuthority(dir, time.Now(), time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	var mu sync.Mutex
	addresses := map[string]string{}
	resolve := func(host string) (string, bool) {
		mu.Lock()
		defer mu.Unlock()
		a, ok := addresses[host]
		return a, ok
	}
	bun := &bundle.Bundle{Version: 1, Claims: bundle.ClaimPolicy{
		GroupSize: 3, Retention: time.Hour, MaxClockSkew: testMaxClockSkew, MaxKeyAhead: testMaxKeyAhead,
	}}
	for i := range benchHosts {
		bun.Hosts = append(bun.Hosts, bundle.Host{Name: fmt.Sprintf("host-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%4)})
	}
	var services []*Service
	for _, h := range bun.Hosts {
		pair, err := authority.Issue(h.Name, time.Now(), time.Hour)
		if err != nil {
			b.Fatal(err)
		}
		cert, key := certs.KeyPairFiles(dir, h.Name)
		if err := pair.Write(cert, key); err != nil {
			b.Fatal(err)
		}
		now := time.Now()
		mux := peer.NewMux()
		transport, err := peer.NewTransport(peer.Config{
			Host: h.Name, Incarnation: uint64(now.UnixMilli()), Listen: "127.0.0.1:0", Mux: mux, Resolve: resolve,
			Metrics: metrics.NewSet(),
			TLS:     peer.TLSFiles{CertFile: cert, KeyFile: key, CAFile: filepath.Join(dir, certs.AuthorityCertFile)},
		})
		if err != nil {
			b.Fatal(err)
		}
		mu.Lock()
		addresses[h.Name] = transport.Addr()
		mu.Unlock()
		s := New(Config{
			Host: h.Name, Incarnation: uint64(now.UnixMilli()), Started: now, Caller: transport, Now: time.Now,
			ClockAndViewsTrusted: func() bool { return true }, OwnerUnavailable: func(string, uint64) bool { return false },
			Log: zap.NewNop(), Seed: 1,
		}, mux)
		s.Apply(bun)
		ctx, cancel := context.WithCancel(context.Background())
		b.Cleanup(func() { cancel(); transport.Close() })
		go s.Run(ctx)
		services = append(services, s)
	}
	for _, s := range services {
		for deadline := time.Now().Add(20 * time.Second); !s.FullyReady(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				b.Fatal("the hosts did not become fully ready in time")
			}
		}
	}
	return services
}

// BenchmarkClaim measures the latency that acquiring a claim and then recording
// a result of 1 KiB add to a request, over TLS on loopback.
func BenchmarkClaim(b *testing.B) {
	services := newLoopbackFleet(b)
	claimed, recorded := newHistogram(), newHistogram()
	result := make([]byte, 1<<10)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for i := 0; b.Loop(); i++ {
		s, key, id := services[i%benchHosts], newKey(), fmt.Sprintf("r%d", i)
		begin := time.Now()
		if d := s.Acquire(ctx, key, id, begin, [32]byte{1}); !d.Won {
			b.Fatal(d.Err)
		}
		won := time.Now()
		if err := s.Record(ctx, key, id, result); err != nil {
			b.Fatal(err)
		}
		_ = claimed.RecordValue(won.Sub(begin).Microseconds())
		_ = recorded.RecordValue(time.Since(won).Microseconds())
	}
	reportPercentiles(b, claimed, "claim")
	reportPercentiles(b, recorded, "record")
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func reportPercentiles(b *testing.B, h *hdrhistogram.Histogram, name string) {
	b.ReportMetric(float64(h.ValueAtQuantile(50)), name+"-p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), name+"-p99-us")
}
