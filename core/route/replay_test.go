package route

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/load"
	"github.com/wheatseam/wheatseam/core/request"
)

// replayPicks plays a fixed sequence of picks, reports, outcomes and peers' prompts on a
// router of the gateway's configuration but for the slow ratio; 0 for the default. It returns
// the first choices, and the hash of all choices and errors.
func replayPicks(upstreams int, slowRatio float64) (first []string, hash string) {
	r := New(Config{FailureDomain: "d0", Seed: 7, PrefixMinLoad: 0.35, PrefixBonus: 2, BacklogWeight: 4,
		Ejection: EjectionConfig{SlowRatio: slowRatio}})
	r.Apply(testBundle(upstreams, 8, bundle.PolicyAdaptive))
	rng, sum, now := rand.New(rand.NewPCG(5, 6)), fnv.New64a(), start
	var running []call
	for i := range 4000 {
		now = now.Add(time.Duration(rng.IntN(4000)) * time.Microsecond)
		for len(running) > 0 && rng.IntN(upstreams) < len(running) {
			k := rng.IntN(len(running))
			o := request.Outcome{Choice: running[k].choice, Stage: "generate", Latency: now.Sub(running[k].began), Work: rng.IntN(3)}
			o.FirstByte = o.Latency / 3
			switch d := rng.IntN(40); {
			case d < 3:
				o.Result = request.CallResult(d + 1)
			case o.Choice.Upstream == "u3":
				o.Result = request.CallFailed
			case o.Choice.Upstream == "u5":
				o.Latency *= 9
			}
			r.Done(now, o)
			running = append(running[:k], running[k+1:]...)
		}
		switch u := fmt.Sprintf("u%d", rng.IntN(upstreams)); rng.IntN(10) {
		case 0:
			r.Observe(load.Report{Upstream: u, AsOf: now, Running: rng.IntN(12), Queued: rng.IntN(3)})
		case 1:
			r.ObservePeerPrompt(now, pool, u, "127.0.0.1:"+fmt.Sprint(1000+i%upstreams), time.Duration(rng.IntN(900))*time.Millisecond)
		}
		q := testQuery()
		q.Request = fmt.Sprint(i)
		q.GapObjective, q.ExpectedEvents = 400*time.Millisecond, rng.IntN(60)
		if rng.IntN(3) > 0 {
			q.Prefix = uint64(rng.IntN(30))
			q.PrefillTime = time.Duration(rng.IntN(300)) * time.Millisecond
			q.ExpectedFirstByte = q.PrefillTime + 50*time.Millisecond
		}
		chosen := "none"
		if c, err := r.Pick(now, q, nil); err == nil {
			chosen = c.Upstream
			running = append(running, call{began: now, choice: c})
			if rng.IntN(2) == 0 {
				r.FirstByte(c)
			}
		}
		if len(first) < 12 {
			first = append(first, chosen)
		}
		fmt.Fprintln(sum, chosen)
	}
	return first, fmt.Sprintf("%x", sum.Sum64())
}

// noSlowRatio is a ratio that no upstream reaches.
const noSlowRatio = 1e9

// Guards against a change of the choices, or of the number of random draws, in pools whose
// upstreams report no slowdown. The values without a slow ratio were recorded before calls that
// one brief silence delayed were counted once, the others with that change alone. The choices
// before it are those that were recorded before slowdowns were taken into account.
var _ = DescribeTable("a pool without slowdowns makes the recorded choices",
	func(upstreams int, slowRatio float64, first []string, hash string) {
		gotFirst, gotHash := replayPicks(upstreams, slowRatio)
		Expect(gotFirst).To(Equal(first))
		Expect(gotHash).To(Equal(hash))
	},
	Entry("all upstreams are considered", 20, 0.0,
		[]string{"u18", "u12", "u18", "u16", "u0", "u8", "u4", "u7", "u4", "u14", "u15", "u14"}, "c1155666984bb7e6"),
	Entry("a sample is considered", 100, 0.0,
		[]string{"u33", "u20", "u33", "u72", "u60", "u72", "u94", "u96", "u20", "u22", "u16", "u56"}, "bc6f7acc0460ba92"),
	Entry("all upstreams are considered, none is ejected as slow", 20, noSlowRatio,
		[]string{"u18", "u12", "u18", "u16", "u0", "u8", "u4", "u7", "u4", "u14", "u15", "u14"}, "8715bfd9257c2f73"),
	Entry("a sample is considered, none is ejected as slow", 100, noSlowRatio,
		[]string{"u33", "u20", "u33", "u72", "u60", "u72", "u94", "u96", "u20", "u22", "u16", "u56"}, "d63c502813bd632e"),
)
