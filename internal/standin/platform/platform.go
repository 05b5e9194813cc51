// Package platform stands in for the platform: the configuration service, the
// list of live and leaving hosts, and the rate-limited weight store.
//
//	GET /v1/values/{key}                  the value, its revision in X-Revision
//	GET /v1/values/{key}?after=N&wait_ms=M  waits until the revision is over N; 204 when the wait ends
//	GET /v1/hosts                         the host list, which lags
//	GET /v1/weights/{model}               the weights of a model, at the store's shared rate
//	PUT /control/values/{key}             replaces a value
//	PUT /control/hosts                    replaces the host list: {"hosts":[...]}
//	GET /control/reads                    counts of calls, a waiting watch as one
//	GET, POST /control/faults             the faults down, stale, delay_ms, freeze_ms
//
// Calls over the limit of reads are answered 429.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wheatseam/wheatseam/internal/standin"
)

// Defaults and bounds.
const (
	DefaultReadsPerSecond        = 2000
	DefaultWeightBytes           = 8 << 20
	DefaultWeightRate            = 64 << 20
	maxValue                     = 1 << 20
	maxWait                      = 60 * time.Second
	headerRevision               = "X-Revision"
	weightChunk                  = 64 << 10
	initialRevision       uint64 = 1
)

// Config configures a Platform; zero fields take the defaults.
type Config struct {
	// ReadsPerSecond limits the calls to /v1/values and /v1/hosts.
	ReadsPerSecond float64
	// HostsLag is how long a changed host list stays unpublished.
	HostsLag time.Duration
	// WeightBytes is the size of every model's weights.
	WeightBytes int
	// WeightRate limits the weight store over all readers, in bytes a second.
	WeightRate float64
	// FirstRevision is the revision before the first value.
	FirstRevision uint64
}

// Host is one row of the host list.
type Host struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Role is "entry" or "upstream".
	Role string `json:"role"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// HostList is the answer to GET /v1/hosts.
type HostList struct {
	Revision   uint64 `json:"revision"`
	AsOfUnixMS int64  `json:"as_of_unix_ms"`
	Hosts      []Host `json:"hosts"`
}

// Reads counts the calls answered.
type Reads struct {
	Values  int `json:"values"`
	Watches int `json:"watches"`
	Hosts   int `json:"hosts"`
	Weights int `json:"weights"`
	Limited int `json:"limited"`
}

type value struct {
	revision uint64
	body     []byte
}

type publication struct {
	at    time.Time
	hosts []Host
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	cfg     Config
	mux     *http.ServeMux
	faults  *standin.Injector
	limiter *rate.Limiter
	weights *rate.Limiter
	closed  chan struct{}
	once    sync.Once

	mu       sync.Mutex
	revision uint64
	// values holds the newest values; served those that readers see.
	values  map[string]value
	served  map[string]value
	stale   bool
	changed chan struct{}
	hosts   HostList
	pending []publication
	reads   Reads
}

// New returns a Platform without values and hosts.
func New(cfg Config) *Platform {
	if cfg.ReadsPerSecond == 0 {
		cfg.ReadsPerSecond = DefaultReadsPerSecond
	}
	if cfg.WeightBytes == 0 {
		cfg.WeightBytes = DefaultWeightBytes
	}
	if cfg.WeightRate == 0 {
		cfg.WeightRate = DefaultWeightRate
	}
	if cfg.FirstRevision == 0 {
		cfg.FirstRevision = initialRevision
	}
	p := &Platform{
		cfg:      cfg,
		mux:      http.NewServeMux(),
		limiter:  rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), max(1, int(cfg.ReadsPerSecond))),
		weights:  rate.NewLimiter(rate.Limit(cfg.WeightRate), weightChunk),
		closed:   make(chan struct{}),
		revision: cfg.FirstRevision,
		values:   map[string]value{},
		served:   map[string]value{},
		changed:  make(chan struct{}),
		hosts:    HostList{Hosts: []Host{}},
	}
	p.faults = standin.NewInjector(0, p.setStale)
	p.mux.HandleFunc("GET /v1/values/{key}", p.getValue)
	p.mux.HandleFunc("GET /v1/hosts", p.getHosts)
	p.mux.HandleFunc("GET /v1/weights/{model}", p.getWeights)
	p.mux.HandleFunc("PUT /control/values/{key}", p.putValue)
	p.mux.HandleFunc("PUT /control/hosts", p.putHosts)
	p.mux.HandleFunc("GET /control/reads", p.getReads)
	p.mux.Handle("/control/faults", p.faults)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Close ends every waiting watch.
func (p *Platform) Close() { p.once.Do(func() { close(p.closed) }) }

// Faults returns the injected faults.
func (p *Platform) Faults() *standin.Injector { return p.faults }

// SetValue replaces the value of key.
func (p *Platform) SetValue(key string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.values[key] = value{revision: p.revision, body: body}
	p.publish()
}

// SetHosts replaces the host list, which is published after the lag.
func (p *Platform) SetHosts(hosts []Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(p.pending, publication{at: time.Now().Add(p.cfg.HostsLag), hosts: hosts})
}

// Reads returns the counts of calls so far.
func (p *Platform) Reads() Reads {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// publish lets readers see the newest values, unless the service is stale.
// The caller holds mu.
func (p *Platform) publish() {
	if p.stale {
		return
	}
	for k, v := range p.values {
		p.served[k] = v
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) setStale(f standin.Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = f.Stale
	p.publish()
}

// ParseHosts reads a host list, either {"hosts":[...]} or a bare array.
func ParseHosts(body []byte) ([]Host, error) {
	var list HostList
	if err := json.Unmarshal(body, &list); err == nil {
		return list.Hosts, nil
	}
	var hosts []Host
	if err := json.Unmarshal(body, &hosts); err != nil {
		return nil, err
	}
	return hosts, nil
}
