// Package service implements a fake of non-engine services such as encoders,
// retrievers, rerankers and signing services.
//
//	POST /v1/...            executes: {"request_id","attempt","customer","stage","input"}
//	GET /v1/status/{key}    the state of an idempotency key: unknown, running or done
//	GET /v1/load            the load report, delayed by Config.LoadLag
//	GET, DELETE /control/ledger, GET, POST /control/faults
//
// A service runs a limited number of calls concurrently and queues a limited number
// of others. If the queue is full, it responds with 429 and X-Not-Executed. The
// service time has a lognormal distribution and is derived from the seed, the
// request id, the stage and the attempt number. An execution that has started runs
// to its end even if the client disconnects, unless Config.Cancellation is set.
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

// Config configures a Service. Zero fields get the defaults.
type Config struct {
	// Name is the name of the replica in the bundle.
	Name string
	// Slots is the maximum number of calls that run concurrently.
	Slots int
	// Queue is the maximum number of queued calls. Default: 4 times Slots.
	Queue int
	// Median is the median service time, Sigma the standard deviation of its
	// logarithm.
	Median time.Duration
	Sigma  float64
	// TimeScale multiplies all service times. Default: 1.
	TimeScale float64
	// LoadLag is the delay of load reports.
	LoadLag time.Duration
	Seed    uint64
	// Deduplicate responds to a repeated idempotency key with the result of its
	// first execution.
	Deduplicate bool
	// Cancellation ends an execution when its client disconnects.
	Cancellation bool
	// NoStatusLookup responds to status lookups with 404.
	NoStatusLookup bool
	// Ledger and Keys may be shared among replicas. Default: new ones.
	Ledger *ledger.Ledger
	Keys   *KeyStore
}

// Request is the body of a call.
type Request struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Customer  string `json:"customer"`
	Stage     string `json:"stage"`
	Input     any    `json:"input"`
}

// Result is the result of a call. It depends only on the request.
type Result struct {
	// RequestID is the id of the request that was executed.
	RequestID string `json:"mark"`
	Stage     string `json:"stage"`
	// Digest is the xxhash of the input encoded as JSON, in hex.
	Digest string `json:"digest"`
	// Input is the unchanged input.
	Input any `json:"input,omitempty"`
}

// ResponseBody is the body of a successful response.
type ResponseBody struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Result    Result `json:"result"`
}

// Service is a fake service replica. It is safe for concurrent use.
type Service struct {
	cfg       Config
	mux       *http.ServeMux
	faults    *standin.Injector
	responder *standin.Responder
	ledger    *ledger.Ledger
	keys      *KeyStore
	slots     *slots
	ctx       context.Context
	cancel    context.CancelFunc
}

// New returns a Service that serves until Close.
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
	s.responder = standin.NewResponder(s.faults)
	s.mux.HandleFunc("POST /v1/", s.call)
	s.mux.HandleFunc("GET /v1/status/{key}", s.status)
	s.mux.HandleFunc("GET /v1/load", s.load)
	s.mux.Handle("/control/ledger", s.ledger.ForUpstream(cfg.Name))
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
		cfg.Keys = NewKeyStore(0)
	}
	return cfg
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close makes running executions fail.
func (s *Service) Close() { s.cancel() }

// Faults returns the fault injector.
func (s *Service) Faults() *standin.Injector { return s.faults }

// Ledger returns the ledger of the executions.
func (s *Service) Ledger() *ledger.Ledger { return s.ledger }
