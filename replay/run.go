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

// Default values of Config.
const (
	DefaultGracePeriod = 2 * time.Second
	DefaultMaxInFlight = 20_000
	DefaultMaxDuration = 10 * time.Minute
)

// Config configures a run.
type Config struct {
	// Hosts are the addresses, as ip:port, on which the entry hosts serve callers.
	Hosts []string
	// Keys maps customers to their API keys.
	Keys map[string]string
	// StandIns maps pools to the control addresses of their stand-ins, to which
	// faults are posted.
	StandIns map[string][]string
	// Seed of the random choice of hosts.
	Seed uint64
	// Speed divides every offset: 2 sends at twice the rate of the trace.
	// Deadlines are not scaled. 0 means 1.
	Speed float64
	// GracePeriod is how long a call waits for a response after its deadline.
	GracePeriod time.Duration
	// MaxInFlight and MaxDuration limit the run; requests beyond these limits
	// are not sent and count as NotSent.
	MaxInFlight int
	MaxDuration time.Duration
	// Client sends the requests; nil means NewClient().
	Client *http.Client
}

// FaultReport is the result of injecting one fault.
type FaultReport struct {
	Fault trace.Fault
	// Err joins the errors of all stand-ins, or is the reason why the fault was not
	// injected; nil if every stand-in accepted it.
	Err error
}

// Result is the result of a run.
type Result struct {
	Trace   trace.Header
	Started time.Time
	Elapsed time.Duration
	// Calls are in the order of their offsets.
	Calls  []*Call
	Faults []FaultReport
}

// runner holds the state of one run.
type runner struct {
	cfg         Config
	trace       *trace.Trace
	prefixTexts map[string]string
	rng         *rand.Rand
	inFlight    chan struct{}
	started     time.Time
	pending     sync.WaitGroup

	mu       sync.Mutex // guards requests
	requests map[string]*requestState
}

// requestState is the state that all tries of a request share.
type requestState struct {
	key, correlationToken, firstHost string
	answered                         bool
}

// Run replays t. It returns when every call has ended: at the latest after the sum of
// MaxDuration, the longest deadline and the grace period, or when ctx is done. It
// fails if cfg has no hosts, a negative speed, no API key for a customer of the trace
// or no stand-in for one of its faults.
func Run(ctx context.Context, cfg Config, t *trace.Trace) (*Result, error) {
	cfg = withDefaults(cfg)
	if err := validate(cfg, t); err != nil {
		return nil, err
	}
	r := &runner{
		cfg:         cfg,
		trace:       t,
		prefixTexts: expandPrefixes(t),
		rng:         rand.New(rand.NewPCG(cfg.Seed, t.Header.Seed)),
		inFlight:    make(chan struct{}, cfg.MaxInFlight),
		requests:    map[string]*requestState{},
		started:     time.Now(),
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
		cfg.GracePeriod = DefaultGracePeriod
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

func validate(cfg Config, t *trace.Trace) error {
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
		if _, err := faultTargets(cfg.StandIns, f); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func expandPrefixes(t *trace.Trace) map[string]string {
	out := make(map[string]string, len(t.Prefixes))
	for _, p := range t.Prefixes {
		out[p.Name] = strings.Repeat(p.Text, max(p.Repeat, 1))
	}
	return out
}

// scaledOffset converts an offset of the trace to the speed of the run.
func (r *runner) scaledOffset(d time.Duration) time.Duration {
	return time.Duration(float64(d) / r.cfg.Speed)
}

// waitUntil waits until the offset and returns true, or returns false as soon as ctx is
// done.
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

// sendAll starts every call at its offset. The returned calls must not be read until
// r.pending is done, because they are filled in concurrently.
func (r *runner) sendAll(ctx context.Context) []*Call {
	calls := make([]*Call, 0, len(r.trace.Requests))
	for _, q := range r.trace.Requests {
		c := &Call{Request: q, FirstTryID: q.ID}
		if q.RetryOf != "" {
			c.FirstTryID = q.RetryOf
		}
		calls = append(calls, c)
		offset := r.scaledOffset(q.At())
		if offset > r.cfg.MaxDuration || !r.waitUntil(ctx, offset) {
			c.Outcome, c.Problem = NotSent, "the run ended before the request was due"
			continue
		}
		r.startCall(ctx, c, r.started.Add(offset))
	}
	return calls
}

// startCall sends one request in a new goroutine, unless it is a retry that is not
// needed or too many requests are in flight.
func (r *runner) startCall(ctx context.Context, c *Call, due time.Time) {
	if !r.prepareCall(c) {
		c.Outcome = Skipped
		return
	}
	select {
	case r.inFlight <- struct{}{}:
	default:
		c.Outcome, c.Problem = NotSent, "too many requests in flight"
		return
	}
	q := c.Request
	body := requestBody{
		Input:      requestInput{Text: c.CorrelationToken + " " + strings.Repeat(q.Prompt, max(q.PromptRepeat, 1))},
		DeadlineMS: q.DeadlineMS,
		Stream:     q.Stream,
		Prefix:     r.prefixTexts[q.Prefix],
	}
	r.pending.Go(func() {
		defer func() { <-r.inFlight }()
		callCtx, cancel := context.WithDeadline(ctx, due.Add(q.Deadline()+r.cfg.GracePeriod))
		defer cancel()
		c.SentAt = time.Now()
		c.SendLag = c.SentAt.Sub(due)
		performCall(callCtx, r.cfg.Client, r.cfg.Keys[q.Customer], body, due, c)
		r.recordOutcome(c)
	})
}

// prepareCall sets the host, idempotency key and correlation token of c. It returns
// false if c is a retry that is not needed.
func (r *runner) prepareCall(c *Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.requests[c.FirstTryID]
	if !ok {
		state = &requestState{correlationToken: NewCorrelationToken(), key: idempotencyKey(c.Request.Key), firstHost: r.pickHost("")}
		r.requests[c.FirstTryID] = state
		c.Host = state.firstHost
	} else {
		if state.answered && c.Request.When != trace.RetryAlways {
			return false
		}
		c.Host = r.pickHost(state.firstHost)
	}
	c.Key, c.CorrelationToken = state.key, state.correlationToken
	return true
}

func idempotencyKey(key string) string {
	if key != trace.AutoKey {
		return key
	}
	return uuid.Must(uuid.NewV7()).String()
}

// pickHost returns a random host other than exclude, if there is one.
func (r *runner) pickHost(exclude string) string {
	hosts := slices.DeleteFunc(slices.Clone(r.cfg.Hosts), func(h string) bool { return h == exclude })
	if len(hosts) == 0 {
		hosts = r.cfg.Hosts
	}
	return hosts[r.rng.IntN(len(hosts))]
}

func (r *runner) recordOutcome(c *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Outcome == Answered {
		r.requests[c.FirstTryID].answered = true
	}
}
