package bench

import (
	"fmt"
	"testing"
	"time"
)

const (
	requestBody         = `{"input":{"text":"what does the contract say about the notice period of the lease, and where?"}}`
	streamedRequestBody = `{"input":{"text":"what does the contract say about the notice period of the lease, and where?"},"stream":true}`
	// loadConcurrency is high enough to keep the daemon's processors busy and low
	// enough to cause little queueing.
	loadConcurrency = 16
)

// BenchmarkStages measures the CPU time of a request by the number of its stages. Each
// stage is a call to a service that responds immediately.
func BenchmarkStages(b *testing.B) {
	f := newDaemonFixture(b)
	cpu := samples{}
	for _, n := range stageCounts {
		b.Run(benchmarkName("stages", n), func(b *testing.B) {
			f.b = b
			cpuPerRequest := f.measureLoad(b, loadRequest{
				Target: f.callersAddress, Path: fmt.Sprintf("/v1/pipelines/stages-%d", n), Body: requestBody,
				Calls: b.N, Concurrency: loadConcurrency,
			})
			cpu[float64(n)] = cpuPerRequest
		})
	}
	reportFit(b, cpu, "cpu-us", "stage")
}

// measureLoad runs a load and reports the CPU time per request in microseconds, which it
// also returns, and the requests per second that one core can process.
func (f *fixture) measureLoad(b *testing.B, load loadRequest) float64 {
	b.ReportAllocs()
	before := cpuTime(b)
	b.ResetTimer()
	callHarness[loadResult](f, "/load", load)
	b.StopTimer()
	cpuPerRequest := float64((cpuTime(b) - before).Microseconds()) / float64(load.Calls)
	b.ReportMetric(cpuPerRequest, "cpu-us/request")
	b.ReportMetric(1e6/cpuPerRequest, "requests/s/core")
	return cpuPerRequest
}

// BenchmarkTokens measures the CPU time of a streamed generation by the number of its
// tokens. Paced tokens arrive at an interval, each in a separate packet, as from an
// engine; unpaced tokens arrive as fast as possible.
func BenchmarkTokens(b *testing.B) {
	for _, tokenInterval := range []time.Duration{10 * time.Millisecond, 0} {
		b.Run("pace="+tokenInterval.String(), func(b *testing.B) { benchmarkTokens(b, tokenInterval) })
	}
}

// pacedStreams is the number of concurrent paced streams: 200 streams at an interval of
// 10 ms produce 20,000 tokens per second.
const pacedStreams = 200

func benchmarkTokens(b *testing.B, tokenInterval time.Duration) {
	f := newDaemonFixture(b)
	cpu := samples{}
	for _, n := range tokenCounts {
		b.Run(benchmarkName("tokens", n), func(b *testing.B) {
			f.b = b
			callHarness[bool](f, "/pace", tokenInterval)
			load := loadRequest{
				Target: f.callersAddress, Path: fmt.Sprintf("/v1/pipelines/tokens-%d", n), Body: streamedRequestBody,
				Calls: b.N, Concurrency: loadConcurrency,
			}
			if tokenInterval > 0 {
				load.Concurrency = pacedStreams
			}
			cpuPerRequest := f.measureLoad(b, load)
			b.ReportMetric(float64(n)*1e6/cpuPerRequest, "tokens/s/core")
			cpu[float64(n)] = cpuPerRequest
		})
	}
	reportFit(b, cpu, "cpu-us", "token")
}

// BenchmarkAddedTime compares the latency of a pipeline with that of the same calls made
// directly to the upstreams. It runs the two loads one after the other, each with a
// single caller.
func BenchmarkAddedTime(b *testing.B) {
	f := newDaemonFixture(b)
	median, p99 := samples{}, samples{}
	for _, n := range stageCounts {
		b.Run(benchmarkName("stages", n), func(b *testing.B) {
			f.b = b
			viaDaemon := loadRequest{
				Target: f.callersAddress, Path: fmt.Sprintf("/v1/pipelines/stages-%d", n), Body: requestBody,
				Calls: b.N, Concurrency: 1,
			}
			direct := loadRequest{Stages: n, Body: requestBody, Calls: b.N, Concurrency: 1}
			directResult, daemonResult := callHarness[loadResult](f, "/load", direct), callHarness[loadResult](f, "/load", viaDaemon)
			b.ReportMetric(float64(directResult.Median), "direct-p50-us")
			b.ReportMetric(float64(directResult.P99), "direct-p99-us")
			b.ReportMetric(float64(daemonResult.Median-directResult.Median), "added-p50-us")
			b.ReportMetric(float64(daemonResult.P99-directResult.P99), "added-p99-us")
			median[float64(n)], p99[float64(n)] = float64(daemonResult.Median-directResult.Median), float64(daemonResult.P99-directResult.P99)
		})
	}
	reportFit(b, median, "p50-us", "stage")
	reportFit(b, p99, "p99-us", "stage")
}

// inFlightCounts are the measured numbers of requests in flight. Each request uses two
// file descriptors in this process; the largest number is within a limit of 20,000
// descriptors per process.
var inFlightCounts = []int{100, 1000, 4000, 9000}

// BenchmarkInFlight measures the memory and the goroutines of a request whose call waits
// for an upstream. One iteration is enough: -benchtime 1x.
func BenchmarkInFlight(b *testing.B) {
	f := newDaemonFixture(b)
	load := loadRequest{Target: f.callersAddress, Path: "/v1/pipelines/stages-1", Body: requestBody}
	for b.Loop() {
		heap, stacks, goroutines := samples{}, samples{}, samples{}
		open := 0
		for _, n := range inFlightCounts {
			hold := holdRequest{loadRequest: load, Total: n}
			hold.Calls = n - open
			callHarness[bool](f, "/hold", hold)
			open = n
			m := memoryInUse()
			heap[float64(n)], stacks[float64(n)], goroutines[float64(n)] = m.heap, m.stacks, m.goroutines
		}
		callHarness[bool](f, "/release", struct{}{})
		reportSlope(b, heap, "heap-B/request")
		reportSlope(b, stacks, "stack-B/request")
		reportSlope(b, goroutines, "goroutines/request")
	}
}

func reportSlope(b *testing.B, s samples, unit string) {
	slope, _, r2 := s.linearFit()
	b.ReportMetric(slope, unit)
	b.ReportMetric(r2, "r2-"+unit)
}

// finishedCounts are the measured numbers of finished requests with a stored record.
// All records of one run together fit into the 32 MB that the daemon keeps.
var finishedCounts = []int{200, 400, 600, 800}

// BenchmarkRecords measures the heap that remains in use after a request has finished,
// mainly its decision record, by the number of its stages. One iteration is enough.
func BenchmarkRecords(b *testing.B) {
	f := newDaemonFixture(b)
	heapPerRequest := samples{}
	for _, n := range []int{1, 2, 4, 6} {
		b.Run(benchmarkName("stages", n), func(b *testing.B) {
			f.b = b
			load := loadRequest{
				Target: f.callersAddress, Path: fmt.Sprintf("/v1/pipelines/stages-%d", n), Body: requestBody,
				Concurrency: loadConcurrency,
			}
			for b.Loop() {
				heap, completed := samples{}, 0
				for _, total := range finishedCounts {
					load.Calls = total - completed
					callHarness[loadResult](f, "/load", load)
					completed = total
					heap[float64(total)] = memoryInUse().heap
				}
				reportSlope(b, heap, "heap-B/request")
				heapPerRequest[float64(n)], _, _ = heap.linearFit()
			}
		})
	}
	reportFit(b, heapPerRequest, "heap-B", "stage")
}
