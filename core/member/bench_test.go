package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchSizes are the fleet sizes, in hosts, behind the figures in
// docs/capacity/membership.md.
var benchSizes = []int{10, 50, 100, 200, 410}

const (
	benchDomains = 8
	benchRegions = 3
	// benchDirectBytes is the assumed size of the direct slots that other packages
	// attach to every heartbeat.
	benchDirectBytes = 512
	benchFleetBytes  = 32
	benchWarmUp      = 5 * time.Minute
	benchDuration    = 60 * time.Second
	benchLimit       = 5 * time.Minute
)

// benchFleet starts a fleet whose slots hold values of the maximum size, and runs
// it for benchWarmUp.
func benchFleet(n int, seed uint64) *fleet {
	f := newFleet(n, benchDomains, seed, func(c *Config) {
		c.Slots = []SlotConfig{
			{ID: directTestSlot, MaxBytes: benchDirectBytes}, {ID: fleetTestSlot, MaxBytes: benchFleetBytes, FleetWide: true},
		}
	})
	f.encodeMessages = true
	for _, name := range f.names {
		f.step(name, SetSlot{ID: directTestSlot, Value: make([]byte, benchDirectBytes)})
		f.step(name, SetSlot{ID: fleetTestSlot, Value: make([]byte, benchFleetBytes)})
	}
	f.run(benchWarmUp)
	f.resetCounters()
	return f
}

// perDaemon returns the mean and the maximum of a value over the running daemons.
func (f *fleet) perDaemon(value func(*node) float64) (mean, worst float64) {
	count := 0
	for _, name := range f.names {
		n := f.nodes[name]
		if !n.up {
			continue
		}
		count++
		mean += value(n)
		worst = max(worst, value(n))
	}
	return mean / float64(count), worst
}

// BenchmarkFleetSteady measures a fleet without changes. Bytes are the sum of sent
// and received bytes, including an estimate of the framing.
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
				f.run(benchDuration)
				seconds := benchDuration.Seconds()
				mean, worst := f.perDaemon(func(n *node) float64 { return float64(n.bytes) / seconds })
				messages, _ := f.perDaemon(func(n *node) float64 { return float64(n.messages) / seconds })
				cpu, _ := f.perDaemon(func(n *node) float64 { return n.cpuTime.Seconds() / seconds })
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

// BenchmarkFleetLoss measures how long the remaining daemons take to declare lost
// hosts dead, and the traffic meanwhile. The losses are one host, a failure
// domain, a region, and a network partition of that region that later heals.
func BenchmarkFleetLoss(b *testing.B) {
	domain := func(i int) int { return i % benchDomains }
	losses := []struct {
		name      string
		lost      func(i int) bool
		partition bool
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
					benchLoss(b, n, loss.lost, loss.partition)
				}
			})
		}
	}
}

// benchLoss removes hosts, or partitions them off and then heals the partition.
func benchLoss(b *testing.B, n int, lost func(int) bool, partition bool) {
	f := benchFleet(n, 2)
	lostHosts := map[string]bool{}
	for i, name := range f.names {
		lostHosts[name] = lost(i)
	}
	if partition {
		f.dropped = func(from, to string) bool { return lostHosts[from] != lostHosts[to] }
	} else {
		for name, isLost := range lostHosts {
			f.nodes[name].up = !isLost
		}
	}
	agrees := func(name string, m *node) bool {
		for other, isLost := range lostHosts {
			if want := isLost != lostHosts[name]; (m.machine.stateOfHost(other) == Dead) != want {
				return false
			}
		}
		return true
	}
	settled := func() bool {
		for _, name := range f.names {
			if m := f.nodes[name]; m.up && !agrees(name, m) {
				return false
			}
		}
		return true
	}
	first, everywhere, peak := f.measureTransition(settled, func() bool { return f.anyDeclaredDead(lostHosts) })
	b.ReportMetric(first.Seconds(), "s-first")
	b.ReportMetric(everywhere.Seconds(), "s-everywhere")
	b.ReportMetric(peak, "peak-B/s")
	b.ReportMetric(0, "ns/op")
	if !partition {
		return
	}
	f.dropped = func(string, string) bool { return false }
	_, healed, healPeak := f.measureTransition(f.onAllNodes(func(m *node) bool { return m.machine.LiveHosts() == n }), func() bool { return true })
	b.ReportMetric(healed.Seconds(), "s-healed")
	b.ReportMetric(healPeak, "heal-peak-B/s")
}

// anyDeclaredDead reports whether some remaining daemon has declared one of the
// lost hosts dead.
func (f *fleet) anyDeclaredDead(lostHosts map[string]bool) bool {
	for _, name := range f.names {
		m := f.nodes[name]
		if !m.up || lostHosts[name] {
			continue
		}
		for other, isLost := range lostHosts {
			if isLost && m.machine.stateOfHost(other) == Dead {
				return true
			}
		}
	}
	return false
}

// measureTransition runs until settled holds. It returns the times after which
// started and settled first held, and the highest mean traffic per daemon in any
// one second, in bytes per second.
func (f *fleet) measureTransition(settled, started func() bool) (first, everywhere time.Duration, peak float64) {
	begin := f.now
	for f.now.Sub(begin) < benchLimit {
		f.resetCounters()
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
