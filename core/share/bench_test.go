package share

import (
	"container/heap"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// The number of resources in the benchmarked fleets.
const (
	benchCustomers = 410
	benchPools     = 40
	// benchWarmupIntervals is long enough for the allocators to start leasing and
	// for the leases to become stable.
	benchWarmupIntervals = 14
)

// traffic counts the bytes that each daemon sends and receives, and its messages.
type traffic struct{ sent, received, messages map[string]int }

func newTraffic() traffic { return traffic{map[string]int{}, map[string]int{}, map[string]int{}} }

func (t traffic) count(from, to string, n int) {
	if t.sent == nil {
		return
	}
	t.sent[from] += n
	t.received[to] += n
	t.messages[from]++
	t.messages[to]++
}

// BenchmarkFleet runs whole fleets under a virtual clock. It reports per daemon and
// second the payload bytes and messages sent and the processor time used; per second
// the bytes (sent and received) and messages of the busiest daemon; and the memory
// per daemon. With contended=0 demand stays within the equal shares. With
// contended=10 each of 10 customers sends all its demand to one daemon; lent-s is the
// time until each of these daemons has half of its customer's limit, in whole
// seconds.
func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{10, 50, 100, 200, 410} {
		for _, contended := range []int{0, 10} {
			b.Run(fmt.Sprintf("hosts=%d/contended=%d", hosts, contended), func(b *testing.B) {
				for b.Loop() {
					benchFleet(b, hosts, contended)
				}
			})
		}
	}
}

func benchFleet(b *testing.B, hosts, contended int) {
	resources := customersOf(benchCustomers)
	for i := range benchPools {
		resources = append(resources, Resource{Pool, fmt.Sprintf("pool-%02d", i)})
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := newFleet(hosts, resources, 1)
	f.encode = true
	interval := f.nodes[f.names[0]].machine.cfg.Interval
	f.runUnchecked(benchWarmupIntervals * interval)
	for i := range contended {
		f.nodes[f.names[i*hosts/10]].demand[resources[i]] = 2
	}
	overloadedAt := f.now
	for f.now-overloadedAt < 10*interval && !f.allLeased(contended) {
		f.runUnchecked(time.Second)
	}
	leasedAfter := f.now - overloadedAt
	f.bytes, f.messages, f.traffic = 0, 0, newTraffic()
	began := time.Now()
	span := 12 * interval
	f.runUnchecked(span)
	spent := time.Since(began)
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := float64(hosts) * span.Seconds()
	busiest, messages := 0, 0
	for _, n := range f.names {
		busiest = max(busiest, f.traffic.sent[n]+f.traffic.received[n])
		messages = max(messages, f.traffic.messages[n])
	}
	b.ReportMetric(float64(f.bytes)/each, "B/s")
	b.ReportMetric(float64(f.messages)/each, "msg/s")
	b.ReportMetric(float64(busiest)/span.Seconds(), "busiest-B/s")
	b.ReportMetric(float64(messages)/span.Seconds(), "busiest-msg/s")
	b.ReportMetric(spent.Seconds()*1e6/each, "cpu-us/s")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(hosts)/1024, "KiB/daemon")
	if !f.allLeased(contended) {
		b.Fatal("a daemon with excess demand did not get a lease of half of its customer's limit")
	}
	if contended > 0 {
		b.ReportMetric(leasedAfter.Seconds(), "lent-s")
	}
	runtime.KeepAlive(f)
}

// allLeased reports whether each daemon with excess demand has half of its
// customer's limit.
func (f *fleet) allLeased(contended int) bool {
	for i := range contended {
		if f.share(f.names[i*len(f.names)/10], f.resources[i]) < FullShare/2 {
			return false
		}
	}
	return true
}

// runUnchecked advances the clock by d in steps of 100 ms without checks. Demand is
// set each second.
func (f *fleet) runUnchecked(d time.Duration) {
	const step = 100 * time.Millisecond
	for end, n := f.now+d, 0; f.now < end; n++ {
		next := f.now + step
		for len(f.network) > 0 && f.network[0].at <= next {
			l := heap.Pop(&f.network).(delivery)
			f.now = max(f.now, l.at)
			f.step(l.to, l.event)
		}
		f.now = next
		for _, name := range f.names {
			if n%10 == 0 {
				f.step(name, DemandMeasured{f.nodes[name].demand})
			}
			f.step(name, TimerFired{})
		}
	}
}

func BenchmarkViewPool(b *testing.B) {
	f := newFleet(7, customersOf(benchCustomers), 1)
	v := f.nodes[f.names[0]].machine.View(f.clock(f.names[0]))
	now := f.clock(f.names[0])
	b.ReportAllocs()
	for b.Loop() {
		v.Pool(now, "engines")
	}
}
