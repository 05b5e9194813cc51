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

func ticket(requestID string, customer string, deadline time.Duration) request.Ticket {
	return request.Ticket{
		Request: requestID, Attempt: 1, Stage: "seal", Pool: "sealers", Customer: customer,
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
	fillSlots := func() {
		for i := range 2 {
			result, err := c.Acquire(epoch, ticket(fmt.Sprintf("running-%d", i), "a", time.Second), nil)
			Expect(err).To(BeNil())
			Expect(result).To(Equal(request.Granted))
		}
	}
	queue := func(t request.Ticket) {
		GinkgoHelper()
		result, _ := c.Acquire(epoch, t, nil)
		Expect(result).To(Equal(request.Queued))
	}
	// endCall ends call i of those that fillSlots started, and returns the IDs of the
	// requests that are granted a slot.
	endCall := func(i int, at time.Duration) []string {
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

	It("grants tickets up to the limit, queues others, and grants them as calls end", func() {
		fillSlots()
		queue(ticket("next", "a", time.Second))
		Expect(endCall(0, 100*time.Millisecond)).To(Equal([]string{"next"}))
		Expect(endCall(1, 100*time.Millisecond)).To(BeEmpty())
	})

	DescribeTable("lets a host exceed its share of a pool by the allowance for random variation",
		func(fraction float64, want int) {
			b := smallBundle(bundle.Customer{Name: "a", Weight: 1})
			b.Pools[0].Concurrency = 12
			c.Apply(b)
			c.SetShares(equalShares(fraction))
			granted := 0
			for i := range 64 {
				if result, _ := c.Acquire(epoch, ticket(fmt.Sprint(i), "a", time.Second), nil); result == request.Granted {
					granted++
				}
			}
			Expect(granted).To(Equal(want))
		},
		Entry("no allowance with all 24 slots", 1.0, 24),
		// Half: 12 slots and 2*sqrt(24/4) = 4.9. A twelfth: 2 slots and 2*sqrt(24*11/144) =
		// 2.7.
		Entry("with half of the slots", 0.5, 17),
		Entry("with a twelfth of the slots", 1.0/12, 5),
	)

	It("grants the ticket with the earliest latest start first, not the one with the earliest deadline", func() {
		fillSlots()
		earlyDeadline := ticket("early-deadline", "a", 500*time.Millisecond)
		lateDeadline := ticket("late-deadline", "a", 900*time.Millisecond)
		lateDeadline.ExpectedAfter = 600 * time.Millisecond
		queue(earlyDeadline)
		queue(lateDeadline)
		Expect(endCall(0, 100*time.Millisecond)).To(Equal([]string{"late-deadline"}))
	})

	It("refuses a ticket that can no longer meet its deadline at the next Tick", func() {
		fillSlots()
		queue(ticket("expiring", "a", 300*time.Millisecond))
		Expect(c.Tick(epoch.Add(190 * time.Millisecond))).To(BeEmpty())
		grants := c.Tick(epoch.Add(200 * time.Millisecond))
		Expect(grants).To(HaveLen(1))
		Expect(grants[0].Err.Kind).To(Equal(problem.Overloaded))
		Expect(grants[0].Err.RetryAfter).To(BeNumerically(">", 0))
		Expect(endCall(0, 210*time.Millisecond)).To(BeEmpty())
	})

	It("refuses a ticket immediately when it could not meet its deadline without a wait", func() {
		t := ticket("infeasible", "a", 300*time.Millisecond)
		t.ExpectedAfter = 250 * time.Millisecond
		result, err := c.Acquire(epoch, t, nil)
		Expect(result).To(Equal(request.Refused))
		Expect(err.Kind).To(Equal(problem.Overloaded))
		Expect(err.Execution).To(Equal(problem.NotRun))
	})

	It("bounds the queue and evicts only from the longest customer queue", func() {
		fillSlots()
		for i := range 4 {
			queue(ticket(fmt.Sprintf("a-%d", i), "a", time.Duration(500+i)*time.Millisecond))
		}
		result, err := c.Acquire(epoch, ticket("a-4", "a", time.Second), nil)
		Expect(result).To(Equal(request.Refused))
		Expect(err.Kind).To(Equal(problem.Overloaded))
		queue(ticket("b-0", "b", time.Second))
		grants := c.Tick(epoch)
		Expect(grants).To(HaveLen(1))
		Expect(grants[0].Ticket.Request).To(Equal("a-3"), "the least urgent ticket of the longest queue")
		Expect(grants[0].Err.Kind).To(Equal(problem.Overloaded))
		Expect(grants[0].Err.RetryAfter).To(BeNumerically(">", 0))
	})

	It("does not grant an abandoned ticket", func() {
		fillSlots()
		queue(ticket("abandoned", "a", time.Second))
		c.Abandon(epoch, ticket("abandoned", "a", time.Second))
		Expect(endCall(0, 100*time.Millisecond)).To(BeEmpty())
	})

	DescribeTable("divides the slots of a pool among customers with queued tickets by weight",
		func(weight float64, lowest, highest int) {
			c = New(Config{MinQueue: 1000})
			c.Apply(smallBundle(bundle.Customer{Name: "a", Weight: weight}, bundle.Customer{Name: "b", Weight: 1}))
			fillSlots()
			for i := range 100 {
				queue(ticket(fmt.Sprintf("a-%d", i), "a", time.Hour))
				queue(ticket(fmt.Sprintf("b-%d", i), "b", time.Minute))
			}
			grantsOfA, running := 0, []request.Ticket{ticket("running-0", "a", time.Second)}
			for range 60 {
				grants := c.Release(epoch, running[0], request.CallOK, 100*time.Millisecond)
				Expect(grants).To(HaveLen(1))
				running[0] = grants[0].Ticket
				if running[0].Customer == "a" {
					grantsOfA++
				}
			}
			Expect(grantsOfA).To(And(BeNumerically(">=", lowest), BeNumerically("<=", highest)))
		},
		Entry("equal weights", 1.0, 28, 32),
		Entry("weights three to one", 3.0, 42, 47),
	)

	It("refuses a request that is predicted to miss its deadline, and sets RetryAfter to the excess wait", func() {
		for i := range 6 {
			Expect(c.Admit(epoch, plan(fmt.Sprintf("a-%d", i), "a", 10*time.Second), nil)).To(BeNil())
		}
		var recorded entries
		err := c.Admit(epoch, plan("late", "a", 300*time.Millisecond), &recorded)
		Expect(err.Kind).To(Equal(problem.Overloaded))
		// Five of the six calls must end before a slot is free, which takes 250 ms with
		// two slots. The slack is 300 - 105 ms. The customer has all reservations, so it
		// may wait for half of that.
		Expect(err.RetryAfter).To(BeNumerically("~", 152*time.Millisecond, 2*time.Millisecond))
		Expect(recorded).To(HaveLen(1))
		Expect(recorded[0].Outcome).To(Equal("refused"))
		Expect(c.Admit(epoch, plan("long-deadline", "a", 10*time.Second), nil)).To(BeNil())
		Expect(c.Admit(epoch, plan("other", "b", 300*time.Millisecond), nil)).To(BeNil(), "the fair share of customer b is free")
	})

	It("keeps no reservations of a refused or finished request", func() {
		for i := range 50 {
			p := plan(fmt.Sprintf("a-%d", i), "a", 300*time.Millisecond)
			if c.Admit(epoch, p, nil) == nil {
				c.Finish(epoch, p, true)
			}
		}
		Expect(c.State(epoch)[0].Planned).To(BeZero())
	})

	It("does not admit a request that would miss its deadline in its last stage", func() {
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

	It("refuses a deadline that is too short even without load as DeadlineTooShort, not Overloaded", func() {
		Expect(c.Admit(epoch, plan("short", "a", 50*time.Millisecond), nil).Kind).To(Equal(problem.DeadlineTooShort))
	})

	It("uses a larger margin when cost has more weight", func() {
		tight := plan("tight", "a", 110*time.Millisecond)
		Expect(c.Admit(epoch, tight, nil)).To(BeNil())
		b := smallBundle(bundle.Customer{Name: "a", Weight: 1})
		b.Objective = bundle.Objective{Attainment: 1, CostByStage: 3}
		c = New(Config{})
		c.Apply(b)
		Expect(c.Admit(epoch, tight, nil).Kind).To(Equal(problem.DeadlineTooShort))
	})

	It("enforces this daemon's share of a customer's rate limit", func() {
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
		// 10 per second for 4 s, and a burst of 17: the arrivals of one second, two
		// standard deviations of them, and one.
		Expect(admitted).To(And(BeNumerically(">=", 56), BeNumerically("<=", 57)))
	})

	It("refuses at most 5% of the requests of a customer within its limit that are spread over hosts", func() {
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

	It("reports demand that includes refused arrivals and reserved calls", func() {
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
		Expect(d.Customers).NotTo(HaveKey("b"), "customer b has no limit")
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
				result, _ := c.Acquire(epoch, ticket(id, "a", time.Millisecond), nil)
				Expect(result).To(Equal(request.Granted))
			}
		},
		Entry(nil, bundle.PolicyRoundRobin), Entry(nil, bundle.PolicyLeastRequests),
	)

	It("keeps the state of a pool that stays in the bundle, and of one that is removed while in use", func() {
		fillSlots()
		queue(ticket("next", "a", time.Second))
		b := smallBundle()
		b.Pools[0].Name = "others"
		c.Apply(b)
		c.Apply(smallBundle())
		Expect(endCall(0, 100*time.Millisecond)).To(Equal([]string{"next"}))
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

	It("does not shrink when latency rises while the limit is not used up", func() {
		l := newLimiter(pool)
		at := feed(l, 0, 64, 10*time.Millisecond, false)
		feed(l, at, 200, 50*time.Millisecond, false)
		Expect(l.estimate).To(Equal(40.0))
	})

	It("grows up to a bound while the limit is used up and latency stays low", func() {
		l := newLimiter(pool)
		feed(l, 0, 6400, 10*time.Millisecond, true)
		Expect(l.estimate).To(BeNumerically(">", 80))
		feed(l, 0, 64000, 10*time.Millisecond, true)
		Expect(l.estimate).To(BeNumerically("<=", 160))
	})

	It("shrinks on refusals, at most once per minWindow, down to one", func() {
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
