package stage

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// A replica restarts at the same address and has lost its results.
var _ = Describe("a replica that has restarted", func() {
	// restart applies a configuration in which the only replica of service a has restarted.
	restart := func(h *harness, service *catalog.Service) {
		e := Configured{Services: map[string]*catalog.Service{}}
		for _, name := range []string{"a", "b", "c"} {
			e.Services[name] = &catalog.Service{Name: name, StageProfile: service.StageProfile}
			id := name + "1"
			if name == "a" {
				id = "a1@2"
			}
			e.Replicas = append(e.Replicas, catalog.Replica{ID: id, Service: name, Address: name + "1:80", FailureDomain: "x", Concurrency: 1})
		}
		h.step(e)
	}
	service := pieceParams(20, 100)

	It("is not asked to release results of its previous run, and its memory is free", func() {
		h := newHarness(service, "x")
		h.submit(h.newChain("j", Stage{Service: "a", Pieces: 1, ResultBytes: 100}, Stage{Service: "b", Pieces: 1}))
		h.answer(1)
		clear(h.results) // lost in the restart
		restart(h, service)
		Expect(h.submit(h.newChain("k", Stage{Service: "a", Pieces: 1, ResultBytes: 100}))).To(HaveLen(1), "the memory is free")
		releasedBefore := h.released
		h.endJob("j", Cancelled{Job: "j"})
		Expect(h.released).To(Equal(releasedBefore), "a result of the previous run is not released at the restarted replica")
	})

	It("is sent the pieces of its previous run again, even if their call is answered", func() {
		h := newHarness(service, "x")
		run := h.submit(h.newChain("j", Stage{Service: "a", Pieces: 1, ResultBytes: 100}, Stage{Service: "b", Pieces: 1}))[0]
		restart(h, service)
		retried := h.answer(run.Call)
		Expect(retried).To(HaveLen(1))
		Expect(retried[0].Service).To(Equal("a"))
		Expect(retried[0].Replica).To(Equal("a1@2"))
		h.answerAll()
		Expect(h.ready).To(HaveKey("j"))
	})

	It("holds none of the results of its previous run that another planner knows of", func() {
		h := newHarness(service, "x")
		restart(h, service)
		j := h.newChain("j", Stage{Service: "a", Pieces: 1, ResultBytes: 100}, Stage{Service: "b", Pieces: 1})
		j.Completed = []CompletedPiece{{Stage: 0, Index: 0, Handle: "old/1", Replica: "a1"}}
		runs := h.submit(j)
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Service).To(Equal("a"))
	})
})
