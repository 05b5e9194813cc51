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
