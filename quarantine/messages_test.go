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
			Request: f, Round: 2, Lifted: true, Doubtful: true, Trials: 2, Untried: 1,
			At: ago(10 * time.Second), Since: ago(12 * time.Second), TriedAt: ago(time.Second),
		}
		later := now.Add(time.Hour) // the receiver's clock is independent of the sender's
		got := verdictsFromWire(later, verdictsToWire(now, []poison.Verdict{v}))
		want := v
		want.At, want.Since, want.TriedAt = v.At.Add(time.Hour), v.Since.Add(time.Hour), v.TriedAt.Add(time.Hour)
		Expect(got).To(Equal([]poison.Verdict{want}))
	})

	It("preserve a replica exit", func() {
		e := poison.End{Service: "llm", Replica: "e1@7", At: ago(time.Second), Suspects: []poison.Suspect{
			{Request: f, Ran: 50 * time.Millisecond}, {Request: f, Ran: time.Second, Served: ago(3 * time.Second)},
		}}
		Expect(exitsFromWire(now, exitsToWire(now, []poison.End{e}))).To(Equal([]poison.End{e}))
	})

	It("are decoded safely when malformed", func() {
		verdicts := verdictsFromWire(now, []*wire.Verdict{
			nil, {Request: []byte("short")}, {Request: make([]byte, 1<<10)},
			{Request: f[:], Round: math.MaxUint32, AgeMs: -1, SinceMs: math.MaxInt64, Trials: math.MaxUint32, Untried: math.MaxUint32, TriedMs: math.MinInt64},
		})
		Expect(verdicts).To(HaveLen(1))
		Expect(verdicts[0].At).To(Equal(now), "times in the future are limited to now")
		Expect(now.Sub(verdicts[0].Since)).To(Equal(2 * poison.Lifetime))
		var m poison.Machine
		m.Learn(now, verdicts)
		v, condemned := m.Condemned(now, f)
		Expect(condemned).To(BeTrue())
		Expect(v.RetryAfter(now)).To(BeNumerically("<=", poison.Lifetime))

		exits := exitsFromWire(now, &wire.ReplicasEnded{Ends: []*wire.ReplicaEnd{
			nil, {Replica: "x", AgeMs: math.MinInt64, Suspects: []*wire.EndSuspect{nil, {Request: f[:], RanMs: math.MaxUint32, ServedMs: math.MaxInt64}}},
		}})
		Expect(exits).To(HaveLen(2))
		Expect(exits[1].Suspects).To(HaveLen(1))
		for _, e := range exits {
			m.Ended(now, e)
		}
	})
})
