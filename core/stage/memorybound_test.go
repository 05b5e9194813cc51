package stage

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// newFourDomainSim returns a deployment of four failure domains in which result memory is
// scarcer than call capacity: the most and the least urgent kind pass through three
// services one after the other, and the kind with the large results through the first.
func newFourDomainSim(seed uint64) *loadSim {
	s := newLoadSim(seed)
	domains := []string{"d0", "d1", "d2", "d3"}
	e := Configured{Services: map[string]*catalog.Service{}}
	s.service(&e, "audit", limitedParams(14, 15, 17_000_000), 18, domains)
	s.service(&e, "notify", limitedParams(40, 5.1, 4_400_000), 15, domains)
	s.service(&e, "store", limitedParams(50, 4.1, 550_000), 18, domains)
	s.kinds = threeKinds(1,
		kindParams{41.3, 1700 * time.Millisecond, 4.5, 0.67}, kindParams{116, 2200 * time.Millisecond, 1.9, 0.28},
		kindParams{61.6, 2300 * time.Millisecond, 0.48, 0.072})
	s.configured = e
	s.step(e)
	return s
}

// The most urgent kind arrives 2.4 times as often as usual for six seconds, which is as
// much as the replicas' call capacity and more than their memory allows.
var _ = Describe("a burst of the most urgent kind with scarce result memory", func() {
	const end, review, summary, extract = 20, 0, 1, 2
	for seed := range uint64(4) {
		It("degrades the least urgent kind more, is refused mostly on arrival, and ends soon after", func() {
			s := newFourDomainSim(seed)
			s.kinds[summary].burst(5*time.Second, 6*time.Second, 2.4)
			s.run(end * time.Second)
			Expect(s.kinds[review].attainedValue(0, end)).To(BeNumerically(">", 0.98), s.table(end))
			Expect(s.kinds[summary].attainedValue(4, 12)).To(BeNumerically(">", s.kinds[extract].attainedValue(4, 12)), s.table(end))
			Expect(s.kinds[summary].answeredShare(4, 12)).To(BeNumerically(">", 0.95), s.table(end))
			Expect(s.kinds[summary].attainedValue(4, 12)).To(BeNumerically(">", 0.75), "a quarter exceeds the capacity\n"+s.table(end))
			Expect(s.attainedValue(13, end)).To(BeNumerically(">", 0.95), "two seconds after the burst\n"+s.table(end))
			Expect(s.refusedAfterAdmission).To(BeNumerically("<", s.kinds[extract].total(0, end).arrived/50), "jobs refused after admission")
		})
	}
})
