package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// The sizes of fleet that docs/capacity/membership.md is worked out from, and
// the direct bytes that other parts are taken to put on every heartbeat.
var benchSizes = []int{10, 50, 100, 200, 410}

const (
	benchDomains     = 8
	benchRegions     = 3
	benchDirectBytes = 512
	benchFleetBytes  = 32
	benchWarmUp      = 5 * time.Minute
	benchSteady      = 60 * time.Second
	benchLimit       = 5 * time.Minute
)

// benchFleet starts a fleet whose extensions are full, and lets it settle.
func benchFleet(n int, seed uint64) *fleet {
	f := newFleet(n, benchDomains, seed, func(c *Config) {
		c.Slots = []SlotConfig{
			{ID: slotTest, MaxBytes: benchDirectBytes}, {ID: slotFleet, MaxBytes: benchFleetBytes, FleetWide: true},
		}
	})
	f.wireCopy = true
	for _, name := range f.names {
		f.step(name, SetSlot{ID: slotTest, Value: make([]byte, benchDirectBytes)})
		f.step(name, SetSlot{ID: slotFleet, Value: make([]byte, benchFleetBytes)})
	}
	f.run(benchWarmUp)
	f.reset()
	return f
}

// perDaemon sums over the running daemons.
func (f *fleet) perDaemon(of func(*node) float64) (mean, worst float64) {
	count := 0
	for _, name := range f.names {
		n := f.nodes[name]
		if !n.up {
			continue
		}
		count++
		mean += of(n)
		worst = max(worst, of(n))
	}
	return mean / float64(count), worst
}

// BenchmarkFleetSteady measures a fleet in which nothing happens. Bytes are
// sent and received together, with an estimate of the framing.
func BenchmarkFleetSteady(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				f := benchFleet(n, 1)
				runtime.GC()
				runtime.ReadMemStats(&after)
				f.run(benchSteady)
				seconds := benchSteady.Seconds()
				mean, worst := f.perDaemon(func(n *node) float64 { return float64(n.bytes) / seconds })
				messages, _ := f.perDaemon(func(n *node) float64 { return float64(n.messages) / seconds })
				cpu, _ := f.perDaemon(func(n *node) float64 { return n.spent.Seconds() / seconds })
				b.ReportMetric(mean, "B/s")
				b.ReportMetric(worst, "worst-B/s")
				b.ReportMetric(messages, "msgs-sent/s")
				b.ReportMetric(cpu*100, "core%")
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n)/1024, "KiB-heap/daemon")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkFleetLoss measures how long the others take to see hosts dead, and
// the traffic meanwhile: one host, a failure domain, a region at once, and the
// loss of that region's network with its later return.
func BenchmarkFleetLoss(b *testing.B) {
	domain := func(i int) int { return i % benchDomains }
	losses := []struct {
		name string
		lost func(i int) bool
		cut  bool
	}{
		{"host", func(i int) bool { return i == 3 }, false},
		{"domain", func(i int) bool { return domain(i) == 0 }, false},
		{"region", func(i int) bool { return domain(i)%benchRegions == 0 }, false},
		{"region-cut", func(i int) bool { return domain(i)%benchRegions == 0 }, true},
	}
	for _, loss := range losses {
		for _, n := range benchSizes {
			b.Run(fmt.Sprintf("lost=%s/daemons=%d", loss.name, n), func(b *testing.B) {
				for b.Loop() {
					benchLoss(b, n, loss.lost, loss.cut)
				}
			})
		}
	}
}

// benchLoss loses hosts and, after a cut, lets them return.
func benchLoss(b *testing.B, n int, lost func(int) bool, cut bool) {
	f := benchFleet(n, 2)
	gone := map[string]bool{}
	for i, name := range f.names {
		gone[name] = lost(i)
	}
	if cut {
		f.cut = func(from, to string) bool { return gone[from] != gone[to] }
	} else {
		for name, g := range gone {
			f.nodes[name].up = !g
		}
	}
	apart := func(name string, m *node) bool {
		for other, g := range gone {
			if want := g != gone[name]; (m.m.believed(other) == Dead) != want {
				return false
			}
		}
		return true
	}
	settled := func() bool {
		for _, name := range f.names {
			if m := f.nodes[name]; m.up && !apart(name, m) {
				return false
			}
		}
		return true
	}
	first, whole, peak := f.watch(settled, func() bool { return f.anyDead(gone) })
	b.ReportMetric(first.Seconds(), "s-first")
	b.ReportMetric(whole.Seconds(), "s-everywhere")
	b.ReportMetric(peak, "peak-B/s")
	b.ReportMetric(0, "ns/op")
	if !cut {
		return
	}
	f.cut = func(string, string) bool { return false }
	_, healed, healPeak := f.watch(f.each(func(m *node) bool { return m.m.LiveHosts() == n }), func() bool { return true })
	b.ReportMetric(healed.Seconds(), "s-healed")
	b.ReportMetric(healPeak, "heal-peak-B/s")
}

// anyDead says whether some running daemon believes one of those dead.
func (f *fleet) anyDead(gone map[string]bool) bool {
	for _, name := range f.names {
		m := f.nodes[name]
		if !m.up || gone[name] {
			continue
		}
		for other, g := range gone {
			if g && m.m.believed(other) == Dead {
				return true
			}
		}
	}
	return false
}

// watch runs until settled and returns when started and settled first held,
// and the highest mean of bytes a second of a daemon over any second.
func (f *fleet) watch(settled, started func() bool) (first, whole time.Duration, peak float64) {
	begin := f.now
	for f.now.Sub(begin) < benchLimit {
		f.reset()
		f.run(time.Second)
		mean, _ := f.perDaemon(func(n *node) float64 { return float64(n.bytes) })
		peak = max(peak, mean)
		if first == 0 && started() {
			first = f.now.Sub(begin)
		}
		if settled() {
			return first, f.now.Sub(begin), peak
		}
	}
	return first, benchLimit, peak
}
