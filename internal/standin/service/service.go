// Package service stands in for the plain services: encoders, retrievers,
// rerankers, signature seals and the like.
//
//	POST /v1/...            executes: {"request_id","attempt","customer","stage","input"}
//	GET /v1/status/{key}    what became of an idempotency key: unknown, running or done
//	GET /v1/load            the load report, which lags
//	GET, DELETE /control/ledger, GET, POST /control/faults
//
// A service runs a bounded number of calls at a time and queues a bounded
// number more; beyond that it answers 429 with X-Not-Executed. The service time
// has a lognormal distribution, drawn from the seed, the request's id and its
// attempt. An execution that was begun is seen through when its caller goes
// away, unless Config.Cancellation is set.
package service

import (
	"context"
	"net/http"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/internal/standin/ledger"
)

// Defaults.
const (
	DefaultSlots  = 8
	DefaultMedian = 20 * time.Millisecond
)

// Config configures a Service; zero fields take the defaults.
type Config struct {
	// Name of the replica, as in the bundle.
	Name string
	// Slots is the number of calls that run at a time.
	Slots int
	// Queue is the number of calls that may wait; default 4 times Slots.
	Queue int
	// Median of the service time, and Sigma of its logarithm.
	Median time.Duration
	Sigma  float64
	// TimeScale multiplies all times; default 1.
	TimeScale float64
	// LoadLag is how far load reports lag.
	LoadLag time.Duration
	Seed    uint64
	// Deduplicate answers a repeated idempotency key from its execution.
	Deduplicate bool
	// Cancellation ends an execution when its caller goes away.
	Cancellation bool
	// NoStatusLookup answers 404 to status look-ups.
	NoStatusLookup bool
	// Ledger and Keys may be shared among replicas; default own ones.
	Ledger *ledger.Ledger
	Keys   *Keys
}

// Request is the body of a call.
type Request struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Customer  string `json:"customer"`
	Stage     string `json:"stage"`
	Input     any    `json:"input"`
}

// Result is what a call yields. It is the same for the same request.
type Result struct {
	// Mark is the id of the request that this was executed for.
	Mark  string `json:"mark"`
	Stage string `json:"stage"`
	// Digest is the xxhash of the input's JSON, in hex.
	Digest string `json:"digest"`
	// Input is the input, unchanged.
	Input any `json:"input,omitempty"`
}

// Answer is the body of an answer.
type Answer struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Result    Result `json:"result"`
}

// Service is the stand-in for one replica. It is safe for concurrent use.
type Service struct {
	cfg      Config
	mux      *http.ServeMux
	faults   *standin.Injector
	answerer *standin.Answerer
	ledger   *ledger.Ledger
	keys     *Keys
	slots    *slots
	ctx      context.Context
	cancel   context.CancelFunc
}

// New returns a Service.
func New(cfg Config) *Service {
	cfg = withDefaults(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		cfg:    cfg,
		mux:    http.NewServeMux(),
		ledger: cfg.Ledger,
		keys:   cfg.Keys,
		slots:  newSlots(cfg.Slots, cfg.Queue, cfg.LoadLag),
		ctx:    ctx,
		cancel: cancel,
	}
	s.faults = standin.NewInjector(cfg.Seed, func(f standin.Faults) { s.slots.setLeaving(f.Leaving) })
	s.answerer = standin.NewAnswerer(s.faults)
	s.mux.HandleFunc("POST /v1/", s.call)
	s.mux.HandleFunc("GET /v1/status/{key}", s.status)
	s.mux.HandleFunc("GET /v1/load", s.load)
	s.mux.Handle("/control/ledger", s.ledger.Of(cfg.Name))
	s.mux.Handle("/control/faults", s.faults)
	return s
}

func withDefaults(cfg Config) Config {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.Queue <= 0 {
		cfg.Queue = 4 * cfg.Slots
	}
	if cfg.Median <= 0 {
		cfg.Median = DefaultMedian
	}
	if cfg.TimeScale <= 0 {
		cfg.TimeScale = 1
	}
	if cfg.Ledger == nil {
		cfg.Ledger = ledger.New(0)
	}
	if cfg.Keys == nil {
		cfg.Keys = NewKeys(0)
	}
	return cfg
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close ends running executions.
func (s *Service) Close() { s.cancel() }

// Faults returns the injected faults.
func (s *Service) Faults() *standin.Injector { return s.faults }

// Ledger returns the ledger.
func (s *Service) Ledger() *ledger.Ledger { return s.ledger }
