package admit

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/record"
)

// The steps of admission in decision records.
const (
	StepArrive  record.Step = "admit.arrive"
	StepAcquire record.Step = "admit.acquire"
)

// Controller implements request.Admitter.
type Controller struct {
	cfg       Config
	state     atomic.Pointer[bundleState]
	shares    atomic.Pointer[Shares]
	customers customerTable

	applyMu sync.Mutex // serialises Apply
}

var _ request.Admitter = (*Controller)(nil)

// view is what admission needs of a bundle: immutable but for the pools,
// which have locks of their own.
type bundleState struct {
	unlimited bool // a baseline policy
	margin    float64
	customers map[string]*bundle.Customer
	pools     map[string]*pool
	// ordered holds the pools by name, so that equal inputs give equal answers.
	poolsByName []*pool
}

func (v *bundleState) weight(customer string) float64 {
	if c := v.customers[customer]; c != nil && c.Weight > 0 {
		return c.Weight
	}
	return 1
}

// New returns a Controller that refuses everything until Apply is called.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg.withDefaults()}
	c.state.Store(&bundleState{})
	c.SetShares(equalShares(0))
	return c
}

// Apply puts b in force. Pools that stay keep their state. Shares fall back to
// equal ones of the new host list until SetShares is called again.
func (c *Controller) Apply(b *bundle.Bundle) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	old := c.state.Load()
	next := &bundleState{
		unlimited: b.Policy == bundle.PolicyRoundRobin || b.Policy == bundle.PolicyLeastRequests,
		margin:    serviceMargin(b.Objective),
		customers: make(map[string]*bundle.Customer, len(b.Customers)),
		pools:     make(map[string]*pool, len(b.Pools)),
	}
	for i := range b.Customers {
		next.customers[b.Customers[i].Name] = &b.Customers[i]
	}
	for i := range b.Pools {
		next.pools[b.Pools[i].Name] = c.reuseOrCreatePool(old, &b.Pools[i])
	}
	for name, p := range old.pools {
		p.mu.Lock()
		if _, kept := next.pools[name]; !kept && !p.unused() {
			next.pools[name] = p
		}
		p.mu.Unlock()
	}
	next.poolsByName = slices.SortedFunc(maps.Values(next.pools), func(a, b *pool) int {
		return strings.Compare(a.name, b.name)
	})
	c.SetShares(equalShares(1 / float64(max(1, len(b.Hosts)))))
	c.state.Store(next)
}

func (c *Controller) reuseOrCreatePool(old *bundleState, b *bundle.Pool) *pool {
	p := old.pools[b.Name]
	if p == nil {
		return newPool(b, c.cfg)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.configure(b)
	return p
}

// SetShares makes s the shares in force.
func (c *Controller) SetShares(s Shares) { c.shares.Store(&s) }

func (c *Controller) poolShare(now time.Time, pool string) float64 {
	return (*c.shares.Load()).Pool(now, pool)
}

// Arrive implements request.Admitter. It refuses with problem.RateLimited,
// problem.DeadlineTooShort or problem.Overloaded.
func (c *Controller) Admit(now time.Time, p request.Plan, rec record.Recorder) *problem.Error {
	v := c.state.Load()
	if err := c.checkRateLimit(now, v, p.Customer); err != nil {
		c.recordDecision(rec, now, StepArrive, "refused", err.Kind, nil)
		return err
	}
	if v.unlimited {
		return nil
	}
	f, err := c.reserveAndForecast(now, v, p)
	if err != nil {
		c.removeReservations(v, p)
	}
	c.recordAdmission(rec, now, f, err)
	return err
}

func (c *Controller) checkRateLimit(now time.Time, v *bundleState, customer string) *problem.Error {
	limit, limited := 0.0, false
	if cust := v.customers[customer]; cust != nil && cust.RequestsPerSecond > 0 && !v.unlimited {
		limited = true
		limit = cust.RequestsPerSecond * (*c.shares.Load()).Customer(now, customer)
	}
	wait := c.customers.countArrival(now, customer, limit, limited)
	if wait <= 0 {
		return nil
	}
	err := problem.New(problem.RateLimited, "customer %s is over its share of the limit on this host", customer)
	err.RetryAfter = min(wait, c.cfg.MaxRetryAfter)
	return err
}

// outlook is what admission foresees for a whole request.
type requestForecast struct {
	budget      time.Duration
	serviceTime time.Duration
	// most is what the stages take in all but few cases.
	highServiceTime time.Duration
	wait            time.Duration
	allowedWait     time.Duration
	// tightest is the pool that the request waits for longest.
	longestWaitPool string
	borrowed        float64
}

// plan reserves the request's work at each of its pools and predicts when it
// would finish. On an error the reservations stay; the caller drops them.
func (c *Controller) reserveAndForecast(now time.Time, v *bundleState, p request.Plan) (requestForecast, *problem.Error) {
	o := requestForecast{budget: p.Deadline.Sub(now)}
	at, longest := 0.0, 0.0
	for _, n := range p.Stages {
		o.serviceTime += n.Expected
		shard := v.pools[n.Pool]
		if shard == nil {
			return o, problem.New(problem.NoUpstream, "there is no pool %s", n.Pool)
		}
		f := shard.reserve(now, reservationKeyOf(p, n), p.Customer, v.weight(p.Customer), n.Expected, c.poolShare(now, n.Pool))
		if wait := f.wait - at; wait > 0 {
			o.wait += seconds(wait)
			o.borrowed = max(o.borrowed, f.borrowed)
			at = f.wait
			if wait > longest {
				longest, o.longestWaitPool = wait, n.Pool
			}
		}
		at += n.Expected.Seconds() * (1 + v.margin)
		o.highServiceTime += seconds(f.highServiceTime * (1 + v.margin))
	}
	return o, c.checkForecast(&o, v.margin)
}

// reserve plans one call and foresees its wait.
func (p *pool) reserve(now time.Time, k reservationKey, customer string, weight float64, expected time.Duration, fraction float64) poolForecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offeredWork.add(now, expected.Seconds())
	f := p.reservations.forecastWait(customer, weight, p.slots(fraction), p.meanServiceTime(expected))
	f.highServiceTime = max(expected.Seconds(), p.limiter.highLatency(k.stage))
	p.reservations.add(k, customer, weight, expected)
	return f
}

// judge compares the outlook with the deadline.
func (c *Controller) checkForecast(o *requestForecast, margin float64) *problem.Error {
	needed := seconds(o.serviceTime.Seconds() * (1 + margin))
	if needed > o.budget {
		return problem.New(problem.DeadlineTooShort, "the stages need %v, the deadline leaves %v", needed, o.budget)
	}
	slack := max(0, o.budget-max(needed, o.highServiceTime))
	o.allowedWait = seconds(slack.Seconds() * (1 - reservedSlackFraction*o.borrowed))
	if o.wait <= o.allowedWait {
		return nil
	}
	err := problem.New(problem.Overloaded, "the wait for pool %s would be too long for the deadline", o.longestWaitPool)
	err.RetryAfter = min(o.wait-o.allowedWait, c.cfg.MaxRetryAfter)
	return err
}

// drop takes the request out of every pool's plan.
func (c *Controller) removeReservations(v *bundleState, p request.Plan) {
	for _, n := range p.Stages {
		shard := v.pools[n.Pool]
		if shard == nil {
			continue
		}
		shard.mu.Lock()
		shard.reservations.remove(reservationKeyOf(p, n))
		shard.mu.Unlock()
	}
}

// Leave implements request.Admitter.
func (c *Controller) Finish(_ time.Time, p request.Plan, _ bool) {
	c.removeReservations(c.state.Load(), p)
}

// Acquire implements request.Admitter. It refuses with problem.Overloaded.
func (c *Controller) Acquire(now time.Time, t request.Ticket, rec record.Recorder) (request.AcquireResult, *problem.Error) {
	v := c.state.Load()
	p := v.pools[t.Pool]
	if p == nil {
		return request.Refused, problem.New(problem.NoUpstream, "there is no pool %s", t.Pool)
	}
	verdict, err := p.acquire(now, v, t, c.poolShare(now, t.Pool))
	switch verdict {
	case request.Granted:
		c.recordDecision(rec, now, StepAcquire, "granted", "", &t)
	case request.Queued:
		c.recordDecision(rec, now, StepAcquire, "queued", "", &t)
	default:
		c.recordDecision(rec, now, StepAcquire, "refused", err.Kind, &t)
	}
	return verdict, err
}

func (p *pool) acquire(now time.Time, v *bundleState, t request.Ticket, fraction float64) (request.AcquireResult, *problem.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.unlimited {
		p.inFlight++
		return request.Granted, nil
	}
	slots := p.slots(fraction)
	latest := t.Deadline.Add(-t.ExpectedAfter - seconds(t.Expected.Seconds()*(1+v.margin)))
	if latest.Before(now) {
		return request.Refused, p.overloadedError(t, slots, "stage %s can no longer finish within the deadline", t.Stage)
	}
	if p.queue.len() == 0 && !p.atLimit(fraction) {
		p.inFlight++
		return request.Granted, nil
	}
	// A ticket may wait while it is safe; one that is not safe any more may
	// wait while it is possible.
	startBy := t.Deadline.Add(-t.ExpectedAfter - seconds(max(t.Expected.Seconds(), p.limiter.highLatency(t.Stage))*(1+v.margin)))
	if startBy.Before(now) {
		startBy = latest
	}
	if !p.enqueue(now, t, startBy, v.weight(t.Customer), slots) {
		return request.Refused, p.queueFullError(t, slots)
	}
	return request.Queued, nil
}

// Abandon implements request.Admitter. A ticket that is not queued is left as
// it is: when it was granted meanwhile, the caller still owes its Release.
func (c *Controller) Abandon(_ time.Time, t request.Ticket) {
	p := c.state.Load().pools[t.Pool]
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if it := p.queue.byKey[ticketKeyOf(t)]; it != nil {
		p.queue.remove(it)
	}
}

// Release implements request.Admitter.
func (c *Controller) Release(now time.Time, t request.Ticket, r request.CallResult, latency time.Duration) []request.Grant {
	p := c.state.Load().pools[t.Pool]
	if p == nil {
		return nil
	}
	fraction := c.poolShare(now, t.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := p.slots(fraction)
	used := float64(p.inFlight) >= slots*limitUsedFraction
	p.inFlight--
	p.finishedCalls.add(now, 1)
	switch r {
	case request.CallOK:
		p.limiter.recordSuccess(now, t.Stage, latency, used)
		p.reservations.remove(reservationKey{t.Request, t.Stage})
	case request.CallRefused:
		p.limiter.recordRefusal(now)
	}
	return p.processQueue(now, fraction)
}

// Tick implements request.Admitter.
func (c *Controller) Tick(now time.Time) []request.Grant {
	var out []request.Grant
	for _, p := range c.state.Load().poolsByName {
		fraction := c.poolShare(now, p.name)
		p.mu.Lock()
		if p.queue.len() > 0 || len(p.evicted) > 0 {
			out = append(out, p.processQueue(now, fraction)...)
		}
		p.mu.Unlock()
	}
	return out
}

func (c *Controller) recordAdmission(rec record.Recorder, now time.Time, o requestForecast, err *problem.Error) {
	if rec == nil {
		return
	}
	fields := []record.Field{
		{Key: "budget_ms", Value: millis(o.budget)},
		{Key: "service_ms", Value: millis(o.serviceTime)},
		{Key: "wait_ms", Value: millis(o.wait)},
		{Key: "wait_allowed_ms", Value: millis(o.allowedWait)},
		{Key: "tightest_pool", Value: o.longestWaitPool},
		{Key: "borrowed", Value: strconv.FormatFloat(o.borrowed, 'f', 2, 64)},
	}
	outcome := "admitted"
	if err != nil {
		outcome = "refused"
		fields = append(fields, record.Field{Key: "kind", Value: string(err.Kind)})
	}
	rec.Add(record.Entry{At: now, Step: StepArrive, Outcome: outcome, Fields: fields})
}

func (c *Controller) recordDecision(rec record.Recorder, now time.Time, step record.Step, outcome string, kind problem.Kind, t *request.Ticket) {
	if rec == nil {
		return
	}
	e := record.Entry{At: now, Step: step, Outcome: outcome}
	if kind != "" {
		e.Fields = append(e.Fields, record.Field{Key: "kind", Value: string(kind)})
	}
	if t != nil {
		e.Stage, e.Attempt = t.Stage, t.Attempt
		e.Fields = append(e.Fields,
			record.Field{Key: "pool", Value: t.Pool},
			record.Field{Key: "budget_ms", Value: millis(t.Deadline.Sub(now))},
			record.Field{Key: "after_ms", Value: millis(t.ExpectedAfter)})
	}
	rec.Add(e)
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
