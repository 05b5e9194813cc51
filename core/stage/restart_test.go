package stage

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// The pattern: a replica starts again at its address and holds nothing of before.
var _ = Describe("a replica that has started again", func() {
	// restart has the replicas listed with another start of the only one of a.
	restart := func(b *harness, service *catalog.Service) {
		e := Configured{Services: map[string]*catalog.Service{}}
		for _, name := range []string{"a", "b", "c"} {
			e.Services[name] = &catalog.Service{Name: name, Pieces: service.Pieces}
			id := name + "1"
			if name == "a" {
				id = "a1@2"
			}
			e.Replicas = append(e.Replicas, catalog.Replica{ID: id, Service: name, Address: name + "1:80", FailureDomain: "x", Concurrency: 1})
		}
		b.step(e)
	}
	service := pieceParams(20, 100)

	It("is asked for nothing that the start before held, and its room is free", func() {
		b := newHarness(service, "x")
		b.submit(b.newChain("j", Stage{Service: "a", Pieces: 1, ResultBytes: 100}, Stage{Service: "b", Pieces: 1}))
		b.answer(1)
		clear(b.results) // gone with the start before
		restart(b, service)
		Expect(b.submit(b.newChain("k", Stage{Service: "a", Pieces: 1, ResultBytes: 100}))).To(HaveLen(1), "the room is free")
		freed := b.released
		b.endJob("j", Cancelled{Job: "j"})
		Expect(b.released).To(Equal(freed), "a result of the start before is not given up at the next")
	})

	It("has what the start before was asked for made again, whoever answered", func() {
		b := newHarness(service, "x")
		run := b.submit(b.newChain("j", Stage{Service: "a", Pieces: 1, ResultBytes: 100}, Stage{Service: "b", Pieces: 1}))[0]
		restart(b, service)
		again := b.answer(run.Call)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Service).To(Equal("a"))
		Expect(again[0].Replica).To(Equal("a1@2"))
		b.answerAll()
		Expect(b.ready).To(HaveKey("j"))
	})

	It("has nothing that another planner knows of the start before", func() {
		b := newHarness(service, "x")
		restart(b, service)
		j := b.newChain("j", Stage{Service: "a", Pieces: 1, ResultBytes: 100}, Stage{Service: "b", Pieces: 1})
		j.Made = []MadePiece{{Stage: 0, Index: 0, Handle: "old/1", Replica: "a1"}}
		runs := b.submit(j)
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Service).To(Equal("a"))
	})
})
