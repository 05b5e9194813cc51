package intake_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/intake"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// answered is a run's answer; limit under 0 names none.
func answered(sent, limit float64) intake.Answer {
	a := intake.Answer{Replica: "r", Sent: at(sent), Served: true}
	if limit >= 0 {
		a.Notice.Limit = intake.Limit{Named: true, PerSecond: limit}
	}
	return a
}

func TestLimitHoldsUntilARunIsAnsweredWithoutIt(t *testing.T) {
	g := NewWithT(t)
	var a intake.Account
	_, changed := a.Hear(at(1), answered(0, -1))
	g.Expect(changed).To(BeFalse())
	l, changed := a.Hear(at(2), answered(1.9, 4))
	g.Expect(changed).To(BeTrue())
	g.Expect(l).To(Equal(intake.Limited{Replica: "r", Limit: intake.Limit{Named: true, PerSecond: 4}, Since: at(2), At: at(2)}))
	_, changed = a.Hear(at(3), answered(2.9, 4))
	g.Expect(changed).To(BeFalse())
	l, changed = a.Hear(at(4), answered(3.9, 0.5))
	g.Expect(changed).To(BeTrue(), "it names another limit")
	g.Expect(l.Since).To(Equal(at(2)))
	g.Expect(a.Limits()).To(ConsistOf(l))

	refused := answered(4.5, -1)
	refused.Served = false
	_, changed = a.Hear(at(5), refused)
	g.Expect(changed).To(BeFalse(), "a refusal")
	l, changed = a.Hear(at(6), answered(5.9, -1))
	g.Expect(changed).To(BeTrue())
	g.Expect(l.Limit.Named).To(BeFalse())
	g.Expect(a.Limits()).To(BeEmpty())
}

func TestAnswerOvertakenByOneThatNamesALimitLiftsNothing(t *testing.T) {
	g := NewWithT(t)
	var a intake.Account
	a.Hear(at(2), answered(1, 4))
	_, changed := a.Hear(at(2.001), answered(1.5, -1))
	g.Expect(changed).To(BeFalse())
	g.Expect(a.Limits()).To(HaveLen(1))
}

func TestReplicasThatAreNotListedAreForgotten(t *testing.T) {
	g := NewWithT(t)
	var a intake.Account
	a.Hear(at(1), answered(0, 4))
	a.Forget(func(string) bool { return true })
	g.Expect(a.Limits()).To(HaveLen(1))
	a.Forget(func(string) bool { return false })
	g.Expect(a.Limits()).To(BeEmpty())
}
