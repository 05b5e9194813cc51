package replay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/wheatseam/wheatseam/replay/trace"
)

// Defaults of a Config.
const (
	DefaultGrace       = 2 * time.Second
	DefaultMaxInFlight = 20_000
	DefaultMaxDuration = 10 * time.Minute
)

// Config says whom a trace is replayed against, and how.
type Config struct {
	// Hosts are the callers' addresses of the entry hosts, ip:port.
	Hosts []string
	// Keys are the customers' API keys by customer.
	Keys map[string]string
	// StandIns are the addresses of the stand-ins by pool, for faults.
	StandIns map[string][]string
	// Seed of the balancer.
	Seed uint64
	// Speed divides every offset: 2 sends at twice the rate of the trace.
	// Deadlines stay as they are. 0 stands for 1.
	Speed float64
	// Grace is how long after its deadline a request is still listened to.
	GracePeriod time.Duration
	// MaxInFlight and MaxDuration bound the run; what lies beyond them is not
	// sent and counts as NotSent.
	MaxInFlight int
	MaxDuration time.Duration
	// Client sends; nil stands for NewClient().
	Client *http.Client
}

// FaultReport is one fault as it was injected.
type FaultReport struct {
	Fault trace.Fault
	// Err joins what went wrong; nil when every stand-in took the fault.
	Err error
}

// Result is what a run yielded.
type Result struct {
	Trace   trace.Header
	Started time.Time
	Elapsed time.Duration
	// Calls stand in the order of their offsets.
	Calls  []*Call
	Faults []FaultReport
}

// runner is one run.
type runner struct {
	cfg      Config
	trace    *trace.Trace
	prefixes map[string]string
	random   *rand.Rand
	slots    chan struct{}
	started  time.Time
	pending  sync.WaitGroup

	mu    sync.Mutex // guards what is below, and Outcome of all calls
	roots map[string]*root
}

// root is the state of a request over all of its tries.
type root struct {
	key, mark, host string
	answered        bool
}

// Run replays t. It returns when every request has ended, at the latest when
// MaxDuration, the longest deadline and the grace have passed, or ctx ends.
func Run(ctx context.Context, cfg Config, t *trace.Trace) (*Result, error) {
	cfg = withDefaults(cfg)
	if err := check(cfg, t); err != nil {
		return nil, err
	}
	r := &runner{
		cfg:      cfg,
		trace:    t,
		prefixes: prefixTexts(t),
		random:   rand.New(rand.NewPCG(cfg.Seed, t.Header.Seed)),
		slots:    make(chan struct{}, cfg.MaxInFlight),
		roots:    map[string]*root{},
		started:  time.Now(),
	}
	result := &Result{Trace: t.Header, Started: r.started}
	faults := make(chan []FaultReport, 1)
	go func() { faults <- r.injectFaults(ctx) }()
	result.Calls = r.sendAll(ctx)
	r.pending.Wait()
	result.Elapsed = time.Since(r.started)
	result.Faults = <-faults
	return result, nil
}

func withDefaults(cfg Config) Config {
	if cfg.Speed == 0 {
		cfg.Speed = 1
	}
	if cfg.GracePeriod == 0 {
		cfg.GracePeriod = DefaultGrace
	}
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	if cfg.MaxDuration == 0 {
		cfg.MaxDuration = DefaultMaxDuration
	}
	if cfg.Client == nil {
		cfg.Client = NewClient()
	}
	return cfg
}

func check(cfg Config, t *trace.Trace) error {
	var errs []error
	if len(cfg.Hosts) == 0 {
		errs = append(errs, errors.New("no hosts"))
	}
	if cfg.Speed < 0 {
		errs = append(errs, fmt.Errorf("speed %g is negative", cfg.Speed))
	}
	missing := map[string]bool{}
	for _, r := range t.Requests {
		if _, ok := cfg.Keys[r.Customer]; !ok && !missing[r.Customer] {
			missing[r.Customer] = true
			errs = append(errs, fmt.Errorf("no API key for customer %q", r.Customer))
		}
	}
	for _, f := range t.Faults {
		if _, err := targets(cfg.StandIns, f); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func prefixTexts(t *trace.Trace) map[string]string {
	out := make(map[string]string, len(t.Prefixes))
	for _, p := range t.Prefixes {
		out[p.Name] = strings.Repeat(p.Text, max(p.Repeat, 1))
	}
	return out
}

// offset returns the offset at the speed of the run.
func (r *runner) offset(d time.Duration) time.Duration {
	return time.Duration(float64(d) / r.cfg.Speed)
}

// waitUntil waits until the offset; false when ctx ended before.
func (r *runner) waitUntil(ctx context.Context, offset time.Duration) bool {
	timer := time.NewTimer(time.Until(r.started.Add(offset)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendAll starts every request at its offset. The calls are complete only
// after all pending work has ended.
func (r *runner) sendAll(ctx context.Context) []*Call {
	calls := make([]*Call, 0, len(r.trace.Requests))
	for _, q := range r.trace.Requests {
		c := &Call{Request: q, Root: q.ID}
		if q.RetryOf != "" {
			c.Root = q.RetryOf
		}
		calls = append(calls, c)
		offset := r.offset(q.At())
		if offset > r.cfg.MaxDuration || !r.waitUntil(ctx, offset) {
			c.Outcome, c.Problem = NotSent, "the run ended before"
			continue
		}
		r.start(ctx, c, r.started.Add(offset))
	}
	return calls
}

// start sends one request in a goroutine of its own, if its bounds allow.
func (r *runner) start(ctx context.Context, c *Call, due time.Time) {
	if !r.prepare(c) {
		c.Outcome = Skipped
		return
	}
	select {
	case r.slots <- struct{}{}:
	default:
		c.Outcome, c.Problem = NotSent, "too many requests in flight"
		return
	}
	q := c.Request
	b := body{
		Input:      input{Text: c.Mark + " " + strings.Repeat(q.Prompt, max(q.PromptRepeat, 1))},
		DeadlineMS: q.DeadlineMS,
		Stream:     q.Stream,
		Prefix:     r.prefixes[q.Prefix],
	}
	r.pending.Go(func() {
		defer func() { <-r.slots }()
		bounded, cancel := context.WithDeadline(ctx, due.Add(q.Deadline()+r.cfg.GracePeriod))
		defer cancel()
		c.SentAt = time.Now()
		c.Lag = c.SentAt.Sub(due)
		exchange(bounded, r.cfg.Client, r.cfg.Keys[q.Customer], b, due, c)
		r.finish(c)
	})
}

// prepare chooses host, key and mark; false when the retry is not needed.
func (r *runner) prepare(c *Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, ok := r.roots[c.Root]
	if !ok {
		first = &root{mark: NewMark(), key: makeKey(c.Request.Key), host: r.pickHost("")}
		r.roots[c.Root] = first
		c.Host = first.host
	} else {
		if first.answered && c.Request.When != trace.RetryAlways {
			return false
		}
		c.Host = r.pickHost(first.host)
	}
	c.Key, c.Mark = first.key, first.mark
	return true
}

func makeKey(key string) string {
	if key != trace.AutoKey {
		return key
	}
	return uuid.Must(uuid.NewV7()).String()
}

// pickHost draws a host other than not, if there is one.
func (r *runner) pickHost(not string) string {
	hosts := slices.DeleteFunc(slices.Clone(r.cfg.Hosts), func(h string) bool { return h == not })
	if len(hosts) == 0 {
		hosts = r.cfg.Hosts
	}
	return hosts[r.random.IntN(len(hosts))]
}

func (r *runner) finish(c *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Outcome == Answered {
		r.roots[c.Root].answered = true
	}
}
