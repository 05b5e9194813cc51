package discovery

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The pattern: the store is away for all, and every host of a fleet tries again.
var _ = DescribeTable("the wait after failed reads grows with the fleet", func(hosts int, bound, want time.Duration) {
	Expect(retryLimit(hosts, bound)).To(Equal(want))
},
	Entry("alone", 1, 4*time.Second, maxRetryInterval),
	Entry("a small fleet", 60, 4*time.Second, maxRetryInterval),
	Entry("a larger one", 200, 4*time.Second, 1600*time.Millisecond),
	Entry("never over half of the bound", 295, 4*time.Second, 2*time.Second),
	Entry("nor under what a small fleet waits", 3000, 600*time.Millisecond, maxRetryInterval),
)
