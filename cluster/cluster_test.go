package cluster_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/bundle/bundletest"
	"github.com/wheatseam/wheatseam/cluster"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/rollout"
	"github.com/wheatseam/wheatseam/internal/standin"
	standinplatform "github.com/wheatseam/wheatseam/internal/standin/platform"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/platform"
)

func TestCluster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cluster")
}

const (
	slotDirect member.SlotID = 100
	slotFleet  member.SlotID = 101
)

type daemon struct {
	*cluster.Cluster
	transport *peer.Transport
	stop      context.CancelFunc
	done      chan struct{}
	versions  chan uint64
}

// fleet runs clusters over real sessions on the loopback interface, with a simulated
// platform.
type fleet struct {
	sizes     bundletest.Sizes
	key       ed25519.PrivateKey
	platform  *standinplatform.Platform
	url       string
	daemons   []*daemon
	addresses []string
}

func newFleet(n int) *fleet {
	_, private, err := ed25519.GenerateKey(nil)
	Expect(err).NotTo(HaveOccurred())
	f := &fleet{sizes: bundletest.CurrentSizes, key: private, platform: standinplatform.New(standinplatform.Config{})}
	f.sizes.Hosts = n
	f.sizes.Domains = 3
	server := httptest.NewServer(f.platform)
	DeferCleanup(server.Close)
	DeferCleanup(f.platform.Close)
	f.url = server.URL
	f.addresses = make([]string, n)
	f.daemons = make([]*daemon, n)
	for i := range n {
		f.start(i, "127.0.0.1:0")
	}
	var hosts []standinplatform.Host
	for i, a := range f.addresses {
		hosts = append(hosts, standinplatform.Host{Name: bundletest.HostName(i), Address: a, Role: "entry", State: "live"})
	}
	f.platform.SetHosts(hosts)
	return f
}

// start starts a process of host i.
func (f *fleet) start(i int, listen string) *daemon {
	host := member.Host{Name: bundletest.HostName(i), FailureDomain: fmt.Sprintf("domain-%d", i%f.sizes.Domains)}
	incarnation := uint64(time.Now().UnixMilli())
	mc := member.DefaultConfig(host, incarnation)
	mc.ProbeInterval, mc.ProbeTimeout = 200*time.Millisecond, 100*time.Millisecond
	mc.SuspicionMin, mc.SuspicionMax = time.Second, 2*time.Second
	mc.SyncInterval = time.Second
	mc.Slots = []member.SlotConfig{{ID: slotDirect, MaxBytes: 16}, {ID: slotFleet, MaxBytes: 16, FleetWide: true}}
	rc := rollout.DefaultConfig(cluster.NewCodec([]ed25519.PublicKey{f.key.Public().(ed25519.PublicKey)}))
	rc.MinPollInterval = 300 * time.Millisecond
	mux := peer.NewMux()
	c, err := cluster.New(cluster.Config{
		Member: mc, Rollout: rc, Mux: mux, Logger: zap.NewNop(),
		Platform: platform.NewClient(platform.ClientConfig{ConfigService: f.url, HostList: f.url, Key: "bundle"}),
	})
	Expect(err).NotTo(HaveOccurred())
	t, err := peer.NewTransport(peer.Config{
		Host: host.Name, Incarnation: incarnation, Listen: listen, Plaintext: true, Resolve: c.Resolve, Mux: mux,
		Metrics: metrics.NewSet(), Logger: zap.NewNop(), MaxBackoff: 200 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	d := &daemon{Cluster: c, transport: t, done: make(chan struct{}), versions: make(chan uint64, 100)}
	c.OnBundle(func(b *bundle.Bundle) { d.versions <- b.Version })
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go func() {
		defer close(d.done)
		_ = c.Run(ctx, t)
	}()
	f.daemons[i] = d
	f.addresses[i] = t.Addr()
	DeferCleanup(d.shutdown)
	return d
}

// shutdown stops the daemon. It may be called twice.
func (d *daemon) shutdown() {
	d.stop()
	<-d.done
	_ = d.transport.Close()
}

// signedBundle returns a signed bundle with the given version.
func (f *fleet) signedBundle(version uint64, customers int) []byte {
	s := f.sizes
	s.Customers = customers
	text := string(bundletest.YAML(s, version))
	for i, a := range f.addresses {
		text = strings.Replace(text, fmt.Sprintf("10.1.0.%d:7400", i+1), a, 1)
	}
	return bundle.Sign([]byte(text), f.key)
}

func (f *fleet) publishBundle(version uint64) {
	f.platform.SetValue("bundle", f.signedBundle(version, 5))
}

// eventuallyAll waits until cond holds at every running daemon.
func (f *fleet) eventuallyAll(within time.Duration, cond func(*daemon) bool) {
	GinkgoHelper()
	Eventually(func() bool {
		for _, d := range f.daemons {
			select {
			case <-d.done:
				continue
			default:
			}
			if !cond(d) {
				return false
			}
		}
		return true
	}, within, 20*time.Millisecond).Should(BeTrue())
}

func hasActiveBundle(version uint64) func(*daemon) bool {
	return func(d *daemon) bool { return d.Ready() && d.Bundle().Version == version }
}

var _ = Describe("a fleet over real sessions", func() {
	var f *fleet
	BeforeEach(func() {
		f = newFleet(5)
		Expect(f.daemons[0].Ready()).To(BeFalse())
		f.publishBundle(1)
		f.eventuallyAll(15*time.Second, hasActiveBundle(1))
	})

	It("activates rising versions at every daemon and leaves earlier snapshots unchanged", func() {
		snapshot := f.daemons[2].Bundle()
		f.publishBundle(2)
		f.eventuallyAll(10*time.Second, hasActiveBundle(2))
		f.publishBundle(3)
		f.eventuallyAll(10*time.Second, hasActiveBundle(3))
		Expect(snapshot.Version).To(Equal(uint64(1)))
		for _, d := range f.daemons {
			last := uint64(0)
			for len(d.versions) > 0 {
				v := <-d.versions
				Expect(v).To(BeNumerically(">", last))
				last = v
			}
		}
	})

	It("brings a restarted daemon up to date from its peers while the configuration service is stale", func() {
		f.publishBundle(2)
		f.eventuallyAll(10*time.Second, hasActiveBundle(2))
		// The service returns to an old value, under a new revision.
		f.publishBundle(1)
		address := f.addresses[1]
		f.daemons[1].shutdown()
		d := f.start(1, address)
		Eventually(d.Ready, 10*time.Second, 20*time.Millisecond).Should(BeTrue())
		Expect(d.Bundle().Version).To(Equal(uint64(2)))
		f.eventuallyAll(5*time.Second, hasActiveBundle(2))
	})

	It("marks a stopped daemon as dead and its replacement as alive", func() {
		name := bundletest.HostName(4)
		hasState := func(state member.State) func(*daemon) bool {
			return func(d *daemon) bool {
				for _, m := range d.Members() {
					if m.Host.Name == name {
						return m.State == state
					}
				}
				return false
			}
		}
		address := f.addresses[4]
		f.daemons[4].shutdown()
		f.eventuallyAll(15*time.Second, hasState(member.Dead))
		f.start(4, address)
		f.eventuallyAll(15*time.Second, hasState(member.Alive))
	})

	It("spreads a leaving upstream to every daemon while the platform is down", func() {
		f.platform.Faults().Set(standin.Faults{Down: true})
		name := f.daemons[0].Bundle().Pools[0].Upstreams[0].Name
		f.daemons[0].ReportUpstream(name, true, time.Now())
		f.eventuallyAll(15*time.Second, func(d *daemon) bool {
			return len(d.LeavingUpstreams()) == 1 && d.LeavingUpstreams()[0] == name
		})
	})

	It("spreads an upstream that the host list marks as leaving", func() {
		name := f.daemons[0].Bundle().Pools[0].Upstreams[0].Name
		f.platform.SetHosts([]standinplatform.Host{{Name: name, Address: "127.0.0.1:1", Role: "upstream", State: "leaving"}})
		f.eventuallyAll(10*time.Second, func(d *daemon) bool { return len(d.LeavingUpstreams()) == 1 })
	})

	It("delivers the values of slots to the other daemons", func() {
		f.daemons[0].SetSlot(slotDirect, []byte("near"), false)
		f.daemons[0].SetSlot(slotFleet, []byte("far"), true)
		f.eventuallyAll(10*time.Second, func(d *daemon) bool {
			if d == f.daemons[0] {
				return true
			}
			near, far := d.Slots(slotDirect), d.Slots(slotFleet)
			return len(near) == 1 && len(far) == 1 && string(near[0].Value) == "near" && string(far[0].Value) == "far"
		})
	})

	It("reports its state in the dump", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		d := f.daemons[0].Dump(ctx)
		Expect(d.Ready).To(BeTrue())
		Expect(d.Member.Members).To(HaveLen(5))
		Expect(d.Rollout.Version).To(Equal(uint64(1)))
		Expect(d.Calls.Hosts).To(BeNumerically(">", 0))
	})
})
