package refusal_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/refusal"
)

func TestRefusal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "refusal")
}

// observeAttempts observes n attempts, one per step, of which one in every is refused with
// reason.
func observeAttempts(w *refusal.Monitor, start time.Time, n, every int, reason refusal.Reason, step time.Duration) []refusal.Alarm {
	var alarms []refusal.Alarm
	for i := range n {
		a := refusal.Attempt{Service: "llm", Replica: fmt.Sprintf("r%d", i%20)}
		if i%every == 0 {
			a.Reason = reason
		}
		if alarm, ok := w.Observe(start.Add(time.Duration(i)*step), a); ok {
			alarms = append(alarms, alarm)
		}
	}
	return alarms
}

var _ = Describe("a refusal monitor", func() {
	start := time.Unix(1000, 0)

	DescribeTable("raises at most one alarm per window", func(n, every int, reason refusal.Reason, step time.Duration, want int) {
		Expect(observeAttempts(refusal.New(), start, n, every, reason, step)).To(HaveLen(want))
	},
		Entry("when replicas with free slots refuse a quarter", 200, 4, refusal.Unexplained, 20*time.Millisecond, 1),
		Entry("again in the next window", 1200, 4, refusal.Unexplained, 20*time.Millisecond, 3),
		Entry("not when the replicas are full", 200, 2, refusal.Full, 20*time.Millisecond, 0),
		Entry("not when the replicas do not report their load", 200, 2, refusal.LoadUnknown, 20*time.Millisecond, 0),
		Entry("not for a few refusals among many attempts", 500, 40, refusal.Unexplained, 10*time.Millisecond, 0),
		Entry("not for a few refusals over a long time", 100, 4, refusal.Unexplained, time.Second, 0),
	)

	It("reports the counts and a bounded number of replicas", func() {
		alarms := observeAttempts(refusal.New(), start, 100, 1, refusal.Unexplained, time.Millisecond)
		Expect(alarms).To(HaveLen(1))
		Expect(alarms[0]).To(And(HaveField("Attempts", 10), HaveField("Unexplained", 10), HaveField("Replicas", HaveLen(refusal.MaxReplicas))))
	})

	It("counts a bounded number of services", func() {
		w := refusal.New()
		for i := range 10 * refusal.MaxServices {
			w.Observe(start, refusal.Attempt{Service: fmt.Sprint(i)})
		}
		for range 50 {
			_, ok := w.Observe(start, refusal.Attempt{Service: "late", Reason: refusal.Unexplained})
			Expect(ok).To(BeFalse())
		}
	})

	DescribeTable("decides whether a load explains a refusal", func(l refusal.Load, want bool) {
		Expect(l.ExplainsRefusal()).To(Equal(want))
	},
		Entry("free slots", refusal.Load{Running: 3, Slots: 8}, false),
		Entry("all slots in use", refusal.Load{Running: 8, Slots: 8}, true),
		Entry("requests queued", refusal.Load{Running: 3, Waiting: 1, Slots: 8}, true),
	)
})
