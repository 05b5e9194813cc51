package claim

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/problem"
)

// ownerOf returns an owner at a host.
func ownerOf(host, request string) Owner { return Owner{Host: host, Incarnation: 1, Request: request} }

var _ = Describe("Key", func() {
	DescribeTable("parses only UUIDv7",
		func(id string, ok bool) {
			k, err := ParseKey("customer", id)
			Expect(err == nil).To(Equal(ok))
			if ok {
				Expect(k.Time()).To(BeTemporally("==", time.UnixMilli(0x017F22E279B0)))
			}
		},
		Entry("the example of RFC 9562", "017F22E2-79B0-7CC3-98C4-DC0C0C07398F", true),
		Entry("version 4", "919108f7-52d1-4320-9bac-f847db4148a8", false),
		Entry("another variant", "017F22E2-79B0-7CC3-D8C4-DC0C0C07398F", false),
		Entry("no UUID", "seal-1", false),
	)
})

var _ = Describe("Group", func() {
	hosts := func(n, domains int) []Host {
		var all []Host
		for i := range n {
			all = append(all, Host{Name: fmt.Sprintf("host-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%domains)})
		}
		return all
	}
	It("spreads over failure domains and over hosts", func() {
		all := hosts(7, 4)
		load := map[string]int{}
		for i := range 2000 {
			group := Group(all, keyAt(base.Add(time.Duration(i)*time.Millisecond), byte(i)), 3)
			domains := map[string]bool{}
			for _, name := range group {
				load[name]++
				for _, h := range all {
					if h.Name == name {
						domains[h.FailureDomain] = true
					}
				}
			}
			Expect(domains).To(HaveLen(3))
		}
		for _, h := range all {
			Expect(load[h.Name]).To(BeNumerically(">", 400), h.Name)
		}
	})
	It("fills up from fewer failure domains than holders", func() {
		Expect(Group(hosts(5, 2), keyAt(base, 1), 3)).To(HaveLen(3))
		Expect(Group(hosts(2, 2), keyAt(base, 1), 3)).To(HaveLen(2))
	})
	It("ignores the order of the list", func() {
		all := hosts(7, 3)
		want := Group(all, keyAt(base, 9), 3)
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		Expect(Group(all, keyAt(base, 9), 3)).To(Equal(want))
	})
})

var _ = Describe("Holder memory", func() {
	env := Env{Now: base, Epoch: 1, Ready: true}
	ask := func(h *Holder, e Env, tail byte) Verdict {
		return h.Acquire(e, Acquire{Key: keyAt(e.Now, tail), Owner: ownerOf("a", "r"), Round: 1, Epoch: 1}).Verdict
	}
	It("refuses new keys when full, and forgets none early", func() {
		h := NewHolder("a", 1, base.Add(-time.Hour), testPolicy)
		for i := range testPolicy.MaxKeys {
			Expect(ask(h, env, byte(i))).To(Equal(Granted))
		}
		Expect(ask(h, env, 200)).To(Equal(Full))
		Expect(ask(h, env, 0)).To(Equal(Granted), "its own owner again")
		later := env
		later.Now = base.Add(testPolicy.Retention + testPolicy.MaxClockSkew + 2*bucketWidth)
		Expect(ask(h, later, 200)).To(Equal(Granted))
		Expect(h.Stats().Granted).To(Equal(1))
	})
	It("bounds results, and counts them off when it forgets them", func() {
		h := NewHolder("a", 1, base.Add(-time.Hour), testPolicy)
		store := func(tail byte, size int) Reply {
			return h.Store(env, Store{Key: keyAt(base, tail), Owner: ownerOf("a", "r"), Record: Record{Result: make([]byte, size)}})
		}
		Expect(store(1, testPolicy.MaxResult).Verdict).To(Equal(Recorded))
		Expect(store(2, testPolicy.MaxResult+1).Verdict).To(Equal(Recorded))
		Expect(h.Stats().Bytes).To(Equal(testPolicy.MaxResult))
		Expect(h.Lookup(env, keyAt(base, 2)).Record.Truncated).To(BeTrue())
		later := env
		later.Now = base.Add(2 * testPolicy.Retention)
		h.Lookup(later, keyAt(base, 1))
		ask(h, later, 3)
		Expect(h.Stats().Bytes).To(BeZero())
	})
	It("keeps a late ask of a released round from taking the key", func() {
		h := NewHolder("a", 1, base.Add(-time.Hour), testPolicy)
		h.Release(env, Release{Key: keyAt(base, 1), Owner: ownerOf("a", "r"), Round: 1})
		Expect(ask(h, env, 1)).To(Equal(Superseded))
	})
})

var _ = Describe("Claim", func() {
	newClaim := func(deadline time.Time) *Claim {
		return New(Config{
			Key: keyAt(base, 1), Owner: ownerOf("a", "r"), Epoch: 1, Deadline: deadline,
			Quorums:    []Quorum{{Epoch: 1, Holders: []string{"a", "b", "c"}}},
			BackoffMin: time.Millisecond, BackoffMax: time.Second,
		}, rand.New(rand.NewPCG(1, 1)))
	}
	win := func(c *Claim) {
		c.Start()
		c.HandleReply(base, Reply{Holder: "a", Incarnation: 1, Verdict: Granted, Round: 1})
		Expect(c.HandleReply(base, Reply{Holder: "b", Incarnation: 1, Verdict: Granted, Round: 1})).To(Equal([]Action{Won{}}))
	}
	It("sends once, and not from the deadline on", func() {
		c := newClaim(base.Add(time.Second))
		win(c)
		Expect(c.Send(base.Add(time.Second))).To(BeFalse())
		Expect(c.Send(base)).To(BeTrue())
		Expect(c.Send(base)).To(BeFalse())
		Expect(c.Abort(problem.DeadlineExceeded)).To(BeEmpty())
	})
	It("drops what a dead incarnation granted", func() {
		c := newClaim(base.Add(time.Second))
		c.Start()
		c.HandleReply(base, Reply{Holder: "a", Incarnation: 1, Verdict: Granted, Round: 1})
		c.HandleReply(base, Reply{Holder: "a", Incarnation: 2, Verdict: Forgotten, Round: 1})
		Expect(c.HandleReply(base, Reply{Holder: "b", Incarnation: 1, Verdict: Granted, Round: 1})).To(BeEmpty())
	})
	DescribeTable("refuses at once when a majority is out of reach",
		func(v Verdict, kind problem.Kind, execution problem.Execution) {
			c := newClaim(base.Add(time.Second))
			c.Start()
			var last []Action
			for _, h := range []string{"a", "b"} {
				if v == 0 {
					last = c.HandleUnreachable(base, h, 1)
				} else {
					last = c.HandleReply(base, Reply{Holder: h, Incarnation: 1, Verdict: v, Round: 1})
				}
			}
			Expect(last).To(ContainElement(Refuse{Kind: kind, Execution: execution, Verdict: v}))
		},
		Entry("unreachable", Verdict(0), problem.NoMajority, problem.MayHaveRun),
		Entry("restarted holders", Forgotten, problem.OutcomeUnknown, problem.MayHaveRun),
		Entry("full holders", Full, problem.Overloaded, problem.NotRun),
		Entry("an old key", KeyTooOld, problem.KeyExpired, problem.MayHaveRun),
		Entry("an old host list", OldView, problem.NotReady, problem.MayHaveRun),
	)
	It("keeps the kind of a claim that is given up for another reason than time", func() {
		c := newClaim(base.Add(time.Second))
		c.Start()
		for _, h := range []string{"a", "b"} {
			c.HandleReply(base, Reply{Holder: h, Incarnation: 1, Verdict: Taken, Round: 1, Owner: ownerOf("b", "q")})
		}
		Expect(c.Abort(problem.OutcomeUnknown)).To(ContainElement(
			Refuse{Kind: problem.OutcomeUnknown, Execution: problem.MayHaveRun, Owner: ownerOf("b", "q")}))
	})
})

var _ = Describe("Views", func() {
	It("takes epochs from the lineage of a bundle", func() {
		list := func(names ...string) (hosts []bundle.Host) {
			for _, n := range names {
				hosts = append(hosts, bundle.Host{Name: n, FailureDomain: n})
			}
			return hosts
		}
		l, err := FromBundle(&bundle.Bundle{Hosts: list("b", "c", "d"), Views: []bundle.View{{Version: 1, Hosts: list("a", "b", "c")}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(l).To(Equal(twoViews[1]))
	})
	It("refuses a lineage that lacks the list in force, or renames it", func() {
		v := NewViews("a", 1, base, Lineage{Current: abc}, testPolicy)
		Expect(v.Adopt(base, Lineage{Current: bcd})).To(MatchError(ErrForeignLineage))
		other := view(1, "x", "y", "z")
		Expect(v.Adopt(base, Lineage{Current: other})).To(MatchError(ErrEpochReused))
		Expect(v.Adopt(base, twoViews[1])).To(Succeed())
		Expect(v.Adopt(base, Lineage{Current: abc})).To(Succeed())
		Expect(v.Epoch()).To(Equal(uint64(2)), "a list in force never reverts")
	})
	It("retires a list whose hosts have ended, for keys made after that", func() {
		ended := view(1, "a", "b", "c")
		ended.Hosts[0].EndedAt, ended.Hosts[1].EndedAt = base, base
		v := NewViews("c", 1, base, Lineage{Current: view(2, "c", "d", "e"), Earlier: []View{ended}}, testPolicy)
		Expect(v.Quorums(keyAt(base.Add(time.Second), 1))).To(HaveLen(2))
		Expect(v.Quorums(keyAt(base.Add(time.Minute), 1))).To(HaveLen(1))
	})
	It("goes by the median of the clocks", func() {
		v := NewViews("a", 1, base, Lineage{Current: view(1, "a")}, testPolicy)
		v.SetClockOffsets([]time.Duration{time.Hour, 0, 0})
		Expect(v.Ready()).To(BeTrue())
		v.SetClockOffsets([]time.Duration{time.Hour, time.Hour, 0})
		Expect(v.Ready()).To(BeFalse())
	})
})
