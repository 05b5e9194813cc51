package stages

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/stage"
)

var _ = Describe("merging the pieces completed by several planners", func() {
	completed := func(stg, index int, handle string) stage.CompletedPiece {
		return stage.CompletedPiece{Stage: stg, Index: index, Handle: handle, Replica: "r"}
	}

	It("keeps the last result of a piece, also if one planner ran it twice", func() {
		Expect(mergeCompleted(nil, nil)).To(BeEmpty())
		Expect(mergeCompleted(
			[]stage.CompletedPiece{completed(0, 0, "a"), completed(0, 1, "b")},
			[]stage.CompletedPiece{completed(0, 1, "c"), completed(1, 0, "d"), completed(1, 0, "e")},
		)).To(Equal([]stage.CompletedPiece{completed(0, 0, "a"), completed(0, 1, "c"), completed(1, 0, "e")}))
	})
})
