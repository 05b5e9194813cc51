package route

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/load"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/record"
)

// lastEntryRecorder is a record.Recorder that keeps only the last entry.
type lastEntryRecorder struct{ entry record.Entry }

func (l *lastEntryRecorder) Add(e record.Entry) { l.entry = e }

func BenchmarkPick(b *testing.B) {
	for _, upstreams := range []int{10, 20, 100, 610, 6576, 20000} {
		for _, policy := range []bundle.Policy{bundle.PolicyAdaptive, bundle.PolicyLeastRequests, bundle.PolicyRoundRobin} {
			for _, recorded := range []bool{false, true} {
				b.Run(fmt.Sprintf("upstreams=%d/policy=%s/recorded=%t", upstreams, policy, recorded), func(b *testing.B) {
					benchmarkPick(b, upstreams, policy, recorded)
				})
			}
		}
	}
}

func benchmarkPick(b *testing.B, upstreams int, policy bundle.Policy, recorded bool) {
	r := testRouter(testBundle(upstreams, 16, policy), 1)
	for i := range upstreams {
		r.Observe(load.Report{Upstream: fmt.Sprintf("u%d", i), AsOf: start, Running: i % 16})
	}
	var rec record.Recorder
	if recorded {
		rec = &lastEntryRecorder{}
	}
	now := start
	q := testQuery()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(10 * time.Microsecond)
		q.Prefix = uint64(i%100 + 1)
		c, err := r.Pick(now, q, rec)
		if err != nil {
			b.Fatal(err)
		}
		r.Done(now, request.Outcome{Choice: c, Stage: "generate", Latency: 50 * time.Millisecond, FirstByte: 10 * time.Millisecond, Work: 20})
	}
}

// BenchmarkPickParallel measures contention for the lock of one pool's shard.
func BenchmarkPickParallel(b *testing.B) {
	r := testRouter(testBundle(20, 1000, bundle.PolicyAdaptive), 1)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c, err := r.Pick(start, testQuery(), nil)
			if err != nil {
				b.Error(err)
				return
			}
			r.Done(start, request.Outcome{Choice: c, Stage: "generate", Latency: time.Millisecond})
		}
	})
}

// BenchmarkMemory measures the heap size of a Router with the pool sizes that the users
// plan for: about 23 upstreams in each pool, and three measured stages.
func BenchmarkMemory(b *testing.B) {
	for _, upstreams := range []int{23, 92, 184, 368, 610} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			for range b.N {
				before := heapInUse()
				r := memoryRouter(upstreams)
				b.ReportMetric(float64(heapInUse()-before)/1024, "KiB")
				runtime.KeepAlive(r)
			}
		})
	}
}

func memoryRouter(upstreams int) *Router {
	bun := &bundle.Bundle{}
	for first := 0; first < upstreams; first += 23 {
		p := bundle.Pool{Name: fmt.Sprintf("pool-%d", first), Concurrency: 16}
		for i := first; i < min(first+23, upstreams); i++ {
			p.Upstreams = append(p.Upstreams, bundle.Upstream{Name: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("10.0.0.1:%d", i), FailureDomain: "d0"})
		}
		bun.Pools = append(bun.Pools, p)
	}
	r := New(Config{FailureDomain: "d0"})
	r.Apply(bun)
	for _, p := range bun.Pools {
		for stage := range 3 {
			for range 100 {
				q := request.Query{Pool: p.Name, Stage: fmt.Sprintf("stage-%d", stage)}
				c, err := r.Pick(start, q, nil)
				if err == nil {
					r.Done(start, request.Outcome{Choice: c, Stage: q.Stage, Latency: time.Millisecond, FirstByte: time.Millisecond})
				}
			}
		}
	}
	return r
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkPickUneven measures picks for streams with a gap objective, in pools without
// slowdowns and in pools in which all upstreams have baselines and reported slowdowns.
func BenchmarkPickUneven(b *testing.B) {
	for _, upstreams := range []int{60, 610} {
		for _, uneven := range []bool{false, true} {
			b.Run(fmt.Sprintf("upstreams=%d/slowdowns=%t", upstreams, uneven), func(b *testing.B) {
				benchmarkPickUneven(b, upstreams, uneven)
			})
		}
	}
}

func benchmarkPickUneven(b *testing.B, upstreams int, uneven bool) {
	r := testRouter(testBundle(upstreams, 64, bundle.PolicyAdaptive), 1)
	for i := range upstreams {
		rep := load.Report{Upstream: fmt.Sprintf("u%d", i), AsOf: start, Running: i % 16}
		if uneven {
			rep.Slowdown = simClasses[i%3]
			if i%7 == 0 { // as in 15 of 100 intervals on the deployment
				rep.Slowdown *= 2.5
			}
			r.SetBaselineSlowdown(start, pool, rep.Upstream, simClasses[i%3])
		}
		r.Observe(rep)
	}
	now, q := start, testQuery()
	q.GapObjective, q.ExpectedEvents = 400*time.Millisecond, 47
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(10 * time.Microsecond)
		q.Prefix = uint64(i%100 + 1)
		c, err := r.Pick(now, q, nil)
		if err != nil {
			b.Fatal(err)
		}
		r.Done(now, request.Outcome{Choice: c, Stage: "generate", Latency: 50 * time.Millisecond, FirstByte: 10 * time.Millisecond, Work: 20, LongestPause: 100 * time.Millisecond})
	}
}
