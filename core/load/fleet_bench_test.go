package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// benchUpstreams is the number of upstreams of the largest planned fleet.
	benchUpstreams = 610
	// benchPeers is the number of other daemons with which a daemon exchanges digests:
	// each second it sends its digest to one of them and receives that one's digest
	// (core/member).
	benchPeers = 8
	// benchPollBytes is the number of bytes that one poll costs a daemon: the request
	// and the response of BenchmarkPollBytes in package upstreamload, as TCP payload.
	benchPollBytes = 295
	benchStep      = 100 * time.Millisecond
	benchWarmup    = 30 * time.Second
	benchDuration  = 60 * time.Second
)

// benchFleet runs many Tables in one process with a simulated clock.
type benchFleet struct {
	tables           []*Table
	peers            [][]int
	heartbeatOffsets []time.Duration // of each daemon's heartbeat within a second
	digestBytes      int
	digestBytesSent  int64
	polls            int64
	ages             []time.Duration
	missingReports   int
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
		f.heartbeatOffsets = append(f.heartbeatOffsets, time.Duration(rng.IntN(10))*benchStep)
		var peers []int
		for len(peers) < min(benchPeers, daemons-1) {
			if j := rng.IntN(daemons); j != i && !slices.Contains(peers, j) {
				peers = append(peers, j)
			}
		}
		f.peers = append(f.peers, peers)
	}
	return f
}

// run simulates the fleet for benchDuration and samples the Tables after benchWarmup.
func (f *benchFleet) run(rng *rand.Rand) {
	for now := start; now.Before(start.Add(benchDuration)); now = now.Add(benchStep) {
		for i, t := range f.tables {
			for _, u := range t.DuePolls(now) {
				f.polls++
				t.ObservePoll(now, Report{Upstream: u, AsOf: now, Running: rng.IntN(20)})
			}
			if len(f.peers[i]) > 0 && now.Sub(start)%time.Second == f.heartbeatOffsets[i] {
				f.exchange(now, t, f.tables[f.peers[i][rng.IntN(len(f.peers[i]))]])
			}
		}
		if now.Sub(start) >= benchWarmup && now.Sub(start)%time.Second == 0 {
			f.sample(now)
		}
	}
}

// exchange simulates one heartbeat and its response, each with a digest.
func (f *benchFleet) exchange(now time.Time, a, b *Table) {
	ping := a.Digest(now, f.digestBytes)
	ack := b.Digest(now, f.digestBytes)
	_, _ = b.Merge(now, ping)
	_, _ = a.Merge(now, ack)
	f.digestBytesSent += int64(len(ping) + len(ack))
}

func (f *benchFleet) sample(now time.Time) {
	for _, t := range f.tables {
		reports := t.Reports()
		f.missingReports += benchUpstreams - len(reports)
		for i := range reports {
			f.ages = append(f.ages, now.Sub(reports[i].AsOf))
		}
	}
}

// BenchmarkFleet measures, for several fleet sizes, the age of the reports that a
// daemon has of the upstreams, and the bytes a second that one daemon sends and
// receives for them. One operation simulates one minute of the whole fleet.
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
	daemonSeconds := benchDuration.Seconds() * float64(daemons)
	b.ReportMetric(sum.Seconds()/float64(len(f.ages)), "mean-age-s")
	b.ReportMetric(at(0.5), "p50-age-s")
	b.ReportMetric(at(0.99), "p99-age-s")
	b.ReportMetric(float64(f.missingReports)/float64(len(f.ages)+f.missingReports), "unknown-share")
	// Each digest is sent by one daemon and received by another one, so it counts
	// twice.
	b.ReportMetric(2*float64(f.digestBytesSent)/daemonSeconds, "digest-B/s")
	b.ReportMetric(benchPollBytes*float64(f.polls)/daemonSeconds, "poll-B/s")
	b.ReportMetric(float64(f.polls)/daemonSeconds, "polls/s")
}

// BenchmarkTable measures the CPU time of building and of merging a digest of 512
// bytes.
func BenchmarkTable(b *testing.B) {
	for _, upstreams := range []int{30, 150, 300, 610} {
		names := testUpstreams(upstreams)
		hosts := testHosts(2)
		from, to := testTable("entry-0", names, hosts), testTable("entry-1", names, hosts)
		for i, u := range names {
			from.ObservePoll(start, Report{Upstream: u, AsOf: start.Add(-time.Duration(i) * asOfResolution / 10), Running: i % 20})
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
