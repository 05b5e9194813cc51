// Package engine implements a fake model engine with continuous batching.
//
//	POST /v1/chat/completions   responds with JSON or server-sent events
//	GET /v1/load                the load report, delayed by Config.LoadLag
//	GET /v1/cache-events?after=N  prefix cache events, delayed and with gaps
//	GET, DELETE /control/ledger, GET, POST /control/faults
//
// The engine runs in steps. A step admits queued sequences into free slots,
// prefills a bounded number of prompt tokens and generates one token for each
// sequence that has completed its prefill. Its duration is
//
//	StepBase + StepPerSequence*decoding + PrefillPerToken*prefilled
//
// Prompt blocks are kept in an LRU cache that uses the memory not reserved by
// running sequences. Cached blocks need no prefill. The number of tokens of a
// response has a lognormal distribution, is derived from the seed and the prompt,
// and is limited by max_tokens. The text of a response depends only on the request
// and starts with the request id in square brackets. A cancelled sequence frees its
// slot immediately. If the queue is full, the response is 429 with X-Not-Executed.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/internal/standin/ledger"
)

// Config configures an Engine. Zero fields get the values of Defaults.
type Config struct {
	// Name is the name of the replica in the bundle.
	Name string
	// Model and Version are the loaded model and its version. An engine with an
	// empty Model serves requests for any model.
	Model   string
	Version string
	Role    string
	// Adapters are the loaded adapters.
	Adapters []string
	// Slots is the maximum number of sequences in a batch.
	Slots int
	// Queue is the maximum number of queued sequences.
	Queue int
	// StepBase is the base duration of a step. Each decoding sequence adds
	// StepPerSequence and each prefilled token PrefillPerToken.
	StepBase        time.Duration
	StepPerSequence time.Duration
	PrefillPerToken time.Duration
	// PrefillChunk is the maximum number of prompt tokens prefilled in a step.
	PrefillChunk int
	// KVBlocks is the memory for running sequences and cached prefixes, in
	// blocks of 16 tokens.
	KVBlocks int
	// OutputMedian is the median number of tokens of a response, OutputSigma the
	// standard deviation of its logarithm.
	OutputMedian int
	OutputSigma  float64
	// Priority orders the queue by request priority, higher values first.
	// Otherwise the queue is first in, first out.
	Priority bool
	// NoCancellation runs sequences to their end even if the client has
	// disconnected.
	NoCancellation bool
	// LoadLag and EventLag are the delays of load reports and cache events.
	// EventLossRatio is the fraction of cache events that are never published.
	LoadLag        time.Duration
	EventLag       time.Duration
	EventLossRatio float64
	// TimeScale multiplies all durations except the lags; default 1.
	TimeScale float64
	Seed      uint64
	// Ledger may be shared among replicas. Default: a new one.
	Ledger *ledger.Ledger
}

// Defaults has the values used for zero fields of a Config.
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

// Engine is a fake engine replica. It is safe for concurrent use.
type Engine struct {
	cfg          Config
	mux          *http.ServeMux
	faults       *standin.Injector
	responder    *standin.Responder
	ledger       *ledger.Ledger
	loadReporter *standin.LoadReporter
	events       *eventLog
	wake         chan struct{}
	ctx          context.Context
	cancel       context.CancelFunc
	stopped      chan struct{}

	mu      sync.Mutex
	batch   *batch
	leaving bool
}

// New returns an Engine and starts its goroutine, which runs until Close.
func New(cfg Config) *Engine {
	cfg = withDefaults(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		cfg:          cfg,
		mux:          http.NewServeMux(),
		ledger:       cfg.Ledger,
		events:       newEventLog(cfg.EventLag, cfg.EventLossRatio, cfg.Seed),
		loadReporter: standin.NewLoadReporter(cfg.LoadLag, standin.Load{Slots: cfg.Slots, KVTotal: cfg.KVBlocks}),
		wake:         make(chan struct{}, 1),
		ctx:          ctx,
		cancel:       cancel,
		stopped:      make(chan struct{}),
	}
	e.batch = newBatch(cfg, newPrefixCache(cfg.KVBlocks, e.events.add))
	e.faults = standin.NewInjector(cfg.Seed, e.onFaultsChanged)
	e.responder = standin.NewResponder(e.faults)
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/cache-events", e.cacheEvents)
	e.mux.Handle("/control/ledger", e.ledger.ForUpstream(cfg.Name))
	e.mux.Handle("/control/faults", e.faults)
	go e.run()
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Close cancels running sequences and waits for the engine's goroutine.
func (e *Engine) Close() {
	e.cancel()
	<-e.stopped
}

// Faults returns the fault injector.
func (e *Engine) Faults() *standin.Injector { return e.faults }

// Ledger returns the ledger of the executions.
func (e *Engine) Ledger() *ledger.Ledger { return e.ledger }

func (e *Engine) onFaultsChanged(f standin.Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = f.Leaving
	e.updateLoad(time.Now())
}

// updateLoad records the current load for load reports. The caller holds mu.
func (e *Engine) updateLoad(now time.Time) {
	l := e.batch.load()
	l.Leaving = e.leaving
	e.loadReporter.Update(now, l)
}

// submit adds s to the queue. It returns false if the queue is full.
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

// remove removes s from the batch or the queue. It returns the engine time spent
// on s and the number of tokens generated.
func (e *Engine) remove(s *sequence) (time.Duration, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.remove(s)
	e.updateLoad(time.Now())
	return s.engineTime, s.generated
}

// progress returns the number of tokens generated for s and whether s is finished.
func (e *Engine) progress(s *sequence) (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.generated, s.finished()
}
