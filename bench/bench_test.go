package bench

import (
	"fmt"
	"testing"
	"time"
)

const (
	question = `{"input":{"text":"what does the contract say about the notice period of the lease, and where?"}}`
	streamed = `{"input":{"text":"what does the contract say about the notice period of the lease, and where?"},"stream":true}`
	// busyCallers keep the daemon's processors in use without queueing much.
	busyCallers = 16
)

// BenchmarkStages measures the processor time of a request by the number of
// its stages, each a call to a service that answers at once.
func BenchmarkStages(b *testing.B) {
	f := newDaemonFixture(b)
	processor := series{}
	for _, n := range stageCounts {
		b.Run(sized("stages", n), func(b *testing.B) {
			f.b = b
			spent := f.spend(b, loadOrder{
				Target: f.callers, Path: fmt.Sprintf("/v1/pipelines/stages-%d", n), Body: question,
				Calls: b.N, Concurrency: busyCallers,
			})
			processor[float64(n)] = spent
		})
	}
	reportFit(b, processor, "cpu-us", "stage")
}

// spend runs a load and reports the processor time of one request, in
// microseconds, and the requests a second that one core carries.
func (f *fixture) spend(b *testing.B, order loadOrder) float64 {
	b.ReportAllocs()
	before := processorTime(b)
	b.ResetTimer()
	ask[loadResult](f, "/load", order)
	b.StopTimer()
	spent := float64((processorTime(b) - before).Microseconds()) / float64(order.Calls)
	b.ReportMetric(spent, "cpu-us/request")
	b.ReportMetric(1e6/spent, "requests/s/core")
	return spent
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
const streams = 200

func benchmarkTokens(b *testing.B, pace time.Duration) {
	f := newDaemonFixture(b)
	processor := series{}
	for _, n := range tokenCounts {
		b.Run(sized("tokens", n), func(b *testing.B) {
			f.b = b
			ask[bool](f, "/pace", pace)
			order := loadOrder{
				Target: f.callers, Path: fmt.Sprintf("/v1/pipelines/tokens-%d", n), Body: streamed,
				Calls: b.N, Concurrency: busyCallers,
			}
			if pace > 0 {
				order.Concurrency = streams
			}
			spent := f.spend(b, order)
			b.ReportMetric(float64(n)*1e6/spent, "tokens/s/core")
			processor[float64(n)] = spent
		})
	}
	reportFit(b, processor, "cpu-us", "token")
}

// BenchmarkAddedTime compares a pipeline's latency with the same calls made
// directly to the upstreams, one caller at a time, in turn.
func BenchmarkAddedTime(b *testing.B) {
	f := newDaemonFixture(b)
	median, p99 := series{}, series{}
	for _, n := range stageCounts {
		b.Run(sized("stages", n), func(b *testing.B) {
			f.b = b
			through := loadOrder{
				Target: f.callers, Path: fmt.Sprintf("/v1/pipelines/stages-%d", n), Body: question,
				Calls: b.N, Concurrency: 1,
			}
			direct := loadOrder{Stages: n, Body: question, Calls: b.N, Concurrency: 1}
			d, t := ask[loadResult](f, "/load", direct), ask[loadResult](f, "/load", through)
			b.ReportMetric(float64(d.Median), "direct-p50-us")
			b.ReportMetric(float64(d.P99), "direct-p99-us")
			b.ReportMetric(float64(t.Median-d.Median), "added-p50-us")
			b.ReportMetric(float64(t.P99-d.P99), "added-p99-us")
			median[float64(n)], p99[float64(n)] = float64(t.Median-d.Median), float64(t.P99-d.P99)
		})
	}
	reportFit(b, median, "p50-us", "stage")
	reportFit(b, p99, "p99-us", "stage")
}

// inFlight are the numbers of requests in flight. Each takes two descriptors
// here; the largest is what 20,000 descriptors a process allow.
var inFlight = []int{100, 1000, 4000, 9000}

// BenchmarkInFlight measures what a request in flight holds: memory and
// goroutines while its call waits at an upstream. One run is enough:
// -benchtime 1x.
func BenchmarkInFlight(b *testing.B) {
	f := newDaemonFixture(b)
	order := loadOrder{Target: f.callers, Path: "/v1/pipelines/stages-1", Body: question}
	for b.Loop() {
		heap, stacks, goroutines := series{}, series{}, series{}
		open := 0
		for _, n := range inFlight {
			hold := holdOrder{loadOrder: order, Total: n}
			hold.Calls = n - open
			ask[bool](f, "/hold", hold)
			open = n
			m := memoryInUse()
			heap[float64(n)], stacks[float64(n)], goroutines[float64(n)] = m.heap, m.stacks, m.goroutines
		}
		ask[bool](f, "/release", struct{}{})
		reportSlope(b, heap, "heap-B/request")
		reportSlope(b, stacks, "stack-B/request")
		reportSlope(b, goroutines, "goroutines/request")
	}
}

func reportSlope(b *testing.B, s series, unit string) {
	slope, _, r2 := s.fit()
	b.ReportMetric(slope, unit)
	b.ReportMetric(r2, "r2-"+unit)
}

// finished are the numbers of finished requests whose records are kept. All of
// a run together stay within the 32 MB that the daemon keeps.
var finished = []int{200, 400, 600, 800}

// BenchmarkRecords measures the heap that a finished request leaves behind, its
// decision record above all, by the number of its stages. One run is enough.
func BenchmarkRecords(b *testing.B) {
	f := newDaemonFixture(b)
	kept := series{}
	for _, n := range []int{1, 2, 4, 6} {
		b.Run(sized("stages", n), func(b *testing.B) {
			f.b = b
			order := loadOrder{
				Target: f.callers, Path: fmt.Sprintf("/v1/pipelines/stages-%d", n), Body: question,
				Concurrency: busyCallers,
			}
			for b.Loop() {
				heap, done := series{}, 0
				for _, total := range finished {
					order.Calls = total - done
					ask[loadResult](f, "/load", order)
					done = total
					heap[float64(total)] = memoryInUse().heap
				}
				reportSlope(b, heap, "heap-B/request")
				kept[float64(n)], _, _ = heap.fit()
			}
		})
	}
	reportFit(b, kept, "heap-B", "stage")
}
