package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"
)

// fleet runs Machines over an in-memory network under a virtual clock.
type fleet struct {
	now     time.Time
	rng     *rand.Rand
	nodes   map[string]*node
	names   []string
	queue   deliveries
	order   uint64
	latency time.Duration
	// cut drops messages from one host to another.
	cut func(from, to string) bool
	// wireCopy serialises every message as the daemon does.
	wireCopy bool
}

type node struct {
	m       *Machine
	up      bool
	paused  bool
	skew    time.Duration
	inbox   []delivery
	actions []Action
	// counts since the last reset
	messages, bytes int
	spent           time.Duration
}

type delivery struct {
	at    time.Time
	order uint64
	to    string
	event Event
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if d[i].at.Equal(d[j].at) {
		return d[i].order < d[j].order
	}
	return d[i].at.Before(d[j].at)
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

var epoch = time.Unix(1_800_000_000, 0)

// hostsOf names n hosts spread over domains.
func hostsOf(n, domains int) []Host {
	out := make([]Host, n)
	for i := range out {
		out[i] = Host{fmt.Sprintf("entry-%03d", i), fmt.Sprintf("domain-%d", i%domains)}
	}
	return out
}

// newFleet starts n hosts that know each other.
func newFleet(n, domains int, seed uint64, adjust func(*Config)) *fleet {
	f := &fleet{now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}, latency: 500 * time.Microsecond}
	f.cut = func(string, string) bool { return false }
	hosts := hostsOf(n, domains)
	for _, h := range hosts {
		f.names = append(f.names, h.Name)
		f.start(h, hosts, adjust)
	}
	return f
}

// start begins a process of a host.
func (f *fleet) start(h Host, hosts []Host, adjust func(*Config)) {
	cfg := DefaultConfig(h, uint64(f.now.UnixMilli()))
	if adjust != nil {
		adjust(&cfg)
	}
	m, err := New(cfg, f.now, rand.New(rand.NewPCG(f.rng.Uint64(), 2)))
	if err != nil {
		panic(err)
	}
	f.nodes[h.Name] = &node{m: m, up: true}
	f.step(h.Name, Configured{Hosts: hosts})
}

// step passes an event to a host and carries out the actions.
func (f *fleet) step(name string, e Event) {
	n := f.nodes[name]
	begin := time.Now()
	actions := n.m.Step(f.now.Add(n.skew), e)
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			f.transmit(name, n, s)
			continue
		}
		n.actions = append(n.actions, a)
	}
	n.spent += time.Since(begin)
}

// messageOverhead estimates the bytes around one message: the envelope (60),
// three yamux frames of 12, each in a TLS record (22) and a TCP segment (52),
// and a TCP acknowledgement (52) for each.
const messageOverhead = 60 + 3*(12+22+52+52)

func (f *fleet) transmit(from string, n *node, s Send) {
	size := proto.Size(s.Msg) + messageOverhead
	n.messages++
	n.bytes += size
	msg := s.Msg
	if f.wireCopy {
		msg = wireCopy(msg)
	}
	to := f.nodes[s.To]
	switch {
	case to == nil || !to.up:
		f.deliver(f.latency*2, from, SendFailed(s))
	case f.cut(from, s.To):
		f.deliver(time.Second, from, SendFailed(s))
	default:
		to.bytes += size
		jitter := time.Duration(f.rng.Int64N(int64(f.latency)))
		f.deliver(f.latency+jitter, s.To, MessageReceived{from, msg})
	}
}

// wireCopy serialises a message and reads it back; that counts as the sender's
// processor time, as in step.
func wireCopy(msg proto.Message) proto.Message {
	raw, err := proto.Marshal(msg)
	if err != nil {
		panic(err)
	}
	out := msg.ProtoReflect().New().Interface()
	if err := proto.Unmarshal(raw, out); err != nil {
		panic(err)
	}
	return out
}

func (f *fleet) deliver(after time.Duration, to string, e Event) {
	f.order++
	heap.Push(&f.queue, delivery{f.now.Add(after), f.order, to, e})
}

// run lets virtual time pass. Ticks are due every TickInterval.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.now.Before(end) {
		next := f.now.Add(TickInterval)
		for len(f.queue) > 0 && f.queue[0].at.Before(next) {
			x := heap.Pop(&f.queue).(delivery)
			if x.at.After(f.now) {
				f.now = x.at
			}
			f.arrive(x)
		}
		f.now = next
		for _, name := range f.names {
			if n := f.nodes[name]; n.up && !n.paused {
				f.step(name, Tick{})
			}
		}
	}
}

func (f *fleet) arrive(x delivery) {
	n := f.nodes[x.to]
	switch {
	case !n.up:
	case n.paused:
		n.inbox = append(n.inbox, x)
	default:
		f.step(x.to, x.event)
	}
}

// wake ends a pause: the queued messages come first, as from a socket.
func (f *fleet) wake(name string) {
	n := f.nodes[name]
	n.paused = false
	for _, x := range n.inbox {
		f.step(name, x.event)
	}
	n.inbox = nil
}

// until runs until cond holds and returns the time it took; false if it did
// not within limit.
func (f *fleet) until(limit time.Duration, cond func() bool) (time.Duration, bool) {
	begin := f.now
	for !cond() {
		if f.now.Sub(begin) >= limit {
			return limit, false
		}
		f.run(TickInterval)
	}
	return f.now.Sub(begin), true
}

// states counts what the running hosts believe of one host.
func (f *fleet) states(of string) map[State]int {
	out := map[State]int{}
	for _, name := range f.names {
		if n := f.nodes[name]; n.up && name != of {
			out[n.m.believed(of)]++
		}
	}
	return out
}

func (m *Machine) believed(name string) State {
	e := m.hosts[name]
	return stateOf(e.state, e.leaving)
}

// all says whether every running host but of believes state of it.
func (f *fleet) all(of string, state State) func() bool {
	return func() bool {
		s := f.states(of)
		return len(s) == 1 && s[state] > 0
	}
}

// each says whether cond holds at every running host.
func (f *fleet) each(cond func(*node) bool) func() bool {
	return func() bool {
		for _, name := range f.names {
			if n := f.nodes[name]; n.up && !cond(n) {
				return false
			}
		}
		return true
	}
}

func (f *fleet) reset() {
	for _, n := range f.nodes {
		n.messages, n.bytes, n.spent, n.actions = 0, 0, 0, nil
	}
}
