package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/fleet"
)

var _ = Describe("hosts in backoff", func() {
	It("are excluded for their backoff and dropped when another host is added", func() {
		var a fleet.HostBackoff
		now := time.Now()
		Expect(a.Excludes("a", now)).To(BeFalse())
		Expect(a.Names()).To(BeEmpty())
		a.Add("b", time.Millisecond)
		a.Add("a", time.Hour)
		Expect(a.Excludes("a", now)).To(BeTrue())
		Expect(a.Excludes("a", now.Add(2*time.Hour))).To(BeFalse())
		Expect(a.Names()).To(ContainElement("a"))
		time.Sleep(2 * time.Millisecond)
		a.Add("c", time.Hour)
		Expect(a.Names()).To(Equal([]string{"a", "c"}))
	})
})
