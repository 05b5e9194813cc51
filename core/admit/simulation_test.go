package admit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
)

// This file contains a discrete-event simulation with a virtual clock that drives the
// real Controller. It has open-loop arrivals. Each simulated pool has a fixed number of
// slots and queues further calls in FIFO order.

// event is a function to run at a virtual time. Events at the same time run in the order
// of seq, in which they were scheduled.
type event struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type simulatedPool struct {
	slots, busy     int
	meanServiceTime time.Duration
	waiting         []func(now time.Time)
}

type outcomeCounts struct {
	arrived, attained, refused, late, expired int
	// maxRefusalDelay is the longest time from a ticket's latest start to its
	// refusal.
	maxRefusalDelay time.Duration
	refusalWaits    []time.Duration
}

type simulation struct {
	// hosts holds one Controller for each host of the bundle. Each arrival goes to a
	// random one, as from a load balancer.
	hosts          []*Controller
	rng            *rand.Rand
	events         events
	lastSeq        int
	pools          map[string]*simulatedPool
	outcomes       map[string]*outcomeCounts
	waiting        map[ticketKey]*simulatedRequest
	maxQueueLength int
	// stragglerEvery makes one of this many calls a straggler; 0 means none.
	stragglerEvery int
}

type simulatedRequest struct {
	controller *Controller
	plan       request.Plan
	stage      int
	ticket     request.Ticket
	arrived    time.Time
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(b *bundle.Bundle, seed uint64) *simulation {
	sim := &simulation{
		rng:   rand.New(rand.NewPCG(seed, 1)),
		pools: map[string]*simulatedPool{}, outcomes: map[string]*outcomeCounts{}, waiting: map[ticketKey]*simulatedRequest{},
	}
	for range b.Hosts {
		c := New(Config{})
		c.Apply(b)
		sim.hosts = append(sim.hosts, c)
	}
	for _, p := range b.Pools {
		sim.pools[p.Name] = &simulatedPool{slots: len(p.Upstreams) * p.Concurrency}
	}
	for _, s := range b.Pipelines[0].Stages {
		sim.pools[s.Pool].meanServiceTime = s.Expected
	}
	return sim
}

func (sim *simulation) schedule(t time.Time, run func(time.Time)) {
	sim.lastSeq++
	heap.Push(&sim.events, event{t, sim.lastSeq, run})
}

// addArrivals schedules Poisson arrivals of customer at the given rate per second.
func (sim *simulation) addArrivals(p *bundle.Pipeline, customer string, rate float64, from, to time.Duration) {
	sim.outcomes[customer] = &outcomeCounts{}
	n := 0
	for at := from; ; {
		at += time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		n++
		id := fmt.Sprintf("%s-%d", customer, n)
		sim.schedule(epoch.Add(at), func(now time.Time) { sim.arrive(now, id, customer, p) })
	}
}

func (sim *simulation) arrive(now time.Time, id, customer string, p *bundle.Pipeline) {
	plan := request.Plan{Request: id, Customer: customer, Pipeline: p.Name, Deadline: now.Add(p.Deadline)}
	for _, s := range p.Stages {
		plan.Stages = append(plan.Stages, request.PlannedStage{Stage: s.Name, Pool: s.Pool, Expected: s.Expected})
	}
	counts := sim.outcomes[customer]
	counts.arrived++
	c := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	if err := c.Admit(now, plan, nil); err != nil {
		counts.refused++
		counts.refusalWaits = append(counts.refusalWaits, 0)
		return
	}
	sim.startStage(now, &simulatedRequest{controller: c, plan: plan, arrived: now})
}

func (sim *simulation) startStage(now time.Time, r *simulatedRequest) {
	stage := r.plan.Stages[r.stage]
	expectedAfter := time.Duration(0)
	for _, laterStage := range r.plan.Stages[r.stage+1:] {
		expectedAfter += laterStage.Expected
	}
	r.ticket = request.Ticket{
		Request: r.plan.Request, Attempt: 1, Stage: stage.Stage, Pool: stage.Pool, Customer: r.plan.Customer,
		Deadline: r.plan.Deadline, Expected: stage.Expected, ExpectedAfter: expectedAfter,
	}
	result, _ := r.controller.Acquire(now, r.ticket, nil)
	switch result {
	case request.Granted:
		sim.runCall(now, r)
	case request.Queued:
		sim.waiting[ticketKeyOf(r.ticket)] = r
		sim.maxQueueLength = max(sim.maxQueueLength, r.controller.state.Load().pools[stage.Pool].queue.len())
	default:
		sim.recordExpired(now, r)
	}
}

func (sim *simulation) recordExpired(now time.Time, r *simulatedRequest) {
	counts := sim.outcomes[r.plan.Customer]
	counts.expired++
	counts.refusalWaits = append(counts.refusalWaits, now.Sub(r.arrived))
	latestStart := r.ticket.Deadline.Add(-r.ticket.ExpectedAfter - r.ticket.Expected)
	counts.maxRefusalDelay = max(counts.maxRefusalDelay, now.Sub(latestStart))
	r.controller.Finish(now, r.plan, false)
}

func (sim *simulation) runCall(now time.Time, r *simulatedRequest) {
	pool := sim.pools[r.ticket.Pool]
	start := func(startedAt time.Time) {
		pool.busy++
		service := sim.serviceTime(pool.meanServiceTime)
		sim.schedule(startedAt.Add(service), func(end time.Time) {
			pool.busy--
			if len(pool.waiting) > 0 {
				startNext := pool.waiting[0]
				pool.waiting = pool.waiting[1:]
				startNext(end)
			}
			sim.finishCall(end, r, end.Sub(now))
		})
	}
	if pool.busy < pool.slots {
		start(now)
		return
	}
	pool.waiting = append(pool.waiting, start)
}

// serviceTime returns a random service time between 0.5 and 1.5 times mean. Stragglers
// take five times as long.
func (sim *simulation) serviceTime(mean time.Duration) time.Duration {
	d := time.Duration((0.5 + sim.rng.Float64()) * float64(mean))
	if sim.stragglerEvery > 0 && sim.rng.IntN(sim.stragglerEvery) == 0 {
		d *= 5
	}
	return d
}

func (sim *simulation) finishCall(now time.Time, r *simulatedRequest, latency time.Duration) {
	sim.handleGrants(now, r.controller.Release(now, r.ticket, request.CallOK, latency))
	r.stage++
	if r.stage < len(r.plan.Stages) && now.Before(r.plan.Deadline) {
		sim.startStage(now, r)
		return
	}
	attained := r.stage == len(r.plan.Stages) && !now.After(r.plan.Deadline)
	r.controller.Finish(now, r.plan, attained)
	counts := sim.outcomes[r.plan.Customer]
	if attained {
		counts.attained++
	} else {
		counts.late++
	}
}

func (sim *simulation) handleGrants(now time.Time, grants []request.Grant) {
	for _, g := range grants {
		r := sim.waiting[ticketKeyOf(g.Ticket)]
		delete(sim.waiting, ticketKeyOf(g.Ticket))
		if g.Err != nil {
			sim.recordExpired(now, r)
			continue
		}
		sim.runCall(now, r)
	}
}

// run executes all events before end, with a Tick every 10 ms.
func (sim *simulation) run(end time.Duration) {
	var tick func(time.Time)
	tick = func(now time.Time) {
		for _, c := range sim.hosts {
			sim.handleGrants(now, c.Tick(now))
		}
		sim.schedule(now.Add(10*time.Millisecond), tick)
	}
	sim.schedule(epoch, tick)
	for len(sim.events) > 0 && sim.events[0].at.Before(epoch.Add(end)) {
		e := heap.Pop(&sim.events).(event)
		e.run(e.at)
	}
}

// total returns the sum of the counts of all customers.
func (sim *simulation) total() outcomeCounts {
	var out outcomeCounts
	for _, counts := range sim.outcomes {
		out.arrived += counts.arrived
		out.attained += counts.attained
		out.refused += counts.refused
		out.late += counts.late
		out.expired += counts.expired
		out.maxRefusalDelay = max(out.maxRefusalDelay, counts.maxRefusalDelay)
		out.refusalWaits = append(out.refusalWaits, counts.refusalWaits...)
	}
	return out
}

// testBundle has one pipeline: encode on a pool with spare capacity, then generate on
// ten upstreams of four slots. 40 slots at 200 ms per call serve 200 requests per second.
func testBundle(policy bundle.Policy, customers ...bundle.Customer) *bundle.Bundle {
	return &bundle.Bundle{
		Version: 1, Policy: policy,
		Objective: bundle.Objective{Attainment: 1},
		Hosts:     []bundle.Host{{Name: "host-1"}},
		Pools: []bundle.Pool{
			{Name: "encoders", Kind: bundle.PoolService, Concurrency: 10, Upstreams: make([]bundle.Upstream, 10)},
			{Name: "engines", Kind: bundle.PoolEngine, Concurrency: 4, Upstreams: make([]bundle.Upstream, 10)},
		},
		Pipelines: []bundle.Pipeline{{
			Name: "summary", Deadline: time.Second,
			Stages: []bundle.Stage{
				{Name: "encode", Pool: "encoders", Expected: 20 * time.Millisecond},
				{Name: "generate", Pool: "engines", Expected: 200 * time.Millisecond},
			},
		}},
		Customers: customers,
	}
}

// testCapacity is the capacity of the engines of testBundle, in requests per second.
const testCapacity = 200.0
