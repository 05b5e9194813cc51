package intake_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/intake"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// runResponse returns the response to an executed request; it announces no limit if limit is
// negative.
func runResponse(sent, limit float64) intake.ReplicaResponse {
	a := intake.ReplicaResponse{Replica: "r", Sent: at(sent), Served: true}
	if limit >= 0 {
		a.Notice.Limit = intake.Limit{Announced: true, PerSecond: limit}
	}
	return a
}

func TestLimitHoldsUntilAServedResponseOmitsIt(t *testing.T) {
	g := NewWithT(t)
	var a intake.LimitTable
	_, changed := a.Observe(at(1), runResponse(0, -1))
	g.Expect(changed).To(BeFalse())
	l, changed := a.Observe(at(2), runResponse(1.9, 4))
	g.Expect(changed).To(BeTrue())
	g.Expect(l).To(Equal(intake.ReplicaLimit{Replica: "r", Limit: intake.Limit{Announced: true, PerSecond: 4}, Round: 1, Since: at(2), LastObserved: at(2)}))
	_, changed = a.Observe(at(3), runResponse(2.9, 4))
	g.Expect(changed).To(BeFalse())
	l, changed = a.Observe(at(4), runResponse(3.9, 0.5))
	g.Expect(changed).To(BeTrue(), "it announces a different limit")
	g.Expect(l.Since).To(Equal(at(2)))
	g.Expect(a.Limits()).To(ConsistOf(l))

	refused := runResponse(4.5, -1)
	refused.Served = false
	_, changed = a.Observe(at(5), refused)
	g.Expect(changed).To(BeFalse(), "a refusal")
	l, changed = a.Observe(at(6), runResponse(5.9, -1))
	g.Expect(changed).To(BeTrue())
	g.Expect(l.Limit.Announced).To(BeFalse())
	g.Expect(a.Limits()).To(BeEmpty())
}

func TestReorderedResponseDoesNotLiftLimit(t *testing.T) {
	g := NewWithT(t)
	var a intake.LimitTable
	a.Observe(at(2), runResponse(1, 4))
	_, changed := a.Observe(at(2.001), runResponse(1.5, -1))
	g.Expect(changed).To(BeFalse())
	g.Expect(a.Limits()).To(HaveLen(1))
}

func TestUnlistedReplicasExpire(t *testing.T) {
	g := NewWithT(t)
	var a intake.LimitTable
	a.Observe(at(1), runResponse(0, 4))
	a.RemoveExpired(at(100), func(string) bool { return true })
	a.RemoveExpired(at(150), func(string) bool { return false })
	g.Expect(a.Limits()).To(HaveLen(1), "retained in case the list contains it again")
	a.RemoveExpired(at(161), func(string) bool { return false })
	g.Expect(a.Limits()).To(BeEmpty())
}

// peerReport is a peer's report; a negative limit means that it was lifted.
func peerReport(limit float64, round uint64, seen float64) intake.ReplicaLimit {
	l := intake.ReplicaLimit{Replica: "r", Round: round, Since: start, LastObserved: at(seen)}
	if limit >= 0 {
		l.Limit = intake.Limit{Announced: true, PerSecond: limit}
	}
	return l
}

func TestLatestPeerReportWins(t *testing.T) {
	g := NewWithT(t)
	var a intake.LimitTable
	merge := func(l intake.ReplicaLimit) (changed, newer []intake.ReplicaLimit) {
		return a.Merge(at(1), []intake.ReplicaLimit{l})
	}
	changed, newer := merge(peerReport(-1, 4, 1))
	g.Expect(changed).To(BeEmpty(), "the end of an unknown limit")
	g.Expect(newer).To(BeEmpty())
	changed, _ = merge(peerReport(2, 1, 3))
	g.Expect(changed).To(ConsistOf(peerReport(2, 1, 3)))

	changed, _ = merge(peerReport(2, 1, 3.5))
	g.Expect(changed).To(BeEmpty())
	g.Expect(a.Reports(at(3))).To(BeEmpty(), "too little newer to count as a new response")
	changed, _ = merge(peerReport(2, 1, 5))
	g.Expect(changed).To(BeEmpty())
	g.Expect(a.Reports(at(3))).To(ConsistOf(peerReport(2, 1, 5)))

	changed, _ = merge(peerReport(-1, 2, 4))
	g.Expect(changed).To(HaveLen(1), "a later round, regardless of its time")
	g.Expect(a.Limits()).To(BeEmpty())
	changed, newer = merge(peerReport(2, 1, 9))
	g.Expect(changed).To(BeEmpty(), "an earlier round that arrives late")
	g.Expect(newer).To(ConsistOf(peerReport(-1, 2, 4)))

	changed, _ = merge(peerReport(3, 2, 5))
	g.Expect(changed).To(HaveLen(1), "the stricter limit of the same round")
	changed, _ = merge(peerReport(1, 2, 5))
	g.Expect(changed).To(HaveLen(1))
	changed, newer = merge(peerReport(3, 2, 6))
	g.Expect(changed).To(BeEmpty())
	g.Expect(newer).To(HaveLen(1))
}

func TestLiftedLimitIsRetained(t *testing.T) {
	g := NewWithT(t)
	var a intake.LimitTable
	a.Observe(at(1), runResponse(0, 2))
	a.Observe(at(3), runResponse(2, -1))
	a.RemoveExpired(at(17), func(string) bool { return true })
	g.Expect(a.Reports(at(16))).To(HaveLen(1), "peers are notified again and again that it was lifted")
	a.RemoveExpired(at(19), func(string) bool { return true })
	g.Expect(a.Reports(at(2))).To(BeEmpty())
}
