package breaker

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBreaker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "core/breaker")
}

var epoch = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

var _ = Describe("Set", func() {
	var (
		s     *Set
		now   time.Time
		pools = []string{"encoders", "lm"}
	)

	BeforeEach(func() { s, now = New(Config{}), epoch })

	// fail records n failures of the pool lm, spread over one second.
	fail := func(n int) {
		for range n {
			now = now.Add(time.Second / time.Duration(n))
			s.Failed(now, "lm")
		}
	}
	allowed := func() bool {
		_, ok := s.Allow(now, pools)
		return ok
	}

	It("opens a pool after consecutive failures and admits one request per probe interval", func() {
		fail(12)
		Expect(s.OpenPools()).To(Equal([]string{"lm"}))
		admitted := 0
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			if allowed() {
				admitted++
			}
		}
		Expect(admitted).To(Equal(4))
	})

	It("closes on the first success", func() {
		fail(12)
		Expect(allowed()).To(BeFalse())
		s.Succeeded("lm")
		Expect(allowed()).To(BeTrue())
		Expect(s.OpenPools()).To(BeEmpty())
	})

	It("admits requests that do not need the open pool", func() {
		fail(12)
		_, ok := s.Allow(now, []string{"encoders"})
		Expect(ok).To(BeTrue())
		open, _ := s.Allow(now, pools)
		Expect(open).To(Equal("lm"))
	})

	DescribeTable("stays closed", func(report func()) {
		report()
		Expect(allowed()).To(BeTrue())
	},
		Entry("below the failure threshold", func() { fail(11) }),
		Entry("after a burst of simultaneous failures", func() {
			for range 100 {
				s.Failed(now, "lm")
			}
		}),
		Entry("while some calls succeed", func() {
			for range 50 {
				fail(10)
				s.Succeeded("lm")
			}
		}),
	)
})
