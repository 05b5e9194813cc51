package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/gateway"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// The paths of the routes under test.
const (
	host       = site.Hostname
	sealPath   = site.UnsafePath
	safePath   = site.SafePath
	streamPath = site.StreamPath
	resumePath = site.ResumablePath
	// longPath streams are like those of resumePath, with a longer timeout and one stage.
	longPath = "/long/"
)

var nextIP atomic.Uint32

func address(port int) string {
	const perOctet = 250
	n := int(nextIP.Add(1))
	return fmt.Sprintf("127.%d.%d.%d:%d", 2+(os.Getpid()>>8+n/perOctet)&0x7f, os.Getpid()&0xff, 1+n%perOctet, port)
}

// tester is a test of package testing, or the current Ginkgo spec.
type tester interface {
	Helper()
	Fatalf(format string, args ...any)
	Cleanup(func())
}

// fixture is a site with one gateway or several.
type fixture struct {
	*WithT
	test     tester
	store    *site.Store
	ledger   *site.Ledger
	address  string // address of the store
	replicas map[string]*site.Replica
	version  int
	keys     []string
	// coldRate is how many requests per second cold replicas of "plain" can take, and
	// coldCallRate how many calls those of "encode" can; 0 for no limit.
	coldRate, coldCallRate int
	// maxBodyBytes is the limit of the configuration for bodies.
	maxBodyBytes int
	// maxHeaderBytes is its limit for heads, 0 for none.
	maxHeaderBytes int
	// otherKey is the key of a second customer; "" for none.
	otherKey string
	// largeRoute adds a route for requests that take long to read.
	largeRoute bool
}

// newFixture returns the site of a spec.
func newFixture() *fixture { return newFixtureOf(GinkgoT()) }

// newFixtureOf returns the site of a test, with two replicas of each service.
func newFixtureOf(t tester) *fixture {
	f := &fixture{
		WithT: NewWithT(t), test: t, store: site.NewStore(), ledger: site.NewLedger(), replicas: map[string]*site.Replica{}, keys: []string{"key-1"}, maxBodyBytes: 1000,
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	f.address = l.Addr().String()
	f.add("p1", "plain", site.Plain)
	f.add("p2", "plain", site.Plain)
	f.add("e1", "llm", site.Engine)
	f.add("e2", "llm", site.Engine)
	f.add("s1", "encode", site.Stage)
	f.add("s2", "encode", site.Stage)
	f.configure()
	return f
}

// add starts a replica and registers it. No other test can take its address while it is down.
func (f *fixture) add(id, service string, kind site.Kind) *site.Replica {
	r, err := site.StartReplica(f.ledger, id, service, kind, address(7407))
	f.Expect(err).NotTo(HaveOccurred())
	f.test.Cleanup(r.Close)
	f.replicas[id] = r
	f.register(r, "ready")
	return r
}

func (f *fixture) register(r *site.Replica, phase string) {
	f.store.Put("servers/"+r.ID, site.StoreEntry(r, phase))
}

// registerCold registers a replica that stays cold for the given time.
func (f *fixture) registerCold(id string, left time.Duration) {
	entry := site.StoreEntry(f.replicas[id], "ready")
	entry["warmup_left_ms"] = left.Milliseconds()
	f.store.Put("servers/"+id, entry)
}

// behave sets the behaviour of all replicas of a service.
func (f *fixture) behave(service string, b site.Behaviour) {
	for _, r := range f.replicas {
		if r.Service == service {
			r.SetBehaviour(b)
		}
	}
}

// configure stores the next version of the configuration.
func (f *fixture) configure() {
	f.version++
	c := site.GatewayConfig(f.version, f.keys)
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "open", "hostname": host, "prefix": "/open/", "route_type": "safe", "service": "plain", "attempts": 2,
		"timeout_ms": 2000, "goal_ms": 500, "priority": 1, "public": true,
	}, map[string]any{
		"name": "long", "hostname": host, "prefix": longPath, "route_type": "streaming", "service": "llm", "attempts": 2, "resumable": true,
		"timeout_ms": 8000, "goal_ms": 1000, "priority": 1,
		"stages": []map[string]any{{"service": "encode", "after": []int{}, "bytes": site.ResultBytes}},
	})
	if f.otherKey != "" {
		c["tenants"] = append(c["tenants"].([]any), map[string]any{"name": "other", "api_keys": []string{f.otherKey}})
	}
	if f.largeRoute {
		c["routes"] = append(c["routes"].([]any), map[string]any{
			"name": "large", "hostname": host, "prefix": largePath, "route_type": "safe", "service": "plain", "attempts": 2,
			"timeout_ms": 40000, "goal_ms": 2000, "priority": 1,
		})
	}
	plain := c["services"].([]any)[0].(map[string]any)
	plain["warmup_s"], plain["warmup_per_s"] = 2, f.coldRate
	for _, s := range c["services"].([]any) {
		if encode := s.(map[string]any); encode["name"] == "encode" && f.coldCallRate > 0 {
			encode["warmup_s"], encode["warmup_per_s"] = 20, f.coldCallRate
		}
	}
	c["limits"] = map[string]any{"max_body_bytes": f.maxBodyBytes, "max_header_bytes": f.maxHeaderBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000}
	f.store.Put("op/config", c)
}

// gatewayProcess is a running gateway.
type gatewayProcess struct {
	*WithT
	test                               tester
	callers, readiness, metrics, peers string

	gateway *gateway.Gateway
	stop    context.CancelFunc
	done    chan error
}

// start starts a gateway that does not log.
func (f *fixture) start(seeds ...string) *gatewayProcess {
	return f.startLogged(zap.NewNop(), seeds...)
}

// startLogged starts a gateway that logs to log.
func (f *fixture) startLogged(log *zap.Logger, seeds ...string) *gatewayProcess {
	return f.startWith(log, nil, seeds...)
}

// startWith starts a gateway that logs to log; change may modify its settings.
func (f *fixture) startWith(log *zap.Logger, change func(*gateway.Settings), seeds ...string) *gatewayProcess {
	self := address(7403)
	s := &gateway.Settings{
		Host: self, Name: "gw", FailureDomain: "x", Seeds: append(seeds, self),
		Listen:  gateway.Listen{Callers: address(7404), Readiness: address(7405), Peers: self, Metrics: address(7406)},
		Store:   gateway.Store{Address: f.address},
		Bounds:  gateway.Bounds{Drain: time.Second, Configuration: time.Second},
		Drain:   gateway.Drain{Grace: 2 * time.Second},
		Budget:  gateway.Budget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Backoff: gateway.Backoff{Max: time.Minute}, Cold: gateway.Cold{Overage: 1.5, Slack: 1},
		Limits: gateway.Limits{Processors: 1, ProcessorShare: 1, MemoryMB: 256},
		// Most specs need the retries of a host that has run for a while.
		FirstStart: true,
	}
	if change != nil {
		change(s)
	}
	g, err := gateway.New(s, log)
	f.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	r := &gatewayProcess{
		WithT: f.WithT, test: f.test, callers: s.Listen.Callers, readiness: s.Listen.Readiness, metrics: s.Listen.Metrics, peers: self,
		gateway: g, stop: cancel, done: make(chan error, 1),
	}
	go func() {
		r.done <- g.Run(ctx)
		close(r.done)
	}()
	f.test.Cleanup(func() { cancel(); f.Eventually(r.done, "5s").Should(Or(Receive(), BeClosed())) })
	return r
}

// ready waits until the gateway is ready to serve.
func (r *gatewayProcess) ready() *gatewayProcess {
	r.test.Helper()
	r.Eventually(r.readinessStatus, "5s").Should(Equal(http.StatusOK))
	return r
}

func (r *gatewayProcess) readinessStatus() int {
	resp, err := http.Get("http://" + r.readiness + "/-/readyz")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// answer is the answer that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set when the answer ended before it was complete.
	err error
}

var nextID atomic.Uint64

// send sends a request and reads the whole answer; change may modify the request.
func (r *gatewayProcess) send(method, path, body string, change func(*http.Request)) (answer, string) {
	r.test.Helper()
	id := fmt.Sprintf("%08x", nextID.Add(1))
	req, err := http.NewRequest(method, "http://"+r.callers+path, bytes.NewReader([]byte(body)))
	r.Expect(err).NotTo(HaveOccurred())
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("X-Api-Key", "key-1")
	req.Header.Set("Deadline-Ms", "2000")
	if change != nil {
		change(req)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{err: err}, id
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(raw), err}, id
}
