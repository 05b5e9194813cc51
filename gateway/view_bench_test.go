package gateway

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/route"
	"github.com/wheatseam/wheatseam/discovery"
)

// benchmarkReplica returns the engine with a number.
func benchmarkReplica(i int, draining bool) catalog.Replica {
	return catalog.Replica{
		ID: fmt.Sprintf("i-%010d@1790000000000", i), Service: "engines", Address: fmt.Sprintf("10.%d.%d.%d:8766", i/62500, i/250%250, i%250),
		FailureDomain: fmt.Sprint("d", i%6), Concurrency: 16, Draining: draining,
	}
}

// BenchmarkViewChange measures what a host does when one replica drains or takes new work
// again, from the set of replicas to the router's pool, and the heap that the replicas take.
func BenchmarkViewChange(b *testing.B) {
	for _, replicas := range []int{100, 1000, 10000, 30000} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			set := &catalog.ReplicaSet{}
			for i := range replicas {
				set, _ = set.With([]catalog.Replica{benchmarkReplica(i, false)}, nil)
			}
			config := catalog.NewConfig(1, nil, []*catalog.Service{{Name: "engines", Engine: true}}, nil, catalog.Limits{})
			v := &discovery.View{Config: config, Replicas: set}
			g := &Gateway{router: route.New(route.Config{})}
			g.applyPools(nil, v, nil)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				next := *v
				next.Replicas, _ = v.Replicas.With([]catalog.Replica{benchmarkReplica(i%replicas, i/replicas%2 == 0)}, nil)
				g.applyPools(v, &next, nil)
				v = &next
				i++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(replicas), "B/replica")
		})
	}
}
