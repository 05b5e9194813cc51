package fleet

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/internal/standin/engine"
	"github.com/wheatseam/wheatseam/internal/standin/service"
)

// The benchmarks send requests to a fake over HTTP from many concurrent clients. As
// long as the fake has enough slots, ns/op measures CPU time, not the simulated time.

func benchmarkCalls(b *testing.B, h http.Handler, path, body string) {
	server := httptest.NewServer(h)
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	var id atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			req.Header.Set("X-Request-Id", strconv.FormatInt(id.Add(1), 10))
			resp, err := client.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Errorf("status %d", resp.StatusCode)
				return
			}
		}
	})
}

func BenchmarkService(b *testing.B) {
	s := service.New(service.Config{Slots: 4096, Median: time.Millisecond})
	defer s.Close()
	benchmarkCalls(b, s, "/v1/seal", `{"request_id":"r","customer":"c","input":{"text":"a deed"}}`)
}

func benchmarkEngine(b *testing.B, stream bool) {
	e := engine.New(engine.Config{Slots: 4096, KVBlocks: 1 << 20, TimeScale: 0.01, StepPerSequence: time.Microsecond})
	defer e.Close()
	body := `{"max_tokens":32,"stream":` + strconv.FormatBool(stream) +
		`,"messages":[{"content":"` + strings.Repeat("a contract ", 200) + `"}]}`
	benchmarkCalls(b, e, "/v1/chat/completions", body)
}

func BenchmarkEngineNonStreaming(b *testing.B) { benchmarkEngine(b, false) }

func BenchmarkEngineStream(b *testing.B) { benchmarkEngine(b, true) }

func BenchmarkLoadReport(b *testing.B) {
	r := standin.NewLoadReporter(200*time.Millisecond, standin.Load{})
	now := time.Now()
	for i := range b.N {
		r.Update(now.Add(time.Duration(i)*time.Millisecond), standin.Load{Running: i})
	}
}
