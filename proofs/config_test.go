package proofs

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/faultrelay"
	"github.com/wheatseam/wheatseam/internal/proctest"
	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/internal/standin/platform"
)

var _ = Describe("A published configuration", func() {
	It("is active on all hosts within seconds", func() {
		f := startFleet(proctest.Options{})
		Expect(f.Publish(f.BundleWithVersion(2))).To(Succeed())
		began := time.Now()
		Eventually(f.BundleVersions).Should(Equal([]uint64{2, 2, 2}))
		AddReportEntry("active on all hosts after", time.Since(began).Round(time.Millisecond).String())
	})

	It("does not revert when the service returns an older version, not even on a host that restarts", func() {
		f := startFleet(proctest.Options{})
		Expect(f.Publish(f.BundleWithVersion(3))).To(Succeed())
		Eventually(f.BundleVersions).Should(Equal([]uint64{3, 3, 3}))
		Expect(f.Publish(f.BundleWithVersion(2))).To(Succeed())
		f.Daemons[0].Kill()
		Expect(f.StartDaemon(0)).To(Succeed())
		Eventually(func() bool { return f.Ready(0) }).Should(BeTrue())
		Expect(f.BundleVersion(0)).To(BeEquivalentTo(3), "ready with an older bundle")
		Consistently(f.BundleVersions, time.Second).Should(Equal([]uint64{3, 3, 3}))
	})

	It("stays in use while the service is down, and a restarted host gets it from its peers", func() {
		f := startFleet(proctest.Options{})
		Expect(f.Publish(f.BundleWithVersion(4))).To(Succeed())
		Eventually(f.BundleVersions).Should(Equal([]uint64{4, 4, 4}))
		f.Platform.Faults().Set(standin.Faults{Down: true})
		f.Daemons[2].Kill()
		Expect(f.StartDaemon(2)).To(Succeed())
		Eventually(func() uint64 { return f.BundleVersion(2) }).Should(BeEquivalentTo(4))
		o := f.Call(0, proctest.PipelineSummary, "", "text")
		Expect(o.Answered()).To(BeTrue(), "%+v", o)
	})

	It("reaches a host that was isolated once its connections work again", func() {
		f := startFleet(proctest.Options{})
		f.Isolate(2)
		f.Platform.Faults().Set(standin.Faults{Stale: true})
		Consistently(f.BundleVersions, 300*time.Millisecond).Should(Equal([]uint64{1, 1, 1}))
		f.Platform.Faults().Set(standin.Faults{})
		Expect(f.Publish(f.BundleWithVersion(5))).To(Succeed())
		Eventually(func() []uint64 { return f.BundleVersions()[:2] }).Should(Equal([]uint64{5, 5}))
		f.Heal()
		Eventually(f.BundleVersions).Should(Equal([]uint64{5, 5, 5}))
	})

	It("is rejected with a log message if its signature is invalid or a known version has other content", func() {
		f := startFleet(proctest.Options{})
		Expect(f.Publish(f.BundleWithVersion(2))).To(Succeed())
		Eventually(f.BundleVersions).Should(Equal([]uint64{2, 2, 2}))
		other := f.BundleWithVersion(2)
		other.Deployment = "another"
		Expect(f.Publish(other)).To(Succeed())
		anyLog := func() string { return f.Daemons[0].Log() + f.Daemons[1].Log() + f.Daemons[2].Log() }
		Eventually(anyLog).Should(ContainSubstring("bundle conflict"))
		signed, err := f.SignedBundle(f.BundleWithVersion(9))
		Expect(err).NotTo(HaveOccurred())
		signed[20] ^= 1
		f.Platform.SetValue("bundle", signed)
		Eventually(anyLog).Should(ContainSubstring("bundle rejected"))
		Expect(f.BundleVersions()).To(Equal([]uint64{2, 2, 2}))
	})

	It("remains that of a request admitted under it when a new one arrives", func() {
		f := startFleet(proctest.Options{})
		f.SetPoolFaults("encoders", standin.Faults{ResponseDelayMS: 600})
		done := make(chan proctest.Outcome, 1)
		go func() { done <- f.Call(0, proctest.PipelineSummary, "", "text") }()
		Eventually(f.StartedCount).Should(Equal(1))
		Expect(f.Publish(f.BundleWithVersion(2))).To(Succeed())
		Eventually(f.BundleVersions).Should(Equal([]uint64{2, 2, 2}))
		o := <-done
		Expect(o.Answered()).To(BeTrue(), "%+v", o)
		Expect(o.BundleVersion).To(BeEquivalentTo(1))
	})

	It("is replaced only by a higher version, in whatever order versions are published", func() {
		f := startFleet(proctest.Options{})
		highest := uint64(0)
		for _, v := range []uint64{5, 3, 7, 6, 4} {
			Expect(f.Publish(f.BundleWithVersion(v))).To(Succeed())
			highest = max(highest, v)
			if v == highest {
				Eventually(f.BundleVersions).Should(Equal([]uint64{v, v, v}))
			} else {
				Consistently(f.BundleVersions, 500*time.Millisecond).Should(HaveEach(highest))
			}
		}
	})
})

var _ = Describe("An upstream that is leaving receives no new work after a few seconds", func() {
	const leaving = "encoders-1"

	DescribeTable("known from", func(announce func(f *proctest.Fleet)) {
		f := startFleet(proctest.Options{})
		began := time.Now()
		announce(f)
		// The start of the last execution there shows when new work stopped.
		last := began
		Eventually(func() bool {
			for i := range f.Daemons {
				f.Call(i, proctest.PipelineSummary, "", "text")
			}
			if t := f.LastStart(leaving); t.After(last) {
				last = t
			}
			return time.Since(last) > 2*time.Second
		}).Should(BeTrue())
		AddReportEntry("last new work started after", last.Sub(began).Round(time.Millisecond).String())
		Expect(last.Sub(began)).To(BeNumerically("<", 6*time.Second))
	},
		Entry("the host list", func(f *proctest.Fleet) {
			f.Platform.SetHosts([]platform.Host{{
				Name: leaving, Address: f.Pool("encoders").Upstreams[0].Address, Role: "upstream", State: "leaving",
			}})
		}),
		Entry("its own load report while the platform is down", func(f *proctest.Fleet) {
			f.Platform.Faults().Set(standin.Faults{Down: true})
			f.Upstream.Faults(leaving).Set(standin.Faults{Leaving: true})
		}),
		Entry("a peer, on a host that cannot read the host list", func(f *proctest.Fleet) {
			f.Platform.SetHosts([]platform.Host{{
				Name: leaving, Address: f.Pool("encoders").Upstreams[0].Address, Role: "upstream", State: "leaving",
			}})
			Eventually(func() []string { return f.LeavingUpstreams(0) }).Should(ContainElement(leaving))
			f.Platform.Faults().Set(standin.Faults{Down: true})
			f.Daemons[2].Kill()
			Expect(f.StartDaemon(2)).To(Succeed())
			Expect(f.WaitReady(15 * time.Second)).To(Succeed())
		}),
	)
})

var _ = Describe("A partition", func() {
	It("lets both sides serve repeatable requests, and non-repeatable ones on one side at most", func() {
		f := startFleet(proctest.Options{})
		f.Isolate(0)
		for i := range f.Daemons {
			o := f.Call(i, proctest.PipelineSummary, "", "text")
			Expect(o.Answered()).To(BeTrue(), "host %d: %+v", i, o)
		}
		key := proctest.NewKey()
		outcomes := callThroughAllHosts(f, key, "deed")
		expectAtMostOnce(f, key, outcomes...)
		Expect(outcomes[0].Answered()).To(BeFalse(), "%+v", outcomes[0])
		f.Heal()
		Eventually(func() bool { return f.Call(0, proctest.PipelineSeal, proctest.NewKey(), "deed").Answered() }).Should(BeTrue())
	})

	It("in one direction only does not run a non-repeatable request twice either", func() {
		f := startFleet(proctest.Options{})
		f.SetLinkConditions(0, 1, faultrelay.Conditions{ToTarget: faultrelay.Direction{Blackhole: true}})
		f.SetLinkConditions(1, 0, faultrelay.Conditions{ToCaller: faultrelay.Direction{Blackhole: true}})
		for n := range 5 {
			key := proctest.NewKey()
			outcomes := callThroughAllHosts(f, key, fmt.Sprintf("deed %d", n))
			expectAtMostOnce(f, key, outcomes...)
		}
	})
})
