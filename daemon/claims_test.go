package daemon

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/member"
)

// TestProcessUnavailable guards against treating the owner of a key as unavailable too
// early or too late: a request waits for the result of another request with the same key
// as long as the process of the other request answers, also while it is leaving.
func TestProcessUnavailable(t *testing.T) {
	g := NewWithT(t)
	const started = 7
	unavailable := func(s member.State, incarnation uint64) bool {
		return processUnavailable([]member.Member{{Host: member.Host{Name: "entry-1"}, State: s, Incarnation: incarnation}}, "entry-1", started)
	}
	g.Expect(unavailable(member.Alive, started)).To(BeFalse())
	g.Expect(unavailable(member.Dead, started)).To(BeTrue())
	g.Expect(unavailable(member.Alive, started+1)).To(BeTrue(), "the host runs a later process")
	g.Expect(unavailable(member.Leaving, started+1)).To(BeTrue(), "the host runs a later process")
	g.Expect(processUnavailable(nil, "entry-1", started)).To(BeTrue(), "the host was removed")
	g.Expect(unavailable(member.Suspect, started)).To(BeTrue(), "the process does not answer probes")
	g.Expect(unavailable(member.Leaving, started)).To(BeFalse(), "a leaving process completes its requests")
}
