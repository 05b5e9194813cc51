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

	It("returns the highest-ranked hosts in order", func() {
		r := rand.New(rand.NewPCG(1, 2))
		for range 50 {
			hosts := newRoster(host("self", 1+r.IntN(3), uint64(r.IntN(4))))
			for i := range r.IntN(20) {
				hosts.add(host(fmt.Sprint("h", i), 1+r.IntN(3), uint64(r.IntN(4))))
			}
			all := hosts.all()
			slices.SortFunc(all, Host.Compare)
			Expect(hosts.topRanked(3)).To(Equal(all[:min(3, len(all))]))
		}
	})

	It("is transferred in parts, also when the requester knows hosts that the seed does not", func() {
		seed, requester := newRoster(host("seed", 1, 1)), newRoster(host("requester", 1, 1))
		for i := range 1000 {
			seed.add(host(fmt.Sprint("h", i), 1, 1))
		}
		for i := range 100 {
			requester.add(host(fmt.Sprint("gone", i), 1, 1))
		}
		rounds := 0
		for ; requester.size() < 1102 && rounds < 100; rounds++ {
			known := rosterDigest(requester.all())
			reply := differingHosts(seed, known[:])
			Expect(len(reply)).To(BeNumerically("<=", maxReplyHosts))
			requester.add(reply...)
		}
		Expect(requester.size()).To(Equal(1102))
		Expect(rounds).To(BeNumerically("<", 40))
		known := rosterDigest(requester.all())
		Expect(differingHosts(requester, known[:])).To(BeEmpty())
	})

	It("lowers the rank of a restarted host and ignores older incarnations", func() {
		hosts := newRoster(host("self", 1, 20))
		hosts.add(host("old", 1, 10))
		Expect(hosts.topRanked(1)[0].Name).To(Equal("old"))
		hosts.updateIncarnation("old", 30)
		Expect(hosts.topRanked(1)[0].Name).To(Equal("self"))
		hosts.updateIncarnation("old", 10)
		hosts.updateIncarnation("unknown", 40)
		Expect(hosts.topRanked(3)).To(HaveExactElements(HaveField("Name", "self"), HaveField("Incarnation", uint64(30))))
	})
})
