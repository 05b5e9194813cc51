package peer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/faultrelay"
)

var _ = Describe("a host after a suspension", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet(GinkgoT().TempDir()) })

	It("verifies its sessions, and calls wait for the result", func() {
		cfg := f.config("a")
		a := f.start(cfg)
		b := f.start(f.config("b"))
		relay, err := faultrelay.New(faultrelay.Config{Target: b.Addr()})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
		f.setAddress("b", relay.Address())
		Expect(echo(a, "b", "1", time.Second)).To(Equal("a:1"))

		By("keeping a session whose peer answers")
		before := a.Sessions()[0].Opened
		clock.SimulateSuspension(time.Minute)
		Expect(echo(a, "b", "2", 5*time.Second)).To(Equal("a:2"))
		Expect(a.Sessions()).To(HaveExactElements(HaveField("Opened", before)))

		By("closing a session that went silent during the suspension, without losing a call on it")
		Expect(relay.BlackholeOpenConnections()).To(Equal(1))
		clock.SimulateSuspension(time.Minute)
		Eventually(func() int { return len(a.Sessions()) }, "5s", "1ms").Should(BeZero(), "closed although no call was made")
		Expect(echo(a, "b", "3", 5*time.Second)).To(Equal("a:3"))
	})
})
