package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/load"
	"github.com/wheatseam/wheatseam/core/request"
)

// call is a call in flight in a fleet.
type call struct {
	ends   time.Time
	began  time.Time
	router int
	choice request.Choice
}

type calls []call

func (c calls) Len() int           { return len(c) }
func (c calls) Less(i, j int) bool { return c[i].ends.Before(c[j].ends) }
func (c calls) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *calls) Push(x any)        { *c = append(*c, x.(call)) }
func (c *calls) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// fleet simulates many routers over the same upstreams with an open-loop load: calls
// arrive at even intervals, each at a random router.
type fleet struct {
	rng             *rand.Rand
	routers         []*Router
	now             time.Time
	arrivalInterval time.Duration
	serviceTime     func(upstream string) time.Duration
	result          func(upstream string) request.CallResult

	inFlight   calls
	running    map[string]int
	pickCounts map[string]int
	errors     int
	// onPick is called after each pick with the name of the picked upstream.
	onPick func(upstream string)
}

func newFleet(routers, upstreams, concurrency int, policy bundle.Policy) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(3, 4)), now: start, arrivalInterval: time.Millisecond,
		running: map[string]int{}, pickCounts: map[string]int{},
		serviceTime: func(string) time.Duration { return 100 * time.Millisecond },
		result:      func(string) request.CallResult { return request.CallOK },
		onPick:      func(string) {},
	}
	for i := range routers {
		r := New(Config{FailureDomain: fmt.Sprintf("d%d", i%4), Seed: uint64(i)})
		r.Apply(testBundle(upstreams, concurrency, policy))
		f.routers = append(f.routers, r)
	}
	return f
}

// run simulates arrivals for d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(f.arrivalInterval) {
		f.endDueCalls()
		i := f.rng.IntN(len(f.routers))
		c, err := f.routers[i].Pick(f.now, testQuery(), nil)
		if err != nil {
			f.errors++
			continue
		}
		f.running[c.Upstream]++
		f.pickCounts[c.Upstream]++
		f.onPick(c.Upstream)
		heap.Push(&f.inFlight, call{f.now.Add(f.serviceTime(c.Upstream)), f.now, i, c})
	}
}

// endDueCalls ends the calls whose end time has been reached.
func (f *fleet) endDueCalls() {
	for len(f.inFlight) > 0 && !f.inFlight[0].ends.After(f.now) {
		c := heap.Pop(&f.inFlight).(call)
		f.running[c.choice.Upstream]--
		finishCall(f.routers[c.router], c.ends, c.choice, f.result(c.choice.Upstream), c.ends.Sub(c.began))
	}
}

// broadcastReports gives all routers the actual load of all upstreams.
func (f *fleet) broadcastReports() {
	for _, r := range f.routers {
		for i := range r.current.Load().pools[pool].members.all {
			name := fmt.Sprintf("u%d", i)
			r.Observe(load.Report{Upstream: name, AsOf: f.now, Running: f.running[name]})
		}
	}
}
