package quarantine_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/quarantine"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

// network joins daemons in one process: calls, heartbeats and cuts.
type network struct {
	mu    sync.Mutex
	hosts []*host
	calls atomic.Int64
	// listening are the addresses at which replicas live.
	listening map[string]bool
}

// host is one daemon on the network.
type host struct {
	*quarantine.Service
	net     *network
	name    string
	started uint64
	mux     *peer.Mux
	cut     atomic.Bool
	slot    atomic.Pointer[[]byte]
	stop    context.CancelFunc
}

var errCut = errors.New("cut off")

func newNetwork(hosts int) *network {
	n := &network{listening: map[string]bool{}}
	for range hosts {
		n.add()
	}
	return n
}

// add starts a daemon; those that started earlier rank first.
func (n *network) add() *host {
	n.mu.Lock()
	h := &host{net: n, name: fmt.Sprintf("h%d", len(n.hosts)), started: uint64(len(n.hosts) + 1), mux: peer.NewMux()}
	n.mu.Unlock()
	h.Service = quarantine.New(quarantine.Config{Self: h.name, Members: h, Replicas: n, Caller: h, Mux: h.mux, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	done := make(chan struct{})
	go func() { defer close(done); h.Run(ctx) }()
	DeferCleanup(func() { cancel(); <-done })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts = append(n.hosts, h)
	return h
}

func (n *network) all() []*host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*host(nil), n.hosts...)
}

// Refused implements quarantine.Replicas.
func (n *network) RefusesConnections(_ context.Context, address string) (bool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.listening[address], nil
}

// Reachable implements quarantine.Members: a host that is cut off believes in all
// of its fellows for a while.
func (h *host) Reachable() []fleet.Host {
	var out []fleet.Host
	for _, o := range h.net.all() {
		if !o.cut.Load() || h.cut.Load() {
			out = append(out, fleet.Host{Host: member.Host{Name: o.name}, Capacity: 1, Incarnation: o.started})
		}
	}
	return out
}

// Neighbours implements quarantine.Members: a ring, each with the next two.
func (h *host) Neighbours() []string {
	all := h.net.all()
	var out []string
	for i, o := range all {
		if o == h {
			for k := 1; k <= 2 && k < len(all); k++ {
				out = append(out, all[(i+k)%len(all)].name)
			}
		}
	}
	return out
}

// SetSlot implements quarantine.Members.
func (h *host) SetSlot(_ member.SlotID, value []byte) { h.slot.Store(&value) }

// Call implements peer.Caller.
func (h *host) Call(ctx context.Context, to, method string, req, resp proto.Message) error {
	h.net.calls.Add(1)
	for _, o := range h.net.all() {
		if o.name == to && !o.cut.Load() && !h.cut.Load() {
			return peer.CallLocal(ctx, o.mux, h.name, method, req, resp)
		}
	}
	return errCut
}

// beat has each host hear the heartbeats of its neighbours.
func (n *network) beat() {
	for _, h := range n.all() {
		for _, name := range h.Neighbours() {
			for _, o := range n.all() {
				if o.name == name && o.slot.Load() != nil && !o.cut.Load() && !h.cut.Load() {
					h.DigestReceived(member.SlotReceived{ID: member.SlotQuarantine, Host: o.name, Value: *o.slot.Load()})
				}
			}
		}
	}
}

// breaks has an attempt break off at a replica.
func (h *host) breaks(replica, request string) {
	h.AttemptInterrupted(quarantine.InterruptedAttempt{Service: "llm", Replica: replica, Address: replica, Request: content(request), Began: clock.Now().Add(-50 * time.Millisecond)})
}

func content(name string) poison.Fingerprint {
	return poison.NewHasher("customer", "POST", "host", name).Sum()
}

func (h *host) condemned(request string) bool {
	_, c := h.Quarantined(content(request))
	return c
}

var _ = Describe("a fleet", func() {
	// knows says that all hosts of some know of a culprit within contact.
	const contact = 3 * time.Second
	allKnow := func(hosts ...*host) {
		GinkgoHelper()
		for _, h := range hosts {
			Eventually(func() bool { return h.condemned("x") }, contact).Should(BeTrue(), h.name)
		}
	}

	It("condemns a request whose three ends three daemons saw, one each", func() {
		n := newNetwork(6)
		hosts := n.all()
		for i, h := range hosts[3:] {
			Expect(h.condemned("x")).To(BeFalse())
			h.breaks(fmt.Sprint("r", i), "x")
		}
		allKnow(hosts...)
		Expect(hosts[0].condemned("y")).To(BeFalse())
	})

	It("does not take broken connections for an end while the replica listens", func() {
		n := newNetwork(2)
		n.listening["r0"], n.listening["r1"], n.listening["r2"] = true, true, true
		for i := range 3 {
			n.all()[1].breaks(fmt.Sprint("r", i), "x")
		}
		Consistently(func() bool { return n.all()[0].condemned("x") || n.all()[1].condemned("x") }, "300ms").Should(BeFalse())
	})

	It("keeps the evidence when the daemon dies that saw it", func() {
		n := newNetwork(5)
		hosts := n.all()
		hosts[4].breaks("r0", "x")
		hosts[4].breaks("r1", "x")
		Eventually(func() int { return hosts[0].Dump().Stats.Crashes }, contact).Should(Equal(2))
		hosts[4].stop()
		hosts[4].cut.Store(true)
		hosts[3].breaks("r2", "x")
		allKnow(hosts[:4]...)
	})

	It("keeps the evidence when a deciding host dies, and tells its successor", func() {
		n := newNetwork(5)
		hosts := n.all()
		hosts[4].breaks("r0", "x")
		hosts[3].breaks("r1", "x")
		Eventually(func() int { return hosts[1].Dump().Stats.Crashes }, contact).Should(Equal(2))
		hosts[0].cut.Store(true)
		hosts[1].cut.Store(true)
		Eventually(func() int { return hosts[2].Dump().Stats.Crashes }, contact).Should(Equal(2))
		hosts[4].breaks("r2", "x")
		allKnow(hosts[2:]...)
	})

	It("tells a daemon that starts later, and one that was cut off", func() {
		n := newNetwork(4)
		away := n.all()[3]
		away.cut.Store(true)
		for i := range 3 {
			n.all()[2].breaks(fmt.Sprint("r", i), "x")
		}
		allKnow(n.all()[:3]...)
		away.cut.Store(false)
		late := n.add()
		Expect(away.condemned("x") || late.condemned("x")).To(BeFalse())
		n.beat()
		allKnow(away, late)
	})

	It("protects a daemon's replicas by what it saw itself when it reaches nobody", func() {
		n := newNetwork(3)
		alone := n.all()[2]
		alone.cut.Store(true)
		for i := range 3 {
			alone.breaks(fmt.Sprint("r", i), "x")
		}
		allKnow(alone)
	})

	It("gives up what waits for a condemned request", func() {
		n := newNetwork(2)
		var told, other atomic.Int64
		n.all()[1].Watch(content("x"), func() { told.Add(1) })
		stop := n.all()[1].Watch(content("x"), func() { other.Add(1) })
		stop()
		for i := range 3 {
			n.all()[0].breaks(fmt.Sprint("r", i), "x")
		}
		Eventually(told.Load, contact).Should(Equal(int64(1)))
		Expect(other.Load()).To(BeZero())
	})

	It("lifts a verdict everywhere when a run ends well anywhere", func() {
		n := newNetwork(6)
		for i := range 3 {
			n.all()[0].breaks(fmt.Sprint("r", i), "x")
		}
		allKnow(n.all()...)
		n.all()[5].RunSucceeded(content("x"))
		for _, h := range n.all() {
			Eventually(func() bool { return h.condemned("x") }, contact).Should(BeFalse())
		}
	})

	It("grants one trial at a time, when it is due", func() {
		n := newNetwork(4)
		hosts := n.all()
		By("other replicas ending beside those of the request, which makes the verdict doubtful")
		for i := range 3 {
			hosts[1].breaks(fmt.Sprint("other", i), fmt.Sprint("bystander", i))
		}
		for _, h := range hosts[:2] {
			Eventually(func() int { return h.Dump().Stats.Crashes }, contact).Should(Equal(3))
		}
		for i := range 3 {
			hosts[2].breaks(fmt.Sprint("r", i), "x")
		}
		allKnow(hosts...)
		v, _ := hosts[3].Quarantined(content("x"))
		Expect(v.Doubtful).To(BeTrue())
		Expect(hosts[3].RequestTrial(context.Background(), v)).To(BeFalse())
		granted := func() int {
			n := 0
			for _, h := range hosts {
				if v, ok := h.Quarantined(content("x")); ok && h.RequestTrial(context.Background(), v) {
					n++
				}
			}
			return n
		}
		Eventually(granted, 2*poison.DoubtfulTrial).Should(Equal(1))
		Consistently(granted, "200ms").Should(BeZero())

		By("granting it again when it came to no run")
		hosts[3].ReturnTrial(content("x"))
		Eventually(granted, contact).Should(Equal(1))
		Consistently(granted, "200ms").Should(BeZero())
	})

	It("forgets a verdict in the end, and neighbours tell each other nothing more", func() {
		n := newNetwork(3)
		for i := range 3 {
			n.all()[0].breaks(fmt.Sprint("r", i), "x")
		}
		allKnow(n.all()...)
		Expect(n.all()[2].QuarantinedCount()).To(Equal(1))
		clock.Simulate(poison.Lifetime)
		for range 3 {
			n.beat()
			time.Sleep(600 * time.Millisecond) // an exchange is tried once in half a second
		}
		before := n.calls.Load()
		n.beat()
		Consistently(n.calls.Load, "200ms").Should(Equal(before))
		Expect(n.all()[2].QuarantinedCount()).To(BeZero())
	})
})
