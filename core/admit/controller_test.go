package admit

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/record"
)

// entries is a Recorder for tests.
type entries []record.Entry

func (e *entries) Add(entry record.Entry) { *e = append(*e, entry) }

// smallBundle has one pool of two slots.
func smallBundle(customers ...bundle.Customer) *bundle.Bundle {
	return &bundle.Bundle{
		Objective: bundle.Objective{Attainment: 1},
		Hosts:     []bundle.Host{{Name: "host-1"}},
		Pools: []bundle.Pool{
			{Name: "sealers", Kind: bundle.PoolService, Concurrency: 1, Upstreams: make([]bundle.Upstream, 2)},
		},
		Customers: customers,
	}
}

func ticket(request_ string, customer string, deadline time.Duration) request.Ticket {
	return request.Ticket{
		Request: request_, Attempt: 1, Stage: "seal", Pool: "sealers", Customer: customer,
		Deadline: epoch.Add(deadline), Expected: 100 * time.Millisecond,
	}
}

func plan(id, customer string, deadline time.Duration) request.Plan {
	return request.Plan{
		Request: id, Customer: customer, Deadline: epoch.Add(deadline),
		Stages: []request.PlannedStage{{Stage: "seal", Pool: "sealers", Expected: 100 * time.Millisecond}},
	}
}

var _ = Describe("Controller", func() {
	var c *Controller
	fill := func() {
		for i := range 2 {
			verdict, err := c.Acquire(epoch, ticket(fmt.Sprintf("running-%d", i), "a", time.Second), nil)
			Expect(err).To(BeNil())
			Expect(verdict).To(Equal(request.Granted))
		}
	}
	queue := func(t request.Ticket) {
		GinkgoHelper()
		verdict, _ := c.Acquire(epoch, t, nil)
		Expect(verdict).To(Equal(request.Queued))
	}
	// free ends the calls of fill, one after another, and returns who is next.
	free := func(i int, at time.Duration) []string {
		var granted []string
		done := ticket(fmt.Sprintf("running-%d", i), "a", time.Second)
		for _, g := range c.Release(epoch.Add(at), done, request.CallOK, 100*time.Millisecond) {
			if g.Err == nil {
				granted = append(granted, g.Ticket.Request)
			}
		}
		return granted
	}

	BeforeEach(func() {
		c = New(Config{MinQueue: 4, QueuePerSlot: 1})
		c.Apply(smallBundle(bundle.Customer{Name: "a", Weight: 1}, bundle.Customer{Name: "b", Weight: 1}))
	})

	It("grants the limit, then queues, and grants again as calls end", func() {
		fill()
		queue(ticket("next", "a", time.Second))
		Expect(free(0, 100*time.Millisecond)).To(Equal([]string{"next"}))
		Expect(free(1, 100*time.Millisecond)).To(BeEmpty())
	})

	DescribeTable("lets a host exceed its part of a pool by what varies by chance",
		func(fraction float64, want int) {
			b := smallBundle(bundle.Customer{Name: "a", Weight: 1})
			b.Pools[0].Concurrency = 12
			c.Apply(b)
			c.SetShares(equalShares(fraction))
			granted := 0
			for i := range 64 {
				if v, _ := c.Acquire(epoch, ticket(fmt.Sprint(i), "a", time.Second), nil); v == request.Granted {
					granted++
				}
			}
			Expect(granted).To(Equal(want))
		},
		Entry("not when it has all 24 slots", 1.0, 24),
		// 12 and 2*sqrt(24/4) = 4.9; 2 and 2*sqrt(24*11/144) = 2.7.
		Entry("with half of them", 0.5, 17),
		Entry("with a twelfth", 1.0/12, 5),
	)

	It("grants the earliest feasible start first, not the earliest deadline", func() {
		fill()
		early := ticket("early-deadline", "a", 500*time.Millisecond)
		late := ticket("late-deadline", "a", 900*time.Millisecond)
		late.ExpectedAfter = 600 * time.Millisecond
		queue(early)
		queue(late)
		Expect(free(0, 100*time.Millisecond)).To(Equal([]string{"late-deadline"}))
	})

	It("answers a ticket that can no longer finish at the next tick", func() {
		fill()
		queue(ticket("doomed", "a", 300*time.Millisecond))
		Expect(c.Tick(epoch.Add(190 * time.Millisecond))).To(BeEmpty())
		grants := c.Tick(epoch.Add(200 * time.Millisecond))
		Expect(grants).To(HaveLen(1))
		Expect(grants[0].Err.Kind).To(Equal(problem.Overloaded))
		Expect(grants[0].Err.RetryAfter).To(BeNumerically(">", 0))
		Expect(free(0, 210*time.Millisecond)).To(BeEmpty())
	})

	It("refuses a ticket at once when it could not finish even if it ran", func() {
		t := ticket("doomed", "a", 300*time.Millisecond)
		t.ExpectedAfter = 250 * time.Millisecond
		verdict, err := c.Acquire(epoch, t, nil)
		Expect(verdict).To(Equal(request.Refused))
		Expect(err.Kind).To(Equal(problem.Overloaded))
		Expect(err.Execution).To(Equal(problem.NotRun))
	})

	It("bounds the queue and takes room from the longest queue only", func() {
		fill()
		for i := range 4 {
			queue(ticket(fmt.Sprintf("a-%d", i), "a", time.Duration(500+i)*time.Millisecond))
		}
		verdict, err := c.Acquire(epoch, ticket("a-4", "a", time.Second), nil)
		Expect(verdict).To(Equal(request.Refused))
		Expect(err.Kind).To(Equal(problem.Overloaded))
		queue(ticket("b-0", "b", time.Second))
		grants := c.Tick(epoch)
		Expect(grants).To(HaveLen(1))
		Expect(grants[0].Ticket.Request).To(Equal("a-3"), "the least urgent one of the longest queue")
		Expect(grants[0].Err.Kind).To(Equal(problem.Overloaded))
		Expect(grants[0].Err.RetryAfter).To(BeNumerically(">", 0))
	})

	It("forgets an abandoned ticket", func() {
		fill()
		queue(ticket("gone", "a", time.Second))
		c.Abandon(epoch, ticket("gone", "a", time.Second))
		Expect(free(0, 100*time.Millisecond)).To(BeEmpty())
	})

	DescribeTable("shares a backlogged pool by weight",
		func(weight float64, lowest, highest int) {
			c = New(Config{MinQueue: 1000})
			c.Apply(smallBundle(bundle.Customer{Name: "a", Weight: weight}, bundle.Customer{Name: "b", Weight: 1}))
			fill()
			for i := range 100 {
				queue(ticket(fmt.Sprintf("a-%d", i), "a", time.Hour))
				queue(ticket(fmt.Sprintf("b-%d", i), "b", time.Minute))
			}
			ofA, running := 0, []request.Ticket{ticket("running-0", "a", time.Second)}
			for range 60 {
				grants := c.Release(epoch, running[0], request.CallOK, 100*time.Millisecond)
				Expect(grants).To(HaveLen(1))
				running[0] = grants[0].Ticket
				if running[0].Customer == "a" {
					ofA++
				}
			}
			Expect(ofA).To(And(BeNumerically(">=", lowest), BeNumerically("<=", highest)))
		},
		Entry("equal", 1.0, 28, 32),
		Entry("three to one", 3.0, 42, 47),
	)

	It("refuses a request whose predicted finish is late, with the time until it is not", func() {
		for i := range 6 {
			Expect(c.Admit(epoch, plan(fmt.Sprintf("a-%d", i), "a", 10*time.Second), nil)).To(BeNil())
		}
		var notes entries
		err := c.Admit(epoch, plan("late", "a", 300*time.Millisecond), &notes)
		Expect(err.Kind).To(Equal(problem.Overloaded))
		// Five of the six end before a slot is free: 250 ms at two slots. The
		// deadline leaves 300 - 105 ms, of which a borrower may wait half.
		Expect(err.RetryAfter).To(BeNumerically("~", 152*time.Millisecond, 2*time.Millisecond))
		Expect(notes).To(HaveLen(1))
		Expect(notes[0].Outcome).To(Equal("refused"))
		Expect(c.Admit(epoch, plan("patient", "a", 10*time.Second), nil)).To(BeNil())
		Expect(c.Admit(epoch, plan("other", "b", 300*time.Millisecond), nil)).To(BeNil(), "its own share is free")
	})

	It("plans nothing for a request that was refused or has left", func() {
		for i := range 50 {
			p := plan(fmt.Sprintf("a-%d", i), "a", 300*time.Millisecond)
			if c.Admit(epoch, p, nil) == nil {
				c.Finish(epoch, p, true)
			}
		}
		Expect(c.State(epoch)[0].Planned).To(BeZero())
	})

	It("never admits a request that would die in its last stage", func() {
		b := smallBundle(bundle.Customer{Name: "a", Weight: 1})
		b.Pools = append(b.Pools, bundle.Pool{Name: "wide", Kind: bundle.PoolService, Concurrency: 100, Upstreams: make([]bundle.Upstream, 1)})
		c.Apply(b)
		for i := range 40 {
			Expect(c.Admit(epoch, plan(fmt.Sprintf("a-%d", i), "a", 10*time.Second), nil)).To(BeNil())
		}
		two := plan("two-stages", "a", time.Second)
		two.Stages = append([]request.PlannedStage{{Stage: "encode", Pool: "wide", Expected: 10 * time.Millisecond}}, two.Stages...)
		Expect(c.Admit(epoch, two, nil).Kind).To(Equal(problem.Overloaded))
		for _, s := range c.State(epoch) {
			if s.Pool == "wide" {
				Expect(s.Planned).To(BeZero())
			}
		}
	})

	It("tells a deadline that no load would meet from overload", func() {
		Expect(c.Admit(epoch, plan("short", "a", 50*time.Millisecond), nil).Kind).To(Equal(problem.DeadlineTooShort))
	})

	It("is more careful where cost weighs more", func() {
		tight := plan("tight", "a", 110*time.Millisecond)
		Expect(c.Admit(epoch, tight, nil)).To(BeNil())
		b := smallBundle(bundle.Customer{Name: "a", Weight: 1})
		b.Objective = bundle.Objective{Attainment: 1, CostByStage: 3}
		c = New(Config{})
		c.Apply(b)
		Expect(c.Admit(epoch, tight, nil).Kind).To(Equal(problem.DeadlineTooShort))
	})

	It("keeps this daemon's share of a customer's limit", func() {
		b := smallBundle(bundle.Customer{Name: "a", Weight: 1, RequestsPerSecond: 40})
		b.Hosts = make([]bundle.Host, 4)
		c.Apply(b)
		admitted := 0
		for i := range 400 {
			now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
			p := plan(fmt.Sprintf("a-%d", i), "a", time.Hour)
			err := c.Admit(now, p, nil)
			if err == nil {
				admitted++
				c.Finish(now, p, true)
				continue
			}
			Expect(err.Kind).To(Equal(problem.RateLimited))
			Expect(err.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", 100*time.Millisecond)))
		}
		// 10 a second for 4 s, and a burst of one second's worth, two deviations
		// of that and one: 17.
		Expect(admitted).To(And(BeNumerically(">=", 56), BeNumerically("<=", 57)))
	})

	It("hardly refuses a customer within its limit whose requests spread over hosts", func() {
		b := smallBundle(bundle.Customer{Name: "a", Weight: 1, RequestsPerSecond: 8})
		b.Hosts = make([]bundle.Host, 6)
		rng := rand.New(rand.NewPCG(5, 5))
		hosts := make([]*Controller, len(b.Hosts))
		for i := range hosts {
			hosts[i] = New(Config{})
			hosts[i].Apply(b)
		}
		refused, now := 0, epoch
		for i := range 1000 {
			now = now.Add(time.Duration(rng.ExpFloat64() / 5.6 * float64(time.Second)))
			c, p := hosts[rng.IntN(len(hosts))], plan(fmt.Sprintf("a-%d", i), "a", time.Hour)
			p.Deadline = now.Add(time.Hour)
			if c.Admit(now, p, nil) != nil {
				refused++
				continue
			}
			c.Finish(now, p, true)
		}
		AddReportEntry("refused", refused)
		Expect(refused).To(BeNumerically("<=", 50))
	})

	It("tells what callers ask for, refused or not, and what is planned", func() {
		b := smallBundle(bundle.Customer{Name: "a", Weight: 1, RequestsPerSecond: 10}, bundle.Customer{Name: "b", Weight: 1})
		c.Apply(b)
		Expect(c.Demand(epoch).Pools).To(BeEmpty())
		var last time.Time
		for i := range 400 {
			last = epoch.Add(time.Duration(i) * 25 * time.Millisecond)
			p := plan(fmt.Sprintf("a-%d", i), "a", time.Hour)
			if c.Admit(last, p, nil) == nil {
				c.Finish(last, p, true)
			}
		}
		d := c.Demand(last)
		Expect(d.Customers).To(HaveKeyWithValue("a", BeNumerically("~", 4, 0.2)))
		Expect(d.Customers).NotTo(HaveKey("b"), "it has no limit")
		for i := range 6 {
			Expect(c.Admit(last, plan(fmt.Sprintf("b-%d", i), "b", time.Hour), nil)).To(BeNil())
		}
		Expect(c.Demand(last).Pools).To(HaveKeyWithValue("sealers", BeNumerically("~", 3, 0.01)), "six calls for two slots")
	})

	DescribeTable("admits everything under a baseline policy",
		func(policy bundle.Policy) {
			b := smallBundle(bundle.Customer{Name: "a", Weight: 1, RequestsPerSecond: 0.1})
			b.Policy = policy
			c.Apply(b)
			for i := range 100 {
				id := fmt.Sprintf("a-%d", i)
				Expect(c.Admit(epoch, plan(id, "a", time.Millisecond), nil)).To(BeNil())
				verdict, _ := c.Acquire(epoch, ticket(id, "a", time.Millisecond), nil)
				Expect(verdict).To(Equal(request.Granted))
			}
		},
		Entry(nil, bundle.PolicyRoundRobin), Entry(nil, bundle.PolicyLeastRequests),
	)

	It("keeps what it knows of a pool that stays, and of one that goes while in use", func() {
		fill()
		queue(ticket("next", "a", time.Second))
		b := smallBundle()
		b.Pools[0].Name = "others"
		c.Apply(b)
		c.Apply(smallBundle())
		Expect(free(0, 100*time.Millisecond)).To(Equal([]string{"next"}))
	})
})

var _ = Describe("limiter", func() {
	pool := &bundle.Pool{Kind: bundle.PoolService, Concurrency: 10, Upstreams: make([]bundle.Upstream, 4)}
	feed := func(l *limiter, from time.Duration, n int, latency time.Duration, used bool) time.Duration {
		for range n {
			from += 5 * time.Millisecond
			l.recordSuccess(epoch.Add(from), "seal", latency, used)
		}
		return from
	}

	It("starts at the bundle's concurrency, shrinks as latency rises and recovers", func() {
		l := newLimiter(pool)
		Expect(l.estimate).To(Equal(40.0))
		at := feed(l, 0, 64, 10*time.Millisecond, true)
		at = feed(l, at, 200, 50*time.Millisecond, true)
		Expect(l.estimate).To(BeNumerically("<", 20))
		feed(l, at, 2000, 10*time.Millisecond, false)
		Expect(l.estimate).To(BeNumerically("~", 40, 1))
	})

	It("is not shrunk by latency that rises while it is not used up", func() {
		l := newLimiter(pool)
		at := feed(l, 0, 64, 10*time.Millisecond, false)
		feed(l, at, 200, 50*time.Millisecond, false)
		Expect(l.estimate).To(Equal(40.0))
	})

	It("grows while it is used up and latency stays low, to a bound", func() {
		l := newLimiter(pool)
		feed(l, 0, 6400, 10*time.Millisecond, true)
		Expect(l.estimate).To(BeNumerically(">", 80))
		feed(l, 0, 64000, 10*time.Millisecond, true)
		Expect(l.estimate).To(BeNumerically("<=", 160))
	})

	It("shrinks by refusals, once a window, to no less than one", func() {
		l := newLimiter(pool)
		l.recordRefusal(epoch)
		l.recordRefusal(epoch.Add(time.Millisecond))
		Expect(l.estimate).To(Equal(36.0))
		for i := range 1000 {
			l.recordRefusal(epoch.Add(time.Duration(i) * time.Second))
		}
		Expect(l.estimate).To(Equal(1.0))
	})
})
