package discovery

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a large fleet overloading the store with retries when it is down for all
// hosts.
var _ = DescribeTable("the limit of the wait between failing reads", func(hosts int, bound, want time.Duration) {
	Expect(retryLimit(hosts, bound)).To(Equal(want))
},
	Entry("one host", 1, 4*time.Second, maxRetryInterval),
	Entry("a small fleet", 60, 4*time.Second, maxRetryInterval),
	Entry("a larger fleet", 200, 4*time.Second, 1600*time.Millisecond),
	Entry("at most half of the bound", 295, 4*time.Second, 2*time.Second),
	Entry("at least the limit of a small fleet", 3000, 600*time.Millisecond, maxRetryInterval),
)
