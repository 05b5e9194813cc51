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

	"github.com/wheatseam/wheatseam/core/crash"
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

// network connects daemons in one process. It carries their calls and heartbeats and can
// disconnect hosts.
type network struct {
	mu    sync.Mutex
	hosts []*host
	calls atomic.Int64
	// listening are the addresses at which replicas accept connections, and unreachable those
	// to which no host has a path.
	listening, unreachable map[string]bool
}

// host is one daemon on the network.
type host struct {
	*quarantine.Service
	net          *network
	name         string
	started      uint64
	mux          *peer.Mux
	disconnected atomic.Bool
	slot         atomic.Pointer[[]byte]
	stop         context.CancelFunc
}

var errDisconnected = errors.New("host is disconnected")

func newNetwork(hosts int) *network {
	n := &network{listening: map[string]bool{}, unreachable: map[string]bool{}}
	for range hosts {
		n.add()
	}
	return n
}

// add starts a daemon. Daemons that started earlier rank first.
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

// CheckCrash implements quarantine.Replicas.
func (n *network) CheckCrash(_ context.Context, address string) (crash.CheckResult, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.unreachable[address] {
		return crash.CheckResult{}, errDisconnected
	}
	return crash.CheckResult{Accepted: n.listening[address], Confirmed: !n.listening[address]}, nil
}

// Reachable implements quarantine.Members. A host that is disconnected still considers
// all other hosts reachable for a while.
func (h *host) Reachable() []fleet.Host {
	var out []fleet.Host
	for _, o := range h.net.all() {
		if !o.disconnected.Load() || h.disconnected.Load() {
			out = append(out, fleet.Host{Host: member.Host{Name: o.name}, Capacity: 1, Incarnation: o.started})
		}
	}
	return out
}

// Neighbours implements quarantine.Members: the next two hosts on a ring.
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
		if o.name == to && !o.disconnected.Load() && !h.disconnected.Load() {
			return peer.CallLocal(ctx, o.mux, h.name, method, req, resp)
		}
	}
	return errDisconnected
}

// deliverHeartbeats delivers to each host the heartbeats of its neighbours.
func (n *network) deliverHeartbeats() {
	for _, h := range n.all() {
		for _, name := range h.Neighbours() {
			for _, o := range n.all() {
				if o.name == name && o.slot.Load() != nil && !o.disconnected.Load() && !h.disconnected.Load() {
					h.DigestReceived(member.SlotReceived{ID: member.SlotQuarantine, Host: o.name, Value: *o.slot.Load()})
				}
			}
		}
	}
}

// interruptAttempt reports an attempt whose connection a replica closed.
func (h *host) interruptAttempt(replica, request string) {
	h.AttemptInterrupted(crash.Interruption{
		Service: "llm", Replica: replica, Address: replica, At: clock.Now(),
		Suspect: poison.Suspect{Subject: content(request), RunTime: 50 * time.Millisecond},
	})
}

func content(name string) poison.Fingerprint {
	return poison.NewHasher("customer", "POST", "host", name).Sum()
}

func (h *host) isQuarantined(request string) bool {
	_, quarantined := h.Quarantined(content(request))
	return quarantined
}

var _ = Describe("quarantine in a fleet", func() {
	// propagationTimeout is the time within which all reachable hosts have a verdict.
	const propagationTimeout = 3 * time.Second
	expectQuarantined := func(hosts ...*host) {
		GinkgoHelper()
		for _, h := range hosts {
			Eventually(func() bool { return h.isQuarantined("x") }, propagationTimeout).Should(BeTrue(), h.name)
		}
	}

	It("quarantines a request after three replica crashes that three daemons observed, one each", func() {
		n := newNetwork(6)
		hosts := n.all()
		for i, h := range hosts[3:] {
			Expect(h.isQuarantined("x")).To(BeFalse())
			h.interruptAttempt(fmt.Sprint("r", i), "x")
		}
		expectQuarantined(hosts...)
		Expect(hosts[0].isQuarantined("y")).To(BeFalse())
	})

	It("does not count closed connections as a replica crash while the replica listens", func() {
		n := newNetwork(2)
		n.listening["r0"], n.listening["r1"], n.listening["r2"] = true, true, true
		for i := range 3 {
			n.all()[1].interruptAttempt(fmt.Sprint("r", i), "x")
		}
		Consistently(func() bool { return n.all()[0].isQuarantined("x") || n.all()[1].isQuarantined("x") }, "300ms").Should(BeFalse())
	})

	It("counts crashes that no path confirms once the store no longer lists the replicas", func() {
		n := newNetwork(3)
		for i := range 3 {
			replica := fmt.Sprint("r", i)
			n.unreachable[replica] = true
			n.all()[i].interruptAttempt(replica, "x")
		}
		Consistently(func() bool { return n.all()[0].isQuarantined("x") }, "100ms").Should(BeFalse())
		for _, h := range n.all() {
			h.ReplicasListed(func(string, string) crash.Listing { return crash.Removed })
		}
		expectQuarantined(n.all()...)
	})

	It("keeps a crash report when the daemon that observed the crash fails", func() {
		n := newNetwork(5)
		hosts := n.all()
		hosts[4].interruptAttempt("r0", "x")
		hosts[4].interruptAttempt("r1", "x")
		Eventually(func() int { return hosts[0].Dump().Stats.Crashes }, propagationTimeout).Should(Equal(2))
		hosts[4].stop()
		hosts[4].disconnected.Store(true)
		hosts[3].interruptAttempt("r2", "x")
		expectQuarantined(hosts[:4]...)
	})

	It("reports known crashes to the new coordinators when both coordinators fail", func() {
		n := newNetwork(5)
		hosts := n.all()
		hosts[4].interruptAttempt("r0", "x")
		hosts[3].interruptAttempt("r1", "x")
		Eventually(func() int { return hosts[1].Dump().Stats.Crashes }, propagationTimeout).Should(Equal(2))
		hosts[0].disconnected.Store(true)
		hosts[1].disconnected.Store(true)
		Eventually(func() int { return hosts[2].Dump().Stats.Crashes }, propagationTimeout).Should(Equal(2))
		hosts[4].interruptAttempt("r2", "x")
		expectQuarantined(hosts[2:]...)
	})

	It("sends verdicts to a daemon that starts later and to one that was disconnected", func() {
		n := newNetwork(4)
		other := n.all()[3]
		other.disconnected.Store(true)
		for i := range 3 {
			n.all()[2].interruptAttempt(fmt.Sprint("r", i), "x")
		}
		expectQuarantined(n.all()[:3]...)
		other.disconnected.Store(false)
		newHost := n.add()
		Expect(other.isQuarantined("x") || newHost.isQuarantined("x")).To(BeFalse())
		n.deliverHeartbeats()
		expectQuarantined(other, newHost)
	})

	// Guards against a data race: one coordinator's reports were narrowed to what an outage leaves
	// unexplained while the other's were being encoded. Only the race detector sees it.
	It("reports the crashes of an outage to both coordinators at the same time", func() {
		n := newNetwork(5)
		hosts := n.all()
		for i := range 4 * poison.OutageCrashes {
			replica := fmt.Sprint("r", i)
			hosts[4].interruptAttempt(replica, fmt.Sprint("bystander", i))
			if i%2 == 0 {
				hosts[4].interruptAttempt(replica, "x")
			}
		}
		expectQuarantined(hosts...)
		for _, h := range hosts[:2] {
			Eventually(func() int { return h.Dump().Stats.Crashes }, propagationTimeout).Should(BeNumerically(">=", poison.OutageCrashes))
		}
	})

	It("lets a daemon that reaches no other host evaluate its own reports", func() {
		n := newNetwork(3)
		isolated := n.all()[2]
		isolated.disconnected.Store(true)
		for i := range 3 {
			isolated.interruptAttempt(fmt.Sprint("r", i), "x")
		}
		expectQuarantined(isolated)
	})

	It("notifies watchers of a quarantined request", func() {
		n := newNetwork(2)
		var notified, stopped atomic.Int64
		n.all()[1].Watch([]poison.Fingerprint{content("x")}, func() { notified.Add(1) })
		stop := n.all()[1].Watch([]poison.Fingerprint{content("x")}, func() { stopped.Add(1) })
		stop()
		for i := range 3 {
			n.all()[0].interruptAttempt(fmt.Sprint("r", i), "x")
		}
		Eventually(notified.Load, propagationTimeout).Should(Equal(int64(1)))
		Expect(stopped.Load()).To(BeZero())
	})

	It("refuses a part of prompts after four crashes, unless a daemon that has seen it survive objects", func() {
		n := newNetwork(6)
		hosts := n.all()
		bad, system := poison.PartFingerprint("llm", "bad"), poison.PartFingerprint("llm", "system")
		refused := func(h *host, f poison.Fingerprint) bool { return len(h.Refusing([]poison.Fingerprint{f})) > 0 }
		var notified atomic.Int64
		hosts[5].Watch([]poison.Fingerprint{content("y"), bad}, func() { notified.Add(1) })
		for i := range 4 {
			for _, p := range []poison.Fingerprint{bad, system} {
				replica := fmt.Sprint("r", i, p[0])
				hosts[2+i%2].AttemptInterrupted(crash.Interruption{
					Service: "llm", Replica: replica, Address: replica, At: clock.Now(),
					Suspect: poison.Suspect{Subject: content(replica), RunTime: 50 * time.Millisecond}, Parts: []poison.Fingerprint{p},
				})
			}
			time.Sleep(150 * time.Millisecond)
			hosts[4].PartsSurvived(clock.Now(), []poison.Fingerprint{system})
		}
		for _, h := range hosts {
			Eventually(func() bool { return refused(h, bad) }, propagationTimeout).Should(BeTrue(), h.name)
			Expect(refused(h, system)).To(BeFalse(), h.name)
		}
		Eventually(notified.Load, "1s").Should(Equal(int64(1)))
		contents, parts := hosts[0].QuarantinedCounts()
		Expect([]int{contents, parts}).To(Equal([]int{0, 1}))
		Expect(hosts[0].Dump().Verdicts).To(ContainElement(And(HaveField("Content", bad.String()), HaveField("Kind", "part"), HaveField("Crashes", HaveLen(4)))))
	})

	It("does not count crashes that took idle replicas", func() {
		n := newNetwork(4)
		hosts := n.all()
		for i := range 4 {
			for k := range 3 {
				id := fmt.Sprint("idle", k)
				hosts[3].ReplicaAnswered("llm", id, id)
			}
			hosts[3].interruptAttempt(fmt.Sprint("r", i), "x")
			Eventually(func() int { return hosts[0].Dump().Stats.Crashes }, propagationTimeout).Should(Equal(i + 1))
			time.Sleep(2 * poison.Simultaneous)
		}
		for _, h := range hosts {
			Eventually(func() bool { return h.isQuarantined("x") }, propagationTimeout).Should(BeFalse(), h.name)
		}
		Consistently(func() bool { return hosts[0].isQuarantined("x") }, "200ms").Should(BeFalse())

		By("counting those beside which one idle replica still accepts connections")
		n.mu.Lock()
		n.listening["idle0"] = true
		n.mu.Unlock()
		for i := range 3 {
			for k := range 3 {
				id := fmt.Sprint("idle", k)
				hosts[3].ReplicaAnswered("llm", id, id)
			}
			hosts[3].interruptAttempt(fmt.Sprint("s", i), "x")
			time.Sleep(2 * poison.Simultaneous)
		}
		expectQuarantined(hosts...)
	})

	It("lifts a verdict on all hosts after a successful run on any of them", func() {
		n := newNetwork(6)
		for i := range 3 {
			n.all()[0].interruptAttempt(fmt.Sprint("r", i), "x")
		}
		expectQuarantined(n.all()...)
		n.all()[5].RunSucceeded(content("x"))
		for _, h := range n.all() {
			Eventually(func() bool { return h.isQuarantined("x") }, propagationTimeout).Should(BeFalse())
		}
	})

	It("grants one trial at a time, once it is due", func() {
		n := newNetwork(4)
		hosts := n.all()
		By("making the verdict doubtful: other replicas crash at the same time without the request")
		for i := range 3 {
			hosts[1].interruptAttempt(fmt.Sprint("other", i), fmt.Sprint("bystander", i))
		}
		for _, h := range hosts[:2] {
			Eventually(func() int { return h.Dump().Stats.Crashes }, propagationTimeout).Should(Equal(3))
		}
		for i := range 3 {
			hosts[2].interruptAttempt(fmt.Sprint("r", i), "x")
		}
		expectQuarantined(hosts...)
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

		By("granting a trial again that was returned without a run")
		hosts[3].ReturnTrial(content("x"))
		Eventually(granted, propagationTimeout).Should(Equal(1))
		Consistently(granted, "200ms").Should(BeZero())
	})

	It("drops an expired verdict, after which neighbours exchange nothing", func() {
		n := newNetwork(3)
		for i := range 3 {
			n.all()[0].interruptAttempt(fmt.Sprint("r", i), "x")
		}
		expectQuarantined(n.all()...)
		contents, parts := n.all()[2].QuarantinedCounts()
		Expect([]int{contents, parts}).To(Equal([]int{1, 0}))
		clock.SimulateSuspension(poison.Lifetime)
		for range 3 {
			n.deliverHeartbeats()
			time.Sleep(600 * time.Millisecond) // longer than the minimum interval between exchanges, 500 ms
		}
		before := n.calls.Load()
		n.deliverHeartbeats()
		Consistently(n.calls.Load, "200ms").Should(Equal(before))
		contents, parts = n.all()[2].QuarantinedCounts()
		Expect([]int{contents, parts}).To(Equal([]int{0, 0}))
	})
})
