package daemon

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/member"
)

// TestOwnerThatIsGone: a request waits for the result of one with the same key as long
// as the host of that one answers, also while it leaves.
func TestOwnerThatIsGone(t *testing.T) {
	g := NewWithT(t)
	const started = 7
	in := func(s member.State, incarnation uint64) bool {
		return processUnavailable([]member.Member{{Host: member.Host{Name: "entry-1"}, State: s, Incarnation: incarnation}}, "entry-1", started)
	}
	g.Expect(in(member.Alive, started)).To(BeFalse())
	g.Expect(in(member.Dead, started)).To(BeTrue())
	g.Expect(in(member.Alive, started+1)).To(BeTrue(), "another process of the host")
	g.Expect(in(member.Leaving, started+1)).To(BeTrue(), "another process of the host")
	g.Expect(processUnavailable(nil, "entry-1", started)).To(BeTrue(), "no longer a host")
	g.Expect(in(member.Suspect, started)).To(BeTrue(), "it does not answer")
	g.Expect(in(member.Leaving, started)).To(BeFalse(), "it sees its requests through")
}
