package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/wire"
)

// overlayDegree is the number of neighbours of a host, as in the membership overlay.
const overlayDegree = 8

// BenchmarkVerdictGossip measures the cost of propagating a verdict to all hosts:
// messages and bytes per host, and hops, over rings like those of the membership overlay.
func BenchmarkVerdictGossip(b *testing.B) {
	for _, hosts := range []int{6, 300, 3020} {
		b.Run(fmt.Sprint("hosts-", hosts), func(b *testing.B) {
			neighbours := ringNeighbours(hosts)
			v := poison.Verdict{Subject: content("x"), Round: 1, QuarantinedAt: time.Now(), FirstCrash: time.Now()}
			size := proto.Size(&wire.Verdicts{Verdicts: []*wire.Verdict{{
				Request: v.Subject[:], Round: v.Round, AgeMs: 1000, SinceMs: 5000,
			}}})
			var messages, steps int
			for b.Loop() {
				detectors := make([]poison.Detector, hosts)
				messages, steps = 0, 0
				for informed := []int{0}; len(informed) > 0; steps++ {
					var next []int
					for _, h := range informed {
						for _, n := range neighbours[h] {
							messages++
							if len(detectors[n].Merge(time.Now(), []poison.Verdict{v})) > 0 {
								next = append(next, n)
							}
						}
					}
					informed = next
				}
			}
			b.ReportMetric(float64(messages)/float64(hosts), "messages/host")
			b.ReportMetric(float64(messages*size)/float64(hosts), "bytes/host")
			b.ReportMetric(float64(steps), "steps")
		})
	}
}

// ringNeighbours returns, for each host, its successors on overlayDegree random rings.
func ringNeighbours(hosts int) [][]int {
	out := make([][]int, hosts)
	for ring := range min(overlayDegree, hosts-1) {
		order := permutation(hosts, uint64(ring))
		for i, h := range order {
			out[h] = append(out[h], order[(i+1)%hosts])
		}
	}
	return out
}

func permutation(n int, seed uint64) []int {
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	state := seed*2654435761 + 1
	for i := n - 1; i > 0; i-- {
		state = state*6364136223846793005 + 1442695040888963407
		j := int(state>>33) % (i + 1)
		order[i], order[j] = order[j], order[i]
	}
	return order
}

// BenchmarkReplicaCrash measures how long a coordinator takes to evaluate one replica crash
// with the maximum number of suspects, while it retains as many crashes as it can.
func BenchmarkReplicaCrash(b *testing.B) {
	var m poison.Detector
	now := time.Now()
	n := 0
	for b.Loop() {
		n++
		e := poison.Crash{Replica: fmt.Sprint("r", n), At: now}
		for i := range poison.MaxSuspects {
			e.Suspects = append(e.Suspects, poison.Suspect{Subject: content(fmt.Sprint(n%40, i)), RunTime: time.Duration(i) * time.Millisecond})
		}
		m.RecordCrash(now, e)
	}
	b.ReportMetric(float64(m.Stats().Crashes), "ends")
}

// BenchmarkQuarantineCheck measures the check that every request pays while the table of
// verdicts is full.
func BenchmarkQuarantineCheck(b *testing.B) {
	var m poison.Detector
	now := time.Now()
	for i := range poison.MaxVerdicts {
		m.Merge(now, []poison.Verdict{{Subject: content(fmt.Sprint(i)), Round: 1, QuarantinedAt: now}})
	}
	f := content("other")
	for b.Loop() {
		m.Quarantined(now, f)
	}
}

// BenchmarkFingerprint measures hashing a request, which every request pays, for two body
// sizes.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{1 << 10, 1 << 20} {
		b.Run(fmt.Sprint("bytes-", size), func(b *testing.B) {
			body := make([]byte, size)
			b.SetBytes(int64(size))
			for b.Loop() {
				h := poison.NewHasher("customer", "POST", "host", "/path")
				_, _ = h.Write(body)
				h.Sum()
			}
		})
	}
}
