package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"
)

// fleet simulates Machines over an in-memory network with a virtual clock.
type fleet struct {
	now     time.Time
	rng     *rand.Rand
	nodes   map[string]*node
	names   []string
	queue   deliveries
	lastSeq uint64
	latency time.Duration
	// dropped reports whether messages from one host to another are lost.
	dropped func(from, to string) bool
	// encodeMessages makes every message pass through its wire encoding, as in
	// the daemon.
	encodeMessages bool
}

type node struct {
	machine   *Machine
	up        bool
	paused    bool
	clockSkew time.Duration
	inbox     []delivery
	actions   []Action
	// counts since the last resetCounters
	messages, bytes int
	cpuTime         time.Duration
}

type delivery struct {
	at    time.Time
	seq   uint64
	to    string
	event Event
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if d[i].at.Equal(d[j].at) {
		return d[i].seq < d[j].seq
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

var startTime = time.Unix(1_800_000_000, 0)

// makeHosts returns n hosts distributed over domains.
func makeHosts(n, domains int) []Host {
	out := make([]Host, n)
	for i := range out {
		out[i] = Host{fmt.Sprintf("entry-%03d", i), fmt.Sprintf("domain-%d", i%domains)}
	}
	return out
}

// newFleet starts n hosts that are configured with each other.
func newFleet(n, domains int, seed uint64, adjust func(*Config)) *fleet {
	f := &fleet{now: startTime, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}, latency: 500 * time.Microsecond}
	f.dropped = func(string, string) bool { return false }
	hosts := makeHosts(n, domains)
	for _, h := range hosts {
		f.names = append(f.names, h.Name)
		f.start(h, hosts, adjust)
	}
	return f
}

// start starts a new process of a host.
func (f *fleet) start(h Host, hosts []Host, adjust func(*Config)) {
	cfg := DefaultConfig(h, uint64(f.now.UnixMilli()))
	if adjust != nil {
		adjust(&cfg)
	}
	m, err := New(cfg, f.now, rand.New(rand.NewPCG(f.rng.Uint64(), 2)))
	if err != nil {
		panic(err)
	}
	f.nodes[h.Name] = &node{machine: m, up: true}
	f.step(h.Name, Configured{Hosts: hosts})
}

// step passes an event to a host and carries out the actions.
func (f *fleet) step(name string, e Event) {
	n := f.nodes[name]
	begin := time.Now()
	actions := n.machine.Step(f.now.Add(n.clockSkew), e)
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			f.transmit(name, n, s)
			continue
		}
		n.actions = append(n.actions, a)
	}
	n.cpuTime += time.Since(begin)
}

// messageOverhead is an estimate of the protocol overhead of one message in
// bytes: the envelope (60) and three yamux frames of 12, each with a TLS record
// (22), a TCP segment (52) and a TCP acknowledgement (52).
const messageOverhead = 60 + 3*(12+22+52+52)

func (f *fleet) transmit(from string, n *node, s Send) {
	size := proto.Size(s.Msg) + messageOverhead
	n.messages++
	n.bytes += size
	msg := s.Msg
	if f.encodeMessages {
		msg = encodeAndDecode(msg)
	}
	to := f.nodes[s.To]
	switch {
	case to == nil || !to.up:
		f.schedule(f.latency*2, from, SendFailed(s))
	case f.dropped(from, s.To):
		f.schedule(time.Second, from, SendFailed(s))
	default:
		to.bytes += size
		jitter := time.Duration(f.rng.Int64N(int64(f.latency)))
		f.schedule(f.latency+jitter, s.To, MessageReceived{from, msg})
	}
}

// encodeAndDecode encodes and decodes a message. Like the work in step, it counts
// as the sender's CPU time.
func encodeAndDecode(msg proto.Message) proto.Message {
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

func (f *fleet) schedule(after time.Duration, to string, e Event) {
	f.lastSeq++
	heap.Push(&f.queue, delivery{f.now.Add(after), f.lastSeq, to, e})
}

// run advances virtual time by d and delivers a tick every TickInterval.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.now.Before(end) {
		next := f.now.Add(TickInterval)
		for len(f.queue) > 0 && f.queue[0].at.Before(next) {
			due := heap.Pop(&f.queue).(delivery)
			if due.at.After(f.now) {
				f.now = due.at
			}
			f.handleDelivery(due)
		}
		f.now = next
		for _, name := range f.names {
			if n := f.nodes[name]; n.up && !n.paused {
				f.step(name, Tick{})
			}
		}
	}
}

func (f *fleet) handleDelivery(d delivery) {
	n := f.nodes[d.to]
	switch {
	case !n.up:
	case n.paused:
		n.inbox = append(n.inbox, d)
	default:
		f.step(d.to, d.event)
	}
}

// resume ends a pause. Messages queued meanwhile are delivered first, like those
// buffered in a socket.
func (f *fleet) resume(name string) {
	n := f.nodes[name]
	n.paused = false
	for _, d := range n.inbox {
		f.step(name, d.event)
	}
	n.inbox = nil
}

// runUntil runs until cond holds and returns the time it took, or false if cond
// did not hold within limit.
func (f *fleet) runUntil(limit time.Duration, cond func() bool) (time.Duration, bool) {
	begin := f.now
	for !cond() {
		if f.now.Sub(begin) >= limit {
			return limit, false
		}
		f.run(TickInterval)
	}
	return f.now.Sub(begin), true
}

// stateCounts counts the states that the other running hosts have for one host.
func (f *fleet) stateCounts(of string) map[State]int {
	out := map[State]int{}
	for _, name := range f.names {
		if n := f.nodes[name]; n.up && name != of {
			out[n.machine.stateOfHost(of)]++
		}
	}
	return out
}

func (m *Machine) stateOfHost(name string) State {
	e := m.hosts[name]
	return stateOf(e.state, e.leaving)
}

// allSee reports whether every other running host has the given state for a host.
func (f *fleet) allSee(of string, state State) func() bool {
	return func() bool {
		s := f.stateCounts(of)
		return len(s) == 1 && s[state] > 0
	}
}

// onAllNodes reports whether cond holds on every running host.
func (f *fleet) onAllNodes(cond func(*node) bool) func() bool {
	return func() bool {
		for _, name := range f.names {
			if n := f.nodes[name]; n.up && !cond(n) {
				return false
			}
		}
		return true
	}
}

func (f *fleet) resetCounters() {
	for _, n := range f.nodes {
		n.messages, n.bytes, n.cpuTime, n.actions = 0, 0, 0, nil
	}
}
