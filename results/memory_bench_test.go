package results

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkMemory reports the heap bytes per kept result and the bytes that the
// store accounts for it, for several result sizes and numbers of results.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{200, 2 << 10, 8 << 10, 32 << 10} {
		for _, n := range []int{250, 500, 1000, 2000} {
			b.Run(fmt.Sprintf("bytes=%d/results=%d", size, n), func(b *testing.B) {
				for b.Loop() {
					before := heapBytes()
					store := NewStore(1 << 30)
					for i := range n {
						r := Request{Customer: "customer", Key: fmt.Sprintf("0190b8a0-0000-7000-8000-%012d", i), Digest: Digest{1}}
						store.Put(startTime, r, "generate", make([]byte, size), startTime.Add(time.Minute))
					}
					b.ReportMetric(float64(heapBytes()-before)/float64(n), "heap-B/result")
					b.ReportMetric(float64(store.Stats().Bytes)/float64(n), "counted-B/result")
					b.ReportMetric(0, "ns/op")
					runtime.KeepAlive(store)
				}
			})
		}
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
