package proofs

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/internal/proctest"
	"github.com/wheatseam/wheatseam/internal/standin"
)

// bundleReplacingHost0 returns a bundle with this version in which the spare host
// replaces host 0.
func bundleReplacingHost0(f *proctest.Fleet, version uint64) *bundle.Bundle {
	b := f.BundleWithVersion(version)
	b.Hosts = f.Hosts[1:]
	b.Views = []bundle.View{{Version: 1, Hosts: f.Hosts[:3]}}
	return b
}

var _ = Describe("Replacing a host does not lead to a second claim", func() {
	var f *proctest.Fleet

	BeforeEach(func() { f = startFleet(proctest.Options{SpareHosts: 1}) })

	It("on a key claimed under the old host list", func() {
		key := proctest.NewKey()
		first := f.Call(0, proctest.PipelineSeal, key, "deed")
		Expect(first.Answered()).To(BeTrue(), "%+v", first)
		Expect(f.Publish(bundleReplacingHost0(f, 2))).To(Succeed())
		Eventually(f.BundleVersions).Should(HaveEach(BeEquivalentTo(2)))
		f.Daemons[0].Kill()
		for i := 1; i < 4; i++ {
			again := retryUntilConclusive(f, i, proctest.PipelineSeal, key, "deed")
			expectAtMostOnce(f, key, first, again)
		}
		began := time.Now()
		Eventually(func() bool {
			return f.Call(3, proctest.PipelineSeal, proctest.NewKey(), "new deed").Answered()
		}).Should(BeTrue())
		AddReportEntry("new keys accepted under the new list after", time.Since(began).Round(time.Millisecond).String())
	})

	It("while a host that was suspended and isolated still uses the old host list", func() {
		Expect(f.Daemons[0].Suspend()).To(Succeed())
		Expect(f.Publish(bundleReplacingHost0(f, 2))).To(Succeed())
		Eventually(func() []uint64 { return []uint64{f.BundleVersion(1), f.BundleVersion(2), f.BundleVersion(3)} }).
			Should(HaveEach(BeEquivalentTo(2)))
		f.Isolate(0)
		f.Platform.Faults().Set(standin.Faults{Down: true})
		Expect(f.Daemons[0].Resume()).To(Succeed())
		for n := range 10 {
			key := proctest.NewKey()
			outcomes := callThroughAllHosts(f, key, fmt.Sprintf("deed %d", n))
			expectAtMostOnce(f, key, outcomes...)
		}
	})

	It("and a bundle whose earlier views lack the active host list is rejected with a log message", func() {
		b := bundleReplacingHost0(f, 2)
		b.Views = []bundle.View{{Version: 1, Hosts: f.Hosts[:2]}}
		Expect(f.Publish(b)).To(Succeed())
		Eventually(func() string { return f.Daemons[1].Log() }).Should(ContainSubstring("not a successor"))
		key := proctest.NewKey()
		outcomes := callThroughAllHosts(f, key, "deed")
		expectAtMostOnce(f, key, outcomes...)
	})
})
