package admit

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
)

// The benchmark bundle has the size of the target deployment. Each pipeline has four
// stages: a generation stage with its own pool, and three stages on shared pools.
const (
	benchPipelines = 12
	benchCustomers = 410
)

func benchBundle() *bundle.Bundle {
	b := &bundle.Bundle{Objective: bundle.Objective{Attainment: 1}, Hosts: make([]bundle.Host, 7)}
	add := func(name string, kind bundle.PoolKind) {
		b.Pools = append(b.Pools, bundle.Pool{Name: name, Kind: kind, Concurrency: 64, Upstreams: make([]bundle.Upstream, 20)})
	}
	for _, name := range []string{"encode", "retrieve", "rerank"} {
		add(name, bundle.PoolService)
	}
	for i := range benchPipelines {
		add(fmt.Sprintf("generate-%d", i), bundle.PoolEngine)
	}
	for i := range benchCustomers {
		b.Customers = append(b.Customers, bundle.Customer{Name: fmt.Sprintf("customer-%d", i), Weight: 1, RequestsPerSecond: 1e9})
	}
	return b
}

func benchPlan(i int) request.Plan {
	p := request.Plan{
		Request: fmt.Sprintf("host-1.%d", i), Customer: fmt.Sprintf("customer-%d", i%benchCustomers),
		Deadline: epoch.Add(time.Hour),
	}
	for _, stage := range []string{"encode", "retrieve", "rerank"} {
		p.Stages = append(p.Stages, request.PlannedStage{Stage: stage, Pool: stage, Expected: 10 * time.Millisecond})
	}
	generate := fmt.Sprintf("generate-%d", i%benchPipelines)
	p.Stages = append(p.Stages, request.PlannedStage{Stage: "generate", Pool: generate, Expected: time.Second})
	return p
}

const benchPlans = 4096

func benchPlanList() []request.Plan {
	plans := make([]request.Plan, benchPlans)
	for i := range plans {
		plans[i] = benchPlan(i)
	}
	return plans
}

// runRequest runs one whole request: its arrival, four slots and its end. It returns
// the number of admitted requests, 0 or 1.
func runRequest(c *Controller, p request.Plan) int {
	if c.Admit(epoch, p, nil) != nil {
		return 0
	}
	for _, n := range p.Stages {
		t := request.Ticket{
			Request: p.Request, Attempt: 1, Stage: n.Stage, Pool: n.Pool, Customer: p.Customer,
			Deadline: p.Deadline, Expected: n.Expected,
		}
		if result, _ := c.Acquire(epoch, t, nil); result == request.Granted {
			c.Release(epoch, t, request.CallOK, n.Expected)
		}
	}
	c.Finish(epoch, p, true)
	return 1
}

func BenchmarkAdmitFinish(b *testing.B) {
	c, plans := New(Config{}), benchPlanList()
	c.Apply(benchBundle())
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p := plans[i%benchPlans]
		if c.Admit(epoch, p, nil) == nil {
			c.Finish(epoch, p, true)
		}
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	c := New(Config{})
	c.Apply(benchBundle())
	t := request.Ticket{Request: "r", Attempt: 1, Stage: "encode", Pool: "encode", Customer: "customer-1", Deadline: epoch.Add(time.Hour), Expected: time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		c.Acquire(epoch, t, nil)
		c.Release(epoch, t, request.CallOK, time.Millisecond)
	}
}

// BenchmarkReleaseBacklog measures a Release that grants the slot to one of the queued
// tickets of 410 customers.
func BenchmarkReleaseBacklog(b *testing.B) {
	c := New(Config{MinQueue: 10 * benchCustomers})
	manyHosts := benchBundle()
	manyHosts.Hosts = make([]bundle.Host, 1280) // one slot
	c.Apply(manyHosts)
	ticket := func(i int) request.Ticket {
		return request.Ticket{
			Request: fmt.Sprint(i), Attempt: 1, Stage: "encode", Pool: "encode",
			Customer: fmt.Sprintf("customer-%d", i%benchCustomers), Deadline: epoch.Add(time.Hour), Expected: time.Millisecond,
		}
	}
	for i := range 4 * benchCustomers {
		c.Acquire(epoch, ticket(i), nil)
	}
	running := ticket(0)
	b.ReportAllocs()
	for b.Loop() {
		next := c.Release(epoch, running, request.CallFailed, time.Millisecond)[0].Ticket
		c.Acquire(epoch, running, nil)
		running = next
	}
}

// BenchmarkRequestParallel measures whole requests of four stages, run in parallel on
// all processors.
func BenchmarkRequestParallel(b *testing.B) {
	c, plans := New(Config{}), benchPlanList()
	c.Apply(benchBundle())
	var next, admitted atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		i := int(next.Add(1)) * 1009
		for pb.Next() {
			i++
			admitted.Add(int64(runRequest(c, plans[i%benchPlans])))
		}
	})
	b.ReportMetric(float64(admitted.Load())/float64(b.N), "admitted/op")
}
