package slowdown_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/slowdown"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func baseline(slow, seconds float64) slowdown.Baseline {
	return slowdown.Baseline{Replica: "r", Slowdown: slow, ObservedAt: at(seconds)}
}

// Guards against a replica that was slow once and gets no calls for that forever.
func TestBaselineWithoutNewsApproachesTheUsualTime(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ slowdown, age, want float64 }{
		{1.6, 0, 1.6}, {1.6, 10, 1.6}, {1.6, 15, 1.3}, {1.6, 20, 1.15}, {0.6, 60, 0.6}, {1, 60, 1},
	} {
		b := baseline(c.slowdown, 0)
		g.Expect(b.Expected(at(c.age))).To(BeNumerically("~", c.want, 1e-9), "%+v", c)
	}
}

// Guards against baselines that follow the fast-changing component, and against baselines
// that outlive a change of the machine.
func TestBaselineIsTheLowestRecentObservation(t *testing.T) {
	type observation struct{ at, slowdown, want float64 }
	for name, schedule := range map[string][]observation{
		"a lower value counts at once":               {{0, 2, 2}, {0.1, 1, 1}},
		"a higher value is ignored within Window":    {{0, 1, 1}, {1, 2.5, 1}, {2, 2.5, 1}, {3, 2.5, 1}},
		"observed all the time, raised after Window": {{0, 1, 1}, {0.6, 3, 1}, {1.2, 2, 1}, {1.8, 2.5, 1}, {2.4, 2, 1}, {3, 2, 1}, {3.01, 2, 2}},
		"observed rarely, raised by one observation": {{0, 1, 1}, {8.9, 2, 1}, {9.1, 3, 2}},
		"samples of one SampleInterval are one":      {{0, 1, 1}, {3.1, 2, 1}, {3.2, 2, 1}, {3.3, 2, 1}, {3.4, 2, 1}, {3.5, 2, 1}},
		"RaiseSamples raise it early":                {{0, 1, 1}, {3.1, 2, 1}, {3.7, 2, 1}, {4.3, 2, 1}, {4.9, 2, 1}, {5.5, 2, 2}},
		"a low value in between starts over":         {{0, 1, 1}, {3.1, 2, 1}, {3.7, 2, 1}, {4.3, 2, 1}, {4.9, 1, 1}, {5.5, 2, 1}, {13.8, 2, 1}, {14, 2, 2}},
		"dropped values":                             {{0, 1, 1}, {1, math.NaN(), 1}, {2, 0, 1}, {3, -1, 1}, {4, 0.009, 1}, {5, 101, 1}, {6, math.Inf(1), 1}},
		"the limits of the accepted values":          {{0, 100, 100}, {1, 0.01, 0.01}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var table slowdown.Table
			for _, o := range schedule {
				got, _ := table.Observe(at(o.at), "r", o.slowdown)
				g.Expect(got.Slowdown).To(Equal(o.want), "at %g s", o.at)
			}
		})
	}
}

// Guards against announcements of changes that do not matter, and against a slow drift that
// is never announced.
func TestChangesFromMinChangeOnAreReported(t *testing.T) {
	g := NewWithT(t)
	var table slowdown.Table
	for i, o := range []struct {
		slowdown float64
		changed  bool
	}{{2, true}, {1.9, false}, {1.81, false}, {1.8, true}, {1.8, false}, {1, true}, {2, false}} {
		_, changed := table.Observe(at(float64(i)/10), "r", o.slowdown)
		g.Expect(changed).To(Equal(o.changed), "%g", o.slowdown)
	}
	g.Expect(table.Merge(at(5), []slowdown.Baseline{baseline(1.05, 5)})).To(BeEmpty())
	g.Expect(table.Merge(at(5), []slowdown.Baseline{baseline(0.9, 4)})).To(ConsistOf(baseline(0.9, 4)))
	g.Expect(table.ObservedAfter(time.Time{})).To(ConsistOf(baseline(0.9, 4)))
}

func TestMergeKeepsTheLowerRecentOrTheNewerBaseline(t *testing.T) {
	const now = 10
	for name, c := range map[string]struct{ known, received, want slowdown.Baseline }{
		"both recent, lower wins":              {baseline(1, 7), baseline(2, 9), baseline(1, 7)},
		"recent and higher than an older one":  {baseline(1, 6.9), baseline(2, 7), baseline(2, 7)},
		"older than Window, lower and newer":   {baseline(2, 5), baseline(1, 6), baseline(1, 6)},
		"older than Window, lower and older":   {baseline(2, 6), baseline(1, 5), baseline(2, 6)},
		"equal values, newer wins":             {baseline(2, 8), baseline(2, 9), baseline(2, 9)},
		"an observation in the future":         {baseline(2, 8), baseline(1, 10.001), baseline(2, 8)},
		"a value below the accepted ones":      {baseline(2, 8), baseline(0.001, 9), baseline(2, 8)},
		"a value that is not a number":         {baseline(2, 1), baseline(math.NaN(), 9), baseline(2, 1)},
		"a recent one that cannot be observed": {baseline(2, 1), baseline(1000, 9), baseline(2, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, order := range [][]slowdown.Baseline{{c.known, c.received}, {c.received, c.known}} {
				var table slowdown.Table
				table.Merge(at(now), order)
				g.Expect(table.ObservedAfter(time.Time{})).To(ConsistOf(c.want))
			}
		})
	}
}

// Guards against hosts that keep different baselines for good although they received the
// same ones, each in an order of its own and some of them repeatedly.
func TestMergingIsCommutativeAndIdempotent(t *testing.T) {
	for seed := range uint64(300) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 0))
		var all []slowdown.Baseline
		for range 40 {
			b := baseline(float64(rng.IntN(6))/2, float64(rng.IntN(24))/2)
			b.Replica = string(rune('a' + rng.IntN(4)))
			all = append(all, b)
		}
		var first, second slowdown.Table
		first.Merge(at(10), all)
		want := first.ObservedAfter(time.Time{})
		g.Expect(first.Merge(at(10), all)).To(BeEmpty(), "seed %d", seed)
		g.Expect(first.ObservedAfter(time.Time{})).To(Equal(want), "seed %d", seed)
		for _, i := range append(rng.Perm(len(all)), rng.Perm(len(all))...) {
			second.Merge(at(10), all[i:i+1])
		}
		g.Expect(second.ObservedAfter(time.Time{})).To(Equal(want), "seed %d", seed)
	}
}

// Guards against a table that grows without bound when peers send names that no view lists.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	var table slowdown.Table
	for i := range slowdown.MaxReplicas + 100 {
		table.Observe(at(0), fmt.Sprint("observed", i), 1)
		table.Merge(at(0), []slowdown.Baseline{{Replica: fmt.Sprint("received", i), Slowdown: 1, ObservedAt: at(0)}})
	}
	g.Expect(table.Len()).To(Equal(slowdown.MaxReplicas))
	_, changed := table.Observe(at(1), "further", 1)
	g.Expect(changed).To(BeFalse())
	table.Prune(func(b slowdown.Baseline) bool { return b.Replica == "observed7" })
	g.Expect(table.ObservedAfter(time.Time{})).To(ConsistOf(slowdown.Baseline{Replica: "observed7", Slowdown: 1, ObservedAt: at(0)}))
	g.Expect(table.ObservedAfter(at(0))).To(BeEmpty())
}

// Guards against a resend that takes several calls for each neighbour in a large fleet, and
// against replicas that are never sent.
func TestLargeTablesAreResentInParts(t *testing.T) {
	g := NewWithT(t)
	const parts = 10
	var table slowdown.Table
	for i := range parts * slowdown.ResendSize {
		table.Observe(at(0), fmt.Sprint(i), 1)
	}
	sent := map[string]bool{}
	for i := range parts {
		part := table.Resend(at(3 * float64(i+1)))
		g.Expect(len(part)).To(BeNumerically("~", slowdown.ResendSize, slowdown.ResendSize/8))
		for _, b := range part {
			sent[b.Replica] = true
		}
	}
	g.Expect(sent).To(HaveLen(table.Len()))
	g.Expect(table.Resend(at(1000))).To(BeEmpty(), "not confirmed lately")
	b, _ := table.Observe(at(80), "0", 2)
	g.Expect(b.Slowdown).To(Equal(1.0), "a confirmation may still arrive")
	b, _ = table.Observe(at(91), "0", 2)
	g.Expect(b.Slowdown).To(Equal(2.0))
}
