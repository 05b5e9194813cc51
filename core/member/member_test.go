package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/wire"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "core/member")
}

const slotTest SlotID = 100
const slotFleet SlotID = 101

func withSlots(c *Config) {
	c.Slots = []SlotConfig{{ID: slotTest, MaxBytes: 64}, {ID: slotFleet, MaxBytes: 64, FleetWide: true}}
}

var _ = Describe("the overlay", func() {
	It("gives every host a bounded number of targets and of probers", func() {
		var names []string
		for _, h := range hostsOf(410, 8) {
			names = append(names, h.Name)
		}
		probers := map[string]int{}
		for _, name := range names {
			near := neighbours(name, names, 8)
			Expect(len(near)).To(BeNumerically("<=", 8))
			Expect(near).NotTo(ContainElement(name))
			for _, x := range near {
				probers[x]++
			}
		}
		for _, name := range names {
			Expect(probers[name]).To(And(BeNumerically(">=", 5), BeNumerically("<=", 8)), name)
		}
	})
	It("changes for few hosts when one goes", func() {
		var names []string
		for _, h := range hostsOf(100, 4) {
			names = append(names, h.Name)
		}
		changed := 0
		for _, name := range names[1:] {
			if fmt.Sprint(neighbours(name, names, 8)) != fmt.Sprint(neighbours(name, names[1:], 8)) {
				changed++
			}
		}
		Expect(changed).To(BeNumerically("<=", 8))
	})
})

var _ = Describe("membership", func() {
	It("finds everybody alive and fresh, and stays quiet", func() {
		f := newFleet(40, 4, 1, nil)
		_, ok := f.until(60*time.Second, f.each(func(n *node) bool { return n.m.Fresh() && n.m.LiveHosts() == 40 }))
		Expect(ok).To(BeTrue())
		f.run(60 * time.Second)
		for _, name := range f.names {
			Expect(f.nodes[name].m.Stats().Suspicions).To(BeZero())
			for _, m := range f.nodes[name].m.Members() {
				Expect(m.State).To(Equal(Alive), m.Host.Name)
			}
		}
	})

	It("declares a killed host dead everywhere, and the replacement of its name alive", func() {
		f := newFleet(40, 4, 2, nil)
		f.run(20 * time.Second)
		f.nodes["entry-007"].up = false
		_, ok := f.until(30*time.Second, f.all("entry-007", Dead))
		Expect(ok).To(BeTrue())
		old := f.nodes["entry-006"].m.hosts["entry-007"].incarnation
		f.start(Host{"entry-007", "domain-3"}, hostsOf(40, 4), nil)
		_, ok = f.until(30*time.Second, f.all("entry-007", Alive))
		Expect(ok).To(BeTrue())
		Expect(f.nodes["entry-006"].m.hosts["entry-007"].incarnation).To(BeNumerically(">", old))
	})

	It("tells a process whose name lives on in a later one that it is superseded", func() {
		f := newFleet(7, 3, 3, nil)
		f.run(10 * time.Second)
		old := f.nodes["entry-002"]
		old.up = false
		f.start(Host{"entry-002", "domain-2"}, hostsOf(7, 3), nil)
		later := f.nodes["entry-002"].m.self.incarnation
		_, ok := f.until(20*time.Second, func() bool { return f.nodes["entry-000"].m.hosts["entry-002"].incarnation == later })
		Expect(ok).To(BeTrue())
		// The old process, woken when the news has long spread, pings a peer
		// and reads the answer.
		f.run(60 * time.Second)
		Expect(f.nodes["entry-000"].m.rumors.queue).To(BeEmpty())
		// It notices the pause with whatever comes first.
		out := old.m.Step(f.now, SetSlot{ID: slotTest})
		Expect(out).To(ConsistOf(FreshnessChanged{false}, BeAssignableToTypeOf(Rejected{})))
		ping := &wire.MemberPing{Seq: 9, Digest: old.m.digest(f.now, "entry-000", false)}
		for _, a := range f.nodes["entry-000"].m.Step(f.now, MessageReceived{"entry-002", ping}) {
			if s, ok := a.(Send); ok {
				old.m.Step(f.now, MessageReceived{"entry-000", s.Msg})
			}
		}
		Expect(old.m.Superseded()).To(BeTrue())
		Expect(f.nodes["entry-002"].m.Superseded()).To(BeFalse())
	})

	It("keeps a host alive whose link to one prober is cut", func() {
		f := newFleet(7, 3, 4, nil)
		f.run(10 * time.Second)
		f.cut = func(from, to string) bool { return from == "entry-000" && to == "entry-001" }
		f.run(60 * time.Second)
		Expect(f.states("entry-001")[Dead]).To(BeZero())
		Expect(f.nodes["entry-000"].m.Stats().IndirectProbes).To(BeNumerically(">", 0))
		Expect(f.nodes["entry-000"].m.Stats().Deaths).To(BeZero())
	})

	It("lets a host that hears but is not heard be dead, and nobody else", func() {
		f := newFleet(12, 3, 5, nil)
		f.run(10 * time.Second)
		f.cut = func(from, _ string) bool { return from == "entry-003" }
		_, ok := f.until(60*time.Second, func() bool { return f.states("entry-003")[Dead] == 11 })
		Expect(ok).To(BeTrue())
		f.run(30 * time.Second)
		for _, name := range f.names {
			if name != "entry-003" {
				Expect(f.states(name)[Dead]).To(BeNumerically("<=", 1), name)
			}
		}
	})

	It("does not declare a short pause dead, and refutes after a long one", func() {
		f := newFleet(12, 3, 6, nil)
		f.run(20 * time.Second)
		n := f.nodes["entry-004"]
		// The pause falls between a ping and its answer.
		_, ok := f.until(5*time.Second, func() bool { return len(n.m.probes) > 0 })
		Expect(ok).To(BeTrue())
		n.paused = true
		f.run(2500 * time.Millisecond)
		f.wake("entry-004")
		Expect(n.m.Fresh()).To(BeFalse())
		_, ok = f.until(15*time.Second, func() bool { return n.m.Fresh() && f.all("entry-004", Alive)() })
		Expect(ok).To(BeTrue())
		Expect(n.m.Stats().Suspicions).To(BeZero())
		for _, name := range f.names {
			Expect(f.nodes[name].m.Stats().Deaths).To(BeZero())
		}
		n.paused = true
		_, ok = f.until(40*time.Second, f.all("entry-004", Dead))
		Expect(ok).To(BeTrue())
		f.run(20 * time.Second)
		incarnation := n.m.self.incarnation
		f.wake("entry-004")
		Expect(n.m.Fresh()).To(BeFalse())
		// It blames nobody for its own silence.
		_, ok = f.until(20*time.Second, func() bool { return n.m.Fresh() && f.all("entry-004", Alive)() })
		Expect(ok).To(BeTrue())
		Expect(n.m.Stats().Deaths).To(BeZero())
		Expect(f.nodes["entry-000"].m.hosts["entry-004"].incarnation).To(Equal(incarnation))
	})

	It("splits and heals with a partition", func() {
		f := newFleet(40, 4, 7, nil)
		f.run(20 * time.Second)
		side := func(name string) bool { return f.nodes[name].m.cfg.Self.FailureDomain == "domain-0" }
		f.cut = func(from, to string) bool { return side(from) != side(to) }
		_, ok := f.until(45*time.Second, f.each(func(n *node) bool { l := n.m.LiveHosts(); return l == 10 || l == 30 }))
		Expect(ok).To(BeTrue())
		f.cut = func(string, string) bool { return false }
		_, ok = f.until(60*time.Second, f.each(func(n *node) bool { return n.m.LiveHosts() == 40 && n.m.Fresh() }))
		Expect(ok).To(BeTrue())
		_, ok = f.until(60*time.Second, f.each(func(n *node) bool { return n.m.hash == f.nodes["entry-000"].m.hash }))
		Expect(ok).To(BeTrue())
	})

	It("shows hosts that drain", func() {
		f := newFleet(20, 3, 8, nil)
		f.run(10 * time.Second)
		f.step("entry-005", Leave{})
		took, ok := f.until(20*time.Second, f.all("entry-005", Leaving))
		Expect(ok).To(BeTrue())
		Expect(took).To(BeNumerically("<", 5*time.Second))
	})

	It("notices a clock apart from the peers' median", func() {
		f := newFleet(7, 3, 9, nil)
		f.nodes["entry-000"].skew = 2 * time.Second
		f.run(20 * time.Second)
		for _, name := range f.names {
			Expect(f.nodes[name].m.Skewed()).To(Equal(name == "entry-000"), name)
		}
		f.step("entry-000", Configured{Hosts: hostsOf(7, 3), MaxClockSkew: 3 * time.Second})
		f.run(2 * time.Second)
		Expect(f.nodes["entry-000"].m.Skewed()).To(BeFalse())
	})

	It("refuses extensions that are too large", func() {
		c := DefaultConfig(Host{"a", "d"}, 1)
		c.Slots = []SlotConfig{{ID: 9, MaxBytes: MaxDirectBytes + 1}}
		_, err := New(c, epoch, rand.New(rand.NewPCG(1, 1)))
		Expect(err).To(HaveOccurred())
	})

	It("keeps every ping small whatever the fleet does", func() {
		f := newFleet(60, 3, 10, withSlots)
		f.run(10 * time.Second)
		largest := 0
		for _, name := range f.names {
			f.step(name, SetSlot{ID: slotFleet, Value: make([]byte, 64)})
		}
		for _, name := range f.names {
			d := f.nodes[name].m.digest(f.now, "entry-000", false)
			largest = max(largest, itemBytes(d.GetItems()))
		}
		Expect(largest).To(BeNumerically("<=", DefaultConfig(Host{}, 0).MaxItemBytes+MaxFleetBytes))
	})
})

func itemBytes(i *wire.MemberItems) int { return len(i.String()) / 2 }

var _ = Describe("extensions", func() {
	It("hands direct values to neighbours and fleet values to all", func() {
		f := newFleet(40, 4, 11, withSlots)
		f.run(5 * time.Second)
		f.reset()
		f.step("entry-009", SetSlot{ID: slotTest, Value: []byte("near")})
		f.step("entry-009", SetSlot{ID: slotFleet, Value: []byte("far"), Urgent: true})
		heard := func(id SlotID) int {
			count := 0
			for _, name := range f.names {
				for _, a := range f.nodes[name].actions {
					if s, ok := a.(SlotReceived); ok && s.ID == id && s.Host == "entry-009" {
						count++
						break
					}
				}
			}
			return count
		}
		_, ok := f.until(30*time.Second, func() bool { return heard(slotFleet) == 39 })
		Expect(ok).To(BeTrue())
		f.run(10 * time.Second)
		Expect(heard(slotTest)).To(And(BeNumerically(">", 6), BeNumerically("<=", 25)))
	})
	It("tells values sent before a pause from answers after it", func() {
		f := newFleet(7, 3, 18, withSlots)
		for _, name := range f.names {
			f.step(name, SetSlot{ID: slotTest, Value: []byte("x")})
		}
		f.run(10 * time.Second)
		n := f.nodes["entry-000"]
		n.paused = true
		f.run(10 * time.Second)
		n.actions = nil
		solicited := func() (yes, no int) {
			for _, a := range n.actions {
				if s, ok := a.(SlotReceived); ok && s.Solicited {
					yes++
				} else if ok {
					no++
				}
			}
			return yes, no
		}
		f.wake("entry-000")
		yes, no := solicited()
		Expect(yes).To(BeZero())
		Expect(no).To(BeNumerically(">", 0))
		f.run(time.Second)
		yes, _ = solicited()
		Expect(yes).To(BeNumerically(">", 3), "all neighbours are asked at once")
		Expect(n.m.Fresh()).To(BeTrue())
	})
	It("forgets the values of an earlier incarnation", func() {
		f := newFleet(7, 3, 12, withSlots)
		f.step("entry-001", SetSlot{ID: slotFleet, Value: []byte("old")})
		f.run(20 * time.Second)
		Expect(f.nodes["entry-002"].m.fleetSlot("entry-001", slotFleet)).NotTo(BeNil())
		f.nodes["entry-001"].up = false
		f.run(20 * time.Second)
		f.start(Host{"entry-001", "domain-1"}, hostsOf(7, 3), withSlots)
		f.run(20 * time.Second)
		Expect(f.nodes["entry-002"].m.fleetSlot("entry-001", slotFleet)).To(BeNil())
	})
	It("refuses a value over its bound", func() {
		f := newFleet(2, 1, 13, withSlots)
		out := f.nodes["entry-000"].m.Step(f.now, SetSlot{ID: slotTest, Value: make([]byte, 65)})
		Expect(out).To(ConsistOf(BeAssignableToTypeOf(Rejected{})))
	})
})

var _ = Describe("leaving upstreams", func() {
	leaving := func(name string) func(*node) bool {
		return func(n *node) bool {
			for _, u := range n.m.LeavingUpstreams() {
				if u == name {
					return true
				}
			}
			return false
		}
	}
	DescribeTable("are known everywhere within seconds of one daemon's knowing", func(size int) {
		f := newFleet(size, 4, 14, nil)
		f.run(20 * time.Second)
		f.step("entry-000", UpstreamReported{"llm-3", true, f.now.UnixMilli()})
		took, ok := f.until(30*time.Second, f.each(leaving("llm-3")))
		Expect(ok).To(BeTrue())
		Expect(took).To(BeNumerically("<", 3*time.Second))
	},
		Entry("at 7 hosts", 7),
		Entry("at 100 hosts", 100),
	)
	It("are not brought back by a lagging list, but by their own later word", func() {
		f := newFleet(7, 3, 15, nil)
		f.run(5 * time.Second)
		at := f.now.UnixMilli()
		f.step("entry-000", UpstreamReported{"llm-3", true, at})
		f.run(5 * time.Second)
		f.step("entry-001", HostList{AsOfUnixMS: at + 1000, Upstreams: []ListedUpstream{{"llm-3", false}}})
		f.run(5 * time.Second)
		Expect(f.each(leaving("llm-3"))()).To(BeTrue())
		f.step("entry-002", UpstreamReported{"llm-3", false, f.now.UnixMilli()})
		f.run(5 * time.Second)
		Expect(f.each(func(n *node) bool { return !leaving("llm-3")(n) })()).To(BeTrue())
	})
	It("are brought back by a list that is newer by the hold-down", func() {
		f := newFleet(7, 3, 16, nil)
		at := f.now.UnixMilli()
		f.step("entry-000", HostList{AsOfUnixMS: at, Upstreams: []ListedUpstream{{"llm-3", true}}})
		f.run(40 * time.Second)
		Expect(f.each(leaving("llm-3"))()).To(BeTrue())
		f.step("entry-001", HostList{AsOfUnixMS: at + 31_000, Upstreams: []ListedUpstream{{"llm-3", false}}})
		f.run(5 * time.Second)
		Expect(f.each(func(n *node) bool { return !leaving("llm-3")(n) })()).To(BeTrue())
	})
	It("reach a daemon that was cut off, after the heal", func() {
		f := newFleet(12, 3, 17, nil)
		f.run(10 * time.Second)
		f.cut = func(from, to string) bool { return from == "entry-005" || to == "entry-005" }
		f.run(5 * time.Second)
		f.step("entry-000", UpstreamReported{"llm-9", true, f.now.UnixMilli()})
		f.run(90 * time.Second)
		Expect(leaving("llm-9")(f.nodes["entry-005"])).To(BeFalse())
		f.cut = func(string, string) bool { return false }
		_, ok := f.until(30*time.Second, f.each(leaving("llm-9")))
		Expect(ok).To(BeTrue())
	})
})
