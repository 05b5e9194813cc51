// Package bundle holds the versioned configuration that operators review, sign
// and roll out: its types, and how it is read, checked, signed and compared.
//
// A Bundle is immutable once parsed. Any number of goroutines may read one.
package bundle

import "time"

// StageKind says what a stage does and which protocol its upstreams speak.
type StageKind string

// The stage kinds.
const (
	StageEncode   StageKind = "encode"
	StageRetrieve StageKind = "retrieve"
	StageRerank   StageKind = "rerank"
	StageGenerate StageKind = "generate"
	// StageCall is a call to a plain service, such as a signature seal.
	StageCall StageKind = "call"
)

// PoolKind says which protocol the upstreams of a pool speak.
type PoolKind string

// The pool kinds.
const (
	// PoolEngine is a pool of model engines (HTTP chat/completions form).
	PoolEngine PoolKind = "engine"
	// PoolService is a pool of plain HTTP/JSON services.
	PoolService PoolKind = "service"
)

// Policy names the set of decision steps used for a deployment.
type Policy string

// The policies. The two baselines exist to be measured against.
const (
	PolicyAdaptive      Policy = "adaptive"
	PolicyRoundRobin    Policy = "round_robin"
	PolicyLeastRequests Policy = "least_requests"
)

// Bundle is one version of the whole configuration.
type Bundle struct {
	// Version orders bundles; the highest validly signed version wins.
	Version uint64 `yaml:"version" validate:"required"`
	// Deployment names the installation, such as "firma-abierta".
	Deployment string    `yaml:"deployment" validate:"required,name"`
	Objective  Objective `yaml:"objective"`
	Policy     Policy    `yaml:"policy" validate:"omitempty,oneof=adaptive round_robin least_requests"`
	// FailureDomains lists every failure domain that hosts and upstreams name.
	FailureDomains []FailureDomain `yaml:"failure_domains" validate:"required,gte=1,dive"`
	// Hosts lists the entry hosts. A change of this list is a view change.
	Hosts []Host `yaml:"hosts" validate:"required,gte=1,dive"`
	// Views holds the host lists of earlier versions that may still hold
	// claims, newest first. It must name the list that Hosts replaces, and
	// keeps its newest entry for good, since that numbers Hosts.
	Views     []View      `yaml:"views,omitempty" validate:"dive"`
	Claims    ClaimPolicy `yaml:"claims"`
	Retry     RetryPolicy `yaml:"retry"`
	Hedge     HedgePolicy `yaml:"hedge"`
	Pools     []Pool      `yaml:"pools" validate:"required,gte=1,dive"`
	Pipelines []Pipeline  `yaml:"pipelines" validate:"required,gte=1,dive"`
	Customers []Customer  `yaml:"customers" validate:"required,gte=1,dive"`
}

// Objective weighs what the deployment cares about; both weights are >= 0.
type Objective struct {
	Attainment  float64 `yaml:"attainment" validate:"gte=0"`
	CostByStage float64 `yaml:"cost_by_stage" validate:"gte=0"`
}

// FailureDomain is a set of hosts that fail together.
type FailureDomain struct {
	Name   string `yaml:"name" validate:"required,name"`
	Region string `yaml:"region" validate:"required,name"`
}

// Host is one entry host.
type Host struct {
	Name          string `yaml:"name" validate:"required,name"`
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	// PeerAddress is the ip:port where fellow daemons reach the host.
	PeerAddress string `yaml:"peer_address" validate:"required,hostname_port"`
	// EndedAt is set only in Views: the operators' word that the host's process
	// had ended for good by then. It stands for the host's acknowledgement of
	// the lists after it.
	EndedAt time.Time `yaml:"ended_at,omitempty" validate:"omitempty"`
}

// View is a host list that was in force before Hosts.
type View struct {
	// Version numbers the host lists from 1 in the order in which they were in
	// force; it is the epoch of the list and not the version of a bundle.
	Version uint64 `yaml:"version" validate:"required"`
	Hosts   []Host `yaml:"hosts" validate:"required,gte=1,dive"`
}

// ClaimPolicy governs claims on requests that may not be repeated.
type ClaimPolicy struct {
	// GroupSize is the number of holders of a claim; odd. Default 3.
	GroupSize int `yaml:"group_size"`
	// Retention is how long holders remember a key. Older keys are refused.
	Retention time.Duration `yaml:"retention"`
	// MaxClockSkew bounds the difference between two hosts' clocks.
	MaxClockSkew time.Duration `yaml:"max_clock_skew"`
	// MaxKeyAhead bounds how far in the future a caller's key may lie.
	MaxKeyAhead time.Duration `yaml:"max_key_ahead"`
}

// RetryPolicy bounds retries over all requests.
type RetryPolicy struct {
	// BudgetRatio is the share of requests that may be retried, 0 to 1.
	BudgetRatio float64 `yaml:"budget_ratio" validate:"gte=0,lte=1"`
	// MaxAttempts bounds the attempts at one stage, first included.
	MaxAttempts int `yaml:"max_attempts" validate:"gte=0,lte=10"`
}

// HedgePolicy bounds duplicate attempts sent against stragglers.
type HedgePolicy struct {
	// BudgetRatio is the share of stage calls that may be hedged, 0 to 1.
	BudgetRatio float64 `yaml:"budget_ratio" validate:"gte=0,lte=1"`
	// Quantile of the measured latency after which a hedge is sent, 0 to 1.
	Quantile float64 `yaml:"quantile" validate:"gte=0,lt=1"`
}

// Supports says what the upstreams of a pool are able to do.
type UpstreamFeatures struct {
	Priority        bool `yaml:"priority"`
	Cancellation    bool `yaml:"cancellation"`
	IdempotencyKeys bool `yaml:"idempotency_keys"`
	StatusLookup    bool `yaml:"status_lookup"`
}

// Pool is a set of upstreams that serve the same thing.
type Pool struct {
	Name string   `yaml:"name" validate:"required,name"`
	Kind PoolKind `yaml:"kind" validate:"required,oneof=engine service"`
	// Model is the model that an engine pool serves; empty for services.
	Model    string   `yaml:"model,omitempty"`
	Version  string   `yaml:"model_version,omitempty"`
	Adapters []string `yaml:"adapters,omitempty"`
	// Role is the engines' role: "mixed", "prefill" or "decode".
	Role     string           `yaml:"role,omitempty" validate:"omitempty,oneof=mixed prefill decode"`
	Supports UpstreamFeatures `yaml:"supports"`
	// Concurrency is the number of calls one upstream runs well at a time:
	// the start of the adaptive limit.
	Concurrency int `yaml:"concurrency" validate:"gte=1"`
	// MaxConnections bounds one daemon's connections to one upstream.
	MaxConnections int        `yaml:"max_connections" validate:"gte=0"`
	Upstreams      []Upstream `yaml:"upstreams" validate:"required,gte=1,dive"`
}

// Upstream is one replica of a pool.
type Upstream struct {
	Name          string `yaml:"name" validate:"required,name"`
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	// Address is the ip:port of the upstream's HTTP listener.
	Address string `yaml:"address" validate:"required,hostname_port"`
}

// Pipeline is a chain of stages under one deadline.
type Pipeline struct {
	Name string `yaml:"name" validate:"required,name"`
	// Deadline is the longest deadline that a request may ask for.
	Deadline time.Duration `yaml:"deadline" validate:"required,gt=0"`
	Stages   []Stage       `yaml:"stages" validate:"required,gte=1,dive"`
}

// FirstNonRepeatable returns the first stage that may not be repeated.
func (p *Pipeline) FirstNonRepeatable() (s Stage, ok bool) {
	for _, s := range p.Stages {
		if s.NonRepeatable {
			return s, true
		}
	}
	return Stage{}, false
}

// Stage is one step of a pipeline.
type Stage struct {
	Name string    `yaml:"name" validate:"required,name"`
	Kind StageKind `yaml:"kind" validate:"required,oneof=encode retrieve rerank generate call"`
	Pool string    `yaml:"pool" validate:"required"`
	// Path is the URL path of a service call, such as "/v1/seal".
	Path string `yaml:"path,omitempty"`
	// NonRepeatable stages run at most once for an idempotency key.
	NonRepeatable bool `yaml:"non_repeatable,omitempty"`
	// Expected is the usual duration, used until latencies are measured.
	Expected time.Duration `yaml:"expected" validate:"required,gt=0"`
	// MaxTokens bounds a generation.
	MaxTokens int `yaml:"max_tokens,omitempty" validate:"gte=0"`
	// KeepResult stores the stage's result at fellow daemons for the
	// request's deadline, so that a retry elsewhere resumes from it.
	KeepResult bool `yaml:"keep_result,omitempty"`
}

// Customer is one party that calls.
type Customer struct {
	Name string `yaml:"name" validate:"required,name"`
	// KeyHashes are the hex SHA-256 hashes of the customer's API keys.
	KeyHashes []string `yaml:"key_hashes" validate:"required,gte=1,dive,len=64,hexadecimal" secret:"true"`
	// Weight is the customer's fair share relative to the others'.
	Weight float64 `yaml:"weight" validate:"gt=0"`
	// RequestsPerSecond limits the customer over the whole fleet; 0 is none.
	RequestsPerSecond float64  `yaml:"requests_per_second,omitempty" validate:"gte=0"`
	Pipelines         []string `yaml:"pipelines" validate:"required,gte=1"`
}
