package bench

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/daemon"
	"github.com/wheatseam/wheatseam/settings"
)

const (
	// customerCount is the number of customers that the users require. Calls use
	// the key of the last customer.
	customerCount = 410
	hostName      = "entry-1"
	domain        = "domain-1"
	// serviceResponseText is the result of every service call: about 200 bytes.
	serviceResponseText = "a passage of the corpus, of about the size that a retriever gives back for one question; " +
		"what a stage hands to the next is a few of them, and the caller's own input goes along with each call"
	// startTimeout limits how long the daemon may take to listen and, separately,
	// to become ready.
	startTimeout = 20 * time.Second
)

func apiKey(i int) string { return fmt.Sprintf("bench-key-%d", i) }

// fixture is a running daemon with its harness.
type fixture struct {
	b              testing.TB
	controlAddress string
	// callersAddress is the address on which the daemon serves callers.
	callersAddress string
}

// sharedFixture starts the daemon and the harness once for all benchmarks of a run.
var sharedFixture = sync.OnceValues(newFixture)

func newDaemonFixture(b *testing.B) *fixture {
	b.Helper()
	f, err := sharedFixture()
	if err != nil {
		b.Fatal(err)
	}
	return &fixture{b: b, controlAddress: f.controlAddress, callersAddress: f.callersAddress}
}

func newFixture() (*fixture, error) {
	addresses, err := startHarness()
	if err != nil {
		return nil, err
	}
	peers, err := freeAddress()
	if err != nil {
		return nil, err
	}
	pub, key, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	if err := publish(addresses, newBundle(addresses.Upstreams, peers), key); err != nil {
		return nil, err
	}
	callers, err := startDaemon(addresses, peers, base64.StdEncoding.EncodeToString(pub))
	if err != nil {
		return nil, err
	}
	return &fixture{controlAddress: addresses.Control, callersAddress: callers}, nil
}

// harnessStdin is held open so that the harness runs until this process ends.
var harnessStdin io.WriteCloser

// startHarness starts the harness, which exits when its standard input is closed.
func startHarness() (harnessAddresses, error) {
	var addresses harnessAddresses
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), harnessEnv+"=1")
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return addresses, err
	}
	harnessStdin = stdin
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return addresses, err
	}
	if err := cmd.Start(); err != nil {
		return addresses, err
	}
	return addresses, json.NewDecoder(stdout).Decode(&addresses)
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// Measured sizes.
var (
	stageCounts = []int{1, 2, 3, 4, 5, 6}
	tokenCounts = []int{16, 64, 256, 1024}
)

func newBundle(upstreams []string, peers string) *bundle.Bundle {
	b := &bundle.Bundle{
		Version: 1, Deployment: "bench", Policy: bundle.PolicyAdaptive,
		Objective:      bundle.Objective{Attainment: 1},
		FailureDomains: []bundle.FailureDomain{{Name: domain, Region: "r"}},
		Hosts:          []bundle.Host{{Name: hostName, FailureDomain: domain, PeerAddress: peers}},
		Claims: bundle.ClaimPolicy{
			GroupSize: 1, Retention: time.Minute, MaxClockSkew: time.Second, MaxKeyAhead: time.Second,
		},
		Retry: bundle.RetryPolicy{BudgetRatio: 0.2, MaxAttempts: 3},
		Pools: []bundle.Pool{
			{Name: "services", Kind: bundle.PoolService, Concurrency: 1000, MaxConnections: 1000},
			{Name: "lm", Kind: bundle.PoolEngine, Model: "lm", Concurrency: 1000, MaxConnections: 1000},
		},
	}
	for p := range b.Pools {
		for i, address := range upstreams[p*replicasPerPool : (p+1)*replicasPerPool] {
			b.Pools[p].Upstreams = append(b.Pools[p].Upstreams, bundle.Upstream{
				Name: fmt.Sprintf("%s-%d", b.Pools[p].Name, i), FailureDomain: domain, Address: address,
			})
		}
	}
	addPipelines(b)
	var all []string
	for _, p := range b.Pipelines {
		all = append(all, p.Name)
	}
	for i := range customerCount {
		sum := sha256.Sum256([]byte(apiKey(i)))
		b.Customers = append(b.Customers, bundle.Customer{
			Name: fmt.Sprintf("customer-%03d", i), KeyHashes: []string{hex.EncodeToString(sum[:])},
			Weight: 1, Pipelines: all,
		})
	}
	return b
}

func addPipelines(b *bundle.Bundle) {
	const deadline = 2 * time.Minute
	for _, n := range stageCounts {
		p := bundle.Pipeline{Name: fmt.Sprintf("stages-%d", n), Deadline: deadline}
		for i := range n {
			p.Stages = append(p.Stages, bundle.Stage{
				Name: fmt.Sprintf("stage-%d", i), Kind: bundle.StageEncode, Pool: "services", Expected: time.Millisecond,
			})
		}
		b.Pipelines = append(b.Pipelines, p)
	}
	for _, n := range tokenCounts {
		b.Pipelines = append(b.Pipelines, bundle.Pipeline{
			Name: fmt.Sprintf("tokens-%d", n), Deadline: deadline,
			Stages: []bundle.Stage{{
				Name: "generate", Kind: bundle.StageGenerate, Pool: "lm", Expected: time.Millisecond, MaxTokens: n,
			}},
		})
	}
}

func publish(addresses harnessAddresses, b *bundle.Bundle, key ed25519.PrivateKey) error {
	raw, err := yaml.Marshal(b)
	if err != nil {
		return err
	}
	if _, err := bundle.Parse(raw); err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+addresses.Platform+"/control/values/bundle", bytes.NewReader(bundle.Sign(raw, key)))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("publish: %s", resp.Status)
	}
	return nil
}

// startDaemon runs the daemon and returns its address for callers once it serves
// requests with the bundle. The daemon logs to /dev/null, in the format of wheatseamd.
func startDaemon(addresses harnessAddresses, peers, public string) (string, error) {
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return "", err
	}
	defer os.RemoveAll(dir)
	token := filepath.Join(dir, "token")
	if err := os.WriteFile(token, []byte("bench-operator-token\n"), 0o600); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "settings.yaml")
	text := fmt.Sprintf(`host: %s
failure_domain: %s
listen: {callers: "127.0.0.1:0", peers: %q, operators: "127.0.0.1:0"}
insecure_plaintext: true
operators: {token_file: %s}
platform: {config_service: "http://%s", host_list: "http://%s"}
bundle_public_keys: [%q]
`, hostName, domain, peers, token, addresses.Platform, addresses.Platform, public)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", err
	}
	s, err := settings.Load(path)
	if err != nil {
		return "", err
	}
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		return "", err
	}
	encoder := zapcore.NewCore(zaplogfmt.NewEncoder(zap.NewProductionEncoderConfig()), zapcore.Lock(null), zapcore.InfoLevel)
	starts, logs := observer.New(zapcore.InfoLevel)
	filter := &listeningFilter{Core: starts}
	d, err := daemon.New(s, zap.New(zapcore.NewTee(encoder, filter)))
	if err != nil {
		return "", err
	}
	go func() {
		err := d.Run(context.Background(), context.Background())
		fmt.Fprintln(os.Stderr, "daemon ended:", err)
	}()
	callers, err := awaitListener(logs)
	if err != nil {
		return "", err
	}
	return callers, awaitReady(callers)
}

// listeningFilter passes only the message that awaitListener waits for, so that the
// observer does not accumulate the log of a benchmark in memory.
type listeningFilter struct{ zapcore.Core }

func (f *listeningFilter) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Message != listeningMessage {
		return ce
	}
	return f.Core.Check(e, ce)
}

// listeningMessage is the message with which the daemon logs its addresses.
const listeningMessage = "listening"

func awaitListener(logs *observer.ObservedLogs) (string, error) {
	end := time.Now().Add(startTimeout)
	for time.Now().Before(end) {
		if lines := logs.FilterMessage(listeningMessage).All(); len(lines) > 0 {
			if address, ok := lines[0].ContextMap()["callers"].(string); ok {
				return address, nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return "", fmt.Errorf("the daemon did not listen within %v", startTimeout)
}

// awaitReady waits until the daemon answers a request. After startTimeout it returns the
// error of the last one.
func awaitReady(callers string) error {
	h := &harness{client: newClient()}
	end := time.Now().Add(startTimeout)
	for {
		_, err := h.post("http://"+callers+"/v1/pipelines/stages-1", requestBody)
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// callHarness posts request as JSON to the control interface of the harness and decodes
// the response. It fails the benchmark on an error.
func callHarness[Out any](f *fixture, path string, request any) Out {
	f.b.Helper()
	var out Out
	body, err := json.Marshal(request)
	if err != nil {
		f.b.Fatal(err)
	}
	resp, err := http.Post("http://"+f.controlAddress+path, "application/json", bytes.NewReader(body))
	if err != nil {
		f.b.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		f.b.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		f.b.Fatalf("%s: %s", path, strings.TrimSpace(string(raw)))
	}
	if err := json.Unmarshal(raw, &out); err != nil {
		f.b.Fatal(err)
	}
	return out
}
