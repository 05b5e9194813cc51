package bench

import (
	"fmt"
	"testing"
	"time"
)

const (
	requestBody         = `{"input":{"text":"what does the contract say about the notice period of the lease, and where?"}}`
	streamedRequestBody = `{"input":{"text":"what does the contract say about the notice period of the lease, and where?"},"stream":true}`
	// busyCallers keep the daemon's processors in use without queueing much.
	loadConcurrency = 16
)

// BenchmarkStages measures the processor time of a request by the number of
// its stages, each a call to a service that answers at once.
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

// spend runs a load and reports the processor time of one request, in
// microseconds, and the requests a second that one core carries.
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

// BenchmarkTokens measures the processor time of a streamed generation by its
// tokens. Paced tokens come one by one, each in a packet of its own, as from an
// engine; unpaced ones come as fast as they can.
func BenchmarkTokens(b *testing.B) {
	for _, pace := range []time.Duration{10 * time.Millisecond, 0} {
		b.Run("pace="+pace.String(), func(b *testing.B) { benchmarkTokens(b, pace) })
	}
}

// streams is the number of paced streams at a time: 200 of them make 20,000
// tokens a second.
const pacedStreams = 200

func benchmarkTokens(b *testing.B, pace time.Duration) {
	f := newDaemonFixture(b)
	processor := samples{}
	for _, n := range tokenCounts {
		b.Run(benchmarkName("tokens", n), func(b *testing.B) {
			f.b = b
			callHarness[bool](f, "/pace", pace)
			load := loadRequest{
				Target: f.callersAddress, Path: fmt.Sprintf("/v1/pipelines/tokens-%d", n), Body: streamedRequestBody,
				Calls: b.N, Concurrency: loadConcurrency,
			}
			if pace > 0 {
				load.Concurrency = pacedStreams
			}
			cpuPerRequest := f.measureLoad(b, load)
			b.ReportMetric(float64(n)*1e6/cpuPerRequest, "tokens/s/core")
			processor[float64(n)] = cpuPerRequest
		})
	}
	reportFit(b, processor, "cpu-us", "token")
}

// BenchmarkAddedTime compares a pipeline's latency with the same calls made
// directly to the upstreams, one caller at a time, in turn.
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

// inFlight are the numbers of requests in flight. Each takes two descriptors
// here; the largest is what 20,000 descriptors a process allow.
var inFlightCounts = []int{100, 1000, 4000, 9000}

// BenchmarkInFlight measures what a request in flight holds: memory and
// goroutines while its call waits at an upstream. One run is enough:
// -benchtime 1x.
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

// finished are the numbers of finished requests whose records are kept. All of
// a run together stay within the 32 MB that the daemon keeps.
var finishedCounts = []int{200, 400, 600, 800}

// BenchmarkRecords measures the heap that a finished request leaves behind, its
// decision record above all, by the number of its stages. One run is enough.
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
