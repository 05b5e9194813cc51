package estimate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/estimate"
)

func TestEstimate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "estimate")
}

var _ = Describe("a linear model", func() {
	ms := func(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

	at := func(l *estimate.LinearModel, size float64) time.Duration {
		GinkgoHelper()
		took, ok := l.At(size)
		Expect(ok).To(BeTrue())
		return took
	}

	It("has no estimate before it has measurements", func() {
		var l estimate.LinearModel
		_, ok := l.At(1)
		Expect(ok).To(BeFalse())
	})

	It("fits the constant and the cost per unit despite noise", func() {
		r := rand.New(rand.NewPCG(1, 2))
		var l estimate.LinearModel
		for range 2000 {
			size := 1000 + 20000*r.Float64()
			l.Observe(size, ms(50+0.02*size+20*(r.Float64()-0.5)))
		}
		for _, size := range []float64{0, 5000, 40000} {
			Expect(at(&l, size)).To(BeNumerically("~", ms(50+0.02*size), ms(10)), "size %v", size)
		}
	})

	It("returns the mean when all sizes are equal, and never decreases with the size", func() {
		var equalSizes, decreasing estimate.LinearModel
		for i := range 50 {
			equalSizes.Observe(7, ms(100))
			decreasing.Observe(float64(i), ms(float64(100-i)))
		}
		Expect(at(&equalSizes, 7000)).To(BeNumerically("~", ms(100), ms(1)))
		Expect(at(&decreasing, 1000)).To(Equal(at(&decreasing, 0)))
	})

	// Guards against a slope made of rounding errors, which multiply-add instructions leave in the
	// difference of two large sums.
	It("has no slope from equal sizes whose durations differ", func() {
		for _, size := range []float64{0.1, 7, 12345.678, 3e6} {
			var l estimate.LinearModel
			for i := range 1000 {
				l.Observe(size, ms(100+float64(i%3-1)))
				if i >= 50 {
					Expect(at(&l, 1000*size)).To(BeNumerically("~", ms(100), ms(1)), "size %v, %d measurements", size, i+1)
				}
			}
		}
	})

	It("adapts to a change", func() {
		var l estimate.LinearModel
		for range 1000 {
			l.Observe(1, ms(100))
		}
		for range 1500 {
			l.Observe(1, ms(300))
		}
		Expect(at(&l, 1)).To(BeNumerically("~", ms(300), ms(5)))
	})

	It("never returns a negative duration", func() {
		var l estimate.LinearModel
		for i := range 50 {
			l.Observe(float64(100+i), ms(float64(10*i)))
		}
		Expect(at(&l, 0)).To(BeZero())
	})
})

var _ = Describe("a mean deviation", func() {
	It("averages absolute differences in both directions", func() {
		var d estimate.Deviation
		for i := range 400 {
			took := 100 * time.Millisecond
			if i%2 == 0 {
				took = 60 * time.Millisecond
			}
			d.Observe(took, 80*time.Millisecond)
		}
		Expect(d.Mean()).To(BeNumerically("~", 20*time.Millisecond, time.Millisecond))
	})
})
