package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/member"
)

var _ = Describe("a roster", func() {
	host := func(name string, capacity int, incarnation uint64) Host {
		return Host{Host: member.Host{Name: name}, Capacity: capacity, Incarnation: incarnation}
	}

	It("names the hosts that rank first, in order, without sorting all", func() {
		r := rand.New(rand.NewPCG(1, 2))
		for range 50 {
			ros := newRoster(host("self", 1+r.IntN(3), uint64(r.IntN(4))))
			for i := range r.IntN(20) {
				ros.add(host(fmt.Sprint("h", i), 1+r.IntN(3), uint64(r.IntN(4))))
			}
			all := ros.all()
			slices.SortFunc(all, Host.Compare)
			Expect(ros.first(3)).To(Equal(all[:min(3, len(all))]))
		}
	})

	It("is told in parts, whatever the asker knows and the teller does not", func() {
		seed, asker := newRoster(host("seed", 1, 1)), newRoster(host("asker", 1, 1))
		for i := range 1000 {
			seed.add(host(fmt.Sprint("h", i), 1, 1))
		}
		for i := range 100 {
			asker.add(host(fmt.Sprint("gone", i), 1, 1))
		}
		rounds := 0
		for ; asker.size() < 1102 && rounds < 100; rounds++ {
			known := digestOf(asker.all())
			named := unlike(seed.all(), known[:])
			Expect(len(named)).To(BeNumerically("<=", maxNamed))
			asker.add(named...)
		}
		Expect(asker.size()).To(Equal(1102))
		Expect(rounds).To(BeNumerically("<", 40))
		known := digestOf(asker.all())
		Expect(unlike(asker.all(), known[:])).To(BeEmpty())
	})

	It("ranks a host anew that says when it has restarted, and never goes back", func() {
		ros := newRoster(host("self", 1, 20))
		ros.add(host("old", 1, 10))
		Expect(ros.first(1)[0].Name).To(Equal("old"))
		ros.restarted("old", 30)
		Expect(ros.first(1)[0].Name).To(Equal("self"))
		ros.restarted("old", 10)
		ros.restarted("unknown", 40)
		Expect(ros.first(3)).To(HaveExactElements(HaveField("Name", "self"), HaveField("Incarnation", uint64(30))))
	})
})
