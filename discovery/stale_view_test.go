package discovery_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/wire"
)

// The pattern: the host that reads the store for all is cut off from it for
// seconds, and is still reachable for its fellows.
var _ = Describe("a host that has lost the store", func() {
	It("answers fellows at once that its view is old, so that they do not grow old with it", func() {
		d := newTestFleet(1)
		d.run("host-1")
		Eventually(func() bool { return d.discoveries["host-1"].View().Ready() }, "2s").Should(BeTrue())
		d.setStoreDown("host-1", true)
		ask := func() (took, age time.Duration) {
			v := d.discoveries["host-1"].View()
			began := time.Now()
			reply := &wire.NewsReply{}
			err := localCaller{d.hosts, "host-9"}.Call(context.Background(), "host-1", "discovery.changes", &wire.NewsRequest{
				ConfigRevision: 1 << 40, ReplicaBuckets: v.Buckets(), WaitMs: uint32((5 * bound).Milliseconds()),
				AgeMs: time.Since(v.AsOf).Milliseconds(),
			}, reply)
			Expect(err).NotTo(HaveOccurred())
			return time.Since(began), time.Duration(reply.GetAgeMs()) * time.Millisecond
		}
		Eventually(func() bool { return time.Since(d.discoveries["host-1"].View().AsOf) > bound }, "5s").Should(BeTrue())
		took, age := ask()
		Expect(took).To(BeNumerically("<", bound), "it was asked to wait for five times that")
		Expect(age).To(BeNumerically(">", bound/2))
	})
})
