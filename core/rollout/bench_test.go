package rollout

import (
	"crypto/ed25519"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/bundle/bundletest"
)

// benchSizes are the fleet sizes, in hosts, behind the figures in
// docs/capacity/membership.md. The bundle grows with the fleet, up to the users'
// target size.
var benchSizes = []int{10, 50, 100, 200, 410}

const (
	benchDomains = 8
	benchRegions = 3
	benchChanges = 10
	// benchChangeInterval is the time between two changes, at 2,500 per day.
	benchChangeInterval = 24 * time.Hour / 2500
	benchLimit          = 2 * time.Minute
)

// benchKey signs the bundles of the benchmarks.
var benchKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

// benchCodec reads real bundles. Each document is parsed once for all daemons; the
// benchmarks of package bundle measure the cost of parsing per daemon.
func benchCodec() Codec {
	keys := []ed25519.PublicKey{benchKey.Public().(ed25519.PublicKey)}
	opened := map[hash]*bundle.Bundle{}
	return Codec{
		Open: func(signed []byte) (*bundle.Bundle, error) {
			h := digestOf(signed)
			if b, ok := opened[h]; ok {
				return b, nil
			}
			b, err := bundle.VerifyAndParse(signed, keys)
			opened[h] = b
			return b, err
		},
		Split: func(signed []byte) [][]byte {
			var out [][]byte
			for _, p := range bundle.Split(signed) {
				out = append(out, p.Content)
			}
			return out
		},
		CheckSuccessor: bundle.CheckSuccessor,
	}
}

// benchDocument returns a signed bundle for n hosts. Each version changes the
// weight of one customer.
func benchDocument(n int, version uint64) []byte {
	target := bundletest.TargetSizes
	sizes := bundletest.Sizes{
		Regions: benchRegions, Domains: benchDomains, Hosts: n, Pipelines: target.Pipelines,
		Models:    max(1, target.Models*n/target.Hosts),
		Upstreams: max(8, target.Upstreams*n/target.Hosts),
		Customers: max(5, target.Customers*n/target.Hosts),
	}
	text := string(bundletest.YAML(sizes, version))
	at := strings.LastIndex(text[:len(text)-int(version)*100], "weight: ")
	text = text[:at] + fmt.Sprintf("weight: %d.5", version) + text[at+len("weight: 1"):]
	return bundle.Sign([]byte(text), benchKey)
}

// benchFleet starts a fleet and runs it until version 1 is active, and then for
// benchLimit.
func benchFleet(b *testing.B, n int) *fleet {
	f := newFleetWithCodec(n, benchDomains, 1, benchCodec())
	f.service.put(benchDocument(n, 1))
	if _, ok := f.runUntil(benchLimit, f.isActive(1)); !ok {
		b.Fatal("version 1 did not become active")
	}
	f.run(benchLimit)
	return f
}

// resetCounters resets the counts and recorded actions.
func (f *fleet) resetCounters() {
	f.service.reads, f.service.bytes = 0, 0
	for _, n := range f.nodes {
		n.bytes, n.messagesSent, n.cpuTime, n.actions = 0, 0, 0, nil
	}
}

// meanBytes returns the mean and the maximum number of bytes over the running
// daemons.
func (f *fleet) meanBytes() (mean, worst float64) {
	count := 0.0
	for _, name := range f.names {
		if n := f.nodes[name]; n.up {
			mean += float64(n.bytes)
			worst = max(worst, float64(n.bytes))
			count++
		}
	}
	return mean / count, worst
}

// BenchmarkFleetChanges measures changes at the users' rate. Bytes are the sum of
// bytes sent and received between daemons, including membership and framing.
func BenchmarkFleetChanges(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				benchChangesAt(b, n)
			}
		})
	}
}

func benchChangesAt(b *testing.B, n int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := benchFleet(b, n)
	f.resetCounters()
	runtime.GC()
	runtime.ReadMemStats(&after)
	f.run(benchChangeInterval)
	idle, _ := f.meanBytes()
	f.resetCounters()
	var sum, worst time.Duration
	for i := range benchChanges {
		version := uint64(i + 2)
		f.service.put(benchDocument(n, version))
		took, ok := f.runUntil(benchLimit, f.isActive(version))
		if !ok {
			b.Fatalf("version %d did not become active", version)
		}
		sum += took
		worst = max(worst, took)
		f.run(benchChangeInterval - took)
	}
	seconds := (benchChanges * benchChangeInterval).Seconds()
	mean, most := f.meanBytes()
	var spent time.Duration
	for _, x := range f.nodes {
		spent += x.cpuTime
	}
	b.ReportMetric(sum.Seconds()/benchChanges, "s-in-force")
	b.ReportMetric(worst.Seconds(), "s-worst")
	b.ReportMetric(mean/seconds, "B/s")
	b.ReportMetric(most/seconds, "worst-B/s")
	b.ReportMetric(mean/benchChanges-idle, "B/change")
	b.ReportMetric(float64(f.service.reads)/seconds, "service-reads/s")
	b.ReportMetric(float64(f.service.bytes)/seconds/float64(n), "service-B/s/daemon")
	b.ReportMetric(spent.Seconds()/seconds/float64(n)*100, "core%-without-parsing")
	b.ReportMetric(float64(len(f.service.value)), "bundle-bytes")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n)/1024, "KiB-heap/daemon-without-parsed")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkFleetLost measures a change right after the loss of hosts, and a change
// that only one daemon can read from the service.
func BenchmarkFleetLost(b *testing.B) {
	domain := func(i int) int { return i % benchDomains }
	cases := []struct {
		name string
		lost func(i int) bool
		// singleReaderFor is how long before the change only one daemon can
		// reach the service; 0 leaves all connected.
		singleReaderFor time.Duration
	}{
		{"host", func(i int) bool { return i == 3 }, 0},
		{"domain", func(i int) bool { return domain(i) == 0 }, 0},
		{"region", func(i int) bool { return domain(i)%benchRegions == 0 }, 0},
		{"none-one-reader-at-once", func(int) bool { return false }, time.Second},
		{"none-one-reader-5m", func(int) bool { return false }, 5 * time.Minute},
	}
	for _, c := range cases {
		for _, n := range benchSizes {
			b.Run(fmt.Sprintf("lost=%s/daemons=%d", c.name, n), func(b *testing.B) {
				for b.Loop() {
					f := benchFleet(b, n)
					for i, name := range f.names {
						f.nodes[name].up = !c.lost(i)
					}
					if c.singleReaderFor > 0 {
						f.serviceUnreachable = func(host string) bool { return host != f.names[1] }
						f.run(c.singleReaderFor)
					}
					f.resetCounters()
					f.service.put(benchDocument(n, 2))
					took, ok := f.runUntil(2*benchLimit, f.isActive(2))
					if !ok {
						took = 2 * benchLimit
					}
					b.ReportMetric(took.Seconds(), "s-in-force")
					b.ReportMetric(float64(f.service.reads)/took.Seconds(), "service-reads/s")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// BenchmarkFleetStart measures a fleet whose daemons all start at the same time.
func BenchmarkFleetStart(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				f := newFleetWithCodec(n, benchDomains, 1, benchCodec())
				f.service.put(benchDocument(n, 1))
				ready := func() bool {
					for _, x := range f.nodes {
						if !x.rollout.Ready() {
							return false
						}
					}
					return true
				}
				begin := f.now
				most := 0
				for !ready() && f.now.Sub(begin) < benchLimit {
					reads := f.service.reads
					f.run(time.Second)
					most = max(most, f.service.reads-reads)
				}
				b.ReportMetric(f.now.Sub(begin).Seconds(), "s-all-ready")
				b.ReportMetric(float64(most), "most-reads/s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
