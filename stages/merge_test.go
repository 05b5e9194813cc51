package stages

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/stage"
)

var _ = Describe("what planners had made of a job", func() {
	made := func(stg, index int, handle string) stage.CompletedPiece {
		return stage.CompletedPiece{Stage: stg, Index: index, Handle: handle, Replica: "r"}
	}

	It("counts by its last results, also when one planner made a piece twice", func() {
		Expect(merge(nil, nil)).To(BeEmpty())
		Expect(merge(
			[]stage.CompletedPiece{made(0, 0, "a"), made(0, 1, "b")},
			[]stage.CompletedPiece{made(0, 1, "c"), made(1, 0, "d"), made(1, 0, "e")},
		)).To(Equal([]stage.CompletedPiece{made(0, 0, "a"), made(0, 1, "c"), made(1, 0, "e")}))
	})
})
