package intake_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/intake"
)

// leavingResponse is a response in which a replica announces that it is leaving.
func leavingResponse(replica string) intake.Answer {
	return intake.Answer{Replica: replica, Notice: intake.Notice{Leaving: true}}
}

func TestLeavingReplicaStaysLeaving(t *testing.T) {
	g := NewWithT(t)
	var l intake.Leavers
	_, first := l.Hear(at(1), intake.Answer{Replica: "r@1"})
	g.Expect(first).To(BeFalse())
	heard, first := l.Hear(at(2), leavingResponse("r@1"))
	g.Expect(first).To(BeTrue())
	g.Expect(heard).To(Equal(intake.Leaver{Replica: "r@1", At: at(2)}))
	_, first = l.Hear(at(3), leavingResponse("r@1"))
	g.Expect(first).To(BeFalse())
	_, first = l.Hear(at(4), intake.Answer{Replica: "r@1", Served: true})
	g.Expect(first).To(BeFalse(), "a response without the notice does not revoke it")
	g.Expect(l.All()).To(ConsistOf(heard), "it concerns this start of the replica only")

	g.Expect(l.Learn(at(5), []intake.Leaver{{Replica: "r@1", At: at(1)}, {Replica: "s", At: at(4)}})).To(ConsistOf(intake.Leaver{Replica: "s", At: at(4)}))
	g.Expect(l.Since(at(3))).To(ConsistOf(intake.Leaver{Replica: "s", At: at(4)}))
}

func TestLeavingReplicaIsRetainedWhileUnlisted(t *testing.T) {
	g := NewWithT(t)
	var l intake.Leavers
	l.Hear(at(0), leavingResponse("r"))
	l.Forget(at(300), func(string) bool { return true })
	l.Forget(at(330), func(string) bool { return false })
	g.Expect(l.All()).To(HaveLen(1))
	l.Forget(at(361), func(string) bool { return false })
	g.Expect(l.All()).To(BeEmpty())
}
