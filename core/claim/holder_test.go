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

// ownerOf returns the owner with the given request ID on a host.
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
		Entry("not a UUID", "seal-1", false),
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
			group := Group(all, keyAt(baseTime.Add(time.Duration(i)*time.Millisecond), byte(i)), 3)
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
	It("selects several holders per failure domain when there are fewer domains than holders", func() {
		Expect(Group(hosts(5, 2), keyAt(baseTime, 1), 3)).To(HaveLen(3))
		Expect(Group(hosts(2, 2), keyAt(baseTime, 1), 3)).To(HaveLen(2))
	})
	It("does not depend on the order of the host list", func() {
		all := hosts(7, 3)
		want := Group(all, keyAt(baseTime, 9), 3)
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		Expect(Group(all, keyAt(baseTime, 9), 3)).To(Equal(want))
	})
})

var _ = Describe("Holder memory", func() {
	env := Env{Now: baseTime, Epoch: 1, Ready: true}
	acquire := func(h *Holder, e Env, tail byte) Verdict {
		return h.Acquire(e, Acquire{Key: keyAt(e.Now, tail), Owner: ownerOf("a", "r"), Round: 1, Epoch: 1}).Verdict
	}
	It("refuses new keys when full, keeps the granted ones, and evicts them after their retention", func() {
		h := NewHolder("a", 1, baseTime.Add(-time.Hour), testPolicy)
		for i := range testPolicy.MaxKeys {
			Expect(acquire(h, env, byte(i))).To(Equal(Granted))
		}
		Expect(acquire(h, env, 200)).To(Equal(Full))
		Expect(acquire(h, env, 0)).To(Equal(Granted), "the same owner sends an Acquire again")
		later := env
		later.Now = baseTime.Add(testPolicy.Retention + testPolicy.MaxClockSkew + 2*bucketWidth)
		Expect(acquire(h, later, 200)).To(Equal(Granted))
		Expect(h.Stats().Granted).To(Equal(1))
	})
	It("bounds the size of results and subtracts it when they are evicted", func() {
		h := NewHolder("a", 1, baseTime.Add(-time.Hour), testPolicy)
		store := func(tail byte, size int) Reply {
			return h.Store(env, Store{Key: keyAt(baseTime, tail), Owner: ownerOf("a", "r"), Record: Record{Result: make([]byte, size)}})
		}
		Expect(store(1, testPolicy.MaxResult).Verdict).To(Equal(Recorded))
		Expect(store(2, testPolicy.MaxResult+1).Verdict).To(Equal(Recorded))
		Expect(h.Stats().Bytes).To(Equal(testPolicy.MaxResult))
		Expect(h.Lookup(env, keyAt(baseTime, 2)).Record.Truncated).To(BeTrue())
		later := env
		later.Now = baseTime.Add(2 * testPolicy.Retention)
		h.Lookup(later, keyAt(baseTime, 1))
		acquire(h, later, 3)
		Expect(h.Stats().Bytes).To(BeZero())
	})
	It("refuses an Acquire that arrives after the release of its round", func() {
		h := NewHolder("a", 1, baseTime.Add(-time.Hour), testPolicy)
		h.Release(env, Release{Key: keyAt(baseTime, 1), Owner: ownerOf("a", "r"), Round: 1})
		Expect(acquire(h, env, 1)).To(Equal(Superseded))
	})
})

var _ = Describe("Claim", func() {
	newClaim := func(deadline time.Time) *Claim {
		return New(Config{
			Key: keyAt(baseTime, 1), Owner: ownerOf("a", "r"), Epoch: 1, Deadline: deadline,
			Quorums:    []Quorum{{Epoch: 1, Holders: []string{"a", "b", "c"}}},
			BackoffMin: time.Millisecond, BackoffMax: time.Second,
		}, rand.New(rand.NewPCG(1, 1)))
	}
	win := func(c *Claim) {
		c.Start()
		c.HandleReply(baseTime, Reply{Holder: "a", Incarnation: 1, Verdict: Granted, Round: 1})
		Expect(c.HandleReply(baseTime, Reply{Holder: "b", Incarnation: 1, Verdict: Granted, Round: 1})).To(Equal([]Action{Won{}}))
	}
	It("may be sent once and not at the deadline, and is not aborted after that", func() {
		c := newClaim(baseTime.Add(time.Second))
		win(c)
		Expect(c.Send(baseTime.Add(time.Second))).To(BeFalse())
		Expect(c.Send(baseTime)).To(BeTrue())
		Expect(c.Send(baseTime)).To(BeFalse())
		Expect(c.Abort(problem.DeadlineExceeded)).To(BeEmpty())
	})
	It("ignores grants of an earlier incarnation of a holder", func() {
		c := newClaim(baseTime.Add(time.Second))
		c.Start()
		c.HandleReply(baseTime, Reply{Holder: "a", Incarnation: 1, Verdict: Granted, Round: 1})
		c.HandleReply(baseTime, Reply{Holder: "a", Incarnation: 2, Verdict: HolderRestarted, Round: 1})
		Expect(c.HandleReply(baseTime, Reply{Holder: "b", Incarnation: 1, Verdict: Granted, Round: 1})).To(BeEmpty())
	})
	DescribeTable("refuses immediately when a majority is impossible",
		func(v Verdict, kind problem.Kind, execution problem.Execution) {
			c := newClaim(baseTime.Add(time.Second))
			c.Start()
			var last []Action
			for _, h := range []string{"a", "b"} {
				if v == 0 {
					last = c.HandleUnreachable(baseTime, h, 1)
				} else {
					last = c.HandleReply(baseTime, Reply{Holder: h, Incarnation: 1, Verdict: v, Round: 1})
				}
			}
			Expect(last).To(ContainElement(Refuse{Kind: kind, Execution: execution, Verdict: v}))
		},
		Entry("unreachable", Verdict(0), problem.NoMajority, problem.MayHaveRun),
		Entry("restarted holders", HolderRestarted, problem.OutcomeUnknown, problem.MayHaveRun),
		Entry("full holders", Full, problem.Overloaded, problem.NotRun),
		Entry("an old key", KeyTooOld, problem.KeyExpired, problem.MayHaveRun),
		Entry("an old host list", OldView, problem.NotReady, problem.MayHaveRun),
	)
	It("reports the given error kind when a claim is aborted for a reason other than its deadline", func() {
		c := newClaim(baseTime.Add(time.Second))
		c.Start()
		for _, h := range []string{"a", "b"} {
			c.HandleReply(baseTime, Reply{Holder: h, Incarnation: 1, Verdict: Taken, Round: 1, Owner: ownerOf("b", "q")})
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
		Expect(l).To(Equal(twoLineages[1]))
	})
	It("rejects a lineage that lacks the current list or reuses its epoch, and ignores an older one", func() {
		v := NewViews("a", 1, baseTime, Lineage{Current: viewABC}, testPolicy)
		Expect(v.Adopt(baseTime, Lineage{Current: viewBCD})).To(MatchError(ErrCurrentListMissing))
		other := view(1, "x", "y", "z")
		Expect(v.Adopt(baseTime, Lineage{Current: other})).To(MatchError(ErrEpochReused))
		Expect(v.Adopt(baseTime, twoLineages[1])).To(Succeed())
		Expect(v.Adopt(baseTime, Lineage{Current: viewABC})).To(Succeed())
		Expect(v.Epoch()).To(Equal(uint64(2)), "an older list is not adopted again")
	})
	It("retires a list for later keys once most of its hosts have ended permanently", func() {
		ended := view(1, "a", "b", "c")
		ended.Hosts[0].EndedAt, ended.Hosts[1].EndedAt = baseTime, baseTime
		v := NewViews("c", 1, baseTime, Lineage{Current: view(2, "c", "d", "e"), Earlier: []View{ended}}, testPolicy)
		Expect(v.Quorums(keyAt(baseTime.Add(time.Second), 1))).To(HaveLen(2))
		Expect(v.Quorums(keyAt(baseTime.Add(time.Minute), 1))).To(HaveLen(1))
	})
	It("compares its clock with the median of the peers' clocks", func() {
		v := NewViews("a", 1, baseTime, Lineage{Current: view(1, "a")}, testPolicy)
		v.SetClockOffsets([]time.Duration{time.Hour, 0, 0})
		Expect(v.Ready()).To(BeTrue())
		v.SetClockOffsets([]time.Duration{time.Hour, time.Hour, 0})
		Expect(v.Ready()).To(BeFalse())
	})
})
