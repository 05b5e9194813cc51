package stage

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
)

var _ = Describe("services with many replicas", func() {
	// The same load and faults, once with all replicas looked at for each decision and once
	// with samples only.
	It("attain as much from samples as from scans", func() {
		const end, seeds = 24, 4
		attained := func(maxScanned int) (sum float64) {
			for seed := range uint64(seeds) {
				s := newSixDomainSim(seed, 3)
				s.m = New(Config{MaxScannedReplicas: maxScanned})
				s.step(s.configured)
				s.randomFaults()
				s.run(end * time.Second)
				sum += s.attainedValue(0, end) / seeds
			}
			return sum
		}
		scanned, sampled := attained(1000), attained(1)
		GinkgoWriter.Printf("attained: %.4f scanned, %.4f sampled\n", scanned, sampled)
		Expect(sampled).To(BeNumerically(">", scanned-0.01))
	})

	It("have few of them queried for their memory by a planner of one job", func() {
		h := newHarness(pieceParams(20, 1000), "x")
		var e Configured
		e.Services = map[string]*catalog.Service{"a": {Name: "a", StageProfile: &h.m.services["a"].params}}
		for i := range 3000 {
			id := fmt.Sprintf("a%d", i)
			e.Replicas = append(e.Replicas, catalog.Replica{ID: id, Service: "a", Address: id, FailureDomain: "x", Concurrency: 1})
		}
		h.m.Step(h.now, e)
		queries := 0
		for _, a := range h.m.Step(h.now, Submitted{h.newChain("only", Stage{Service: "a", Pieces: 2, ResultBytes: 10})}) {
			if _, ok := a.(QueryMemory); ok {
				queries++
			}
		}
		Expect(queries).To(BeNumerically("<=", sampledReplicas+memoryQueriesPerCall))
	})

	It("keep the list of idle replicas in step with calls and listings", func() {
		h := newHarness(pieceParams(20, 1000), "x", "y")
		s := h.m.services["a"]
		consistent := func() {
			n := 0
			for _, r := range s.replicas {
				idle := r.listed && !r.Draining && len(r.calls) < s.params.Concurrency
				Expect(r.idleAt > 0).To(Equal(idle), r.ID)
				if idle {
					n++
					Expect(s.idle.byDomain[r.FailureDomain][r.idleAt-1]).To(BeIdenticalTo(r))
				}
			}
			Expect(s.idle.count).To(Equal(n))
		}
		consistent()
		for i := range 6 {
			h.submit(h.newChain(fmt.Sprint("j", i), Stage{Service: "a", Pieces: 1, ResultBytes: 10}))
			consistent()
		}
		running := s.replicas[0]
		e := Configured{Services: map[string]*catalog.Service{"a": {Name: "a", StageProfile: &s.params}}}
		for _, r := range s.replicas[1:] {
			listed := r.Replica
			listed.Draining = r.ID == s.replicas[1].ID
			e.Replicas = append(e.Replicas, listed)
		}
		h.m.Step(h.now, e)
		Expect(running.listed).To(BeFalse())
		consistent()
	})
})
