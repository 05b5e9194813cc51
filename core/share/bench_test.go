package share

import (
	"container/heap"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// The sizes of the target.
const (
	benchCustomers = 410
	benchPools     = 40
	// benchWarmIntervals lets the allocators end their abstention and loans settle.
	benchWarmIntervals = 14
)

// traffic counts what each daemon sends and receives.
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

// BenchmarkFleet runs whole fleets under a virtual clock and reports, for each
// daemon and second: payload bytes and messages sent, the bytes of the busiest
// daemon (sent and received), processor time of the machine, and memory. In a
// quiet fleet demand stays within the equal shares; in a busy one each of 10
// customers floods one daemon; lent-s is until each of these holds half of its
// customer's limit, counted in whole seconds.
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
	interval := f.nodes[f.names[0]].m.cfg.Interval
	f.coast(benchWarmIntervals * interval)
	for i := range contended {
		f.nodes[f.names[i*hosts/10]].demand[resources[i]] = 2
	}
	flooded := f.now
	for f.now-flooded < 10*interval && !f.lent(contended) {
		f.coast(time.Second)
	}
	lentAfter := f.now - flooded
	f.bytes, f.messages, f.traffic = 0, 0, newTraffic()
	began := time.Now()
	span := 12 * interval
	f.coast(span)
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
	if !f.lent(contended) {
		b.Fatal("a flooded customer was not lent half of its limit")
	}
	if contended > 0 {
		b.ReportMetric(lentAfter.Seconds(), "lent-s")
	}
	runtime.KeepAlive(f)
}

// lent says that each flooded daemon holds half of its customer's limit.
func (f *fleet) lent(contended int) bool {
	for i := range contended {
		if f.share(f.names[i*len(f.names)/10], f.resources[i]) < FullShare/2 {
			return false
		}
	}
	return true
}

// coast plays d in steps of 100 ms without checks; demand is measured each
// second.
func (f *fleet) coast(d time.Duration) {
	const step = 100 * time.Millisecond
	for end, n := f.now+d, 0; f.now < end; n++ {
		next := f.now + step
		for len(f.mail) > 0 && f.mail[0].at <= next {
			l := heap.Pop(&f.mail).(letter)
			f.now = max(f.now, l.at)
			f.step(l.to, l.e)
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
	v := f.nodes[f.names[0]].m.View(f.clock(f.names[0]))
	now := f.clock(f.names[0])
	b.ReportAllocs()
	for b.Loop() {
		v.Pool(now, "engines")
	}
}
