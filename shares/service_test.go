package shares

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/admit"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

func TestShares(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Shares Suite")
}

// fakeAdmitter reports the demand that a test sets.
type fakeAdmitter struct {
	mu     sync.Mutex
	demand float64
	shares admit.Shares
}

func (a *fakeAdmitter) Demand(time.Time) admit.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	return admit.Demand{Customers: map[string]float64{"clinic": a.demand}}
}

func (a *fakeAdmitter) SetShares(s admit.Shares) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shares = s
}

func (a *fakeAdmitter) setDemand(demand float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demand = demand
}

func (a *fakeAdmitter) customerShare() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shares.Customer(time.Now(), "clinic")
}

// fakeNetwork delivers calls between services in one process.
type fakeNetwork struct {
	services  map[string]*Service
	admitters map[string]*fakeAdmitter
}

type fakeCaller struct {
	network *fakeNetwork
	host    string
}

func (c fakeCaller) Call(ctx context.Context, host, _ string, req, resp proto.Message) error {
	s, ok := c.network.services[host]
	if !ok {
		return errors.New("unreachable")
	}
	from := peer.Sender{Host: c.host}
	var answer proto.Message
	var err error
	switch r := req.(type) {
	case *wire.ShareReport:
		answer, err = s.serveReport(ctx, from, r)
	case *wire.ShareReply:
		answer, err = s.serveReply(ctx, from, r)
	}
	if err != nil {
		return err
	}
	proto.Merge(resp, answer)
	return nil
}

func bundleWithHosts(hosts int) *bundle.Bundle {
	b := &bundle.Bundle{Customers: []bundle.Customer{{Name: "clinic", RequestsPerSecond: 30}}}
	for i := range hosts {
		b.Hosts = append(b.Hosts, bundle.Host{Name: fmt.Sprintf("host-%d", i)})
	}
	return b
}

func newFakeNetwork(ctx context.Context, hosts int) *fakeNetwork {
	n := &fakeNetwork{services: map[string]*Service{}, admitters: map[string]*fakeAdmitter{}}
	b := bundleWithHosts(hosts)
	for i, h := range b.Hosts {
		n.admitters[h.Name] = &fakeAdmitter{}
		n.services[h.Name] = New(Config{
			Host: h.Name, Incarnation: 1, Admitter: n.admitters[h.Name], Mux: peer.NewMux(), Seed: uint64(i),
		})
	}
	for _, s := range n.services {
		s.Apply(b)
	}
	for host, s := range n.services {
		go s.Run(ctx, fakeCaller{n, host})
	}
	return n
}

var _ = Describe("Service", func() {
	It("gives admission the equal share, then leased shares, and reclaims them", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		n := newFakeNetwork(ctx, 3)
		greedy, other := n.admitters["host-0"], n.admitters["host-1"]
		Expect(greedy.customerShare()).To(BeNumerically("~", 1.0/3, 0.001))
		greedy.setDemand(2)
		// After its start an allocator grants no leases for the duration of a cap, until
		// the leases of an earlier allocator have ended.
		Eventually(greedy.customerShare).WithTimeout(15 * time.Second).Should(BeNumerically(">", 0.7))
		Expect(n.services["host-0"].ResourceShares()).To(ConsistOf(HaveField("Share", BeNumerically(">", 0.7))))
		other.setDemand(0.3)
		Eventually(other.customerShare).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0.3))
	})

	It("leases shares over TCP sessions between daemons", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		b := bundleWithHosts(3)
		var mu sync.Mutex
		addresses := map[string]string{}
		resolve := func(host string) (string, bool) {
			mu.Lock()
			defer mu.Unlock()
			address, ok := addresses[host]
			return address, ok
		}
		admits := map[string]*fakeAdmitter{}
		for i, h := range b.Hosts {
			mux := peer.NewMux()
			admits[h.Name] = &fakeAdmitter{}
			s := New(Config{Host: h.Name, Incarnation: 1, Admitter: admits[h.Name], Mux: mux, Seed: uint64(i)})
			s.Apply(b)
			transport, err := peer.NewTransport(peer.Config{
				Host: h.Name, Incarnation: 1, Listen: "127.0.0.1:0", Plaintext: true, Resolve: resolve, Mux: mux,
			})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(transport.Close)
			mu.Lock()
			addresses[h.Name] = transport.Addr()
			mu.Unlock()
			go s.Run(ctx, transport)
		}
		admits["host-2"].setDemand(2)
		Eventually(admits["host-2"].customerShare).WithTimeout(15 * time.Second).Should(BeNumerically(">", 0.7))
	})
})
