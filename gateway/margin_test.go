package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the margin for a stream's first event", func() {
	const ms = time.Millisecond

	It("starts from a default and then grows with the tokens to be read", func() {
		f := newStreamTimeEstimator()
		expected, deviation := f.expectFirstEvent("engines", "r", 1000)
		Expect(expected).To(Equal(defaultFirstEventTime))
		Expect(deviation).To(BeZero())
		for i := range 200 {
			tokens := 1000 * (1 + i%20)
			f.observeFirstEvent("engines", "r", tokens, 50*ms+time.Duration(tokens)*20*time.Microsecond)
		}
		small, _ := f.expectFirstEvent("engines", "r", 1000)
		large, deviation := f.expectFirstEvent("engines", "r", 30000)
		Expect(small).To(BeNumerically("~", 70*ms, 5*ms))
		Expect(large).To(BeNumerically("~", 650*ms, 10*ms))
		Expect(deviation).To(BeNumerically("<", 10*ms))
	})

	It("is part of the expected time of a whole stream, whatever its length", func() {
		f := newStreamTimeEstimator()
		Expect(f.observeTotal("engines", 1000, 5, 70*ms, 270*ms)).To(BeZero(), "nothing is known yet")
		for i := range 100 {
			tokens, events := 1000*(1+i%20), 1+i%50
			first := 50*ms + time.Duration(tokens)*20*time.Microsecond
			f.observeFirstEvent("engines", "r", tokens, first)
			f.observeTotal("engines", tokens, events, first, first+time.Duration(events-1)*40*ms)
		}
		Expect(f.observeTotal("engines", 5000, 1, 150*ms, 150*ms)).To(BeNumerically("~", 150*ms, 5*ms))
		Expect(f.observeTotal("engines", 5000, 11, 150*ms, 550*ms)).To(BeNumerically("~", 550*ms, 10*ms))
	})

	It("shares the regression line of a service, and keeps deviations by route", func() {
		f := newStreamTimeEstimator()
		for i := range 400 {
			took := 100 * ms
			if i%2 == 0 {
				took = 300 * ms
			}
			f.observeFirstEvent("engines", "uneven", 1000, took)
			f.observeFirstEvent("engines", "even", 1000, 200*ms)
		}
		_, uneven := f.expectFirstEvent("engines", "uneven", 1000)
		_, even := f.expectFirstEvent("engines", "even", 1000)
		Expect(uneven).To(BeNumerically("~", 100*ms, 20*ms))
		Expect(even).To(BeNumerically("<", 20*ms))
		other, _ := f.expectFirstEvent("other", "even", 1000)
		Expect(other).To(Equal(defaultFirstEventTime))
	})
})
