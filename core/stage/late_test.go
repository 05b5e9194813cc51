package stage

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestJobHandedOverIsNotRefusedAsLate: a job that an earlier planner admitted and began
// is gone on with by the next one, also once it is due: there it would have been too.
func TestJobHandedOverIsNotRefusedAsLate(t *testing.T) {
	RegisterTestingT(t)
	b := newBench(figures(4, 0), "x")
	j := b.chain("j", Stage{Service: "a", Pieces: 1}, Stage{Service: "b", Pieces: 1})
	j.Made = []MadePiece{{Stage: 0, Index: 0, Handle: "old/1", Replica: "a1"}}
	j.Due = b.now.Add(-100 * time.Millisecond)
	b.held["old/1"] = Piece{Job: "j"}
	b.submit(j)
	Expect(b.refused).To(BeEmpty())
	b.finish()
	Expect(b.ready).To(HaveKey("j"))
}
