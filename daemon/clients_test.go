package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
)

var _ = Describe("clients", func() {
	bundleOf := func(pools ...bundle.Pool) *bundle.Bundle { return &bundle.Bundle{Pools: pools} }
	lm := bundle.Pool{Name: "lm", Kind: bundle.PoolEngine, MaxConnections: 8}
	seals := bundle.Pool{Name: "seals", Kind: bundle.PoolService}

	It("are reused for the next bundle unless the connection limit changes", func() {
		first := newClients(bundleOf(lm, seals), nil, time.Now)
		grown := lm
		grown.MaxConnections = 16
		second := newClients(bundleOf(grown, seals), first, time.Now)
		Expect(second.services["seals"]).To(BeIdenticalTo(first.services["seals"]))
		Expect(second.engines["lm"]).NotTo(BeIdenticalTo(first.engines["lm"]))
		third := newClients(bundleOf(grown), second, time.Now)
		Expect(third.engines["lm"]).To(BeIdenticalTo(second.engines["lm"]))
		Expect(third.services).To(BeEmpty())
	})

	It("fail a call to a pool of another kind as not executed", func() {
		s := &session{clients: newClients(bundleOf(lm), nil, time.Now)}
		ended := (&Daemon{}).callService(GinkgoT().Context(), s, request.Call{
			Attempt: 3, Stage: bundle.Stage{Pool: "lm", Kind: bundle.StageCall},
		})
		Expect(ended.NotExecuted).To(BeTrue())
		Expect(ended.Attempt).To(Equal(3))
	})
})
