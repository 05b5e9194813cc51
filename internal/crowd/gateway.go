package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheatseam/wheatseam/internal/process"
	"github.com/wheatseam/wheatseam/internal/standin/site"
	"github.com/wheatseam/wheatseam/platform"
)

// The ports of a gateway, which has a loopback IP of its own.
const (
	portCallers   = 7601
	portReadiness = 7602
	portPeers     = 7603
	portMetrics   = 7604
)

// callerKey is the API key of ordinary requests.
const callerKey = "key-of-firma"

// answerTimeout is how long an ordinary request may go unanswered before the process counts as
// hanging, and tryTimeout how long one attempt may take.
const (
	answerTimeout = time.Minute
	tryTimeout    = 5 * time.Second
	retryPause    = 20 * time.Millisecond
)

// Gateway is a gateway process on a site of stand-ins.
type Gateway struct {
	ip      string
	process *process.Process
	calls   atomic.Int64
}

// Limits are those of the machine on which a gateway process runs.
type Limits struct {
	MemoryMB    int
	Descriptors int
}

// Build builds the daemon and returns the path of its binary.
func Build(t testing.TB) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "wheatseamd")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/wheatseam/wheatseam/cmd/wheatseamd").CombinedOutput()
	if err != nil {
		t.Fatalf("build wheatseamd: %v: %s", err, out)
	}
	return binary
}

// StartGateway starts a gateway process that ends with the test, and waits until it serves.
func StartGateway(t testing.TB, binary string, l Limits) *Gateway {
	t.Helper()
	dir := t.TempDir()
	g := &Gateway{ip: fmt.Sprintf("127.%d.%d.9", 200+os.Getpid()>>8&0x1f, os.Getpid()&0xff)}
	settings := filepath.Join(dir, "settings.yaml")
	text := fmt.Sprintf(`host: %q
name: edge-1
failure_domain: x
listen: {callers: %q, readiness: %q, peers: %q, metrics: %q}
store: {address: %q}
limits: {processors: 1, memory_mb: %d}
log: {level: warn}
`, g.Peers(), g.Callers(), g.Readiness(), g.Peers(), g.Metrics(), startSite(t), l.MemoryMB)
	must(t, os.WriteFile(settings, []byte(text), 0o600))
	var err error
	log := filepath.Join(dir, "gateway.log")
	g.process, err = process.Start(log, "sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, l.Descriptors), binary, "gateway", "--settings", settings)
	must(t, err)
	t.Cleanup(func() {
		g.process.Kill()
		if t.Failed() {
			t.Logf("log of the process:\n%s", tail(g.process.Log()))
		}
	})
	must(t, g.Answers())
	return g
}

// startSite starts a store and two replicas and returns the address of the store.
func startSite(t testing.TB) string {
	store, ledger := site.NewStore(), site.NewLedger()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	server := &http.Server{Handler: store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // returns after Close
	t.Cleanup(func() { _ = server.Close() })
	for _, id := range []string{"plain1", "plain2"} {
		r, err := site.StartReplica(ledger, id, "plain", site.Plain, "127.0.0.1:0")
		must(t, err)
		t.Cleanup(r.Close)
		store.Put("servers/"+id, site.StoreEntry(r, "ready"))
	}
	store.Put("op/config", site.GatewayConfig(1, []string{callerKey}))
	return l.Addr().String()
}

// Callers, Readiness, Peers and Metrics are the addresses of the listeners.
func (g *Gateway) Callers() string   { return g.address(portCallers) }
func (g *Gateway) Readiness() string { return g.address(portReadiness) }
func (g *Gateway) Peers() string     { return g.address(portPeers) }
func (g *Gateway) Metrics() string   { return g.address(portMetrics) }

func (g *Gateway) address(port int) string { return fmt.Sprintf("%s:%d", g.ip, port) }

// Pid returns the process id.
func (g *Gateway) Pid() int { return g.process.Pid() }

// Watch starts measuring the process.
func (g *Gateway) Watch() *Monitor {
	return Watch(g.Pid(), g.Callers(), g.Readiness(), g.Peers(), g.Metrics())
}

// Answers returns nil once a replica has answered an ordinary request, and the process probes at its
// other listeners. Each is sent on a new connection, and repeated if it fails or is refused.
func (g *Gateway) Answers() error {
	request := func() error {
		r := g.call()
		if r.Err == nil && r.Status != http.StatusOK {
			return fmt.Errorf("status %d", r.Status)
		}
		return r.Err
	}
	probe := func(url string) func() error { return func() error { return get(url) } }
	for _, call := range []func() error{
		request, probe("http://" + g.Readiness() + platform.ReadyPath), probe("http://" + g.Metrics() + "/metrics"),
	} {
		if err := awaitAnswer(g.process, call); err != nil {
			return err
		}
	}
	return nil
}

// get expects status 200 from a URL.
func get(url string) error {
	client := http.Client{Timeout: tryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}

// awaitAnswer calls until there is no error.
func awaitAnswer(p *process.Process, call func() error) error {
	var err error
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(retryPause) {
		if err = call(); err == nil {
			return nil
		}
		if ended := alive(p); ended != nil {
			return ended
		}
	}
	return fmt.Errorf("no ordinary request was answered in %v; the last one: %w", answerTimeout, err)
}

// call sends an ordinary request on a connection of its own.
func (g *Gateway) call() site.CallResponse {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: tryTimeout}).DialContext}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	return site.Send(ctx, &http.Client{Transport: transport}, g.Callers(), site.Call{
		ID: fmt.Sprintf("ordinary-%d", g.calls.Add(1)), Path: site.SafePath, Key: callerKey, Deadline: tryTimeout,
	})
}

// Alive returns an error if the process has ended.
func (g *Gateway) Alive() error { return alive(g.process) }

func alive(p *process.Process) error {
	select {
	case <-p.Done():
		return fmt.Errorf("the process has ended: %v", p.Err())
	default:
		return nil
	}
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// maxLogBytes bounds what is printed of a log.
const maxLogBytes = 8 << 10

func tail(log string) string { return log[max(0, len(log)-maxLogBytes):] }
