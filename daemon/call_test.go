package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
)

var _ = Describe("Engine priority", func() {
	soon := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

	It("is higher for a call that must start sooner", func() {
		p := bundle.Pool{Supports: bundle.UpstreamFeatures{Priority: true}}
		Expect(enginePriority(p, soon)).To(BeNumerically(">", enginePriority(p, soon.Add(time.Millisecond))))
	})

	It("is 0 for engines that do not support it", func() {
		Expect(enginePriority(bundle.Pool{}, soon)).To(BeZero())
	})
})
