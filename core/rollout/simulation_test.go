package rollout

import (
	"bytes"
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/wire"
)

// blockSize is the size in bytes of the blocks that test documents consist of. The
// first block starts with the version and a simulated signature.
const blockSize = 4 << 10

var errSignature = errors.New("bad signature")

// document builds a signed document. edit changes the last block, so that two
// documents with the same version differ.
func document(version uint64, blocks int, edit string) []byte {
	out := bytes.Repeat([]byte{'.'}, blocks*blockSize)
	for i := range blocks {
		copy(out[i*blockSize:], strconv.Itoa(i))
	}
	copy(out[(blocks-1)*blockSize:], fmt.Sprintf("edit %d %s", version, edit))
	copy(out, fmt.Sprintf("%d good ", version))
	return out
}

func testCodec() Codec {
	return Codec{
		Open: func(signed []byte) (*bundle.Bundle, error) {
			var version uint64
			var signature string
			if _, err := fmt.Sscan(string(signed[:min(len(signed), 64)]), &version, &signature); err != nil || signature != "good" {
				return nil, errSignature
			}
			return &bundle.Bundle{Version: version}, nil
		},
		Split: func(signed []byte) [][]byte {
			var out [][]byte
			for len(signed) > 0 {
				n := min(blockSize, len(signed))
				out = append(out, signed[:n])
				signed = signed[n:]
			}
			return out
		},
	}
}

// service simulates the configuration service.
type service struct {
	down     bool
	revision uint64
	value    []byte
	reads    int
	bytes    int
}

func (s *service) put(doc []byte) {
	s.revision++
	s.value = doc
}

// fleet simulates the membership and rollout machines of each daemon over an
// in-memory network with a virtual clock.
type fleet struct {
	now     time.Time
	rng     *rand.Rand
	service *service
	nodes   map[string]*node
	names   []string
	queue   deliveries
	lastSeq uint64
	hosts   []member.Host
	dropped func(from, to string) bool
	// serviceUnreachable reports whether a host cannot reach the service.
	serviceUnreachable func(host string) bool
	codec              Codec
	// uplinkBytesPerSecond is the capacity of each daemon's link; 0 is unlimited.
	uplinkBytesPerSecond float64
}

type node struct {
	name            string
	up              bool
	member          *member.Machine
	rollout         *Machine
	actions         []Action
	bytes           int // sent to and received from peers
	messagesSent    int
	cpuTime         time.Duration
	adoptedVersions []uint64
	// linkBusyUntil is when the link has transmitted everything sent so far.
	linkBusyUntil time.Time
}

type delivery struct {
	at  time.Time
	seq uint64
	run func()
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

const (
	latency         = 500 * time.Microsecond
	serviceLatency  = 5 * time.Millisecond
	messageOverhead = 60 + 3*(12+22+52+52) // bytes, as in the tests of core/member
)

func newFleet(n, domains int, seed uint64) *fleet {
	return newFleetWithCodec(n, domains, seed, testCodec())
}

func newFleetWithCodec(n, domains int, seed uint64, codec Codec) *fleet {
	f := &fleet{
		codec: codec,
		now:   time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), service: &service{},
		nodes: map[string]*node{}, dropped: func(string, string) bool { return false },
		serviceUnreachable: func(string) bool { return false },
	}
	for i := range n {
		f.hosts = append(f.hosts, member.Host{Name: fmt.Sprintf("entry-%03d", i), FailureDomain: fmt.Sprintf("domain-%d", i%domains)})
	}
	for _, h := range f.hosts {
		f.names = append(f.names, h.Name)
		f.start(h)
	}
	return f
}

// start starts a new process of a host.
func (f *fleet) start(h member.Host) *node {
	cfg := member.DefaultConfig(h, uint64(f.now.UnixMilli()))
	cfg.Slots = []member.SlotConfig{{ID: member.SlotBundle, MaxBytes: 40}}
	mm, err := member.New(cfg, f.now, rand.New(rand.NewPCG(f.rng.Uint64(), 2)))
	if err != nil {
		panic(err)
	}
	n := &node{name: h.Name, up: true, member: mm}
	n.rollout = New(DefaultConfig(f.codec), f.now, rand.New(rand.NewPCG(f.rng.Uint64(), 3)))
	f.nodes[h.Name] = n
	f.stepMember(n, member.Configured{Hosts: f.hosts})
	f.announce(n, &wire.BundleMark{}, false)
	f.notifyPeersChanged(n)
	return n
}

func (f *fleet) schedule(d time.Duration, run func()) {
	f.lastSeq++
	heap.Push(&f.queue, delivery{f.now.Add(d), f.lastSeq, run})
}

func (f *fleet) announce(n *node, m *wire.BundleMark, urgent bool) {
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	f.stepMember(n, member.SetSlot{ID: member.SlotBundle, Value: raw, Urgent: urgent})
}

func (f *fleet) notifyPeersChanged(n *node) {
	f.stepRollout(n, PeersChanged{Neighbours: n.member.Neighbours(), LiveHosts: n.member.LiveHosts()})
}

// send counts a message and delivers it unless the link drops it or the receiver
// is down.
func (f *fleet) send(from *node, to string, msg proto.Message, onArrival func(*node), onLoss func()) {
	size := proto.Size(msg) + messageOverhead
	from.bytes += size
	from.messagesSent++
	dest := f.nodes[to]
	if !dest.up || f.dropped(from.name, to) {
		f.schedule(time.Second, func() {
			if from.up {
				onLoss()
			}
		})
		return
	}
	dest.bytes += size
	f.schedule(f.transmissionDelay(from, size)+latency+time.Duration(f.rng.Int64N(int64(latency))), func() {
		if dest.up && f.nodes[to] == dest {
			onArrival(dest)
		}
	})
}

// transmissionDelay returns the time until a daemon's link has transmitted size
// more bytes.
func (f *fleet) transmissionDelay(from *node, size int) time.Duration {
	if f.uplinkBytesPerSecond == 0 {
		return 0
	}
	if from.linkBusyUntil.Before(f.now) {
		from.linkBusyUntil = f.now
	}
	from.linkBusyUntil = from.linkBusyUntil.Add(time.Duration(float64(size) / f.uplinkBytesPerSecond * float64(time.Second)))
	return from.linkBusyUntil.Sub(f.now)
}

func (f *fleet) stepMember(n *node, e member.Event) {
	for _, a := range n.member.Step(f.now, e) {
		switch a := a.(type) {
		case member.Send:
			f.send(n, a.To, a.Msg,
				func(d *node) { f.stepMember(d, member.MessageReceived{From: n.name, Msg: a.Msg}) },
				func() { f.stepMember(n, member.SendFailed(a)) })
		case member.SlotReceived:
			m := &wire.BundleMark{}
			if err := proto.Unmarshal(a.Value, m); err != nil {
				panic(err)
			}
			f.stepRollout(n, PeerMarkReceived{a.Host, m, a.Solicited})
		case member.MemberChanged:
			f.notifyPeersChanged(n)
		}
	}
}

func (f *fleet) stepRollout(n *node, e Event) {
	begin := time.Now()
	actions := n.rollout.Step(f.now, e)
	n.cpuTime += time.Since(begin)
	for _, a := range actions {
		n.actions = append(n.actions, a)
		switch a := a.(type) {
		case PollService:
			f.readService(n, a.After)
		case FetchManifest:
			f.fetchManifest(n, a)
		case FetchParts:
			f.fetchParts(n, a)
		case Announce:
			f.announce(n, a.Mark, a.Urgent)
		case Adopt:
			n.adoptedVersions = append(n.adoptedVersions, a.Active.Bundle.Version)
		}
	}
}

// readService simulates one read of the service.
func (f *fleet) readService(n *node, after uint64) {
	f.service.reads++
	f.schedule(serviceLatency, func() {
		switch {
		case !n.up:
		case f.service.down || f.serviceUnreachable(n.name) || f.service.value == nil:
			f.stepRollout(n, ServiceFailed{errors.New("down")})
		case after != 0 && f.service.revision <= after:
			f.stepRollout(n, ServiceUnchanged{})
		default:
			f.service.bytes += len(f.service.value)
			f.stepRollout(n, ServiceAnswered{f.service.revision, f.service.value})
		}
	})
}

func (f *fleet) fetchManifest(n *node, a FetchManifest) {
	lost := func() { f.stepRollout(n, FetchFailed{a.From, errors.New("lost")}) }
	f.send(n, a.From, &wire.BundleManifestRequest{}, func(d *node) {
		if d.rollout.Active() == nil {
			lost()
			return
		}
		m := d.rollout.Active().Manifest()
		f.send(d, n.name, m, func(n *node) { f.stepRollout(n, ManifestArrived{d.name, m}) }, lost)
	}, lost)
}

func (f *fleet) fetchParts(n *node, a FetchParts) {
	lost := func() { f.stepRollout(n, FetchFailed{a.From, errors.New("lost")}) }
	f.send(n, a.From, a.Request, func(d *node) {
		parts := d.rollout.Active().Parts(a.Request)
		f.send(d, n.name, parts, func(n *node) { f.stepRollout(n, PartsArrived{d.name, parts}) }, lost)
	}, lost)
}

// run advances virtual time by d.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.now.Before(end) {
		next := f.now.Add(member.TickInterval)
		for len(f.queue) > 0 && f.queue[0].at.Before(next) {
			due := heap.Pop(&f.queue).(delivery)
			if due.at.After(f.now) {
				f.now = due.at
			}
			due.run()
		}
		f.now = next
		for _, name := range f.names {
			if n := f.nodes[name]; n.up {
				f.stepMember(n, member.Tick{})
				f.stepRollout(n, Tick{})
			}
		}
	}
}

// runUntil runs until cond holds and returns the time it took, or false if cond
// did not hold within limit.
func (f *fleet) runUntil(limit time.Duration, cond func() bool) (time.Duration, bool) {
	begin := f.now
	for !cond() {
		if f.now.Sub(begin) >= limit {
			return limit, false
		}
		f.run(member.TickInterval)
	}
	return f.now.Sub(begin), true
}

// isActive reports whether the version is active on every running daemon among
// names, or on all running daemons if there are none.
func (f *fleet) isActive(version uint64, names ...string) func() bool {
	if len(names) == 0 {
		names = f.names
	}
	return func() bool {
		for _, name := range names {
			if n := f.nodes[name]; n.up && n.rollout.version() != version {
				return false
			}
		}
		return true
	}
}

// actionsOf returns the recorded actions of one type at a node.
func actionsOf[A Action](n *node) []A {
	var out []A
	for _, a := range n.actions {
		if x, ok := a.(A); ok {
			out = append(out, x)
		}
	}
	return out
}
