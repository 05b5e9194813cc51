package route

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
)

var _ = DescribeTable("the backlog of an engine", func(prompts []pendingPrompt, after, want time.Duration) {
	start := time.Unix(1000, 0)
	var r prefillQueue
	for _, p := range prompts {
		p.sentAt = start
		r.add(p)
	}
	Expect(r.backlog(start.Add(after), 1)).To(Equal(want))
},
	Entry("no prompts", nil, time.Second, time.Duration(0)),
	Entry("one prompt", []pendingPrompt{{prefillTime: time.Second, usualFirstByte: time.Second}}, 300*time.Millisecond, 700*time.Millisecond),
	Entry("two prompts, one after the other", []pendingPrompt{{prefillTime: time.Second, usualFirstByte: 3 * time.Second}, {prefillTime: time.Second, usualFirstByte: 3 * time.Second}},
		500*time.Millisecond, 1500*time.Millisecond),
	Entry("one overdue prompt adds the time by which it is overdue", []pendingPrompt{{prefillTime: 100 * time.Millisecond, usualFirstByte: 200 * time.Millisecond}}, 500*time.Millisecond, 300*time.Millisecond),
	Entry("one long overdue prompt", []pendingPrompt{{prefillTime: 100 * time.Millisecond, usualFirstByte: 200 * time.Millisecond}}, time.Minute, maxOverdueBacklog),
	Entry("a peer's prompt, whose end is not reported", []pendingPrompt{{prefillTime: 100 * time.Millisecond, fromPeer: true}}, time.Second, time.Duration(0)),
)

// The load pattern: one prompt whose prefill takes an engine a second, among prompts
// that take some hundredths of a second and have the same cached prefix there.
var _ = Describe("a long prompt among short ones", func() {
	engines := func(n int) *Router {
		r := New(Config{PrefixMinLoad: 0.35, PrefixBonus: 2, BacklogWeight: 4, Seed: 1})
		pool := bundle.Pool{Name: "llm", Kind: bundle.PoolEngine, Concurrency: 64}
		for i := range n {
			pool.Upstreams = append(pool.Upstreams, bundle.Upstream{Name: fmt.Sprint("e", i), Address: fmt.Sprint("e", i)})
		}
		r.Apply(&bundle.Bundle{Version: 1, Policy: bundle.PolicyAdaptive, Pools: []bundle.Pool{pool}})
		return r
	}
	pick := func(r *Router, now time.Time, id string, prefillTime time.Duration) request.Choice {
		c, err := r.Pick(now, request.Query{
			Request: id, Pool: "llm", Stage: "s", Kind: bundle.StageGenerate, Prefix: 7, PrefillTime: prefillTime, ExpectedFirstByte: prefillTime + 50*time.Millisecond,
		}, nil)
		Expect(err).To(BeNil())
		return c
	}
	now := time.Unix(1000, 0)

	It("sends short prompts to other engines until its prefill completes", func() {
		r := engines(12)
		home := pick(r, now, "long", 1200*time.Millisecond)
		for i := range 20 {
			Expect(pick(r, now.Add(50*time.Millisecond), fmt.Sprint(i), 10*time.Millisecond).Upstream).NotTo(Equal(home.Upstream))
		}
		r.FirstByte(home)
		Expect(pick(r, now.Add(1250*time.Millisecond), "after", 10*time.Millisecond).Upstream).To(Equal(home.Upstream))
	})

	It("diverts short prompts also if a peer sent the long one", func() {
		r := engines(12)
		home := pick(r, now, "before", 10*time.Millisecond)
		r.Done(now, request.Outcome{Choice: home, Stage: "s", Result: request.CallOK})
		r.ObservePeerPrompt(now, "llm", home.Upstream, home.Address, 1200*time.Millisecond)
		Expect(pick(r, now.Add(50*time.Millisecond), "x", 10*time.Millisecond).Upstream).NotTo(Equal(home.Upstream))
		Expect(pick(r, now.Add(1300*time.Millisecond), "y", 10*time.Millisecond).Upstream).To(Equal(home.Upstream))
	})

	It("keeps prompts at the engine that has their prefix cached if the wait is short", func() {
		r := engines(12)
		home := pick(r, now, "long", 300*time.Millisecond)
		Expect(pick(r, now, "short", 10*time.Millisecond).Upstream).To(Equal(home.Upstream))
	})

	It("removes failed prompts and stores a bounded number", func() {
		r := engines(1)
		c := pick(r, now, "fails", time.Second)
		r.Done(now, request.Outcome{Choice: c, Stage: "s", Result: request.CallFailed})
		st := r.current.Load().pools["llm"].members.all[0].state
		Expect(st.prefillQueue.prompts).To(BeEmpty())
		for i := range 3 * maxPendingPrompts {
			r.ObservePeerPrompt(now, "llm", c.Upstream, c.Address, time.Duration(i)*time.Second)
		}
		Expect(st.prefillQueue.prompts).To(HaveLen(maxPendingPrompts))
		r.ObservePeerPrompt(now.Add(time.Hour), "llm", c.Upstream, c.Address, time.Second)
		Expect(st.prefillQueue.prompts).To(HaveLen(1))
	})

	It("determines whether an engine can serve copies", func() {
		r := engines(2)
		c := pick(r, now, "x", time.Second)
		Expect(r.CanServeCopies(now, "llm", c.Upstream, c.Address)).To(BeTrue())
		Expect(r.CanServeCopies(now.Add(minStallTimeout), "llm", c.Upstream, c.Address)).To(BeFalse(), "calls are in flight without progress")
		Expect(r.CanServeCopies(now, "llm", "unknown", "unknown")).To(BeFalse())
	})

	It("does not count a pick for which no call was sent as progress", func() {
		r := engines(1)
		c := pick(r, now, "x", time.Second)
		st := r.current.Load().pools["llm"].members.all[0].state
		r.CancelPick(now.Add(minStallTimeout), pick(r, now.Add(minStallTimeout), "x", time.Second))
		Expect(r.CanServeCopies(now.Add(minStallTimeout), "llm", c.Upstream, c.Address)).To(BeFalse(), "no call has made progress since")
		Expect(st.prefillQueue.prompts).To(HaveLen(1), "the prefill of the sent prompt is still pending")
		Expect(st.ownCalls).To(Equal(1))
	})
})
