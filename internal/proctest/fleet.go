package proctest

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	"golang.org/x/sync/errgroup"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/certs"
	"github.com/wheatseam/wheatseam/internal/faultrelay"
	"github.com/wheatseam/wheatseam/internal/process"
	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/internal/standin/engine"
	"github.com/wheatseam/wheatseam/internal/standin/fleet"
	"github.com/wheatseam/wheatseam/internal/standin/platform"
	"github.com/wheatseam/wheatseam/internal/standin/service"
)

// Options change a fleet before it starts.
type Options struct {
	// Hosts is the number of entry hosts. Default 3.
	Hosts int
	// Spare is the number of further daemons that the first bundle does not
	// list.
	Spare int
	// Bundle changes the bundle, if set.
	Bundle func(*bundle.Bundle)
}

// Fleet is a running fleet.
type Fleet struct {
	Bundle *bundle.Bundle
	// Hosts lists all hosts, those that the bundle does not list last.
	Hosts    []bundle.Host
	Platform *platform.Platform
	Upstream *fleet.Fleet
	Daemons  []*Process
	// Crashes makes upstreams crash.
	Crashes Crashes

	dir       string
	program   string
	key       ed25519.PrivateKey
	platform  string
	mu        sync.RWMutex // guards callers and operators
	callers   []string
	relays    []*faultrelay.Relay
	listeners map[string]net.Listener
	starts    int
	operators []string
	stop      context.CancelFunc
	serving   errgroup.Group
}

// operatorToken is the token of the operators' listeners.
const operatorToken = "proctest-operator-token"

// Start starts a fleet and waits until every daemon is ready.
func Start(dir string, o Options) (*Fleet, error) {
	if o.Hosts == 0 {
		o.Hosts = 3
	}
	all := o.Hosts + o.Spare
	f := &Fleet{
		dir: dir, Daemons: make([]*Process, all), listeners: make(map[string]net.Listener),
		callers: make([]string, all), operators: make([]string, all),
	}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	if err := f.start(ctx, o); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, o Options) error {
	relays, err := f.startRelays(len(f.Daemons))
	if err != nil {
		return err
	}
	if f.Bundle, err = newBundle(relays, f.listenUpstream); err != nil {
		return err
	}
	f.Hosts = f.Bundle.Hosts
	f.Bundle.Hosts = f.Hosts[:o.Hosts]
	if o.Bundle != nil {
		o.Bundle(f.Bundle)
	}
	if f.program, err = daemonBinary(); err != nil {
		return err
	}
	if err := f.startStandIns(ctx); err != nil {
		return err
	}
	if err := f.writeKeys(); err != nil {
		return err
	}
	if err := f.Publish(f.Bundle); err != nil {
		return err
	}
	for i := range f.Daemons {
		if err := f.StartDaemon(i); err != nil {
			return err
		}
	}
	return f.WaitReady(readyTimeout)
}

// startRelays puts a relay before each daemon's peer listener and returns the
// relays' addresses, which the bundle names.
func (f *Fleet) startRelays(hosts int) ([]string, error) {
	var addresses []string
	for range hosts {
		r, err := faultrelay.New(faultrelay.Config{})
		if err != nil {
			return nil, err
		}
		f.relays = append(f.relays, r)
		addresses = append(addresses, r.Address())
	}
	return addresses, nil
}

// Link sets the conditions of the path from host i to host j.
func (f *Fleet) Link(i, j int, c faultrelay.Conditions) { f.relays[j].SetFrom(peerIP(i), c) }

// Isolate cuts host i off from all fellow daemons, both ways.
func (f *Fleet) Isolate(i int) {
	for j := range f.relays {
		if j != i {
			f.Link(i, j, faultrelay.Conditions{Cut: true})
			f.Link(j, i, faultrelay.Conditions{Cut: true})
		}
	}
}

// Heal ends all faults between daemons.
func (f *Fleet) Heal() {
	for _, r := range f.relays {
		r.Heal()
	}
}

const readyTimeout = 20 * time.Second

// listenUpstream opens the listener of an upstream before the bundle that
// names its address is made.
func (f *Fleet) listenUpstream(name string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for %s: %w", name, err)
	}
	f.listeners[name] = l
	return l.Addr().String(), nil
}

func (f *Fleet) startStandIns(ctx context.Context) error {
	f.Platform = platform.New(platform.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the platform: %w", err)
	}
	f.platform = "http://" + l.Addr().String()
	f.serving.Go(func() error { return standin.Serve(ctx, l, f.Platform) })
	f.Upstream = fleet.New(fleet.Config{
		Bundle:  f.Bundle,
		Engine:  engine.Config{Seed: 1, TimeScale: 0.1},
		Service: service.Config{Seed: 1},
	})
	for name, l := range f.listeners {
		f.serving.Go(func() error { return f.Crashes.serve(ctx, l, f.Upstream.Handler(name)) })
	}
	return nil
}

func (f *Fleet) writeKeys() error {
	pub, key, err := ed25519.GenerateKey(nil)
	if err != nil {
		return fmt.Errorf("generate key: %w", err)
	}
	f.key = key
	text, err := bundle.MarshalPublicKey(pub)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.dir, "bundle.pub"), text, 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.dir, "operator.token"), []byte(operatorToken+"\n"), 0o600); err != nil {
		return err
	}
	return f.writeCerts()
}

// certLifetime is how long the keys of a test fleet are valid.
const certLifetime = time.Hour

// writeCerts makes the keys with which the daemons talk.
func (f *Fleet) writeCerts() error {
	now := time.Now()
	authority, err := certs.OpenAuthority(f.dir, now, certLifetime)
	if err != nil {
		return err
	}
	for _, h := range f.Hosts {
		pair, err := authority.Issue(h.Name, now, certLifetime)
		if err != nil {
			return err
		}
		if err := pair.Write(certs.KeyPairFiles(f.dir, h.Name)); err != nil {
			return err
		}
	}
	return nil
}

// SignedBundle returns b as operators would publish it.
func (f *Fleet) SignedBundle(b *bundle.Bundle) ([]byte, error) {
	raw, err := yaml.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encode bundle: %w", err)
	}
	if _, err := bundle.Parse(raw); err != nil {
		return nil, fmt.Errorf("bundle: %w", err)
	}
	return bundle.Sign(raw, f.key), nil
}

// Publish puts b into the configuration service.
func (f *Fleet) Publish(b *bundle.Bundle) error {
	signed, err := f.SignedBundle(b)
	if err != nil {
		return err
	}
	f.Platform.SetValue("bundle", signed)
	return nil
}

// StartDaemon starts daemon i, or starts it again after its end, and waits
// until it listens.
func (f *Fleet) StartDaemon(i int) error {
	path := filepath.Join(f.dir, hostName(i)+".yaml")
	if err := os.WriteFile(path, []byte(f.settings(i)), 0o644); err != nil {
		return err
	}
	log := filepath.Join(f.dir, fmt.Sprintf("%s.%d.log", hostName(i), f.starts))
	f.starts++
	p, err := process.Start(log, f.program, "--settings", path)
	if err != nil {
		return err
	}
	f.Daemons[i] = &Process{p}
	return f.learnAddresses(i)
}

// listening matches the log line in which a daemon names its ports.
var listening = regexp.MustCompile(`msg=listening .*callers=(\S+) peers=(\S+) operators=(\S+)`)

// learnAddresses reads the ports that the kernel picked from the daemon's log.
func (f *Fleet) learnAddresses(i int) error {
	end := time.Now().Add(readyTimeout)
	for time.Now().Before(end) {
		if m := listening.FindStringSubmatch(f.Daemons[i].Log()); m != nil {
			f.mu.Lock()
			f.callers[i], f.operators[i] = m[1], m[3]
			f.mu.Unlock()
			f.relays[i].SetTarget(m[2])
			return nil
		}
		time.Sleep(pollEvery)
	}
	return fmt.Errorf("%s does not listen: %s", hostName(i), f.Daemons[i].Log())
}

func (f *Fleet) callerAddress(i int) string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.callers[i]
}

func (f *Fleet) operatorAddress(i int) string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.operators[i]
}

func (f *Fleet) settings(i int) string {
	host := f.Hosts[i]
	cert, key := certs.KeyPairFiles(f.dir, host.Name)
	return fmt.Sprintf(`host: %s
failure_domain: %s
listen: {callers: "127.0.0.1:0", peers: "%s:0", operators: "127.0.0.1:0"}
tls: {cert: %q, key: %q, ca: %q}
operators: {token_file: operator.token}
platform: {config_service: %q, host_list: %q}
bundle_public_keys: [bundle.pub]
drain: {bound: 10s}
`, host.Name, host.FailureDomain, peerIP(i),
		cert, key, filepath.Join(f.dir, certs.AuthorityCertFile), f.platform, f.platform)
}

// WaitReady waits until every daemon that the first bundle lists says that it
// is ready.
func (f *Fleet) WaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for i := range f.Bundle.Hosts {
		for !f.Ready(i) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v: %s", hostName(i), timeout, f.Daemons[i].Log())
			}
			time.Sleep(pollEvery)
		}
	}
	return nil
}

// pollEvery is the time between two looks at something awaited.
const pollEvery = 10 * time.Millisecond

// Ready reports whether daemon i says that it is ready.
func (f *Fleet) Ready(i int) bool {
	resp, err := f.operate(i, http.MethodGet, "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close ends the fleet.
func (f *Fleet) Close() {
	for _, p := range f.Daemons {
		if p != nil {
			_ = p.Thaw()
			p.Kill()
		}
	}
	for _, r := range f.relays {
		_ = r.Close()
	}
	f.stop()
	_ = f.serving.Wait()
	if f.Upstream != nil {
		f.Upstream.Close()
		f.Platform.Close()
	}
}
