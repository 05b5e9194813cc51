// Package engine stands in for a model engine that batches continuously.
//
//	POST /v1/chat/completions   answers whole or as server-sent events
//	GET /v1/load                the load report, which lags
//	GET /v1/cache-events?after=N  prefix cache events, late and with gaps
//	GET, DELETE /control/ledger, GET, POST /control/faults
//
// Time advances in steps. A step admits queued sequences into free slots,
// prefills a bounded number of prompt tokens and yields one token for each
// sequence that is past its prefill; it lasts
//
//	StepBase + StepPerSequence*decoding + PrefillPerToken*prefilled
//
// Prompt blocks are kept in an LRU cache in the memory that running sequences
// leave; cached blocks need no prefill. The number of tokens of an answer has a
// lognormal distribution, drawn from the seed and the prompt, and is bounded by
// max_tokens. The text of an answer depends only on the request and begins with
// the request's id in square brackets. A cancelled sequence frees its slot at
// once. Beyond the bounded queue the answer is 429 with X-Not-Executed.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/internal/standin/ledger"
)

// Config configures an Engine; zero fields take the defaults of Defaults.
type Config struct {
	// Name of the replica, as in the bundle.
	Name string
	// Model and Version are loaded at the start; an empty Model serves any.
	Model   string
	Version string
	Role    string
	// Adapters are loaded at the start.
	Adapters []string
	// Slots is the number of sequences in a batch.
	Slots int
	// Queue is the number of sequences that may wait.
	Queue int
	// StepBase is the time of a step, to which each decoding sequence adds
	// StepPerSequence and each prefilled token PrefillPerToken.
	StepBase        time.Duration
	StepPerSequence time.Duration
	PrefillPerToken time.Duration
	// PrefillChunk bounds the prompt tokens prefilled in one step.
	PrefillChunk int
	// KVBlocks is the memory in blocks of 16 tokens, for running sequences
	// and cached prefixes together.
	KVBlocks int
	// OutputMedian is the median number of tokens of an answer, and
	// OutputSigma the standard deviation of its logarithm.
	OutputMedian int
	OutputSigma  float64
	// Priority honours the priorities of requests in the queue; higher values
	// go first. Otherwise the queue is first in, first out.
	Priority bool
	// NoCancellation runs sequences to their end when their caller is gone.
	NoCancellation bool
	// LoadLag and EventLag are how far load reports and cache events lag;
	// EventGap is the share of cache events that are never published.
	LoadLag        time.Duration
	EventLag       time.Duration
	EventLossRatio float64
	// TimeScale multiplies all times but the lags; default 1.
	TimeScale float64
	Seed      uint64
	// Ledger may be shared among replicas; default an own one.
	Ledger *ledger.Ledger
}

// Defaults are the values of zero fields of a Config.
var Defaults = Config{
	Role:            "mixed",
	Slots:           16,
	Queue:           64,
	StepBase:        10 * time.Millisecond,
	StepPerSequence: 500 * time.Microsecond,
	PrefillPerToken: 20 * time.Microsecond,
	PrefillChunk:    512,
	KVBlocks:        8192,
	OutputMedian:    48,
	TimeScale:       1,
}

func withDefaults(c Config) Config {
	orDefault(&c.Role, Defaults.Role)
	orDefault(&c.Slots, Defaults.Slots)
	orDefault(&c.Queue, Defaults.Queue)
	orDefault(&c.StepBase, Defaults.StepBase)
	orDefault(&c.StepPerSequence, Defaults.StepPerSequence)
	orDefault(&c.PrefillPerToken, Defaults.PrefillPerToken)
	orDefault(&c.PrefillChunk, Defaults.PrefillChunk)
	orDefault(&c.KVBlocks, Defaults.KVBlocks)
	orDefault(&c.OutputMedian, Defaults.OutputMedian)
	orDefault(&c.TimeScale, Defaults.TimeScale)
	if c.Ledger == nil {
		c.Ledger = ledger.New(0)
	}
	return c
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine is the stand-in for one replica. It is safe for concurrent use.
type Engine struct {
	cfg      Config
	mux      *http.ServeMux
	faults   *standin.Injector
	answerer *standin.Answerer
	ledger   *ledger.Ledger
	report   *standin.LoadReporter
	events   *eventLog
	wake     chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	stopped  chan struct{}

	mu      sync.Mutex
	batch   *batch
	leaving bool
}

// New returns an Engine, whose one goroutine runs until Close.
func New(cfg Config) *Engine {
	cfg = withDefaults(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		cfg:     cfg,
		mux:     http.NewServeMux(),
		ledger:  cfg.Ledger,
		events:  newEventLog(cfg.EventLag, cfg.EventLossRatio, cfg.Seed),
		report:  standin.NewLoadReporter(cfg.LoadLag, standin.Load{Slots: cfg.Slots, KVTotal: cfg.KVBlocks}),
		wake:    make(chan struct{}, 1),
		ctx:     ctx,
		cancel:  cancel,
		stopped: make(chan struct{}),
	}
	e.batch = newBatch(cfg, newPrefixCache(cfg.KVBlocks, e.events.add))
	e.faults = standin.NewInjector(cfg.Seed, e.faultsChanged)
	e.answerer = standin.NewAnswerer(e.faults)
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/cache-events", e.cacheEvents)
	e.mux.Handle("/control/ledger", e.ledger.Of(cfg.Name))
	e.mux.Handle("/control/faults", e.faults)
	go e.run()
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Close ends running sequences and waits for the engine's goroutines.
func (e *Engine) Close() {
	e.cancel()
	<-e.stopped
}

// Faults returns the injected faults.
func (e *Engine) Faults() *standin.Injector { return e.faults }

// Ledger returns the ledger.
func (e *Engine) Ledger() *ledger.Ledger { return e.ledger }

func (e *Engine) faultsChanged(f standin.Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = f.Leaving
	e.updateLoad(time.Now())
}

// updateLoad tells the reporter the load; the caller holds mu.
func (e *Engine) updateLoad(now time.Time) {
	l := e.batch.load()
	l.Leaving = e.leaving
	e.report.Update(now, l)
}

// submit queues s, or returns false when the queue is full.
func (e *Engine) submit(s *sequence) bool {
	e.mu.Lock()
	ok := e.batch.submit(s)
	e.updateLoad(time.Now())
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return ok
}

// remove takes s out of the batch or the queue. It returns the engine time
// spent on it and the tokens it yielded.
func (e *Engine) remove(s *sequence) (time.Duration, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.remove(s)
	e.updateLoad(time.Now())
	return s.cost, s.produced
}

// progress returns the tokens that s yielded so far, and whether it is done.
func (e *Engine) progress(s *sequence) (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.produced, s.finished()
}
