package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/load"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/record"
)

// lastEntry is a record.Recorder that keeps the last entry.
type lastEntry struct{ entry record.Entry }

func (l *lastEntry) Add(e record.Entry) { l.entry = e }

func BenchmarkPick(b *testing.B) {
	for _, upstreams := range []int{10, 20, 100, 610} {
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
		rec = &lastEntry{}
	}
	now := start
	q := query()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(10 * time.Microsecond)
		q.Prefix = uint64(i%100 + 1)
		c, err := r.Pick(now, q, rec)
		if err != nil {
			b.Fatal(err)
		}
		r.Done(now, request.Outcome{Choice: c, Stage: "generate", Latency: 50 * time.Millisecond, FirstByte: 10 * time.Millisecond, Tokens: 20})
	}
}

// BenchmarkPickParallel measures the lock of one pool's shard.
func BenchmarkPickParallel(b *testing.B) {
	r := testRouter(testBundle(20, 1000, bundle.PolicyAdaptive), 1)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c, err := r.Pick(start, query(), nil)
			if err != nil {
				b.Error(err)
				return
			}
			r.Done(start, request.Outcome{Choice: c, Stage: "generate", Latency: time.Millisecond})
		}
	})
}
