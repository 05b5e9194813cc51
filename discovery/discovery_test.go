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

// hosts are daemons that call each other without a network.
type hosts struct {
	mu     sync.Mutex
	muxes  map[string]*peer.Mux
	cut    map[string]bool
	frozen map[string]bool
	// forming is closed when the fleet has formed; nil when it has long.
	forming chan struct{}
}

// caller is one host's way to the others.
type caller struct {
	hosts *hosts
	self  string
}

var errCut = errors.New("cut")

func (c caller) Call(ctx context.Context, host, method string, req, resp proto.Message) error {
	c.hosts.mu.Lock()
	mux, cut, frozen := c.hosts.muxes[host], c.hosts.cut[host], c.hosts.frozen[host]
	c.hosts.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return ctx.Err()
	}
	if mux == nil || cut {
		return errCut
	}
	return peer.CallLocal(ctx, mux, c.self, method, req, resp)
}

// Reachable implements discovery.Members: host-1 ranks first.
func (h *hosts) Reachable() []fleet.Host {
	var out []fleet.Host
	for i := 1; i <= len(h.muxes); i++ {
		out = append(out, fleet.Host{Host: member.Host{Name: fmt.Sprint("host-", i)}, Incarnation: uint64(i)})
	}
	return out
}

// Formed implements discovery.Members.
func (h *hosts) Formed() <-chan struct{} {
	if h.forming != nil {
		return h.forming
	}
	return formed
}

// formed is closed: the fleet is known.
var formed = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// bound is the time within which news must be in force in these tests.
const bound = 800 * time.Millisecond

// day is a fleet of discoveries before one store.
type day struct {
	hosts  *hosts
	store  *site.Store
	found  map[string]*discovery.Discovery
	stores map[string]*platform.Store
	broken map[string]bool
	mu     sync.Mutex
}

// gate lets single hosts lose the store.
type gate struct {
	day  *day
	host string
}

var errAway = errors.New("the store is away")

// away says whether the host has lost the store.
func (g gate) away() bool {
	g.day.mu.Lock()
	defer g.day.mu.Unlock()
	return g.day.broken[g.host]
}

func (g gate) ForEachPage(ctx context.Context, prefix string, take func([]platform.Item)) (uint64, error) {
	if g.away() {
		return 0, errAway
	}
	return g.day.stores[g.host].ForEachPage(ctx, prefix, take)
}

func (g gate) Get(ctx context.Context, key string) (platform.Item, uint64, error) {
	if g.away() {
		return platform.Item{}, 0, errAway
	}
	return g.day.stores[g.host].Get(ctx, key)
}

func (g gate) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Item, uint64, error) {
	if g.away() {
		return nil, 0, errAway
	}
	return g.day.stores[g.host].Changes(ctx, prefix, after, wait)
}

func newDay(n int, options ...func(*discovery.Config)) *day {
	d := &day{
		hosts: &hosts{muxes: map[string]*peer.Mux{}, cut: map[string]bool{}, frozen: map[string]bool{}}, store: site.NewStore(),
		found: map[string]*discovery.Discovery{}, stores: map[string]*platform.Store{}, broken: map[string]bool{},
	}
	server := httptest.NewServer(d.store)
	DeferCleanup(server.Close)
	d.config(1)
	d.replica("i-1", "ready")
	for i := 1; i <= n; i++ {
		name := fmt.Sprint("host-", i)
		d.hosts.muxes[name] = peer.NewMux()
		d.stores[name] = platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
		cfg := discovery.Config{
			Self: name, Store: gate{d, name}, Members: d.hosts, Caller: caller{d.hosts, name}, Mux: d.hosts.muxes[name],
			Logger: zap.NewNop(), PropagationBound: func() time.Duration { return bound }, OnViewChange: func(*discovery.View) {},
		}
		for _, change := range options {
			change(&cfg)
		}
		d.found[name] = discovery.New(cfg)
	}
	return d
}

func (d *day) config(version int) {
	d.store.Put(platform.ConfigKey, []byte(fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"s"}]}`, version)))
}

func (d *day) replica(id, phase string) {
	d.store.Put(platform.ReplicaPrefix+id, map[string]any{"service": "s", "address": "127.0.0.1:1", "zone": "z", "concurrency": 8, "phase": phase})
}

func (d *day) lose(host string, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken[host] = lost
}

func (d *day) run(names ...string) {
	for _, name := range names {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); d.found[name].Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
	}
}

func (d *day) version(host string) func() uint64 {
	return func() uint64 {
		if c := d.found[host].View().Config; c != nil {
			return c.Version
		}
		return 0
	}
}

var _ = Describe("discovery", func() {
	It("lets one host read the store and the others learn from it within the bound", func() {
		d := newDay(4)
		d.run("host-1", "host-2", "host-3", "host-4")
		for name := range d.found {
			Eventually(d.version(name), "2s").Should(Equal(uint64(1)))
		}
		Eventually(func() string { return d.found["host-4"].View().Source }, "2s").Should(Equal("host-2"))
		before := d.store.Calls()
		d.config(2)
		d.replica("i-1", "draining")
		for name := range d.found {
			Eventually(d.version(name), bound).Should(Equal(uint64(2)))
			Eventually(func() bool { return d.found[name].View().Replicas["i-1"].Draining }, bound).Should(BeTrue())
		}
		time.Sleep(bound)
		Expect(d.store.Calls()-before).To(BeNumerically("<", 12), "one host's reads")
	})

	It("does not take replicas back from a host that was cut off while they went", func() {
		d := newDay(3)
		d.replica("i-2", "ready")
		d.run("host-1", "host-2", "host-3")
		replicas := func(host string) func() int {
			return func() int { return len(d.found[host].View().Replicas) }
		}
		for _, host := range []string{"host-1", "host-2", "host-3"} {
			Eventually(replicas(host), "3s").Should(Equal(2))
		}
		cut := func(is bool) {
			d.hosts.mu.Lock()
			defer d.hosts.mu.Unlock()
			d.hosts.cut["host-2"] = is
		}
		cut(true)
		d.lose("host-2", true)
		d.store.Delete(platform.ReplicaPrefix + "i-2")
		for _, host := range []string{"host-1", "host-3"} {
			Eventually(replicas(host), "6s").Should(Equal(1))
		}
		time.Sleep(4 * time.Second) // host-2 takes the store for having been away
		cut(false)
		d.lose("host-2", false)
		for range 80 {
			Expect(replicas("host-1")()).To(Equal(1))
			Expect(replicas("host-3")()).To(Equal(1))
			time.Sleep(50 * time.Millisecond)
		}
		Expect(replicas("host-2")()).To(Equal(1))
	})

	It("reads for itself when the host that reads has lost the store, is cut off or stands still", func() {
		for _, trouble := range []func(d *day){
			func(d *day) { d.lose("host-2", true) },
			func(d *day) { d.hosts.mu.Lock(); d.hosts.cut["host-2"] = true; d.hosts.mu.Unlock() },
			func(d *day) { d.hosts.mu.Lock(); d.hosts.frozen["host-2"] = true; d.hosts.mu.Unlock() },
		} {
			d := newDay(3)
			d.run("host-1", "host-2", "host-3")
			Eventually(func() string { return d.found["host-3"].View().Source }, "2s").Should(Equal("host-2"))
			trouble(d)
			d.config(2)
			// newsWait + newsGrace of 250 ms + a read: under 1.2 bounds of this size.
			Eventually(d.version("host-3"), bound+bound/5, "5ms").Should(Equal(uint64(2)))
		}
	})

	It("learns from a fellow while the store turns this host away, also at its start", func() {
		d := newDay(2)
		d.lose("host-2", true)
		d.run("host-1", "host-2")
		Eventually(d.version("host-2"), "2s").Should(Equal(uint64(1)))
	})

	It("does not take the news of a host that has no view yet", func() {
		d := newDay(2)
		d.run("host-2")
		Eventually(func() bool { return d.found["host-2"].View().Ready() }, "2s").Should(BeTrue())
		d.lose("host-1", true)
		Consistently(func() int { return len(d.found["host-2"].View().Replicas) }, bound).Should(Equal(1))
		Expect(d.found["host-2"].View().AsOf).To(BeTemporally("~", time.Now(), bound))
	})

	It("never goes back to an older configuration, and keeps the old one when the new one is faulty", func() {
		d := newDay(1)
		d.run("host-1")
		d.config(5)
		Eventually(d.version("host-1"), "2s").Should(Equal(uint64(5)))
		d.config(4)
		d.store.Put(platform.ConfigKey, []byte("garbage"))
		Consistently(d.version("host-1"), bound/2).Should(Equal(uint64(5)))
		d.config(6)
		Eventually(d.version("host-1"), bound).Should(Equal(uint64(6)))
	})

	It("passes changes of many replicas to many hosts", func() {
		d := newDay(20)
		for i := range 300 {
			d.replica(fmt.Sprintf("r-%03d", i), "ready")
		}
		var names []string
		for name := range d.found {
			names = append(names, name)
		}
		d.run(names...)
		for _, name := range names {
			Eventually(func() int { return len(d.found[name].View().Replicas) }, "4s").Should(Equal(301))
		}
		for i := range 20 {
			d.replica(fmt.Sprintf("r-%03d", i), "draining")
			d.store.Delete(fmt.Sprintf("servers/r-%03d", 100+i))
		}
		for _, name := range names {
			// The pages of a read are no snapshot: a view may have the deletions
			// of its last page without the changes of its first.
			Eventually(func() bool {
				replicas := d.found[name].View().Replicas
				return len(replicas) == 281 && replicas["r-005"].Draining
			}, "2s").Should(BeTrue())
		}
	})

	It("leaves replicas out whose entries cannot be read", func() {
		d := newDay(1)
		d.store.Put(platform.ReplicaPrefix+"bad", []byte("garbage"))
		d.run("host-1")
		Eventually(func() int { return len(d.found["host-1"].View().Replicas) }, "2s").Should(Equal(1))
		Expect(d.found["host-1"].Dump().Replicas).To(HaveLen(1))
	})

	It("is not ready before the first configuration", func() {
		d := newDay(1)
		d.store.Delete(platform.ConfigKey)
		d.run("host-1")
		Consistently(func() bool { return d.found["host-1"].View().Ready() }, "100ms").Should(BeFalse())
		d.config(1)
		Eventually(func() bool { return d.found["host-1"].View().Ready() }, "2s").Should(BeTrue())
	})
})
