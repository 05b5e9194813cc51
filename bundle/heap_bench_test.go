package bundle_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/bundle/bundletest"
)

// BenchmarkHeap reports what a parsed bundle holds, and its text, as all but
// pipelines and regions grow up to the users' target size.
func BenchmarkHeap(b *testing.B) {
	t := bundletest.TargetSizes
	for _, part := range []int{8, 4, 2, 1} {
		sizes := bundletest.Sizes{
			Regions: t.Regions, Domains: t.Domains, Pipelines: t.Pipelines,
			Hosts: t.Hosts / part, Models: t.Models / part, Upstreams: t.Upstreams / part, Customers: t.Customers / part,
		}
		b.Run(fmt.Sprintf("hosts=%d", sizes.Hosts), func(b *testing.B) {
			text := bundletest.YAML(sizes, 1)
			for b.Loop() {
				before := heapInUse()
				parsed, err := bundle.Parse(text)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(heapInUse()-before)/1024, "KiB-heap")
				b.ReportMetric(float64(len(text))/1024, "KiB-text")
				runtime.KeepAlive(parsed)
			}
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
