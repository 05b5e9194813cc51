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

	// fail reports n failures of lm, spread over a second.
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

	It("opens a pool that fails whole and lets one request in an interval through", func() {
		fail(12)
		Expect(s.Open()).To(Equal([]string{"lm"}))
		admitted := 0
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			if allowed() {
				admitted++
			}
		}
		Expect(admitted).To(Equal(4))
	})

	It("closes at the first success", func() {
		fail(12)
		Expect(allowed()).To(BeFalse())
		s.Succeeded("lm")
		Expect(allowed()).To(BeTrue())
		Expect(s.Open()).To(BeEmpty())
	})

	It("leaves requests alone that do not need the pool", func() {
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
		Entry("after few failures", func() { fail(11) }),
		Entry("after a burst of failures in an instant", func() {
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
