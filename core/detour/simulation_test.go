package detour_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/detour"
)

// The simulated network and load.
const (
	hop             = time.Millisecond
	callsPerHost    = 6 // a second
	callDuration    = time.Second
	refreshInterval = 250 * time.Millisecond
	slowAnswer      = 400 * time.Millisecond // of a peer that stands still
)

// simSize is the size of a simulated fleet, for how long hosts are cut off, and the time after
// which all are to be back.
type simSize struct {
	hosts, replicas int
	cutFor, settle  time.Duration
	// modes are whether connections are not answered, or refused.
	modes []bool
}

var simSizes = []simSize{
	{6, 28, 8 * time.Second, 20 * time.Second, []bool{false, true}},
	{60, 120, 8 * time.Second, 20 * time.Second, []bool{false, true}},
	{985, 610, 4 * time.Second, 4 * time.Second, []bool{true}},
}

var epoch = time.Unix(1_700_000_000, 0)

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simHost is a host: its table, whether it is cut off, and what it carries for others.
type simHost struct {
	name       string
	peers      []string
	table      *detour.Table
	cut        bool
	open, most int
	asked      int
}

type simFleet struct {
	rng      *rand.Rand
	now      time.Time
	queue    eventQueue
	seq      int
	hosts    []*simHost
	byName   map[string]*simHost
	replicas []string
	down     map[string]bool
	silent   bool
	room     int
	cutFor   time.Duration
	// slowOneIn is how often a peer answers only after slowAnswer; 0 for never.
	slowOneIn int
	// calls and served count the calls of the hosts that are cut off, by second of the cut.
	calls, served map[int]int
	cutAt         time.Time
	viaPeers      int
}

func newSimFleet(size simSize, silent bool) *simFleet {
	f := &simFleet{
		rng: rand.New(rand.NewPCG(7, uint64(size.hosts))), now: epoch, byName: map[string]*simHost{}, down: map[string]bool{}, silent: silent, room: 284, cutFor: size.cutFor,
		calls: map[int]int{}, served: map[int]int{},
	}
	for i := range size.replicas {
		f.replicas = append(f.replicas, fmt.Sprint("replica-", i))
	}
	var names []string
	for i := range size.hosts {
		names = append(names, fmt.Sprint("host-", i))
	}
	for i, n := range names {
		h := &simHost{name: n, table: detour.New(n, rand.New(rand.NewPCG(8, uint64(i))))}
		h.peers = append(append(h.peers, names[:i]...), names[i+1:]...)
		f.hosts, f.byName[n] = append(f.hosts, h), h
		f.at(time.Duration(f.rng.Int64N(int64(refreshInterval))), func() { f.refresh(h) })
		f.at(time.Duration(f.rng.Int64N(int64(time.Second))), func() { f.load(h) })
	}
	return f
}

func (f *simFleet) at(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now.Add(d), f.seq, do})
}

func (f *simFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

func (f *simFleet) sample(n int) (out []string) {
	for range n {
		out = append(out, f.replicas[f.rng.IntN(len(f.replicas))])
	}
	return out
}

// direct connects from a host, and calls done with the result.
func (f *simFleet) direct(h *simHost, addr string, done func(ok, refused bool)) {
	switch {
	case !h.cut && !f.down[addr]:
		f.at(2*hop, func() { h.table.DirectConnected(f.now, addr); done(true, false) })
	case f.silent:
		f.at(detour.ConnectLimit, func() { h.table.DirectFailed(f.now, addr); done(false, false) })
	default:
		f.at(hop, func() { h.table.DirectFailed(f.now, addr); done(false, true) })
	}
}

// serve is what a host does that a peer asks to connect, like tunnel.Server.
func (f *simFleet) serve(h *simHost, addr string, reply func(detour.Reply)) {
	h.asked++
	switch {
	case h.table.Reach(f.now) == detour.ReachesNone:
		reply(detour.Reply{Result: detour.PeerCutOff, Hints: h.table.Hints(f.now)})
		return
	case h.open >= f.room:
		reply(detour.Reply{Result: detour.NoRoom})
		return
	}
	f.direct(h, addr, func(ok, refused bool) {
		if ok {
			h.open++
			h.most = max(h.most, h.open)
			f.at(callDuration, func() { h.open-- })
			reply(detour.Reply{Result: detour.Connected, Room: f.room - h.open})
			return
		}
		f.reachesOthers(h, func(reaches bool) {
			r := detour.Reply{Result: detour.ReplicaUnreachable, Room: f.room - h.open}
			switch {
			case !reaches:
				r.Result, r.Hints = detour.PeerCutOff, h.table.Hints(f.now)
			case refused:
				r.Result = detour.ReplicaRefused
			}
			reply(r)
		})
	})
}

func (f *simFleet) reachesOthers(h *simHost, done func(bool)) {
	if r := h.table.Reach(f.now); r != detour.ReachUnknown {
		done(r == detour.ReachesReplicas)
		return
	}
	left, reached := 2, false
	for _, other := range f.sample(left) {
		f.direct(h, other, func(ok, _ bool) {
			reached = reached || ok
			if left--; left == 0 {
				done(reached)
			}
		})
	}
}

// connect runs an attempt of a host, like tunnel.Dialer.
func (f *simFleet) connect(h *simHost, addr string, done func(ok bool)) {
	a := h.table.Begin(f.now, addr)
	ended, waiting := false, 0
	var step func()
	finish := func(ok bool) {
		ended = true
		done(ok)
	}
	step = func() {
		for !ended {
			if a.NeedsPeers(f.now) && h.table.PeersExpired(f.now) {
				h.table.SetPeers(f.now, h.peers)
			}
			s := h.table.Next(f.now, a)
			switch {
			case s.Done:
				finish(false)
			case s.Direct:
				f.direct(h, addr, func(ok, _ bool) {
					switch {
					case ended:
					case ok:
						finish(true)
					default:
						a.DirectFailed()
						step()
					}
				})
			case s.Peer != "":
				f.ask(h, a, s.Peer, addr, &ended, finish, func() { step() })
			default:
				waiting++
				turn := waiting
				f.at(s.Wait, func() {
					if turn == waiting && !ended {
						step()
					}
				})
				return
			}
		}
	}
	step()
}

func (f *simFleet) ask(h *simHost, a *detour.Attempt, name, addr string, ended *bool, finish func(bool), step func()) {
	back := hop
	if f.slowOneIn > 0 && f.rng.IntN(f.slowOneIn) == 0 {
		back = slowAnswer
	}
	f.at(hop, func() {
		f.serve(f.byName[name], addr, func(r detour.Reply) {
			f.at(back, func() {
				if *ended {
					return
				}
				h.table.Replied(f.now, a, name, r)
				if r.Result == detour.Connected {
					f.viaPeers++
					finish(true)
					return
				}
				a.PeerFailed(name)
				step()
			})
		})
	})
}

// load makes the calls of a host, each with up to three retries elsewhere.
func (f *simFleet) load(h *simHost) {
	f.at(time.Duration(f.rng.ExpFloat64()/callsPerHost*float64(time.Second)), func() { f.load(h) })
	second := int(f.now.Sub(f.cutAt) / time.Second)
	counted := h.cut && !f.cutAt.IsZero()
	if counted {
		f.calls[second]++
	}
	var try func(left int)
	try = func(left int) {
		if left == 0 || h.table.Stranded() {
			return
		}
		f.connect(h, f.sample(1)[0], func(ok bool) {
			if !ok {
				try(left - 1)
			} else if counted {
				f.served[second]++
			}
		})
	}
	try(4)
}

func (f *simFleet) refresh(h *simHost) {
	f.at(refreshInterval, func() { f.refresh(h) })
	due := h.table.Refresh(f.now, len(f.replicas), func(string) bool { return true }, f.sample)
	for _, addr := range due.Probes {
		f.direct(h, addr, func(bool, bool) {})
	}
	if due.Ask != "" {
		f.connect(h, due.Ask, func(bool) {})
	}
}

// playCut cuts hosts off after two seconds, and ends the cut.
func (f *simFleet) playCut(hosts []*simHost) {
	f.run(2 * time.Second)
	f.cutAt = f.now
	for _, h := range hosts {
		h.cut = true
	}
	f.run(f.cutFor)
	for _, h := range hosts {
		h.cut = false
	}
}

// servedFrom returns the share of the calls that were served from a second of the cut on.
func (f *simFleet) servedFrom(first int) float64 {
	calls, served := 0, 0
	for s, n := range f.calls {
		if s >= first && s < int(f.cutFor/time.Second)-1 {
			calls, served = calls+n, served+f.served[s]
		}
	}
	return float64(served) / float64(max(1, calls))
}

func (f *simFleet) countWith(is func(*detour.Table) bool) (n int) {
	for _, h := range f.hosts {
		if is(h.table) {
			n++
		}
	}
	return n
}

// Guards against hosts that lost the path to all replicas and serve less than those that did
// not, against peers that carry far more than others for them, and against hosts that do not
// return to the direct way, or all at one moment.
func TestHostsWithoutReplicasAreServedByTheOthers(t *testing.T) {
	for _, size := range simSizes {
		for name, cut := range map[string]int{"a third": size.hosts / 3, "all but a tenth": size.hosts - max(1, size.hosts/10)} {
			for _, silent := range size.modes {
				t.Run(fmt.Sprintf("%s of %d hosts, silent %t", name, size.hosts, silent), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					f := newSimFleet(size, silent)
					f.playCut(f.hosts[:cut])
					most, sum, asked := 0, 0, 0
					for _, h := range f.hosts {
						asked = max(asked, h.asked)
						if !h.cut {
							most, sum = max(most, h.most), sum+h.most
						}
					}
					cutOff := f.countWith((*detour.Table).CutOff)
					f.run(500 * time.Millisecond)
					early := f.countWith((*detour.Table).CutOff)
					f.run(size.settle)
					t.Logf("served %.3f in the first second, %.3f from then on; %d via peers; most open for peers %d; most asked %d; cut off %d, %d after 0.5 s",
						float64(f.served[0])/float64(max(1, f.calls[0])), f.servedFrom(1), f.viaPeers, most, asked, cutOff, early)
					g.Expect(f.servedFrom(1)).To(BeNumerically(">=", 0.95))
					g.Expect(float64(f.served[0]) / float64(max(1, f.calls[0]))).To(BeNumerically(">=", 2.0/3))
					g.Expect(f.countWith((*detour.Table).CutOff)).To(BeZero())
					g.Expect(f.countWith(func(t *detour.Table) bool { return t.Detours() > 0 })).To(BeZero())
				})
			}
		}
	}
}

// Guards against hosts that don't ask the few peers that connect for seconds, since these were
// too slow once.
func TestPeersThatAreSlowNowAndThenServeTheOthers(t *testing.T) {
	for _, size := range append([]simSize{{4, 10, 8 * time.Second, 20 * time.Second, []bool{false, true}}}, simSizes...) {
		for _, silent := range size.modes {
			t.Run(fmt.Sprintf("%d hosts, silent %t", size.hosts, silent), func(t *testing.T) {
				t.Parallel()
				f := newSimFleet(size, silent)
				f.slowOneIn = 10
				f.playCut(f.hosts[:size.hosts-max(1, size.hosts/10)])
				t.Logf("served %.3f in the first second, %.3f from then on", float64(f.served[0])/float64(max(1, f.calls[0])), f.servedFrom(1))
				NewWithT(t).Expect(f.servedFrom(1)).To(BeNumerically(">=", 0.95))
			})
		}
	}
}

// Guards against requests that are tried while no host reaches a replica, and against hosts
// that stay so once the path is back.
func TestHostsAreStrandedWhileNoneReachesReplicas(t *testing.T) {
	for _, size := range append([]simSize{{1, 28, 8 * time.Second, 20 * time.Second, []bool{false, true}}}, simSizes...) {
		for _, silent := range size.modes {
			t.Run(fmt.Sprintf("%d hosts, silent %t", size.hosts, silent), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				f := newSimFleet(size, silent)
				f.playCut(f.hosts)
				g.Expect(f.countWith((*detour.Table).Stranded)).To(BeNumerically(">=", size.hosts*95/100))
				f.run(size.settle)
				g.Expect(f.countWith((*detour.Table).Stranded)).To(BeZero())
			})
		}
	}
}

// Guards against a few replicas that are down and make hosts that reach the others count as
// cut off, or ask peers for each attempt.
func TestDownReplicasDoNotMakeHostsCutOff(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent %t", silent), func(t *testing.T) {
			g := NewWithT(t)
			f := newSimFleet(simSizes[1], silent)
			f.run(2 * time.Second)
			for _, addr := range f.replicas[:24] {
				f.down[addr] = true
			}
			for range 16 {
				f.run(500 * time.Millisecond)
				g.Expect(f.countWith((*detour.Table).CutOff)).To(BeZero())
				g.Expect(f.countWith((*detour.Table).Stranded)).To(BeZero())
			}
			g.Expect(f.viaPeers).To(BeZero())
		})
	}
}
