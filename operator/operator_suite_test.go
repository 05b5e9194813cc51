package operator_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/operator"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/record"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

const token = "an operator's token"

// fleet runs daemons that consist of a peer transport and an operators' server
// only.
type fleet struct {
	mu        sync.Mutex
	addresses map[string]string
	daemons   map[string]*daemon
	tokenFile string
}

// daemon implements operator.LocalDaemon.
type daemon struct {
	fleet     *fleet
	name      string
	draining  atomic.Bool
	records   *record.Store
	sections  *operator.Sections
	metrics   *metrics.Set
	transport *peer.Transport
	server    *operator.Server
}

func (d *daemon) Status() operator.Status {
	st := operator.Status{Host: d.name, FailureDomain: "lima-a", Ready: !d.draining.Load(), Draining: d.draining.Load(), BundleVersion: 7}
	if st.Draining {
		st.Reason = "the host is leaving"
	}
	return st
}
func (d *daemon) Host() string { return d.name }
func (d *daemon) Drain()       { d.draining.Store(true) }
func (d *daemon) Hosts() []string {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	names := []string{}
	for name := range d.fleet.addresses {
		names = append(names, name)
	}
	return names
}

func newFleet(names ...string) *fleet {
	f := &fleet{addresses: map[string]string{}, daemons: map[string]*daemon{}}
	f.tokenFile = filepath.Join(GinkgoT().TempDir(), "token")
	Expect(os.WriteFile(f.tokenFile, []byte(token+"\n"), 0o600)).To(Succeed())
	for _, name := range names {
		f.start(name, operator.Credentials{TokenFile: f.tokenFile})
	}
	return f
}

func (f *fleet) resolve(host string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.addresses[host]
	return a, ok
}

func (f *fleet) start(name string, c operator.Credentials) *daemon {
	d := &daemon{fleet: f, name: name, records: record.NewStore(1 << 20), sections: operator.NewSections(), metrics: metrics.NewSet()}
	mux := peer.NewMux()
	var err error
	d.transport, err = peer.NewTransport(peer.Config{
		Host: name, Incarnation: uint64(time.Now().UnixMilli()), Listen: "127.0.0.1:0",
		Plaintext: true, Resolve: f.resolve, Mux: mux, Metrics: d.metrics,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.transport.Close)
	d.server, err = operator.NewServer(operator.Config{
		Listen: "127.0.0.1:0", Credentials: c, Local: d, Logger: zap.NewNop(), Metrics: []*metrics.Set{d.metrics},
		Querier: operator.NewFleetQuerier(d, d.records, d.sections, d.transport, mux),
	})
	Expect(err).NotTo(HaveOccurred())
	serveResult := make(chan error, 1)
	go func() { serveResult <- d.server.Serve() }()
	DeferCleanup(func(ctx SpecContext) {
		Expect(d.server.Shutdown(ctx)).To(Succeed())
		Expect(<-serveResult).To(Succeed())
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses[name] = d.transport.Addr()
	f.daemons[name] = d
	return d
}

// request sends an HTTP request with the given token, decodes the JSON response
// into v and returns the HTTP status. If v is a *string, it receives the body.
func (d *daemon) request(method, path, token string, v any) int {
	req, err := http.NewRequest(method, "http://"+d.server.Addr()+path, nil)
	Expect(err).NotTo(HaveOccurred())
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	if s, ok := v.(*string); ok {
		*s = string(raw)
	} else if v != nil {
		Expect(json.Unmarshal(raw, v)).To(Succeed())
	}
	return resp.StatusCode
}
