package gateway

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/wheatseam/wheatseam/internal/strictyaml"
)

// SettingsEnv names the environment variable with the path of the settings.
const SettingsEnv = "WHEATSEAM_NODE_FILE"

// Settings are the settings of one gateway daemon.
type Settings struct {
	// Host is the daemon's identity among its peers: the ip:port at which they reach it.
	Host string `yaml:"host"`
	// Name is the machine's name, for logs.
	Name          string `yaml:"name"`
	FailureDomain string `yaml:"failure_domain"`
	Listen        Listen `yaml:"listen"`
	// Seeds are the identities of some peers to contact first.
	Seeds   []string `yaml:"seeds"`
	Regions []Region `yaml:"regions"`
	// FirstStart says that the deployment starts for the first time: no earlier process of its
	// hosts has sent anything. Default false.
	FirstStart bool    `yaml:"first_start"`
	Store      Store   `yaml:"store"`
	Bounds     Bounds  `yaml:"bounds"`
	Drain      Drain   `yaml:"drain"`
	Budget     Budget  `yaml:"budget"`
	Cold       Cold    `yaml:"cold"`
	Backoff    Backoff `yaml:"rest"`
	Stages     Stages  `yaml:"stages"`
	Limits     Limits  `yaml:"limits"`
	Log        Log     `yaml:"log"`
}

// Listen holds the listeners' addresses, each ip:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Peers     string `yaml:"peers"`
	Metrics   string `yaml:"metrics"`
}

// Region assigns a failure domain to a region.
type Region struct {
	FailureDomain string `yaml:"failure_domain"`
	Region        string `yaml:"region"`
}

// Store locates the platform's metadata store.
type Store struct {
	// Address is ip:port.
	Address string `yaml:"address"`
}

// Bounds limit the time until changes that the store acknowledged must take effect here.
type Bounds struct {
	// Drain is for draining replicas, Configuration for configurations. Both default to 2s.
	Drain         time.Duration `yaml:"drain"`
	Configuration time.Duration `yaml:"configuration"`
}

// shortest returns the shorter bound.
func (b Bounds) shortest() time.Duration { return min(b.Drain, b.Configuration) }

// Drain configures the shutdown of the daemon.
type Drain struct {
	// Grace is the time from the signal to the end of the process. Default 8s.
	Grace time.Duration `yaml:"grace"`
}

// Budget limits retries over the whole fleet.
type Budget struct {
	// In each Window, Ratio times the number of requests plus Slack retries are allowed.
	Ratio  float64       `yaml:"ratio"`
	Slack  float64       `yaml:"slack"`
	Window time.Duration `yaml:"window"`
}

// Cold limits the requests to a cold replica over the whole fleet.
type Cold struct {
	// The replica may crash from Overage times the configured rate plus Slack requests in
	// any second. Defaults 1 and 0.
	Overage float64 `yaml:"overage"`
	Slack   float64 `yaml:"slack"`
}

// Backoff limits the backoffs that replicas may request from this host as they refuse a
// call.
type Backoff struct {
	// Max is the longest time for which one answer keeps this host from calling the
	// replica. Default 60s.
	Max time.Duration `yaml:"most"`
}

// Stages configures the planning of stages under overload.
type Stages struct {
	// FairShares shares the capacity of stage services out among customers while it is
	// scarce. Default false.
	FairShares bool `yaml:"fair_shares"`
}

// Limits are the resource limits of the machine.
type Limits struct {
	// Processors is the number of threads that may run at the same time. Default 1.
	Processors int `yaml:"processors"`
	// ProcessorShare is the part of a processor that the process may use. Default 1.
	ProcessorShare float64 `yaml:"processor_share"`
	// MemoryMB is the memory in units of 2^20 bytes above which the process is killed.
	// Default 256.
	MemoryMB int `yaml:"memory_mb"`
	// Descriptors is how many descriptors the machine grants to the process. Default 0: the limit
	// of the process.
	Descriptors int `yaml:"descriptors"`
	// Connections is the largest number of connections of callers. Default 0: what memory and
	// descriptors allow.
	Connections int `yaml:"connections"`
	// WriteTimeout is how long a write to a caller that doesn't read its answer may wait. Default 0:
	// 30s.
	WriteTimeout time.Duration `yaml:"write_timeout"`
}

// memoryBytes is MemoryMB in bytes.
func (l Limits) memoryBytes() int64 { return int64(l.MemoryMB) << 20 }

// Log configures the log.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `yaml:"level"`
}

// The defaults of settings that the file omits.
const (
	defaultBound        = 2 * time.Second
	defaultGrace        = 8 * time.Second
	defaultBudgetRatio  = 0.2
	defaultBudgetSlack  = 20
	defaultBudgetWindow = 10 * time.Second
	defaultColdOverage  = 1
	defaultMaxBackoff   = time.Minute
	defaultMemoryMB     = 256
	defaultLogLevel     = "info"
)

// LoadSettings reads and validates the settings file. The error lists every fault.
func LoadSettings(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{
		Bounds:  Bounds{Drain: defaultBound, Configuration: defaultBound},
		Drain:   Drain{Grace: defaultGrace},
		Budget:  Budget{Ratio: defaultBudgetRatio, Slack: defaultBudgetSlack, Window: defaultBudgetWindow},
		Cold:    Cold{Overage: defaultColdOverage},
		Backoff: Backoff{Max: defaultMaxBackoff},
		Limits:  Limits{Processors: 1, ProcessorShare: 1, MemoryMB: defaultMemoryMB},
		Log:     Log{Level: defaultLogLevel},
	}
	report := strictyaml.Decode(raw, s)
	if !report.Unreadable() {
		s.check(report)
	}
	var faults []error
	for _, p := range report.Problems {
		faults = append(faults, errors.New(p.String()))
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("settings %s: %w", path, errors.Join(faults...))
	}
	return s, nil
}

// check adds every fault of the settings to the report.
func (s *Settings) check(r *strictyaml.Report) {
	address := func(path, v string, need bool) {
		if v == "" && !need {
			return
		}
		if _, err := netip.ParseAddrPort(v); err != nil {
			r.AddProblem(path, "want ip:port, got %q", v)
		}
	}
	address("host", s.Host, true)
	address("listen.callers", s.Listen.Callers, true)
	address("listen.readiness", s.Listen.Readiness, true)
	address("listen.peers", s.Listen.Peers, true)
	address("listen.metrics", s.Listen.Metrics, false)
	address("store.address", s.Store.Address, true)
	for i, seed := range s.Seeds {
		address(fmt.Sprintf("seeds[%d]", i), seed, true)
	}
	if _, err := zapcore.ParseLevel(s.Log.Level); err != nil {
		r.AddProblem("log.level", "want debug, info, warn or error, got %q", s.Log.Level)
	}
	if s.FailureDomain == "" {
		r.AddProblem("failure_domain", "want a name")
	}
	if s.Bounds.Drain <= 0 || s.Bounds.Configuration <= 0 {
		r.AddProblem("bounds", "want times over 0")
	}
	if s.Drain.Grace <= 0 {
		r.AddProblem("drain.grace", "want a time over 0")
	}
	if s.Budget.Ratio < 0 || s.Budget.Slack < 0 || s.Budget.Window <= 0 {
		r.AddProblem("budget", "want a ratio and slack of 0 or more and a window over 0")
	}
	if s.Cold.Overage <= 0 || s.Cold.Slack < 0 {
		r.AddProblem("cold", "want an overage over 0 and a slack of 0 or more")
	}
	if s.Backoff.Max <= 0 {
		r.AddProblem("rest.most", "want a time over 0")
	}
	if s.Limits.Processors < 1 {
		r.AddProblem("limits.processors", "want 1 or more")
	}
	if s.Limits.ProcessorShare <= 0 {
		r.AddProblem("limits.processor_share", "want more than 0")
	}
	if s.Limits.MemoryMB < 1 {
		r.AddProblem("limits.memory_mb", "want 1 or more")
	}
	if s.Limits.Descriptors < 0 {
		r.AddProblem("limits.descriptors", "want 1 or more, or 0 for the limit of the process")
	}
	if s.Limits.Connections < 0 {
		r.AddProblem("limits.connections", "want 1 or more, or 0 for what memory and descriptors allow")
	}
	if s.Limits.WriteTimeout < 0 {
		r.AddProblem("limits.write_timeout", "want a time over 0, or 0 for the default")
	}
}
