package orderer

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/orders"
	"github.com/wheatseam/wheatseam/engine"
	standin "github.com/wheatseam/wheatseam/internal/standin/engine"
)

func TestOrderer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "orderer")
}

// testBundle wants version of a model and an adapter at one engine.
func testBundle(number uint64, version, address string) *bundle.Bundle {
	return &bundle.Bundle{
		Version: number, Hosts: []bundle.Host{{Name: "h1"}, {Name: "h2"}},
		Pools: []bundle.Pool{{
			Name: "lm", Kind: bundle.PoolEngine, Model: "m", Version: version, Adapters: []string{"a"},
			Supports:  bundle.Supports{Fencing: true},
			Upstreams: []bundle.Upstream{{Name: "u1", Address: address}},
		}},
	}
}

var _ = Describe("Orderer", func() {
	var (
		address string
		client  *engine.Client
	)

	BeforeEach(func() {
		e := standin.New(standin.Config{Name: "u1", Slots: 4, CheckFence: true, TimeScale: 0.01})
		server := httptest.NewServer(e)
		address = strings.TrimPrefix(server.URL, "http://")
		client = engine.NewClient(4, time.Now)
		DeferCleanup(func() { server.Close(); e.Close() })
	})

	run := func(host string, b *bundle.Bundle) {
		o := New(Config{
			Host: host, Engines: client, Now: time.Now, Log: zap.NewNop(),
			// Neither hears the other: both order.
			Living: func() map[string]bool { return nil },
		})
		o.Apply(b)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); o.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
	}

	state := func() orders.State {
		s, err := client.State(context.Background(), address)
		Expect(err).NotTo(HaveOccurred())
		return s
	}

	It("brings an engine to what the bundle says, once, though two hosts order", func() {
		run("h1", testBundle(5, "2", address))
		run("h2", testBundle(5, "2", address))
		Eventually(func() []string { return state().Adapters }, 10*time.Second).Should(Equal([]string{"a"}))
		s := state()
		Expect(s.Version).To(Equal("2"))
		Expect(s.Orders).To(HaveLen(2), "one load of the model and one of the adapter")
	})

	It("never brings an old version back", func() {
		run("h1", testBundle(6, "3", address))
		Eventually(func() []string { return state().Adapters }, 10*time.Second).Should(Equal([]string{"a"}))
		run("h2", testBundle(5, "2", address))
		Consistently(func() string { return state().Version }, time.Second, 20*time.Millisecond).Should(Equal("3"))
	})
})
