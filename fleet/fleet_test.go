package fleet_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/peer"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

var nextIP atomic.Uint32

// address returns an address that no other test process uses.
func address() string {
	return fmt.Sprintf("127.%d.%d.%d:7401", 2+os.Getpid()>>8&0x7f, os.Getpid()&0xff, nextIP.Add(1))
}

func start(self string, capacity int, seeds ...string) (*fleet.Fleet, func()) {
	f, err := fleet.New(fleet.Config{
		Self:  fleet.Host{Host: member.Host{Name: self, FailureDomain: "x"}, Capacity: capacity},
		Seeds: seeds, Listen: self, Mux: peer.NewMux(), Logger: zap.NewNop(),
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	stop := func() { cancel(); <-done }
	DeferCleanup(stop)
	return f, stop
}

func names(f *fleet.Fleet) func() []string {
	return func() []string {
		var out []string
		for _, h := range f.Reachable() {
			out = append(out, h.Name)
		}
		return out
	}
}

var _ = Describe("a fleet", func() {
	It("is discovered through one live seed while another seed is down", func() {
		a, b, c, stopped := address(), address(), address(), address()
		first, _ := start(a, 1, stopped, a)
		second, _ := start(b, 1, stopped, a)
		third, _ := start(c, 1, stopped, a)
		for _, f := range []*fleet.Fleet{first, second, third} {
			Eventually(names(f), "5s").Should(ConsistOf(a, b, c))
		}
	})

	It("returns the seeds as reachable while none has answered", func() {
		self, seed := address(), address()
		f, _ := start(self, 1, seed)
		Expect(names(f)()).To(ConsistOf(self, seed))
	})

	It("forms at once on a seed that is alone, and on a host whose seed has formed", func() {
		a, b := address(), address()
		first, _ := start(a, 1, a)
		Eventually(first.Formed(), "500ms").Should(BeClosed())
		second, _ := start(b, 1, a)
		Eventually(second.Formed(), "500ms").Should(BeClosed())
		Expect(names(second)()).To(ConsistOf(a, b))
	})

	It("forms after a second when its seeds do not answer", func() {
		f, _ := start(address(), 1, address(), address())
		Consistently(f.Formed(), "500ms").ShouldNot(BeClosed())
		Eventually(f.Formed(), "2s").Should(BeClosed())
	})

	It("reports the host list as complete once it has formed, but not while no seed has answered", func() {
		complete := func(f *fleet.Fleet) func() bool {
			return func() bool { _, all := f.KnownHosts(); return all }
		}
		a, b := address(), address()
		first, _ := start(a, 1, a)
		second, stop := start(b, 1, a)
		for _, f := range []*fleet.Fleet{first, second} {
			Eventually(complete(f), "5s").Should(BeTrue())
			Eventually(func() []string { all, _ := f.KnownHosts(); return all }, "5s").Should(ConsistOf(a, b))
		}
		stop()
		Consistently(func() []string { all, _ := first.KnownHosts(); return all }, "500ms").Should(ConsistOf(a, b), "a stopped host may return")

		isolated, _ := start(address(), 1, address(), address())
		Eventually(isolated.Formed(), "2s").Should(BeClosed())
		Expect(complete(isolated)()).To(BeFalse())
	})

	It("agrees on the highest-ranked host once it has formed when all hosts start together and the seeds start last", func() {
		seeds := []string{address(), address()}
		var all []*fleet.Fleet
		for range 8 {
			f, _ := start(address(), 1, seeds...)
			all = append(all, f)
		}
		time.Sleep(200 * time.Millisecond) // seeds may start later than other hosts
		for _, s := range seeds {
			f, _ := start(s, 1, seeds...)
			all = append(all, f)
		}
		started := time.Now()
		first := map[string]int{}
		for _, f := range all {
			Eventually(f.Formed(), "3s").Should(BeClosed())
			first[ranked(f)[0]]++
		}
		Expect(first).To(HaveLen(1))
		Expect(time.Since(started)).To(BeNumerically("<", 900*time.Millisecond), "seeds report it after their settle time")
		By("learning the names of all hosts soon after")
		for _, f := range all {
			Eventually(names(f), "3s").Should(HaveLen(len(all)))
			Expect(f.KnownHostCount()).To(Equal(len(all)))
		}
	})

	It("ranks hosts by capacity, then by the start of the process", func() {
		a, b, c := address(), address(), address()
		first, _ := start(a, 1, a)
		time.Sleep(5 * time.Millisecond)
		start(b, 1, a)
		time.Sleep(5 * time.Millisecond)
		third, _ := start(c, 4, a)
		for _, f := range []*fleet.Fleet{first, third} {
			Eventually(names(f), "5s").Should(HaveLen(3))
			Expect(ranked(f)).To(Equal([]string{c, a, b}))
		}
	})

	It("excludes leaving and dead hosts from the reachable ones", func() {
		a, b, c := address(), address(), address()
		first, _ := start(a, 1, a)
		second, _ := start(b, 1, a)
		_, stop := start(c, 1, a)
		Eventually(names(first), "5s").Should(ConsistOf(a, b, c))
		second.Leave()
		Eventually(names(first), "5s").Should(ConsistOf(a, c))
		stop()
		Eventually(names(first), "20s").Should(ConsistOf(a))
	})

	// A seed that restarts knows nobody until the others ask it again, which they do every few
	// seconds. It would use the shares of the whole fleet beside them.
	It("is not complete at its only seed, which restarts, until the seed knows all hosts again", func() {
		seed := address()
		_, stop := start(seed, 1, seed)
		all := []string{seed}
		var others []*fleet.Fleet
		for range 5 {
			all = append(all, address())
			f, _ := start(all[len(all)-1], 1, seed)
			others = append(others, f)
		}
		for _, f := range others {
			Eventually(names(f), "5s").Should(ConsistOf(all))
		}
		stop()
		restarted, _ := start(seed, 1, seed)
		var known []string
		Eventually(func() bool {
			var complete bool
			known, complete = restarted.KnownHosts()
			return complete
		}, "10s", "1ms").Should(BeTrue())
		Expect(known).To(ConsistOf(all))
	})

	It("lists a restarted host with its new incarnation", func() {
		a, b := address(), address()
		first, _ := start(a, 1, a)
		_, stop := start(b, 1, a)
		Eventually(names(first), "5s").Should(ConsistOf(a, b))
		before := incarnation(first, b)
		stop()
		time.Sleep(5 * time.Millisecond)
		start(b, 1, a)
		Eventually(func() uint64 { return incarnation(first, b) }, "5s").Should(BeNumerically(">", before))
		Eventually(names(first), "5s").Should(ConsistOf(a, b))
	})
})

func incarnation(f *fleet.Fleet, name string) uint64 {
	for _, h := range f.Reachable() {
		if h.Name == name {
			return h.Incarnation
		}
	}
	return 0
}

// ranked returns the names of the reachable hosts in order of rank.
func ranked(f *fleet.Fleet) []string {
	hosts := f.Reachable()
	slices.SortFunc(hosts, fleet.Host.Compare)
	var out []string
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	return out
}
