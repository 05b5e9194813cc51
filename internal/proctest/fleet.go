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

// Options configure a fleet.
type Options struct {
	// Hosts is the number of entry hosts that the first bundle lists; default 3.
	Hosts int
	// SpareHosts is the number of further hosts, with running daemons, that the
	// first bundle does not list.
	SpareHosts int
	// ModifyBundle, if set, changes the first bundle before it is published.
	ModifyBundle func(*bundle.Bundle)
}

// Fleet is a running fleet.
type Fleet struct {
	Bundle *bundle.Bundle
	// Hosts lists all hosts; the spare hosts come last.
	Hosts    []bundle.Host
	Platform *platform.Platform
	Upstream *fleet.Fleet
	Daemons  []*Process
	// Crashes injects crashes into the upstreams.
	Crashes CrashInjector

	dir               string
	daemonPath        string
	signingKey        ed25519.PrivateKey
	platformURL       string
	mu                sync.RWMutex // guards callerAddresses and operatorAddresses
	callerAddresses   []string
	peerRelays        []*faultrelay.Relay
	upstreamListeners map[string]net.Listener
	startCount        int
	operatorAddresses []string
	cancel            context.CancelFunc
	servers           errgroup.Group
}

// operatorToken authorizes requests to the operators' listeners.
const operatorToken = "proctest-operator-token"

// Start starts a fleet with its files in dir and waits until every daemon that the
// first bundle lists is ready.
func Start(dir string, o Options) (*Fleet, error) {
	if o.Hosts == 0 {
		o.Hosts = 3
	}
	all := o.Hosts + o.SpareHosts
	f := &Fleet{
		dir: dir, Daemons: make([]*Process, all), upstreamListeners: make(map[string]net.Listener),
		callerAddresses: make([]string, all), operatorAddresses: make([]string, all),
	}
	ctx, stop := context.WithCancel(context.Background())
	f.cancel = stop
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
	if o.ModifyBundle != nil {
		o.ModifyBundle(f.Bundle)
	}
	if f.daemonPath, err = daemonBinary(); err != nil {
		return err
	}
	if err := f.startStandIns(ctx); err != nil {
		return err
	}
	if err := f.writeCredentials(); err != nil {
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

// startRelays starts a relay for each daemon's peer listener and returns the
// relays' addresses, which the bundle uses as peer addresses.
func (f *Fleet) startRelays(hosts int) ([]string, error) {
	var addresses []string
	for range hosts {
		r, err := faultrelay.New(faultrelay.Config{})
		if err != nil {
			return nil, err
		}
		f.peerRelays = append(f.peerRelays, r)
		addresses = append(addresses, r.Address())
	}
	return addresses, nil
}

// SetLinkConditions sets the conditions of the connections that host i opens to
// host j.
func (f *Fleet) SetLinkConditions(i, j int, c faultrelay.Conditions) {
	f.peerRelays[j].SetFrom(peerIP(i), c)
}

// Isolate cuts the connections between host i and all other hosts in both
// directions.
func (f *Fleet) Isolate(i int) {
	for j := range f.peerRelays {
		if j != i {
			f.SetLinkConditions(i, j, faultrelay.Conditions{Cut: true})
			f.SetLinkConditions(j, i, faultrelay.Conditions{Cut: true})
		}
	}
}

// Heal ends all faults between hosts.
func (f *Fleet) Heal() {
	for _, r := range f.peerRelays {
		r.Heal()
	}
}

const readyTimeout = 20 * time.Second

// listenUpstream opens the listener of an upstream. It must run before the bundle
// is built, because the bundle contains the address.
func (f *Fleet) listenUpstream(name string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for %s: %w", name, err)
	}
	f.upstreamListeners[name] = l
	return l.Addr().String(), nil
}

func (f *Fleet) startStandIns(ctx context.Context) error {
	f.Platform = platform.New(platform.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the platform: %w", err)
	}
	f.platformURL = "http://" + l.Addr().String()
	f.servers.Go(func() error { return standin.Serve(ctx, l, f.Platform) })
	f.Upstream = fleet.New(fleet.Config{
		Bundle:  f.Bundle,
		Engine:  engine.Config{Seed: 1, TimeScale: 0.1},
		Service: service.Config{Seed: 1},
	})
	for name, l := range f.upstreamListeners {
		f.servers.Go(func() error { return f.Crashes.serve(ctx, l, f.Upstream.Handler(name)) })
	}
	return nil
}

func (f *Fleet) writeCredentials() error {
	pub, key, err := ed25519.GenerateKey(nil)
	if err != nil {
		return fmt.Errorf("generate key: %w", err)
	}
	f.signingKey = key
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

// certLifetime is how long the certificates of a test fleet are valid.
const certLifetime = time.Hour

// writeCerts writes the TLS certificates and keys for the connections between
// daemons.
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

// SignedBundle returns b encoded and signed, in the form that operators publish.
// It returns an error if b is invalid.
func (f *Fleet) SignedBundle(b *bundle.Bundle) ([]byte, error) {
	raw, err := yaml.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encode bundle: %w", err)
	}
	if _, err := bundle.Parse(raw); err != nil {
		return nil, fmt.Errorf("bundle: %w", err)
	}
	return bundle.Sign(raw, f.signingKey), nil
}

// Publish signs b and puts it into the configuration service.
func (f *Fleet) Publish(b *bundle.Bundle) error {
	signed, err := f.SignedBundle(b)
	if err != nil {
		return err
	}
	f.Platform.SetValue("bundle", signed)
	return nil
}

// StartDaemon starts daemon i, or restarts it after its process has ended, and
// waits until it listens.
func (f *Fleet) StartDaemon(i int) error {
	path := filepath.Join(f.dir, hostName(i)+".yaml")
	if err := os.WriteFile(path, []byte(f.settings(i)), 0o644); err != nil {
		return err
	}
	log := filepath.Join(f.dir, fmt.Sprintf("%s.%d.log", hostName(i), f.startCount))
	f.startCount++
	p, err := process.Start(log, f.daemonPath, "--settings", path)
	if err != nil {
		return err
	}
	f.Daemons[i] = &Process{p}
	return f.readListenAddresses(i)
}

// listeningLine matches the log line with the addresses that a daemon listens on.
var listeningLine = regexp.MustCompile(`msg=listening .*callers=(\S+) peers=(\S+) operators=(\S+)`)

// readListenAddresses reads the addresses of daemon i, whose ports the kernel
// picks, from its log and passes the peer address to the daemon's relay.
func (f *Fleet) readListenAddresses(i int) error {
	end := time.Now().Add(readyTimeout)
	for time.Now().Before(end) {
		if m := listeningLine.FindStringSubmatch(f.Daemons[i].Log()); m != nil {
			f.mu.Lock()
			f.callerAddresses[i], f.operatorAddresses[i] = m[1], m[3]
			f.mu.Unlock()
			f.peerRelays[i].SetTarget(m[2])
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%s does not listen; its log: %s", hostName(i), f.Daemons[i].Log())
}

// CallerAddress returns the address of the callers' listener of daemon i.
func (f *Fleet) CallerAddress(i int) string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.callerAddresses[i]
}

// OperatorAddress returns the address of the operators' listener of daemon i.
func (f *Fleet) OperatorAddress(i int) string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.operatorAddresses[i]
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
		cert, key, filepath.Join(f.dir, certs.AuthorityCertFile), f.platformURL, f.platformURL)
}

// WaitReady waits until every daemon that the first bundle lists reports that it
// is ready.
func (f *Fleet) WaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for i := range f.Bundle.Hosts {
		for !f.Ready(i) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v; its log: %s", hostName(i), timeout, f.Daemons[i].Log())
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// pollInterval is the time between two checks of a condition being awaited.
const pollInterval = 10 * time.Millisecond

// Ready reports whether the readiness endpoint of daemon i answers 200.
func (f *Fleet) Ready(i int) bool {
	resp, err := f.callOperatorAPI(i, http.MethodGet, "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close kills the daemons and stops the relays, the platform and the upstreams.
func (f *Fleet) Close() {
	for _, p := range f.Daemons {
		if p != nil {
			_ = p.Resume()
			p.Kill()
		}
	}
	for _, r := range f.peerRelays {
		_ = r.Close()
	}
	f.cancel()
	_ = f.servers.Wait()
	if f.Upstream != nil {
		f.Upstream.Close()
		f.Platform.Close()
	}
}
