package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/wire"
)

// overlay is how many neighbours a host tells, as in membership.
const overlay = 8

// BenchmarkVerdict tells what a verdict takes to reach all hosts: messages and bytes
// a host, and steps from neighbour to neighbour, over rings like membership's.
func BenchmarkVerdict(b *testing.B) {
	for _, hosts := range []int{6, 300, 3020} {
		b.Run(fmt.Sprint("hosts-", hosts), func(b *testing.B) {
			neighbours := rings(hosts)
			v := poison.Verdict{Request: content("x"), Round: 1, QuarantinedAt: time.Now(), FirstCrash: time.Now()}
			size := proto.Size(&wire.Verdicts{Verdicts: []*wire.Verdict{{
				Request: v.Request[:], Round: v.Round, AgeMs: 1000, SinceMs: 5000,
			}}})
			var messages, steps int
			for b.Loop() {
				machines := make([]poison.Detector, hosts)
				messages, steps = 0, 0
				for told := []int{0}; len(told) > 0; steps++ {
					var next []int
					for _, h := range told {
						for _, n := range neighbours[h] {
							messages++
							if len(machines[n].Merge(time.Now(), []poison.Verdict{v})) > 0 {
								next = append(next, n)
							}
						}
					}
					told = next
				}
			}
			b.ReportMetric(float64(messages)/float64(hosts), "messages/host")
			b.ReportMetric(float64(messages*size)/float64(hosts), "bytes/host")
			b.ReportMetric(float64(steps), "steps")
		})
	}
}

// rings gives each host its successor on some random rings.
func rings(hosts int) [][]int {
	out := make([][]int, hosts)
	for ring := range min(overlay, hosts-1) {
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

// BenchmarkEnd is a deciding host's work for one report, with all that it may hold
// beside it: one end with the suspects that a report may name.
func BenchmarkEnd(b *testing.B) {
	var m poison.Detector
	now := time.Now()
	n := 0
	for b.Loop() {
		n++
		e := poison.Crash{Replica: fmt.Sprint("r", n), At: now}
		for i := range poison.MaxSuspects {
			e.Suspects = append(e.Suspects, poison.Suspect{Request: content(fmt.Sprint(n%40, i)), RunTime: time.Duration(i) * time.Millisecond})
		}
		m.RecordCrash(now, e)
	}
	b.ReportMetric(float64(m.Stats().Crashes), "ends")
}

// BenchmarkCondemned is what every request pays while one is condemned.
func BenchmarkCondemned(b *testing.B) {
	var m poison.Detector
	now := time.Now()
	for i := range poison.MaxVerdicts {
		m.Merge(now, []poison.Verdict{{Request: content(fmt.Sprint(i)), Round: 1, QuarantinedAt: now}})
	}
	f := content("other")
	for b.Loop() {
		m.Quarantined(now, f)
	}
}

// BenchmarkFingerprint is what every request pays, for bodies of two sizes.
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
