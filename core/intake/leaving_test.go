package intake_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/intake"
)

// leavingResponse is a response in which a replica announces that it is leaving.
func leavingResponse(replica string) intake.ReplicaResponse {
	return intake.ReplicaResponse{Replica: replica, Notice: intake.Notice{Leaving: true}}
}

func TestLeavingReplicaStaysLeaving(t *testing.T) {
	g := NewWithT(t)
	var l intake.LeavingReplicas
	_, first := l.Observe(at(1), intake.ReplicaResponse{Replica: "r@1"})
	g.Expect(first).To(BeFalse())
	observed, first := l.Observe(at(2), leavingResponse("r@1"))
	g.Expect(first).To(BeTrue())
	g.Expect(observed).To(Equal(intake.LeavingReplica{Replica: "r@1", AnnouncedAt: at(2)}))
	_, first = l.Observe(at(3), leavingResponse("r@1"))
	g.Expect(first).To(BeFalse())
	_, first = l.Observe(at(4), intake.ReplicaResponse{Replica: "r@1", Served: true})
	g.Expect(first).To(BeFalse(), "a response without the notice does not revoke it")
	g.Expect(l.All()).To(ConsistOf(observed), "it concerns this start of the replica only")

	g.Expect(l.Merge(at(5), []intake.LeavingReplica{{Replica: "r@1", AnnouncedAt: at(1)}, {Replica: "s", AnnouncedAt: at(4)}})).To(ConsistOf(intake.LeavingReplica{Replica: "s", AnnouncedAt: at(4)}))
	g.Expect(l.ObservedAfter(at(3))).To(ConsistOf(intake.LeavingReplica{Replica: "s", AnnouncedAt: at(4)}))
}

func TestLeavingReplicaIsRetainedWhileUnlisted(t *testing.T) {
	g := NewWithT(t)
	var l intake.LeavingReplicas
	l.Observe(at(0), leavingResponse("r"))
	l.RemoveExpired(at(300), func(string) bool { return true })
	l.RemoveExpired(at(330), func(string) bool { return false })
	g.Expect(l.All()).To(HaveLen(1))
	l.RemoveExpired(at(361), func(string) bool { return false })
	g.Expect(l.All()).To(BeEmpty())
}
