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

const directTestSlot SlotID = 100
const fleetTestSlot SlotID = 101

func withTestSlots(c *Config) {
	c.Slots = []SlotConfig{{ID: directTestSlot, MaxBytes: 64}, {ID: fleetTestSlot, MaxBytes: 64, FleetWide: true}}
}

var _ = Describe("the overlay", func() {
	It("gives every host a limited number of targets and probers", func() {
		var names []string
		for _, h := range makeHosts(410, 8) {
			names = append(names, h.Name)
		}
		probers := map[string]int{}
		for _, name := range names {
			targets := selectNeighbours(name, names, 8)
			Expect(len(targets)).To(BeNumerically("<=", 8))
			Expect(targets).NotTo(ContainElement(name))
			for _, x := range targets {
				probers[x]++
			}
		}
		for _, name := range names {
			Expect(probers[name]).To(And(BeNumerically(">=", 5), BeNumerically("<=", 8)), name)
		}
	})
	It("changes for few hosts when one is removed", func() {
		var names []string
		for _, h := range makeHosts(100, 4) {
			names = append(names, h.Name)
		}
		changed := 0
		for _, name := range names[1:] {
			if fmt.Sprint(selectNeighbours(name, names, 8)) != fmt.Sprint(selectNeighbours(name, names[1:], 8)) {
				changed++
			}
		}
		Expect(changed).To(BeNumerically("<=", 8))
	})
})

var _ = Describe("membership", func() {
	It("marks all hosts alive, becomes fresh, and raises no suspicions", func() {
		f := newFleet(40, 4, 1, nil)
		_, ok := f.runUntil(60*time.Second, f.onAllNodes(func(n *node) bool { return n.machine.Fresh() && n.machine.LiveHosts() == 40 }))
		Expect(ok).To(BeTrue())
		f.run(60 * time.Second)
		for _, name := range f.names {
			Expect(f.nodes[name].machine.Stats().Suspicions).To(BeZero())
			for _, m := range f.nodes[name].machine.Members() {
				Expect(m.State).To(Equal(Alive), m.Host.Name)
			}
		}
	})

	It("declares a killed host dead everywhere, and a new process under its name alive", func() {
		f := newFleet(40, 4, 2, nil)
		f.run(20 * time.Second)
		f.nodes["entry-007"].up = false
		_, ok := f.runUntil(30*time.Second, f.allSee("entry-007", Dead))
		Expect(ok).To(BeTrue())
		old := f.nodes["entry-006"].machine.hosts["entry-007"].incarnation
		f.start(Host{"entry-007", "domain-3"}, makeHosts(40, 4), nil)
		_, ok = f.runUntil(30*time.Second, f.allSee("entry-007", Alive))
		Expect(ok).To(BeTrue())
		Expect(f.nodes["entry-006"].machine.hosts["entry-007"].incarnation).To(BeNumerically(">", old))
	})

	It("lets a resumed process detect that a later process under its name has superseded it", func() {
		f := newFleet(7, 3, 3, nil)
		f.run(10 * time.Second)
		old := f.nodes["entry-002"]
		old.up = false
		f.start(Host{"entry-002", "domain-2"}, makeHosts(7, 3), nil)
		later := f.nodes["entry-002"].machine.self.incarnation
		_, ok := f.runUntil(20*time.Second, func() bool { return f.nodes["entry-000"].machine.hosts["entry-002"].incarnation == later })
		Expect(ok).To(BeTrue())
		// The old process resumes after the gossip about the new one has ended,
		// pings a peer and reads the answer.
		f.run(60 * time.Second)
		Expect(f.nodes["entry-000"].machine.gossip.queue).To(BeEmpty())
		// The first event of any kind makes it detect the pause.
		out := old.machine.Step(f.now, SetSlot{ID: directTestSlot})
		Expect(out).To(ConsistOf(FreshnessChanged{false}, BeAssignableToTypeOf(Rejected{})))
		ping := &wire.MemberPing{Seq: 9, Digest: old.machine.buildDigest(f.now, "entry-000", false)}
		for _, a := range f.nodes["entry-000"].machine.Step(f.now, MessageReceived{"entry-002", ping}) {
			if s, ok := a.(Send); ok {
				old.machine.Step(f.now, MessageReceived{"entry-000", s.Msg})
			}
		}
		Expect(old.machine.Superseded()).To(BeTrue())
		Expect(f.nodes["entry-002"].machine.Superseded()).To(BeFalse())
	})

	It("keeps a host alive whose link from one prober is broken", func() {
		f := newFleet(7, 3, 4, nil)
		f.run(10 * time.Second)
		f.dropped = func(from, to string) bool { return from == "entry-000" && to == "entry-001" }
		f.run(60 * time.Second)
		Expect(f.stateCounts("entry-001")[Dead]).To(BeZero())
		Expect(f.nodes["entry-000"].machine.Stats().IndirectProbes).To(BeNumerically(">", 0))
		Expect(f.nodes["entry-000"].machine.Stats().Deaths).To(BeZero())
	})

	It("declares a host dead whose outgoing messages are lost, and no other host", func() {
		f := newFleet(12, 3, 5, nil)
		f.run(10 * time.Second)
		f.dropped = func(from, _ string) bool { return from == "entry-003" }
		_, ok := f.runUntil(60*time.Second, func() bool { return f.stateCounts("entry-003")[Dead] == 11 })
		Expect(ok).To(BeTrue())
		f.run(30 * time.Second)
		for _, name := range f.names {
			if name != "entry-003" {
				Expect(f.stateCounts(name)[Dead]).To(BeNumerically("<=", 1), name)
			}
		}
	})

	It("does not declare a host dead for a short pause, and lets it refute after a long one", func() {
		f := newFleet(12, 3, 6, nil)
		f.run(20 * time.Second)
		n := f.nodes["entry-004"]
		// The pause starts between a ping and its answer.
		_, ok := f.runUntil(5*time.Second, func() bool { return len(n.machine.probes) > 0 })
		Expect(ok).To(BeTrue())
		n.paused = true
		f.run(2500 * time.Millisecond)
		f.resume("entry-004")
		Expect(n.machine.Fresh()).To(BeFalse())
		_, ok = f.runUntil(15*time.Second, func() bool { return n.machine.Fresh() && f.allSee("entry-004", Alive)() })
		Expect(ok).To(BeTrue())
		Expect(n.machine.Stats().Suspicions).To(BeZero())
		for _, name := range f.names {
			Expect(f.nodes[name].machine.Stats().Deaths).To(BeZero())
		}
		n.paused = true
		_, ok = f.runUntil(40*time.Second, f.allSee("entry-004", Dead))
		Expect(ok).To(BeTrue())
		f.run(20 * time.Second)
		incarnation := n.machine.self.incarnation
		f.resume("entry-004")
		Expect(n.machine.Fresh()).To(BeFalse())
		// It declares no other host dead because of its own pause.
		_, ok = f.runUntil(20*time.Second, func() bool { return n.machine.Fresh() && f.allSee("entry-004", Alive)() })
		Expect(ok).To(BeTrue())
		Expect(n.machine.Stats().Deaths).To(BeZero())
		Expect(f.nodes["entry-000"].machine.hosts["entry-004"].incarnation).To(Equal(incarnation))
	})

	It("recovers the full view after a partition heals", func() {
		f := newFleet(40, 4, 7, nil)
		f.run(20 * time.Second)
		inDomain0 := func(name string) bool { return f.nodes[name].machine.cfg.Self.FailureDomain == "domain-0" }
		f.dropped = func(from, to string) bool { return inDomain0(from) != inDomain0(to) }
		_, ok := f.runUntil(45*time.Second, f.onAllNodes(func(n *node) bool { l := n.machine.LiveHosts(); return l == 10 || l == 30 }))
		Expect(ok).To(BeTrue())
		f.dropped = func(string, string) bool { return false }
		_, ok = f.runUntil(60*time.Second, f.onAllNodes(func(n *node) bool { return n.machine.LiveHosts() == 40 && n.machine.Fresh() }))
		Expect(ok).To(BeTrue())
		_, ok = f.runUntil(60*time.Second, f.onAllNodes(func(n *node) bool { return n.machine.stateHash == f.nodes["entry-000"].machine.stateHash }))
		Expect(ok).To(BeTrue())
	})

	It("marks draining hosts as leaving", func() {
		f := newFleet(20, 3, 8, nil)
		f.run(10 * time.Second)
		f.step("entry-005", Leave{})
		took, ok := f.runUntil(20*time.Second, f.allSee("entry-005", Leaving))
		Expect(ok).To(BeTrue())
		Expect(took).To(BeNumerically("<", 5*time.Second))
	})

	It("detects a clock that differs from the peers' median", func() {
		f := newFleet(7, 3, 9, nil)
		f.nodes["entry-000"].clockSkew = 2 * time.Second
		f.run(20 * time.Second)
		for _, name := range f.names {
			Expect(f.nodes[name].machine.Skewed()).To(Equal(name == "entry-000"), name)
		}
		f.step("entry-000", Configured{Hosts: makeHosts(7, 3), MaxClockSkew: 3 * time.Second})
		f.run(2 * time.Second)
		Expect(f.nodes["entry-000"].machine.Skewed()).To(BeFalse())
	})

	It("rejects a direct slot above the limit", func() {
		c := DefaultConfig(Host{"a", "d"}, 1)
		c.Slots = []SlotConfig{{ID: 9, MaxBytes: MaxDirectSlotBytes + 1}}
		_, err := New(c, startTime, rand.New(rand.NewPCG(1, 1)))
		Expect(err).To(HaveOccurred())
	})

	It("limits the gossip in a ping when all hosts change at once", func() {
		f := newFleet(60, 3, 10, withTestSlots)
		f.run(10 * time.Second)
		largest := 0
		for _, name := range f.names {
			f.step(name, SetSlot{ID: fleetTestSlot, Value: make([]byte, 64)})
		}
		for _, name := range f.names {
			d := f.nodes[name].machine.buildDigest(f.now, "entry-000", false)
			largest = max(largest, itemBytes(d.GetItems()))
		}
		Expect(largest).To(BeNumerically("<=", DefaultConfig(Host{}, 0).MaxGossipBytes+MaxFleetSlotBytes))
	})
})

func itemBytes(i *wire.MemberItems) int { return len(i.String()) / 2 }

var _ = Describe("slots", func() {
	It("delivers direct slots to neighbours and fleet-wide slots to all hosts", func() {
		f := newFleet(40, 4, 11, withTestSlots)
		f.run(5 * time.Second)
		f.resetCounters()
		f.step("entry-009", SetSlot{ID: directTestSlot, Value: []byte("near")})
		f.step("entry-009", SetSlot{ID: fleetTestSlot, Value: []byte("far"), Urgent: true})
		receivers := func(id SlotID) int {
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
		_, ok := f.runUntil(30*time.Second, func() bool { return receivers(fleetTestSlot) == 39 })
		Expect(ok).To(BeTrue())
		f.run(10 * time.Second)
		Expect(receivers(directTestSlot)).To(And(BeNumerically(">", 6), BeNumerically("<=", 25)))
	})
	It("distinguishes values sent before a pause from answers after it", func() {
		f := newFleet(7, 3, 18, withTestSlots)
		for _, name := range f.names {
			f.step(name, SetSlot{ID: directTestSlot, Value: []byte("x")})
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
		f.resume("entry-000")
		yes, no := solicited()
		Expect(yes).To(BeZero())
		Expect(no).To(BeNumerically(">", 0))
		f.run(time.Second)
		yes, _ = solicited()
		Expect(yes).To(BeNumerically(">", 3), "all neighbours are pinged at once")
		Expect(n.machine.Fresh()).To(BeTrue())
	})
	It("removes the values of an earlier incarnation", func() {
		f := newFleet(7, 3, 12, withTestSlots)
		f.step("entry-001", SetSlot{ID: fleetTestSlot, Value: []byte("old")})
		f.run(20 * time.Second)
		Expect(f.nodes["entry-002"].machine.fleetSlot("entry-001", fleetTestSlot)).NotTo(BeNil())
		f.nodes["entry-001"].up = false
		f.run(20 * time.Second)
		f.start(Host{"entry-001", "domain-1"}, makeHosts(7, 3), withTestSlots)
		f.run(20 * time.Second)
		Expect(f.nodes["entry-002"].machine.fleetSlot("entry-001", fleetTestSlot)).To(BeNil())
	})
	It("refuses a value above its limit", func() {
		f := newFleet(2, 1, 13, withTestSlots)
		out := f.nodes["entry-000"].machine.Step(f.now, SetSlot{ID: directTestSlot, Value: make([]byte, 65)})
		Expect(out).To(ConsistOf(BeAssignableToTypeOf(Rejected{})))
	})
})

var _ = Describe("leaving upstreams", func() {
	leaving := func(name string) func(*node) bool {
		return func(n *node) bool {
			for _, u := range n.machine.LeavingUpstreams() {
				if u == name {
					return true
				}
			}
			return false
		}
	}
	DescribeTable("are known everywhere within seconds of the first report", func(size int) {
		f := newFleet(size, 4, 14, nil)
		f.run(20 * time.Second)
		f.step("entry-000", UpstreamReported{"llm-3", true, f.now.UnixMilli()})
		took, ok := f.runUntil(30*time.Second, f.onAllNodes(leaving("llm-3")))
		Expect(ok).To(BeTrue())
		Expect(took).To(BeNumerically("<", 3*time.Second))
	},
		Entry("at 7 hosts", 7),
		Entry("at 100 hosts", 100),
	)
	It("are not cleared by a lagging host list, but by their own later report", func() {
		f := newFleet(7, 3, 15, nil)
		f.run(5 * time.Second)
		at := f.now.UnixMilli()
		f.step("entry-000", UpstreamReported{"llm-3", true, at})
		f.run(5 * time.Second)
		f.step("entry-001", HostList{AsOfUnixMS: at + 1000, Upstreams: []ListedUpstream{{"llm-3", false}}})
		f.run(5 * time.Second)
		Expect(f.onAllNodes(leaving("llm-3"))()).To(BeTrue())
		f.step("entry-002", UpstreamReported{"llm-3", false, f.now.UnixMilli()})
		f.run(5 * time.Second)
		Expect(f.onAllNodes(func(n *node) bool { return !leaving("llm-3")(n) })()).To(BeTrue())
	})
	It("are cleared by a host list that is newer by the hold-down", func() {
		f := newFleet(7, 3, 16, nil)
		at := f.now.UnixMilli()
		f.step("entry-000", HostList{AsOfUnixMS: at, Upstreams: []ListedUpstream{{"llm-3", true}}})
		f.run(40 * time.Second)
		Expect(f.onAllNodes(leaving("llm-3"))()).To(BeTrue())
		f.step("entry-001", HostList{AsOfUnixMS: at + 31_000, Upstreams: []ListedUpstream{{"llm-3", false}}})
		f.run(5 * time.Second)
		Expect(f.onAllNodes(func(n *node) bool { return !leaving("llm-3")(n) })()).To(BeTrue())
	})
	It("become known to an isolated daemon after the partition heals", func() {
		f := newFleet(12, 3, 17, nil)
		f.run(10 * time.Second)
		f.dropped = func(from, to string) bool { return from == "entry-005" || to == "entry-005" }
		f.run(5 * time.Second)
		f.step("entry-000", UpstreamReported{"llm-9", true, f.now.UnixMilli()})
		f.run(90 * time.Second)
		Expect(leaving("llm-9")(f.nodes["entry-005"])).To(BeFalse())
		f.dropped = func(string, string) bool { return false }
		_, ok := f.runUntil(30*time.Second, f.onAllNodes(leaving("llm-9")))
		Expect(ok).To(BeTrue())
	})
})
