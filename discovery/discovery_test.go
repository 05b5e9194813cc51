package discovery_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/standin/site"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/platform"
)

func TestMain(m *testing.M) {
	discovery.ShareDecoding()
	os.Exit(m.Run())
}

func TestDiscovery(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "discovery")
}

// localPeers connects daemons that call each other without a network.
type localPeers struct {
	mu           sync.Mutex
	muxes        map[string]*peer.Mux
	disconnected map[string]bool
	unresponsive map[string]bool
	// isolated hosts reach no other, nor does any reach them.
	isolated map[string]bool
	// forming is closed when the fleet has formed; nil stands for a fleet that already
	// has.
	forming chan struct{}
}

// localCaller makes the calls of one host to the others.
type localCaller struct {
	hosts *localPeers
	self  string
}

var errDisconnected = errors.New("disconnected")

func (c localCaller) Call(ctx context.Context, host, method string, req, resp proto.Message) error {
	c.hosts.mu.Lock()
	mux, disconnected, unresponsive := c.hosts.muxes[host], c.hosts.disconnected[host], c.hosts.unresponsive[host]
	isolated := c.hosts.isolated[host] || c.hosts.isolated[c.self]
	c.hosts.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	if mux == nil || disconnected || isolated {
		return errDisconnected
	}
	return peer.CallLocal(ctx, mux, c.self, method, req, resp)
}

// Reachable implements discovery.Members. host-1 has run for longest and so ranks first.
func (h *localPeers) Reachable() []fleet.Host {
	var out []fleet.Host
	for i := 1; i <= len(h.muxes); i++ {
		out = append(out, fleet.Host{Host: member.Host{Name: fmt.Sprint("host-", i)}, Incarnation: uint64(i)})
	}
	return out
}

// Formed implements discovery.Members.
func (h *localPeers) Formed() <-chan struct{} {
	if h.forming != nil {
		return h.forming
	}
	return closedChannel
}

// closedChannel is the channel of a fleet that has formed.
var closedChannel = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// bound is the time within which changes must be active in these tests.
const bound = 800 * time.Millisecond

// testFleet is a set of discoveries that share one store.
type testFleet struct {
	hosts       *localPeers
	store       *site.Store
	discoveries map[string]*discovery.Discovery
	stores      map[string]*platform.Store
	storeDown   map[string]bool
	mu          sync.Mutex
	// cleanup registers what is to be called at the end of the test.
	cleanup func(func())
}

// faultyStore is one host's access to the store, which can be made to fail.
type faultyStore struct {
	fleet *testFleet
	host  string
}

var errStoreDown = errors.New("store is down")

// down reports whether the store fails for this host.
func (s faultyStore) down() bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.fleet.storeDown[s.host]
}

func (s faultyStore) ForEachPage(ctx context.Context, prefix string, visit func([]platform.Item) bool) (uint64, error) {
	if s.down() {
		return 0, errStoreDown
	}
	return s.fleet.stores[s.host].ForEachPage(ctx, prefix, visit)
}

func (s faultyStore) Get(ctx context.Context, key string) (platform.Item, uint64, error) {
	if s.down() {
		return platform.Item{}, 0, errStoreDown
	}
	return s.fleet.stores[s.host].Get(ctx, key)
}

func (s faultyStore) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Item, uint64, error) {
	if s.down() {
		return nil, 0, errStoreDown
	}
	return s.fleet.stores[s.host].Changes(ctx, prefix, after, wait)
}

// newTestFleet returns the fleet of a spec.
func newTestFleet(n int, options ...func(*discovery.Config)) *testFleet {
	return newTestFleetOf(func(f func()) { DeferCleanup(f) }, n, options...)
}

func newTestFleetOf(cleanup func(func()), n int, options ...func(*discovery.Config)) *testFleet {
	f := &testFleet{
		cleanup: cleanup,
		hosts:   &localPeers{muxes: map[string]*peer.Mux{}, disconnected: map[string]bool{}, unresponsive: map[string]bool{}, isolated: map[string]bool{}}, store: site.NewStore(),
		discoveries: map[string]*discovery.Discovery{}, stores: map[string]*platform.Store{}, storeDown: map[string]bool{},
	}
	server := httptest.NewServer(f.store)
	cleanup(server.Close)
	f.writeConfig(1)
	f.writeReplica("i-1", "ready")
	for i := 1; i <= n; i++ {
		name := fmt.Sprint("host-", i)
		f.hosts.muxes[name] = peer.NewMux()
		f.stores[name] = platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
		cfg := discovery.Config{
			Self: name, Store: faultyStore{f, name}, Members: f.hosts, Caller: localCaller{f.hosts, name}, Mux: f.hosts.muxes[name],
			Logger: zap.NewNop(), PropagationBound: func() time.Duration { return bound }, OnViewChange: func(*discovery.View) {},
		}
		for _, change := range options {
			change(&cfg)
		}
		f.discoveries[name] = discovery.New(cfg)
	}
	return f
}

func (f *testFleet) writeConfig(version int) {
	f.store.Put(platform.ConfigKey, []byte(fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"s"}]}`, version)))
}

func (f *testFleet) writeReplica(id, phase string) {
	f.store.Put(platform.ReplicaPrefix+id, map[string]any{"service": "s", "address": "127.0.0.1:1", "zone": "z", "concurrency": 8, "phase": phase})
}

func (f *testFleet) setStoreDown(host string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown[host] = down
}

func (f *testFleet) run(names ...string) {
	for _, name := range names {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); f.discoveries[name].Run(ctx) }()
		f.cleanup(func() { cancel(); <-done })
	}
}

func (f *testFleet) version(host string) func() uint64 {
	return func() uint64 {
		if c := f.discoveries[host].View().Config; c != nil {
			return c.Version
		}
		return 0
	}
}

var _ = Describe("discovery", func() {
	It("has one host read the store and the others learn from it within the bound", func() {
		f := newTestFleet(4)
		f.run("host-1", "host-2", "host-3", "host-4")
		for name := range f.discoveries {
			Eventually(f.version(name), "2s").Should(Equal(uint64(1)))
		}
		Eventually(func() string { return f.discoveries["host-4"].View().Source }, "2s").Should(Equal("host-2"))
		before := f.store.CallCount()
		f.writeConfig(2)
		f.writeReplica("i-1", "draining")
		for name := range f.discoveries {
			Eventually(f.version(name), bound).Should(Equal(uint64(2)))
			Eventually(func() bool { return f.discoveries[name].View().Replicas.Get("i-1").Draining }, bound).Should(BeTrue())
		}
		time.Sleep(bound)
		Expect(f.store.CallCount()-before).To(BeNumerically("<", 12), "the reads of one host")
	})

	It("does not restore removed replicas from a host that was disconnected when they were removed", func() {
		f := newTestFleet(3)
		f.writeReplica("i-2", "ready")
		f.run("host-1", "host-2", "host-3")
		replicas := func(host string) func() int {
			return func() int { return f.discoveries[host].View().Replicas.Len() }
		}
		for _, host := range []string{"host-1", "host-2", "host-3"} {
			Eventually(replicas(host), "3s").Should(Equal(2))
		}
		setDisconnected := func(disconnected bool) {
			f.hosts.mu.Lock()
			defer f.hosts.mu.Unlock()
			f.hosts.disconnected["host-2"] = disconnected
		}
		setDisconnected(true)
		f.setStoreDown("host-2", true)
		f.store.Delete(platform.ReplicaPrefix + "i-2")
		for _, host := range []string{"host-1", "host-3"} {
			Eventually(replicas(host), "6s").Should(Equal(1))
		}
		time.Sleep(4 * time.Second) // by then host-2 has noticed that it lost the store
		setDisconnected(false)
		f.setStoreDown("host-2", false)
		for range 80 {
			Expect(replicas("host-1")()).To(Equal(1))
			Expect(replicas("host-3")()).To(Equal(1))
			time.Sleep(50 * time.Millisecond)
		}
		Expect(replicas("host-2")()).To(Equal(1))
	})

	It("reads the store when the host that reads it has lost the store, is disconnected or does not respond", func() {
		for _, fail := range []func(f *testFleet){
			func(f *testFleet) { f.setStoreDown("host-2", true) },
			func(f *testFleet) { f.hosts.mu.Lock(); f.hosts.disconnected["host-2"] = true; f.hosts.mu.Unlock() },
			func(f *testFleet) { f.hosts.mu.Lock(); f.hosts.unresponsive["host-2"] = true; f.hosts.mu.Unlock() },
		} {
			f := newTestFleet(3)
			f.run("host-1", "host-2", "host-3")
			Eventually(func() string { return f.discoveries["host-3"].View().Source }, "2s").Should(Equal("host-2"))
			fail(f)
			f.writeConfig(2)
			// changesWaitFraction of the bound + replyGrace of 250 ms + a read is less
			// than 1.2 bounds of this size.
			Eventually(f.version("host-3"), bound+bound/5, "5ms").Should(Equal(uint64(2)))
		}
	})

	It("learns from a peer when the store rejects this host from its start", func() {
		f := newTestFleet(2)
		f.setStoreDown("host-2", true)
		f.run("host-1", "host-2")
		Eventually(f.version("host-2"), "2s").Should(Equal(uint64(1)))
	})

	It("ignores peers that have no view yet", func() {
		f := newTestFleet(2)
		f.run("host-2")
		Eventually(func() bool { return f.discoveries["host-2"].View().Ready() }, "2s").Should(BeTrue())
		f.setStoreDown("host-1", true)
		Consistently(func() int { return f.discoveries["host-2"].View().Replicas.Len() }, bound).Should(Equal(1))
		Expect(f.discoveries["host-2"].View().AsOf).To(BeTemporally("~", time.Now(), bound))
	})

	It("does not activate an older or an invalid configuration", func() {
		f := newTestFleet(1)
		f.run("host-1")
		f.writeConfig(5)
		Eventually(f.version("host-1"), "2s").Should(Equal(uint64(5)))
		f.writeConfig(4)
		f.store.Put(platform.ConfigKey, []byte("garbage"))
		Consistently(f.version("host-1"), bound/2).Should(Equal(uint64(5)))
		f.writeConfig(6)
		Eventually(f.version("host-1"), bound).Should(Equal(uint64(6)))
	})

	It("propagates changes of many replicas to many hosts", func() {
		f := newTestFleet(20)
		for i := range 300 {
			f.writeReplica(fmt.Sprintf("r-%03d", i), "ready")
		}
		var names []string
		for name := range f.discoveries {
			names = append(names, name)
		}
		f.run(names...)
		for _, name := range names {
			Eventually(func() int { return f.discoveries[name].View().Replicas.Len() }, "4s").Should(Equal(301))
		}
		for i := range 20 {
			f.writeReplica(fmt.Sprintf("r-%03d", i), "draining")
			f.store.Delete(fmt.Sprintf("servers/r-%03d", 100+i))
		}
		for _, name := range names {
			// The pages of a read are not a snapshot: a view may have the deletions of its
			// last page without the changes of its first.
			Eventually(func() bool {
				replicas := f.discoveries[name].View().Replicas
				return replicas.Len() == 281 && replicas.Get("r-005").Draining
			}, "2s").Should(BeTrue())
		}
	})

	It("skips replica entries that cannot be decoded", func() {
		f := newTestFleet(1)
		f.store.Put(platform.ReplicaPrefix+"bad", []byte("garbage"))
		f.run("host-1")
		Eventually(func() int { return f.discoveries["host-1"].View().Replicas.Len() }, "2s").Should(Equal(1))
		Expect(f.discoveries["host-1"].Dump().Replicas).To(HaveLen(1))
	})

	It("is not ready before the first configuration", func() {
		f := newTestFleet(1)
		f.store.Delete(platform.ConfigKey)
		f.run("host-1")
		Consistently(func() bool { return f.discoveries["host-1"].View().Ready() }, "100ms").Should(BeFalse())
		f.writeConfig(1)
		Eventually(func() bool { return f.discoveries["host-1"].View().Ready() }, "2s").Should(BeTrue())
	})
})
