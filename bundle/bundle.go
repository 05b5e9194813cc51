// Package bundle defines the versioned configuration that operators review, sign
// and roll out. It parses, validates, signs and compares bundles, and splits
// them into parts for transfer.
//
// A Bundle is immutable once parsed and is safe for concurrent reads.
package bundle

import "time"

// StageKind is the task of a stage; it determines the protocol used to call its
// upstreams.
type StageKind string

// The stage kinds.
const (
	StageEncode   StageKind = "encode"
	StageRetrieve StageKind = "retrieve"
	StageRerank   StageKind = "rerank"
	StageGenerate StageKind = "generate"
	// StageCall is a call to a plain HTTP/JSON service, such as one that seals
	// a document with a signature.
	StageCall StageKind = "call"
)

// PoolKind is the protocol of the upstreams of a pool.
type PoolKind string

// The pool kinds.
const (
	// PoolEngine is a pool of model engines with an HTTP chat completions API.
	PoolEngine PoolKind = "engine"
	// PoolService is a pool of plain HTTP/JSON services.
	PoolService PoolKind = "service"
)

// Policy is the scheduling and routing policy of a deployment.
type Policy string

// The policies. PolicyRoundRobin and PolicyLeastRequests are baselines with which
// PolicyAdaptive is compared.
const (
	PolicyAdaptive      Policy = "adaptive"
	PolicyRoundRobin    Policy = "round_robin"
	PolicyLeastRequests Policy = "least_requests"
)

// Bundle is one version of the configuration shared by all hosts.
type Bundle struct {
	// Version orders bundles: hosts use the highest version that has a valid
	// signature.
	Version uint64 `yaml:"version" validate:"required"`
	// Deployment names the installation, such as "firma-abierta".
	Deployment string    `yaml:"deployment" validate:"required,name"`
	Objective  Objective `yaml:"objective"`
	Policy     Policy    `yaml:"policy" validate:"omitempty,oneof=adaptive round_robin least_requests"`
	// FailureDomains lists every failure domain that hosts and upstreams refer
	// to.
	FailureDomains []FailureDomain `yaml:"failure_domains" validate:"required,gte=1,dive"`
	// Hosts is the active list of entry hosts. Changing it is a view change.
	Hosts []Host `yaml:"hosts" validate:"required,gte=1,dive"`
	// Views holds the previous host lists whose members may still hold claims,
	// newest first. It must include the list that Hosts replaces. Its newest
	// entry is never removed, because the epoch of Hosts is derived from it.
	Views     []View      `yaml:"views,omitempty" validate:"dive"`
	Claims    ClaimPolicy `yaml:"claims"`
	Retry     RetryPolicy `yaml:"retry"`
	Hedge     HedgePolicy `yaml:"hedge"`
	Pools     []Pool      `yaml:"pools" validate:"required,gte=1,dive"`
	Pipelines []Pipeline  `yaml:"pipelines" validate:"required,gte=1,dive"`
	Customers []Customer  `yaml:"customers" validate:"required,gte=1,dive"`
}

// Objective holds the weights of the optimization goals; each is >= 0, and at
// least one is above 0.
type Objective struct {
	Attainment  float64 `yaml:"attainment" validate:"gte=0"`
	CostByStage float64 `yaml:"cost_by_stage" validate:"gte=0"`
}

// FailureDomain is a set of hosts and upstreams that may fail together.
type FailureDomain struct {
	Name   string `yaml:"name" validate:"required,name"`
	Region string `yaml:"region" validate:"required,name"`
}

// Host is one entry host.
type Host struct {
	Name          string `yaml:"name" validate:"required,name"`
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	// PeerAddress is the ip:port at which the daemons of other hosts connect to
	// this host.
	PeerAddress string `yaml:"peer_address" validate:"required,hostname_port"`
	// EndedAt is allowed only in Views. Operators set it to state that the
	// host's process had permanently stopped by this time. It replaces the
	// host's acknowledgement of the later host lists.
	EndedAt time.Time `yaml:"ended_at,omitempty" validate:"omitempty"`
}

// View is a host list that was active before Hosts.
type View struct {
	// Version is the epoch of the host list: lists are numbered from 1 in the
	// order in which they became active. It is not a bundle version.
	Version uint64 `yaml:"version" validate:"required"`
	Hosts   []Host `yaml:"hosts" validate:"required,gte=1,dive"`
}

// ClaimPolicy configures the claims that keep non-repeatable requests from
// running more than once.
type ClaimPolicy struct {
	// GroupSize is the number of hosts that hold a claim. It is odd. Default 3.
	GroupSize int `yaml:"group_size"`
	// Retention is how long holders store an idempotency key. Requests with
	// older keys are rejected.
	Retention time.Duration `yaml:"retention"`
	// MaxClockSkew is the largest allowed difference between the clocks of two
	// hosts.
	MaxClockSkew time.Duration `yaml:"max_clock_skew"`
	// MaxKeyAhead is how far in the future the timestamp of a caller's
	// idempotency key may be.
	MaxKeyAhead time.Duration `yaml:"max_key_ahead"`
}

// RetryPolicy limits the retries of all requests.
type RetryPolicy struct {
	// BudgetRatio is the fraction of requests that may be retried, 0 to 1.
	BudgetRatio float64 `yaml:"budget_ratio" validate:"gte=0,lte=1"`
	// MaxAttempts is the maximum number of attempts per stage, including the
	// first.
	MaxAttempts int `yaml:"max_attempts" validate:"gte=0,lte=10"`
}

// HedgePolicy limits hedged attempts: duplicates sent when the first attempt is
// slow to respond.
type HedgePolicy struct {
	// BudgetRatio is the fraction of stage calls that may be hedged, 0 to 1.
	BudgetRatio float64 `yaml:"budget_ratio" validate:"gte=0,lte=1"`
	// Quantile is the quantile of the measured latency, 0 to 1, after which a
	// hedge is sent.
	Quantile float64 `yaml:"quantile" validate:"gte=0,lt=1"`
}

// UpstreamFeatures lists the optional features that the upstreams of a pool support.
type UpstreamFeatures struct {
	Priority        bool `yaml:"priority"`
	Cancellation    bool `yaml:"cancellation"`
	IdempotencyKeys bool `yaml:"idempotency_keys"`
	StatusLookup    bool `yaml:"status_lookup"`
}

// Pool is a set of interchangeable upstreams.
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
	// Concurrency is the initial value of the adaptive concurrency limit of
	// one upstream: the number of calls that it runs well at a time.
	Concurrency int `yaml:"concurrency" validate:"gte=1"`
	// MaxConnections is the maximum number of connections from one daemon to
	// one upstream.
	MaxConnections int        `yaml:"max_connections" validate:"gte=0"`
	Upstreams      []Upstream `yaml:"upstreams" validate:"required,gte=1,dive"`
}

// Upstream is one replica of a pool.
type Upstream struct {
	Name          string `yaml:"name" validate:"required,name"`
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	// Address is the ip:port of the upstream's HTTP listener.
	Address string `yaml:"address" validate:"required,hostname_port"`
	// Version is the version of the upstream's software, as the upstream itself reports
	// it; "" if it does not.
	Version string `yaml:"-"`
}

// Pipeline is a sequence of stages that share one deadline.
type Pipeline struct {
	Name string `yaml:"name" validate:"required,name"`
	// Deadline is the longest deadline that a request may set.
	Deadline time.Duration `yaml:"deadline" validate:"required,gt=0"`
	Stages   []Stage       `yaml:"stages" validate:"required,gte=1,dive"`
}

// FirstNonRepeatable returns the first non-repeatable stage, or ok false if the
// pipeline has none.
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
	// NonRepeatable stages run at most once per idempotency key.
	NonRepeatable bool `yaml:"non_repeatable,omitempty"`
	// Expected is the expected duration, used until latencies have been
	// measured.
	Expected time.Duration `yaml:"expected" validate:"required,gt=0"`
	// MaxTokens is the maximum number of tokens that a generate stage may
	// produce.
	MaxTokens int `yaml:"max_tokens,omitempty" validate:"gte=0"`
	// KeepResult stores the stage's result at peer daemons until the request's
	// deadline, so that a retry at another host resumes from it.
	KeepResult bool `yaml:"keep_result,omitempty"`
}

// Customer is an organization whose callers send requests.
type Customer struct {
	Name string `yaml:"name" validate:"required,name"`
	// KeyHashes are the hex SHA-256 hashes of the customer's API keys.
	KeyHashes []string `yaml:"key_hashes" validate:"required,gte=1,dive,len=64,hexadecimal" secret:"true"`
	// Weight is the customer's fair-sharing weight relative to other customers.
	Weight float64 `yaml:"weight" validate:"gt=0"`
	// RequestsPerSecond is the customer's rate limit across all hosts; 0 means
	// no limit.
	RequestsPerSecond float64  `yaml:"requests_per_second,omitempty" validate:"gte=0"`
	Pipelines         []string `yaml:"pipelines" validate:"required,gte=1"`
}
