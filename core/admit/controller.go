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

// Steps of admission in decision records.
const (
	StepAdmit   record.Step = "admit.arrive"
	StepAcquire record.Step = "admit.acquire"
)

// Controller implements request.Admitter.
type Controller struct {
	cfg       Config
	state     atomic.Pointer[bundleState]
	shares    atomic.Pointer[Shares]
	customers customerTable

	applyMu sync.Mutex // serializes Apply
}

var _ request.Admitter = (*Controller)(nil)

// bundleState is the state that admission derives from a bundle. It is immutable
// except for the pools, each of which has its own lock.
type bundleState struct {
	unlimited bool // the policy is a baseline without admission control
	margin    float64
	customers map[string]*bundle.Customer
	pools     map[string]*pool
	// poolsByName holds the pools ordered by name, which makes the order of the
	// results of Tick and State deterministic.
	poolsByName []*pool
}

func (state *bundleState) weight(customer string) float64 {
	if c := state.customers[customer]; c != nil && c.Weight > 0 {
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

// Apply makes b the active bundle. Pools that are also in b keep their state, and
// pools that are not in b remain while they are in use. Every host of b gets an equal
// share until SetShares is called again.
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

// SetShares replaces the active shares with s.
func (c *Controller) SetShares(s Shares) { c.shares.Store(&s) }

func (c *Controller) poolShare(now time.Time, pool string) float64 {
	return (*c.shares.Load()).Pool(now, pool)
}

// Admit implements request.Admitter. It refuses with problem.RateLimited,
// problem.DeadlineTooShort or problem.Overloaded, and with problem.NoUpstream if a
// pool of the plan does not exist.
func (c *Controller) Admit(now time.Time, p request.Plan, rec record.Recorder) *problem.Error {
	state := c.state.Load()
	if err := c.checkRateLimit(now, state, p.Customer); err != nil {
		c.recordDecision(rec, now, StepAdmit, "refused", err.Kind, nil)
		return err
	}
	if state.unlimited {
		return nil
	}
	forecast, err := c.reserveAndForecast(now, state, p)
	if err != nil {
		c.removeReservations(state, p)
	}
	c.recordAdmission(rec, now, forecast, err)
	return err
}

func (c *Controller) checkRateLimit(now time.Time, state *bundleState, customer string) *problem.Error {
	limit, limited := 0.0, false
	if cust := state.customers[customer]; cust != nil && cust.RequestsPerSecond > 0 && !state.unlimited {
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

// requestForecast is the predicted execution of a whole request.
type requestForecast struct {
	// budget is the time from the arrival to the deadline.
	budget      time.Duration
	serviceTime time.Duration
	// highServiceTime is a service time that the stages together rarely exceed.
	highServiceTime time.Duration
	wait            time.Duration
	allowedWait     time.Duration
	// longestWaitPool is the pool with the longest predicted wait.
	longestWaitPool string
	// borrowed is the highest poolForecast.borrowed of the pools that the request
	// waits for.
	borrowed float64
}

// reserveAndForecast reserves the request's work at each of its pools and predicts
// whether it will finish within its deadline. On an error the reservations remain;
// the caller must remove them.
func (c *Controller) reserveAndForecast(now time.Time, state *bundleState, p request.Plan) (requestForecast, *problem.Error) {
	forecast := requestForecast{budget: p.Deadline.Sub(now)}
	elapsed, longestWait := 0.0, 0.0
	for _, stage := range p.Stages {
		forecast.serviceTime += stage.Expected
		target := state.pools[stage.Pool]
		if target == nil {
			return forecast, problem.New(problem.NoUpstream, "there is no pool %s", stage.Pool)
		}
		atPool := target.reserve(now, reservationKeyOf(p, stage), p.Customer, state.weight(p.Customer), stage.Expected, c.poolShare(now, stage.Pool))
		if wait := atPool.wait - elapsed; wait > 0 {
			forecast.wait += seconds(wait)
			forecast.borrowed = max(forecast.borrowed, atPool.borrowed)
			elapsed = atPool.wait
			if wait > longestWait {
				longestWait, forecast.longestWaitPool = wait, stage.Pool
			}
		}
		elapsed += stage.Expected.Seconds() * (1 + state.margin)
		forecast.highServiceTime += seconds(atPool.highServiceTime * (1 + state.margin))
	}
	return forecast, c.checkForecast(&forecast, state.margin)
}

// reserve adds a reservation for one call and predicts the wait of the call.
func (p *pool) reserve(now time.Time, k reservationKey, customer string, weight float64, expected time.Duration, share float64) poolForecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offeredWork.add(now, expected.Seconds())
	f := p.reservations.forecastWait(customer, weight, p.slots(share), p.meanServiceTime(expected))
	f.highServiceTime = max(expected.Seconds(), p.limiter.highLatency(k.stage))
	p.reservations.add(k, customer, weight, expected)
	return f
}

// checkForecast compares the forecast with the deadline. It sets allowedWait.
func (c *Controller) checkForecast(forecast *requestForecast, margin float64) *problem.Error {
	needed := seconds(forecast.serviceTime.Seconds() * (1 + margin))
	if needed > forecast.budget {
		return problem.New(problem.DeadlineTooShort, "the stages need %v, the deadline leaves %v", needed, forecast.budget)
	}
	slack := max(0, forecast.budget-max(needed, forecast.highServiceTime))
	forecast.allowedWait = seconds(slack.Seconds() * (1 - reservedSlackFraction*forecast.borrowed))
	if forecast.wait <= forecast.allowedWait {
		return nil
	}
	err := problem.New(problem.Overloaded, "the wait for pool %s would be too long for the deadline", forecast.longestWaitPool)
	err.RetryAfter = min(forecast.wait-forecast.allowedWait, c.cfg.MaxRetryAfter)
	return err
}

// removeReservations removes the reservations of the request from all its pools.
func (c *Controller) removeReservations(state *bundleState, p request.Plan) {
	for _, stage := range p.Stages {
		target := state.pools[stage.Pool]
		if target == nil {
			continue
		}
		target.mu.Lock()
		target.reservations.remove(reservationKeyOf(p, stage))
		target.mu.Unlock()
	}
}

// Finish implements request.Admitter.
func (c *Controller) Finish(_ time.Time, p request.Plan, _ bool) {
	c.removeReservations(c.state.Load(), p)
}

// Acquire implements request.Admitter. It refuses with problem.Overloaded, and with
// problem.NoUpstream if the pool does not exist.
func (c *Controller) Acquire(now time.Time, t request.Ticket, rec record.Recorder) (request.AcquireResult, *problem.Error) {
	state := c.state.Load()
	p := state.pools[t.Pool]
	if p == nil {
		return request.Refused, problem.New(problem.NoUpstream, "there is no pool %s", t.Pool)
	}
	result, err := p.acquire(now, state, t, c.poolShare(now, t.Pool))
	switch result {
	case request.Granted:
		c.recordDecision(rec, now, StepAcquire, "granted", "", &t)
	case request.Queued:
		c.recordDecision(rec, now, StepAcquire, "queued", "", &t)
	default:
		c.recordDecision(rec, now, StepAcquire, "refused", err.Kind, &t)
	}
	return result, err
}

func (p *pool) acquire(now time.Time, state *bundleState, t request.Ticket, share float64) (request.AcquireResult, *problem.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state.unlimited {
		p.inFlight++
		return request.Granted, nil
	}
	slots := p.slots(share)
	latestStart := t.Deadline.Add(-t.ExpectedAfter - seconds(t.Expected.Seconds()*(1+state.margin)))
	if latestStart.Before(now) {
		return request.Refused, p.overloadedError(t, slots, "stage %s can no longer finish within the deadline", t.Stage)
	}
	if p.queue.len() == 0 && !p.atLimit(share) {
		p.inFlight++
		return request.Granted, nil
	}
	// A ticket may wait as long as it would meet the deadline even with a high
	// service time. If that time has already passed, it may wait as long as it
	// would meet the deadline with the expected service time.
	safeLatestStart := t.Deadline.Add(-t.ExpectedAfter - seconds(max(t.Expected.Seconds(), p.limiter.highLatency(t.Stage))*(1+state.margin)))
	if safeLatestStart.Before(now) {
		safeLatestStart = latestStart
	}
	if !p.enqueue(now, t, safeLatestStart, state.weight(t.Customer), slots) {
		return request.Refused, p.queueFullError(t, slots)
	}
	return request.Queued, nil
}

// Abandon implements request.Admitter. It does nothing if the ticket is not queued.
// If the ticket has been granted, the caller must still call Release.
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
	share := c.poolShare(now, t.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := p.slots(share)
	limitUsed := float64(p.inFlight) >= slots*limitUsedFraction
	p.inFlight--
	p.finishedCalls.add(now, 1)
	switch r {
	case request.CallOK:
		p.limiter.recordSuccess(now, t.Stage, latency, limitUsed)
		p.reservations.remove(reservationKey{t.Request, t.Stage})
	case request.CallRefused:
		p.limiter.recordRefusal(now)
	}
	return p.processQueue(now, share)
}

// Tick implements request.Admitter.
func (c *Controller) Tick(now time.Time) []request.Grant {
	var out []request.Grant
	for _, p := range c.state.Load().poolsByName {
		share := c.poolShare(now, p.name)
		p.mu.Lock()
		if p.queue.len() > 0 || len(p.evicted) > 0 {
			out = append(out, p.processQueue(now, share)...)
		}
		p.mu.Unlock()
	}
	return out
}

func (c *Controller) recordAdmission(rec record.Recorder, now time.Time, forecast requestForecast, err *problem.Error) {
	if rec == nil {
		return
	}
	fields := []record.Field{
		{Key: "budget_ms", Value: millis(forecast.budget)},
		{Key: "service_ms", Value: millis(forecast.serviceTime)},
		{Key: "wait_ms", Value: millis(forecast.wait)},
		{Key: "wait_allowed_ms", Value: millis(forecast.allowedWait)},
		{Key: "tightest_pool", Value: forecast.longestWaitPool},
		{Key: "borrowed", Value: strconv.FormatFloat(forecast.borrowed, 'f', 2, 64)},
	}
	outcome := "admitted"
	if err != nil {
		outcome = "refused"
		fields = append(fields, record.Field{Key: "kind", Value: string(err.Kind)})
	}
	rec.Add(record.Entry{At: now, Step: StepAdmit, Outcome: outcome, Fields: fields})
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
