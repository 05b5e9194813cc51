package position_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/position"
)

func TestPositionsAreOrderedAsPairs(t *testing.T) {
	g := NewWithT(t)
	ordered := []uint64{0, 1, position.Of(0, 55), position.Of(0, 1<<39), position.Of(1, 0), position.Of(1, 51), position.Of(2, 1), position.Of(1<<20, 7)}
	for i := 1; i < len(ordered); i++ {
		g.Expect(ordered[i]).To(BeNumerically(">", ordered[i-1]))
	}
	for _, c := range [][2]uint64{{0, 0}, {0, 55}, {3, 51}, {1<<24 - 1, 1<<40 - 1}} {
		p := position.Of(c[0], c[1])
		g.Expect([2]uint64{position.Era(p), position.Revision(p)}).To(Equal(c))
	}
	g.Expect(position.Of(0, 55)).To(Equal(uint64(55)), "daemons without eras send bare revisions")
	g.Expect(position.Of(1, 1<<63)).To(BeNumerically("<", position.Of(2, 0)))
}
