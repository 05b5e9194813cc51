package claims

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

func TestClaims(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claims")
}

// testFleet is a set of services connected by an in-process network that can
// drop messages.
type testFleet struct {
	mu          sync.Mutex
	rng         *rand.Rand
	services    map[string]*Service
	partitioned map[string]bool
	lossRate    float64
	bundle      *bundle.Bundle
	cancels     map[string]context.CancelFunc
}

// testMaxClockSkew and testMaxKeyAhead are short, so that a restarted host soon
// grants keys again.
const (
	testMaxClockSkew = 20 * time.Millisecond
	testMaxKeyAhead  = 20 * time.Millisecond
)

func newTestFleet(names ...string) *testFleet {
	f := &testFleet{
		rng: rand.New(rand.NewPCG(4, 4)), services: map[string]*Service{}, partitioned: map[string]bool{},
		cancels: map[string]context.CancelFunc{},
		bundle: &bundle.Bundle{Version: 1, Claims: bundle.ClaimPolicy{
			GroupSize: 3, Retention: time.Hour, MaxClockSkew: testMaxClockSkew, MaxKeyAhead: testMaxKeyAhead,
		}},
	}
	for _, n := range names {
		f.bundle.Hosts = append(f.bundle.Hosts, bundle.Host{Name: n, FailureDomain: n})
	}
	for _, n := range names {
		f.startHost(n)
	}
	f.waitFullyReady(names...)
	return f
}

// startHost starts a new process of a host and ends the previous one.
func (f *testFleet) startHost(name string) {
	now := time.Now()
	s := New(Config{
		Host: name, Incarnation: uint64(now.UnixNano()), Started: now, Caller: &hostCaller{f, name, uint64(now.UnixNano())}, Now: time.Now,
		ClockAndViewsTrusted: func() bool { return true }, OwnerUnavailable: f.ownerUnavailable, Log: zap.NewNop(), Seed: 1,
	}, peer.NewMux())
	s.Apply(f.bundle)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	f.mu.Lock()
	if old := f.cancels[name]; old != nil {
		old()
	}
	f.services[name], f.cancels[name] = s, cancel
	f.mu.Unlock()
	go s.Run(ctx)
}

func (f *testFleet) ownerUnavailable(host string, incarnation uint64) bool {
	return f.service(host).cfg.Incarnation != incarnation
}

func (f *testFleet) service(name string) *Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[name]
}

func (f *testFleet) waitFullyReady(names ...string) {
	for _, n := range names {
		Eventually(f.service(n).FullyReady).WithTimeout(10*time.Second).Should(BeTrue(), n)
	}
}

func (f *testFleet) setPartitioned(partitioned bool, names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range names {
		f.partitioned[n] = partitioned
	}
}

func (f *testFleet) setLossRate(rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossRate = rate
}

var errMessageLost = errors.New("message lost")

// messageLost decides whether one message is dropped.
func (f *testFleet) messageLost(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return from != to && (f.partitioned[from] || f.partitioned[to] || f.rng.Float64() < f.lossRate)
}

// hostCaller sends the calls of one process of a host over the network.
type hostCaller struct {
	fleet       *testFleet
	from        string
	incarnation uint64
}

// Call delivers a request to a host, unless the request or its reply is dropped.
func (c *hostCaller) Call(ctx context.Context, host, method string, req, resp proto.Message) error {
	sender := peer.Sender{Host: c.from, Incarnation: c.incarnation}
	if c.fleet.messageLost(c.from, host) {
		return errMessageLost
	}
	out, err := c.fleet.service(host).dispatch(ctx, sender, req)
	if err != nil || c.fleet.messageLost(host, c.from) {
		return errors.Join(err, errMessageLost)
	}
	proto.Merge(resp, out)
	return ctx.Err()
}

func (s *Service) dispatch(ctx context.Context, from peer.Sender, req proto.Message) (proto.Message, error) {
	switch m := req.(type) {
	case *wire.ClaimAsk:
		return s.serveAcquire(ctx, from, m)
	case *wire.ClaimRelease:
		return s.serveRelease(ctx, from, m)
	case *wire.ClaimVoid:
		return s.serveVoid(ctx, from, m)
	case *wire.ClaimStore:
		return s.serveStore(ctx, from, m)
	case *wire.ClaimStatus:
		return s.serveStatus(ctx, from, m)
	default:
		return nil, fmt.Errorf("no handler for %T", req)
	}
}

func newKey() request.ClaimKey {
	return request.ClaimKey{Customer: "customer", Key: uuid.Must(uuid.NewV7()).String(), Stage: "seal"}
}

// acquire claims a key at a host with the given timeout.
func (f *testFleet) acquire(host string, key request.ClaimKey, id string, within time.Duration) request.ClaimDecided {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return f.service(host).Acquire(ctx, key, id, time.Now(), [32]byte{1})
}
