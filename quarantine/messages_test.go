package quarantine

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/wire"
)

var _ = Describe("messages between daemons", func() {
	now := time.Now()
	f := poison.NewHasher("customer", "POST", "host", "/").Sum()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }

	It("preserve a verdict, with times sent as ages", func() {
		v := poison.Verdict{
			Subject: f, Kind: poison.Part, LastSuccess: ago(3 * time.Second), Round: 2, Lifted: true, Doubtful: true, Trials: 2, UnusedTrials: 1,
			QuarantinedAt: ago(10 * time.Second), FirstCrash: ago(12 * time.Second), LastTrial: ago(time.Second),
		}
		later := now.Add(time.Hour) // the receiver's clock is independent of the sender's
		got := verdictsFromWire(later, verdictsToWire(now, []poison.Verdict{v}))
		want := v
		want.LastSuccess = v.LastSuccess.Add(time.Hour)
		want.QuarantinedAt, want.FirstCrash, want.LastTrial = v.QuarantinedAt.Add(time.Hour), v.FirstCrash.Add(time.Hour), v.LastTrial.Add(time.Hour)
		Expect(got).To(Equal([]poison.Verdict{want}))
	})

	It("preserve a replica crash", func() {
		e := poison.Crash{Service: "llm", Replica: "e1@7", At: ago(time.Second), Suspects: []poison.Suspect{
			{Subject: f, RunTime: 50 * time.Millisecond}, {Subject: f, Kind: poison.Part, RunTime: time.Second, LastSuccess: ago(3 * time.Second)},
		}}
		Expect(crashesFromWire(now, crashesToWire(now, []poison.Crash{e}))).To(Equal([]poison.Crash{e}))
	})

	It("are decoded safely when malformed", func() {
		verdicts := verdictsFromWire(now, []*wire.Verdict{
			nil, {Request: []byte("short")}, {Request: make([]byte, 1<<10)},
			{Request: f[:], Round: math.MaxUint32, AgeMs: -1, SinceMs: math.MaxInt64, Trials: math.MaxUint32, Untried: math.MaxUint32, TriedMs: math.MinInt64},
		})
		Expect(verdicts).To(HaveLen(1))
		Expect(verdicts[0].QuarantinedAt).To(Equal(now), "times in the future are limited to now")
		Expect(now.Sub(verdicts[0].FirstCrash)).To(Equal(2 * poison.Lifetime))
		var m poison.Detector
		m.Merge(now, verdicts)
		v, quarantined := m.Quarantined(now, f)
		Expect(quarantined).To(BeTrue())
		Expect(v.RetryAfter(now)).To(BeNumerically("<=", poison.Lifetime))

		crashes := crashesFromWire(now, &wire.ReplicasEnded{Ends: []*wire.ReplicaEnd{
			nil, {Replica: "x", AgeMs: math.MinInt64, Suspects: []*wire.EndSuspect{nil, {Request: f[:], RanMs: math.MaxUint32, ServedMs: math.MaxInt64}}},
		}})
		Expect(crashes).To(HaveLen(2))
		Expect(crashes[1].Suspects).To(HaveLen(1))
		for _, e := range crashes {
			m.RecordCrash(now, e)
		}
	})
})
