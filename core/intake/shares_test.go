package intake_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/intake"
)

func hostNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250)
	}
	return names
}

func TestSharesAddUpToTheLimit(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{1, 2, 6, 7, 59, 300, 600} {
		hosts := hostNames(n)
		shares := make([]*intake.Shares, n)
		for i, h := range hosts {
			shares[i] = intake.NewShares(h, hosts)
		}
		for _, limit := range []int{1, 2, 5, 12, 20} {
			for u := range 5 {
				sum := 0
				for _, s := range shares {
					sum += s.Calls(fmt.Sprint("u", u), limit)
				}
				g.Expect(sum).To(Equal(limit), "%d hosts, limit %d", n, limit)
			}
		}
	}
}

func TestCallsAreSpreadOverTheHosts(t *testing.T) {
	const upstreams, limit = 60, 12
	g := NewWithT(t)
	hosts := hostNames(60)
	for _, h := range hosts {
		s, total := intake.NewShares(h, hosts), 0
		for u := range upstreams {
			total += s.Calls(fmt.Sprint("u", u), limit)
		}
		// An even distribution is 12 calls for each host.
		g.Expect(total).To(BeNumerically("~", limit, limit-1), h)
	}
}

// Hosts may still list dead hosts, and may not list those that have just started. Listing
// dead hosts must never exceed the limit; not listing new hosts may exceed it by at most
// one call per such host.
func TestSharesUnderDifferentHostLists(t *testing.T) {
	const limit = 12
	for seed := range uint64(90) {
		g, rng := NewWithT(t), rand.New(rand.NewPCG(seed, 3))
		n := []int{6, 60, 300}[seed%3]
		all := hostNames(n + n/2)
		living, dead, unknownHosts := all[:n], all[n:], rng.IntN(4)
		sum := 0
		for _, h := range living {
			known := slices.Clone(living)
			if rng.IntN(3) == 0 {
				known = known[:n-unknownHosts]
			}
			for _, d := range dead {
				if rng.IntN(2) == 0 {
					known = append(known, d)
				}
			}
			sum += intake.NewShares(h, known).Calls("u", limit)
		}
		g.Expect(sum).To(BeNumerically("<=", limit+unknownHosts), "seed %d", seed)
		if unknownHosts == 0 {
			g.Expect(sum).To(BeNumerically(">=", 1), "seed %d", seed)
		}
	}
}

// Compares three strategies when all hosts have work for an upstream that has just become
// cold: unlimited sending, each host spacing its calls by its part of the rate, and giving
// the calls of one second to the hosts that rank first. It logs the maximum number of calls
// in any second for each; the upstream can serve 20.
func TestRankedSharesProtectAColdUpstream(t *testing.T) {
	const capacity, limit, demand = 20, 12, 2 * time.Second
	g := NewWithT(t)
	for _, n := range []int{6, 60, 300} {
		hosts, rng := hostNames(n), rand.New(rand.NewPCG(uint64(n), 5))
		var unlimited, spaced, ranked []time.Duration
		for _, h := range hosts {
			for at := time.Duration(rng.Int64N(int64(100 * time.Millisecond))); at < demand; at += 100 * time.Millisecond {
				unlimited = append(unlimited, at)
			}
			gap := time.Duration(float64(n) / limit * float64(time.Second))
			for at := time.Duration(rng.Int64N(int64(100 * time.Millisecond))); at < demand; at += gap {
				spaced = append(spaced, at)
			}
			for range intake.NewShares(h, hosts).Calls("u", limit) {
				at := time.Duration(rng.Int64N(int64(100 * time.Millisecond)))
				ranked = append(ranked, at, at+1100*time.Millisecond)
			}
		}
		t.Logf("%d hosts: %d unlimited, %d spaced, %d by rank", n, maxInOneSecond(unlimited), maxInOneSecond(spaced), maxInOneSecond(ranked))
		g.Expect(maxInOneSecond(ranked)).To(BeNumerically("<=", capacity))
	}
}

// maxInOneSecond returns the maximum number of times within one second.
func maxInOneSecond(at []time.Duration) int {
	slices.Sort(at)
	times := make([]time.Time, 0, len(at))
	for _, d := range at {
		times = append(times, start.Add(d))
	}
	return maxInWindow(times, time.Second)
}

// maxInWindow returns the maximum number of the given sorted times within a window.
func maxInWindow(times []time.Time, window time.Duration) int {
	most, oldest := 0, 0
	for i := range times {
		for times[i].Sub(times[oldest]) >= window {
			oldest++
		}
		most = max(most, i-oldest+1)
	}
	return most
}

func BenchmarkShares(b *testing.B) {
	for _, n := range []int{6, 300, 3020} {
		b.Run(fmt.Sprint("hosts-", n), func(b *testing.B) {
			s := intake.NewShares("10.0.0.1:7000", hostNames(n))
			for b.Loop() {
				s.Calls("u", 12)
			}
		})
	}
}
