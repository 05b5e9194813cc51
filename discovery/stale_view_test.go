package discovery_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/wire"
)

// Guards against peers waiting for a host that reads the store for all, has lost it for
// seconds, and can still be reached.
var _ = Describe("a host that has lost the store", func() {
	It("answers peers before the requested wait ends that its view is old, so that they can ask elsewhere", func() {
		f := newTestFleet(1)
		f.run("host-1")
		Eventually(func() bool { return f.discoveries["host-1"].View().Ready() }, "2s").Should(BeTrue())
		f.setStoreDown("host-1", true)
		request := func() (took, age time.Duration) {
			v := f.discoveries["host-1"].View()
			started := time.Now()
			reply := &wire.NewsReply{}
			err := localCaller{f.hosts, "host-9"}.Call(context.Background(), "host-1", "discovery.changes", &wire.NewsRequest{
				ConfigRevision: 1 << 40, ReplicaBuckets: v.Buckets(), WaitMs: uint32((5 * bound).Milliseconds()),
				AgeMs: time.Since(v.AsOf).Milliseconds(),
			}, reply)
			Expect(err).NotTo(HaveOccurred())
			return time.Since(started), time.Duration(reply.GetAgeMs()) * time.Millisecond
		}
		Eventually(func() bool { return time.Since(f.discoveries["host-1"].View().AsOf) > bound }, "5s").Should(BeTrue())
		took, age := request()
		Expect(took).To(BeNumerically("<", bound), "the requested wait is five times that")
		Expect(age).To(BeNumerically(">", bound/2))
	})
})
