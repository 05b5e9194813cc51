package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the margin for a stream's first event", func() {
	const ms = time.Millisecond

	It("starts from a guess and then grows with the tokens to be read", func() {
		f := newFirstEvents()
		expected, deviation := f.expect("engines", "r", 1000)
		Expect(expected).To(Equal(startFirst))
		Expect(deviation).To(BeZero())
		for i := range 200 {
			tokens := 1000 * (1 + i%20)
			f.observe("engines", "r", tokens, 50*ms+time.Duration(tokens)*20*time.Microsecond)
		}
		small, _ := f.expect("engines", "r", 1000)
		large, deviation := f.expect("engines", "r", 30000)
		Expect(small).To(BeNumerically("~", 70*ms, 5*ms))
		Expect(large).To(BeNumerically("~", 650*ms, 10*ms))
		Expect(deviation).To(BeNumerically("<", 10*ms))
	})

	It("shares the line of a service, and keeps deviations by route", func() {
		f := newFirstEvents()
		for i := range 400 {
			took := 100 * ms
			if i%2 == 0 {
				took = 300 * ms
			}
			f.observe("engines", "uneven", 1000, took)
			f.observe("engines", "even", 1000, 200*ms)
		}
		_, uneven := f.expect("engines", "uneven", 1000)
		_, even := f.expect("engines", "even", 1000)
		Expect(uneven).To(BeNumerically("~", 100*ms, 20*ms))
		Expect(even).To(BeNumerically("<", 20*ms))
		other, _ := f.expect("other", "even", 1000)
		Expect(other).To(Equal(startFirst))
	})
})
