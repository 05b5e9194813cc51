package standin

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("LoadReporter", func() {
	start := time.UnixMilli(1_000_000)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	It("reports the load as of one lag ago", func() {
		r := NewLoadReporter(800*time.Millisecond, Load{Slots: 4})
		r.Update(at(0), Load{Slots: 4, Running: 1})
		r.Update(at(500), Load{Slots: 4, Running: 2})
		Expect(r.Report(at(700)).Running).To(Equal(0))
		Expect(r.Report(at(1000)).Running).To(Equal(1))
		Expect(r.Report(at(1500)).Running).To(Equal(2))
		Expect(r.Report(at(1500)).AsOfUnixMS).To(Equal(at(700).UnixMilli()))
	})

	It("keeps the last of many rapid updates in bounded memory", func() {
		r := NewLoadReporter(800*time.Millisecond, Load{})
		for i := range 10_000 {
			r.Update(at(i), Load{Running: i})
		}
		Expect(len(r.samples)).To(BeNumerically("<=", bucketsPerLag+1))
		Expect(r.Report(at(20_000)).Running).To(Equal(9999))
	})

	It("reports updates immediately without a lag", func() {
		r := NewLoadReporter(0, Load{})
		r.Update(at(0), Load{Running: 3})
		Expect(r.Report(at(0)).Running).To(Equal(3))
	})
})
