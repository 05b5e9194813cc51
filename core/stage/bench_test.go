package stage

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// BenchmarkOverload measures one job and one call of a planner with 1,000 queued jobs and
// 51 replicas, as after a burst in a fleet of 80 daemons.
func BenchmarkOverload(b *testing.B) {
	m := New(Config{})
	now := time.Unix(1000, 0)
	e := Configured{Services: map[string]*catalog.Service{}}
	for _, name := range []string{"a", "b", "c"} {
		e.Services[name] = pieceParams(30, 3_000_000)
		for i := range 17 {
			id := fmt.Sprint(name, i)
			e.Replicas = append(e.Replicas, catalog.Replica{ID: id, Service: name, FailureDomain: fmt.Sprint(i % 4), Concurrency: 1})
		}
	}
	m.Step(now, e)
	var calls []Run
	step := func(e Event) {
		for _, a := range m.Step(now, e) {
			switch a := a.(type) {
			case Run:
				calls = append(calls, a)
			case Ready:
				m.Step(now, Cancelled{Job: a.Job})
			}
		}
	}
	submit := func(i int) {
		step(Submitted{Job{
			ID: fmt.Sprint(i), Key: "k", Due: now.Add(100 * time.Second), Deadline: now.Add(200 * time.Second),
			Stages: []Stage{
				{Service: "a", Pieces: 1, ResultBytes: 8000}, {Service: "b", DependsOn: []int{0}, Pieces: 4, ResultBytes: 60000},
				{Service: "c", DependsOn: []int{1}, Pieces: 6, ResultBytes: 6000},
			},
		}})
	}
	for i := range 1000 {
		submit(i)
	}
	handles := 0
	b.ResetTimer()
	for i := range b.N {
		submit(1000 + i)
		now = now.Add(2 * time.Millisecond)
		run := calls[0]
		calls = calls[1:]
		end := CallEnded{Call: run.Call}
		for range run.Pieces {
			handles++
			end.Results = append(end.Results, Result{Handle: fmt.Sprint(handles)})
		}
		step(end)
	}
}

// BenchmarkFleet measures a job of a planner under steady load, at fleets whose replicas
// and jobs grow together: at each size a replica makes the same number of calls.
func BenchmarkFleet(b *testing.B) {
	for _, replicas := range []int{33, 330, 3261, 9783} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) { benchmarkFleet(b, replicas, fleetLoad{factor: 1}) })
	}
}

// jobsPerReplica is the number of jobs a second for each replica.
const jobsPerReplica = 0.096

// fleetLoad is the load of benchmarkFleet.
type fleetLoad struct {
	config Config
	// factor multiplies the rate of jobs, and customers is the number of their customers.
	factor    float64
	customers int
}

// BenchmarkScarce measures a job of a planner that gets 1.7 times as many jobs as its
// replicas can execute, with and without fair shares. Half of the jobs are of one customer.
func BenchmarkScarce(b *testing.B) {
	for _, customers := range []int{16, 2000} {
		for _, shares := range []bool{false, true} {
			b.Run(fmt.Sprintf("customers=%d/shares=%v", customers, shares), func(b *testing.B) {
				benchmarkFleet(b, 66, fleetLoad{Config{FairShares: shares}, 120, customers})
			})
		}
	}
}

func benchmarkFleet(b *testing.B, replicas int, load fleetLoad) {
	m, now := New(load.config), time.Unix(1000, 0)
	e := Configured{Services: map[string]*catalog.Service{}}
	for _, name := range []string{"a", "b", "c"} {
		e.Services[name] = pieceParams(38, 4_200_000)
		for i := range replicas / 3 {
			id := fmt.Sprint(name, i)
			e.Replicas = append(e.Replicas, catalog.Replica{ID: id, Service: name, Address: id, FailureDomain: fmt.Sprint(i % 6), Concurrency: 1})
		}
	}
	type runningCall struct {
		ends time.Time
		run  Run
	}
	var calls []runningCall // in the order of their ends, as all calls take the same time
	handles, ready := 0, 0
	var step func(e Event)
	step = func(e Event) {
		for _, a := range m.Step(now, e) {
			switch a := a.(type) {
			case Run:
				calls = append(calls, runningCall{now.Add(300 * time.Millisecond), a})
			case Ready:
				ready++
				step(Cancelled{Job: a.Job})
			}
		}
	}
	step(e)
	interval := time.Duration(float64(time.Second) / (load.factor * jobsPerReplica * float64(replicas)))
	jobs := 0
	submit := func() {
		jobs++
		customer := ""
		if load.customers > 0 {
			customer = fmt.Sprint("customer", jobs%2*jobs/2%load.customers)
		}
		step(Submitted{Job{
			ID: fmt.Sprint(jobs), Key: "k", Customer: customer, Due: now.Add(2 * time.Second), Latest: now.Add(2 * time.Second), Deadline: now.Add(6 * time.Second),
			Stages: []Stage{
				{Service: "a", Pieces: 1, ResultBytes: 8000}, {Service: "b", DependsOn: []int{0}, Pieces: 4, ResultBytes: 60000},
				{Service: "c", DependsOn: []int{1}, Pieces: 6, ResultBytes: 6000},
			},
		}})
		until := now.Add(interval)
		for len(calls) > 0 && !calls[0].ends.After(until) {
			c := calls[0]
			calls = calls[1:]
			now = c.ends
			end := CallEnded{Call: c.run.Call}
			for range c.run.Pieces {
				handles++
				end.Results = append(end.Results, Result{Handle: fmt.Sprint(handles)})
			}
			step(end)
		}
		now = until
	}
	for range int(load.factor * float64(2*replicas/3)) { // some seconds, until the load is steady
		submit()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		submit()
	}
	b.ReportMetric(float64(ready)/float64(jobs), "ready/job")
	b.ReportMetric(float64(b.Elapsed())/float64(b.N)*load.factor*jobsPerReplica*float64(replicas)/1e7, "%core")
}
