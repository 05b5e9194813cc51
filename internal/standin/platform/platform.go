// Package platform implements a fake of the platform's store for the demo and the
// multi-process tests. It holds the signed bundle and, under the key "hosts", the
// list of live and leaving hosts, which is published with a delay.
//
//	GET /-/kv-key?key=K                   the item under a key
//	GET /-/kv-watch?prefix=K&after=N&wait_ms=M  waits until the revision exceeds N
//	PUT /control/values/{key}             replaces a value
//	PUT /control/hosts                    replaces the host list: {"hosts":[...]}
//	GET /control/reads                    number of calls; a waiting watch counts once
//	GET, POST /control/faults             the faults down, stale, delay_ms, freeze_ms
//
// Calls beyond the read rate limit get status 429.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wheatseam/wheatseam/internal/standin"
)

// Defaults and limits.
const (
	DefaultReadsPerSecond        = 2000
	maxValueBytes                = 1 << 20
	maxWait                      = 60 * time.Second
	initialRevision       uint64 = 1
	hostsKey                     = "hosts"
)

// Config configures a Platform. Zero fields get the defaults.
type Config struct {
	// ReadsPerSecond limits the rate of calls.
	ReadsPerSecond float64
	// HostsLag is the delay before a changed host list is published.
	HostsLag time.Duration
	// FirstRevision is the revision before the first value is set.
	FirstRevision uint64
}

// Host is an entry of the host list.
type Host struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Role is "entry" or "upstream".
	Role string `json:"role"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// HostList is the value stored under hostsKey.
type HostList struct {
	Revision   uint64 `json:"revision"`
	AsOfUnixMS int64  `json:"as_of_unix_ms"`
	Hosts      []Host `json:"hosts"`
}

// Reads counts the calls by kind. Limited counts those that exceeded the rate
// limit.
type Reads struct {
	Values  int `json:"values"`
	Watches int `json:"watches"`
	Hosts   int `json:"hosts"`
	Limited int `json:"limited"`
}

type value struct {
	revision uint64
	body     []byte
}

// publication is a host list to be published at publishAt.
type publication struct {
	publishAt time.Time
	hosts     []Host
}

// Platform is the fake. It is safe for concurrent use.
type Platform struct {
	cfg       Config
	mux       *http.ServeMux
	faults    *standin.Injector
	limiter   *rate.Limiter
	closed    chan struct{}
	closeOnce sync.Once

	mu       sync.Mutex
	revision uint64
	// values holds the newest values, served those visible to readers. They
	// differ while the platform is stale.
	values  map[string]value
	served  map[string]value
	stale   bool
	changed chan struct{}
	hosts   HostList
	pending []publication
	reads   Reads
}

// New returns a Platform without values or hosts.
func New(cfg Config) *Platform {
	if cfg.ReadsPerSecond == 0 {
		cfg.ReadsPerSecond = DefaultReadsPerSecond
	}
	if cfg.FirstRevision == 0 {
		cfg.FirstRevision = initialRevision
	}
	p := &Platform{
		cfg:      cfg,
		mux:      http.NewServeMux(),
		limiter:  rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), max(1, int(cfg.ReadsPerSecond))),
		closed:   make(chan struct{}),
		revision: cfg.FirstRevision,
		values:   map[string]value{},
		served:   map[string]value{},
		changed:  make(chan struct{}),
		hosts:    HostList{Hosts: []Host{}},
	}
	p.faults = standin.NewInjector(0, p.setStale)
	p.mux.HandleFunc("GET /-/kv-key", p.getItem)
	p.mux.HandleFunc("GET /-/kv-watch", p.watchItem)
	p.mux.HandleFunc("PUT /control/values/{key}", p.putValue)
	p.mux.HandleFunc("PUT /control/hosts", p.putHosts)
	p.mux.HandleFunc("GET /control/reads", p.getReads)
	p.mux.Handle("/control/faults", p.faults)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Close makes every waiting watch return.
func (p *Platform) Close() { p.closeOnce.Do(func() { close(p.closed) }) }

// Faults returns the fault injector.
func (p *Platform) Faults() *standin.Injector { return p.faults }

// SetValue replaces the value of key.
func (p *Platform) SetValue(key string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.values[key] = value{revision: p.revision, body: body}
	p.publish()
}

// SetHosts replaces the host list. The new list is published after HostsLag.
func (p *Platform) SetHosts(hosts []Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(p.pending, publication{publishAt: time.Now().Add(p.cfg.HostsLag), hosts: hosts})
}

// Reads returns the number of calls so far.
func (p *Platform) Reads() Reads {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// publish makes the newest values visible to readers, unless the platform is
// stale. The caller holds mu.
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

// ParseHosts parses a host list in JSON, either {"hosts":[...]} or an array.
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
