package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// benchUpstreams is the number of replicas at the size to come.
	benchUpstreams = 610
	// benchNeighbours is the number of fellow daemons that one exchanges
	// digests with: one of them each second, both ways (core/member).
	benchNeighbours = 8
	// benchPollBytes is what one poll costs a daemon: request and answer of
	// BenchmarkPollBytes in package upstreamload, payload of TCP.
	benchPollBytes = 295
	benchStep      = 100 * time.Millisecond
	benchWarmup    = 30 * time.Second
	benchLength    = 60 * time.Second
)

// benchFleet is many Tables in one process, in its own time.
type benchFleet struct {
	tables      []*Table
	neighbours  [][]int
	offsets     []time.Duration // of each daemon's heartbeat in the second
	digestBytes int
	digests     int64 // bytes, sent
	polls       int64
	ages        []time.Duration
	unknown     int
}

func newBenchFleet(daemons, digestBytes int, rng *rand.Rand) *benchFleet {
	f := &benchFleet{digestBytes: digestBytes}
	hosts, upstreams := make([]Host, daemons), testUpstreams(benchUpstreams)
	for i := range hosts {
		hosts[i] = Host{fmt.Sprintf("entry-%d", i), fmt.Sprintf("d%d", i%8)}
	}
	for i, h := range hosts {
		t := NewTable(Config{Self: h.Name})
		t.Configure(start, upstreams, hosts)
		f.tables = append(f.tables, t)
		f.offsets = append(f.offsets, time.Duration(rng.IntN(10))*benchStep)
		var near []int
		for len(near) < min(benchNeighbours, daemons-1) {
			if j := rng.IntN(daemons); j != i && !slices.Contains(near, j) {
				near = append(near, j)
			}
		}
		f.neighbours = append(f.neighbours, near)
	}
	return f
}

// run lets the fleet run and samples what it believes after the warm-up.
func (f *benchFleet) run(rng *rand.Rand) {
	for now := start; now.Before(start.Add(benchLength)); now = now.Add(benchStep) {
		for i, t := range f.tables {
			for _, u := range t.Due(now) {
				f.polls++
				t.Polled(now, Report{Upstream: u, AsOf: now, Running: rng.IntN(20)})
			}
			if len(f.neighbours[i]) > 0 && now.Sub(start)%time.Second == f.offsets[i] {
				f.exchange(now, t, f.tables[f.neighbours[i][rng.IntN(len(f.neighbours[i]))]])
			}
		}
		if now.Sub(start) >= benchWarmup && now.Sub(start)%time.Second == 0 {
			f.sample(now)
		}
	}
}

// exchange is one heartbeat and its answer.
func (f *benchFleet) exchange(now time.Time, a, b *Table) {
	ping := a.Digest(now, f.digestBytes)
	ack := b.Digest(now, f.digestBytes)
	_, _ = b.Merge(now, ping)
	_, _ = a.Merge(now, ack)
	f.digests += int64(len(ping) + len(ack))
}

func (f *benchFleet) sample(now time.Time) {
	for _, t := range f.tables {
		reports := t.Reports()
		f.unknown += benchUpstreams - len(reports)
		for i := range reports {
			f.ages = append(f.ages, now.Sub(reports[i].AsOf))
		}
	}
}

// BenchmarkFleet gives, for each size of fleet, the age of what a daemon knows
// of an upstream and the bytes a second that one daemon sends and receives for
// it. One operation is a minute of the whole fleet.
func BenchmarkFleet(b *testing.B) {
	for _, digest := range []int{256, 512} {
		for _, daemons := range []int{10, 50, 100, 200, 410} {
			b.Run(fmt.Sprintf("digest=%d/daemons=%d", digest, daemons), func(b *testing.B) {
				for range b.N {
					benchmarkFleet(b, daemons, digest)
				}
			})
		}
	}
}

func benchmarkFleet(b *testing.B, daemons, digest int) {
	rng := rand.New(rand.NewPCG(1, uint64(daemons)))
	f := newBenchFleet(daemons, digest, rng)
	f.run(rng)
	slices.Sort(f.ages)
	at := func(q float64) float64 { return f.ages[int(q*float64(len(f.ages)-1))].Seconds() }
	var sum time.Duration
	for _, a := range f.ages {
		sum += a
	}
	each := benchLength.Seconds() * float64(daemons)
	b.ReportMetric(sum.Seconds()/float64(len(f.ages)), "mean-age-s")
	b.ReportMetric(at(0.5), "p50-age-s")
	b.ReportMetric(at(0.99), "p99-age-s")
	b.ReportMetric(float64(f.unknown)/float64(len(f.ages)+f.unknown), "unknown-share")
	// A digest sent is one received: each daemon bears both.
	b.ReportMetric(2*float64(f.digests)/each, "digest-B/s")
	b.ReportMetric(benchPollBytes*float64(f.polls)/each, "poll-B/s")
	b.ReportMetric(float64(f.polls)/each, "polls/s")
}

// BenchmarkTable gives the processor time of building and of merging a digest
// of 512 bytes.
func BenchmarkTable(b *testing.B) {
	for _, upstreams := range []int{30, 150, 300, 610} {
		names := testUpstreams(upstreams)
		hosts := testHosts(2)
		from, to := testTable("entry-0", names, hosts), testTable("entry-1", names, hosts)
		for i, u := range names {
			from.Polled(start, Report{Upstream: u, AsOf: start.Add(-time.Duration(i) * asOfUnit / 10), Running: i % 20})
		}
		b.Run(fmt.Sprintf("digest/upstreams=%d", upstreams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				from.Digest(start, 512)
			}
		})
		digest := from.Digest(start, 512)
		b.Run(fmt.Sprintf("merge/upstreams=%d", upstreams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = to.Merge(start, digest)
			}
		})
	}
	for _, daemons := range []int{10, 50, 100, 200, 410} {
		names, hosts := testUpstreams(benchUpstreams), testHosts(daemons)
		t := NewTable(Config{Self: "entry-0"})
		b.Run(fmt.Sprintf("configure/daemons=%d", daemons), func(b *testing.B) {
			for b.Loop() {
				t.Configure(start, names, hosts)
			}
		})
	}
}
