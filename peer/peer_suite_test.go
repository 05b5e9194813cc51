package peer_test

import (
	"context"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/wheatseam/wheatseam/certs"
	"github.com/wheatseam/wheatseam/peer"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// text is the request and answer type of the methods in these tests.
type text = wrapperspb.StringValue

// fleet starts transports that resolve each other by name.
type fleet struct {
	dir             string
	authority       *certs.Authority
	mu              sync.Mutex
	addresses       map[string]string
	nextIncarnation uint64
}

func newFleet(dir string) *fleet {
	a, err := certs.OpenAuthority(dir, time.Now(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	return &fleet{dir: dir, authority: a, addresses: map[string]string{}, nextIncarnation: 1}
}

func (f *fleet) resolve(host string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.addresses[host]
	return a, ok
}

func (f *fleet) setAddress(host, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses[host] = address
}

// issueCert issues a certificate for name and returns its files.
func (f *fleet) issueCert(name string) peer.TLSFiles {
	pair, err := f.authority.Issue(name, time.Now(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	cert, key := certs.KeyPairFiles(f.dir, name)
	Expect(pair.Write(cert, key)).To(Succeed())
	return peer.TLSFiles{CertFile: cert, KeyFile: key, CAFile: filepath.Join(f.dir, certs.AuthorityCertFile)}
}

// config returns the settings of a host that serves an "echo" method.
func (f *fleet) config(name string) peer.Config {
	f.mu.Lock()
	f.nextIncarnation++
	start := f.nextIncarnation
	f.mu.Unlock()
	mux := peer.NewMux()
	peer.Handle(mux, "echo", func(_ context.Context, from peer.Sender, req *text) (*text, error) {
		return wrapperspb.String(from.Host + ":" + req.Value), nil
	})
	return peer.Config{
		Host: name, Incarnation: start, Listen: "127.0.0.1:0", TLS: f.issueCert(name),
		Resolve: f.resolve, Mux: mux, Metrics: metrics.NewSet(),
		DialTimeout: time.Second, SilenceTimeout: 100 * time.Millisecond,
		MinBackoff: 10 * time.Millisecond, MaxBackoff: 50 * time.Millisecond,
	}
}

// start starts a transport, which is closed at the end of the spec.
func (f *fleet) start(cfg peer.Config) *peer.Transport {
	t, err := peer.NewTransport(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(t.Close)
	f.setAddress(cfg.Host, t.Addr())
	return t
}

// echo calls the echo method of host with the given timeout.
func echo(t *peer.Transport, host, value string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var resp text
	err := t.Call(ctx, host, "echo", wrapperspb.String(value), &resp)
	return resp.Value, err
}

// silentListener accepts connections and neither reads nor sends data.
func silentListener() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
		}
	}()
	DeferCleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			c.Close()
		}
	})
	return l
}
