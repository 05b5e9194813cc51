package bundle_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/bundle/bundletest"
)

// BenchmarkHeap reports the heap size of a parsed bundle and the size of its text
// while the numbers of hosts, models, upstreams and customers grow to the target
// size.
func BenchmarkHeap(b *testing.B) {
	target := bundletest.TargetSizes
	for _, divisor := range []int{8, 4, 2, 1} {
		sizes := bundletest.Sizes{
			Regions: target.Regions, Domains: target.Domains, Pipelines: target.Pipelines,
			Hosts: target.Hosts / divisor, Models: target.Models / divisor, Upstreams: target.Upstreams / divisor, Customers: target.Customers / divisor,
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
