package share

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/wire"
)

// fleet runs many Machines in one process under a virtual clock. The clock of each
// node has its own rate and an offset of up to two days.
type fleet struct {
	rng       *rand.Rand
	now       time.Duration
	names     []string
	nodes     map[string]*node
	resources []Resource
	network   deliveryQueue
	seq       int

	loss     float64
	maxDelay time.Duration
	// partition is the network partition of each node. Messages are delivered only
	// within a partition.
	partition map[string]int

	messages, bytes int
	encode          bool
	traffic         traffic
}

type node struct {
	machine *Machine
	offset  time.Duration
	rate    float64
	demand  map[Resource]float64
	// pausedUntil is when a paused process resumes.
	pausedUntil time.Duration
	starts      uint64
}

type delivery struct {
	at    time.Duration
	seq   int
	to    string
	event Event
}

type deliveryQueue []delivery

func (b deliveryQueue) Len() int { return len(b) }
func (b deliveryQueue) Less(i, j int) bool {
	return b[i].at < b[j].at || b[i].at == b[j].at && b[i].seq < b[j].seq
}
func (b deliveryQueue) Swap(i, j int) { b[i], b[j] = b[j], b[i] }
func (b *deliveryQueue) Push(x any)   { *b = append(*b, x.(delivery)) }
func (b *deliveryQueue) Pop() any {
	old := *b
	last := old[len(old)-1]
	*b = old[:len(old)-1]
	return last
}

var testEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFleet(hosts int, resources []Resource, seed uint64) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 9)), nodes: map[string]*node{}, resources: resources,
		maxDelay: 5 * time.Millisecond, partition: map[string]int{},
	}
	for i := range hosts {
		f.names = append(f.names, fmt.Sprintf("host-%03d", i))
	}
	for _, name := range f.names {
		f.nodes[name] = &node{
			offset: time.Duration(f.rng.Int64N(int64(48 * time.Hour))),
			rate:   0.985 + 0.03*f.rng.Float64(),
			demand: map[Resource]float64{},
		}
		f.restart(name)
	}
	return f
}

// restart replaces the daemon by a new process without any state.
func (f *fleet) restart(name string) {
	n := f.nodes[name]
	n.starts++
	cfg := NewConfig(name, n.starts, len(f.names))
	n.machine = New(f.clock(name), cfg, rand.New(rand.NewPCG(f.rng.Uint64(), 2)))
	n.machine.Step(f.clock(name), HostsChanged{f.names, f.resources})
}

// clock returns the time by a daemon's own clock.
func (f *fleet) clock(name string) time.Time {
	n := f.nodes[name]
	return testEpoch.Add(n.offset + time.Duration(float64(f.now)*n.rate))
}

func (f *fleet) step(name string, e Event) {
	for _, a := range f.nodes[name].machine.Step(f.clock(name), e) {
		switch a := a.(type) {
		case SendReport:
			f.send(name, a.To, a.Report, ReportReceived{name, a.Report})
		case SendReply:
			f.send(name, a.To, a.Reply, ReplyReceived{name, a.Reply})
		}
	}
}

func (f *fleet) send(from, to string, m proto.Message, e Event) {
	f.messages++
	if f.encode {
		raw, err := proto.Marshal(m)
		if err != nil {
			panic(err)
		}
		f.bytes += len(raw)
		f.traffic.count(from, to, len(raw))
		e = decode(from, m, raw)
	}
	if f.partition[from] != f.partition[to] || f.rng.Float64() < f.loss {
		return
	}
	copies := 1
	if f.loss > 0 && f.rng.Float64() < 0.05 {
		copies = 2
	}
	for range copies {
		f.seq++
		delay := time.Duration(f.rng.Float64() * float64(f.maxDelay))
		heap.Push(&f.network, delivery{f.now + delay, f.seq, to, e})
	}
}

func decode(from string, m proto.Message, raw []byte) Event {
	var err error
	var e Event
	switch m.(type) {
	case *wire.ShareReport:
		r := &wire.ShareReport{}
		err, e = proto.Unmarshal(raw, r), ReportReceived{from, r}
	default:
		r := &wire.ShareReply{}
		err, e = proto.Unmarshal(raw, r), ReplyReceived{from, r}
	}
	if err != nil {
		panic(err)
	}
	return e
}

// run advances the clock by d in steps of 50 ms. It calls check after each step and
// after each message.
func (f *fleet) run(d time.Duration, check func()) {
	const step = 50 * time.Millisecond
	for end := f.now + d; f.now < end; {
		next := f.now + step
		for len(f.network) > 0 && f.network[0].at <= next {
			l := heap.Pop(&f.network).(delivery)
			f.now = max(f.now, l.at)
			if n := f.nodes[l.to]; f.now < n.pausedUntil {
				l.at = n.pausedUntil
				heap.Push(&f.network, l)
				continue
			}
			f.step(l.to, l.event)
			check()
		}
		f.now = next
		for _, name := range f.names {
			if f.now < f.nodes[name].pausedUntil {
				continue
			}
			f.step(name, DemandMeasured{f.nodes[name].demand})
			f.step(name, TimerFired{})
		}
		check()
	}
}

// share returns a daemon's current share. It includes paused daemons, which use
// nothing now but read their snapshot when they resume.
func (f *fleet) share(name string, r Resource) int64 {
	now := f.clock(name)
	return f.nodes[name].machine.View(now).Millionths(now, r)
}

func (f *fleet) sum(r Resource) int64 {
	var sum int64
	for _, name := range f.names {
		sum += f.share(name, r)
	}
	return sum
}
