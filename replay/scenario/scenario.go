package scenario

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/replay/trace"
)

// Scenario is a named program that generates a trace.
type Scenario struct {
	Name string
	// Note describes in one sentence what the traces represent.
	Note     string
	generate func(*builder) error
}

// Scenarios lists all scenarios.
var Scenarios = []Scenario{
	{"steady", "A constant rate without faults.", generateSteady},
	{"firma-day", "A day at Firma Abierta, compressed, with a rush of seals before the signing deadline.", generateFirmaDay},
	{"kawabata-typhoon", "A quiet day at Kawabata, then the surge after a typhoon, which ebbs away slowly.", generateTyphoon},
	{"stragglers", "In each pool in turn one replica is ten times slower.", generateStragglers},
	{"upstream-down", "One replica of the busiest pool fails outright and comes back.", generateUpstreamDown},
	{"greedy-customer", "One customer sends ten times its share.", generateGreedyCustomer},
	{"two-faults", "A straggler in one pool while a replica of another is down.", generateTwoFaults},
	{"retry-storm", "The busiest pool is down for ten seconds, and callers retry.", generateRetryStorm},
}

// Names returns the names of all scenarios.
func Names() []string {
	var out []string
	for _, s := range Scenarios {
		out = append(out, s.Name)
	}
	return out
}

// Generate generates a trace with the scenario called name. It fails for an unknown
// name, invalid options, or a bundle that the scenario cannot be applied to.
func Generate(name string, o Options) (*trace.Trace, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	i := slices.IndexFunc(Scenarios, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return nil, fmt.Errorf("unknown scenario %q; the scenarios are %s", name, strings.Join(Names(), ", "))
	}
	b := newBuilder(name, o)
	b.trace.Header.Note = Scenarios[i].Note
	if math.IsInf(b.arrivalRate, 0) || b.arrivalRate <= 0 {
		return nil, errors.New("the bundle has no pool that a pipeline uses")
	}
	if err := Scenarios[i].generate(b); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	if n := len(b.trace.Requests); n == 0 || n > trace.MaxRequests {
		return nil, fmt.Errorf("scenario %s: %d requests are outside the range 1 to %d", name, n, trace.MaxRequests)
	}
	slices.SortStableFunc(b.trace.Requests, func(x, y trace.Request) int { return cmp.Compare(x.AtMS, y.AtMS) })
	return &b.trace, nil
}

func generateSteady(b *builder) error {
	b.addSteadyArrivals()
	return nil
}

func (b *builder) addSteadyArrivals() {
	b.poissonArrivals(0, 1, b.arrivalRate, constantRate(b.arrivalRate), func(at time.Duration, _ float64) { b.addRandomRequest(at, nil) })
}

// nonRepeatableWeighted returns the pipeline weights with those of pipelines that have
// a non-repeatable stage multiplied by factor.
func (b *builder) nonRepeatableWeighted(factor float64) map[string]float64 {
	out := maps.Clone(b.pipelineWeights)
	for _, p := range b.Bundle.Pipelines {
		if hasNonRepeatableStage(p) {
			out[p.Name] *= factor
		}
	}
	return out
}

// Parameters of generateFirmaDay. The simulated day lasts from 8:00 to 18:00; rushStart
// and rushEnd are fractions of it, so that the rush is the hour before 17:00.
const (
	rushStart = 0.80
	rushEnd   = 0.90
	// rushRateFactor is the rate during the rush as a multiple of the mean rate.
	// rushNonRepeatableFactor multiplies the weight of pipelines with a
	// non-repeatable stage, such as seals.
	rushRateFactor          = 2.5
	rushNonRepeatableFactor = 6
	// dailyRateAmplitude is the relative amplitude of the rate outside the rush.
	dailyRateAmplitude = 0.4
)

func generateFirmaDay(b *builder) error {
	rate := func(fraction float64) float64 {
		if fraction >= rushStart && fraction < rushEnd {
			return rushRateFactor * b.arrivalRate
		}
		// The rate has peaks at 10:30 and 15:30 and a minimum at lunchtime.
		return b.arrivalRate * (1 - dailyRateAmplitude*math.Cos(4*math.Pi*fraction))
	}
	rush := b.nonRepeatableWeighted(rushNonRepeatableFactor)
	b.poissonArrivals(0, 1, rushRateFactor*b.arrivalRate, rate, func(at time.Duration, fraction float64) {
		weights := b.pipelineWeights
		if fraction >= rushStart && fraction < rushEnd {
			weights = rush
		}
		r := b.addRandomRequest(at, weights)
		b.maybeAddDuplicate(r)
	})
	return nil
}

// duplicateShare is the share of requests with an idempotency key whose caller sends
// them again through another host without waiting for the answer; duplicateDelay is
// how long after the first try.
const (
	duplicateShare = 0.05
	duplicateDelay = 300 * time.Millisecond
)

// maybeAddDuplicate adds an unconditional retry to a random share of the requests that
// have an idempotency key.
func (b *builder) maybeAddDuplicate(r *trace.Request) {
	if r.Key == "" || b.rng.Float64() >= duplicateShare {
		return
	}
	b.addRetry(*r, time.Duration(r.AtMS)*time.Millisecond+duplicateDelay, trace.RetryAlways, 1)
}

func (b *builder) addRetry(first trace.Request, at time.Duration, when trace.RetryWhen, try int) {
	again := first
	again.ID = fmt.Sprintf("%s-%d", first.ID, try)
	again.AtMS, again.RetryOf, again.When = at.Milliseconds(), first.ID, when
	b.trace.Requests = append(b.trace.Requests, again)
}

// Parameters of generateTyphoon. Factors are multiples of the mean rate; the other
// values are fractions of the duration.
const (
	quietRateFactor = 0.3
	surgePeakFactor = 3.0
	surgeStart      = 0.3
	surgeRise       = 0.05
	surgeDecay      = 0.25
)

func generateTyphoon(b *builder) error {
	rate := func(fraction float64) float64 {
		since := fraction - surgeStart
		switch {
		case since < 0:
			return quietRateFactor * b.arrivalRate
		case since < surgeRise:
			return b.arrivalRate * (quietRateFactor + (surgePeakFactor-quietRateFactor)*since/surgeRise)
		default:
			return b.arrivalRate * (quietRateFactor + (surgePeakFactor-quietRateFactor)*math.Exp(-(since-surgeRise)/surgeDecay))
		}
	}
	b.poissonArrivals(0, 1, surgePeakFactor*b.arrivalRate, rate, func(at time.Duration, _ float64) { b.maybeAddDuplicate(b.addRandomRequest(at, nil)) })
	return nil
}

// stragglerSlowFactor is how many times slower a straggler responds.
const stragglerSlowFactor = 10

// usedPools returns the pools that pipelines use, in the order of the bundle.
func (b *builder) usedPools() []bundle.Pool {
	shares := pipelineShares(b.Bundle, b.pipelineWeights)
	var out []bundle.Pool
	for _, p := range b.Bundle.Pools {
		if slotSecondsPerRequest(b.Bundle, p.Name, shares) > 0 {
			out = append(out, p)
		}
	}
	return out
}

func generateStragglers(b *builder) error {
	b.addSteadyArrivals()
	pools := b.usedPools()
	// Before and after each straggler is an interval without faults of the same
	// length.
	interval := 1 / float64(2*len(pools)+1)
	for i, p := range pools {
		from := interval * float64(2*i+1)
		b.addFault(b.offsetAt(from), p.Name, faultBody{SlowFactor: stragglerSlowFactor}, 0)
		b.addFault(b.offsetAt(from+interval), p.Name, faultBody{}, 0)
	}
	return nil
}

func generateUpstreamDown(b *builder) error {
	b.addSteadyArrivals()
	pool := BusiestPool(b.Bundle, b.pipelineWeights).Name
	b.addFault(b.offsetAt(1.0/3), pool, faultBody{Down: true}, 0)
	b.addFault(b.offsetAt(2.0/3), pool, faultBody{}, 0)
	return nil
}

// greedyFactor is how many times its share the greedy customer sends.
const greedyFactor = 10

func generateGreedyCustomer(b *builder) error {
	b.addSteadyArrivals()
	customers := b.Bundle.Customers
	// The customer with the smallest weight is the greedy one, because it exceeds
	// its share most clearly.
	greedy := slices.MinFunc(customers, func(x, y bundle.Customer) int {
		return cmp.Compare(x.Weight, y.Weight)
	})
	sum := 0.0
	for _, c := range customers {
		sum += c.Weight
	}
	extra := (greedyFactor - 1) * b.arrivalRate * greedy.Weight / sum
	b.poissonArrivals(0.25, 0.75, extra, constantRate(extra), func(at time.Duration, _ float64) {
		b.addRequest(at, greedy, b.drawPipeline(greedy, nil))
	})
	b.trace.Header.Note += fmt.Sprintf(" The greedy customer is %s, from a quarter to three quarters of the time.", greedy.Name)
	return nil
}

func generateTwoFaults(b *builder) error {
	pools := b.usedPools()
	if len(pools) < 2 {
		return errors.New("the bundle needs two pools in use")
	}
	b.poissonArrivals(0, 1, b.arrivalRate, constantRate(b.arrivalRate), func(at time.Duration, _ float64) { b.maybeAddDuplicate(b.addRandomRequest(at, nil)) })
	down := BusiestPool(b.Bundle, b.pipelineWeights).Name
	slow := pools[slices.IndexFunc(pools, func(p bundle.Pool) bool { return p.Name != down })].Name
	b.addFault(b.offsetAt(0.25), slow, faultBody{SlowFactor: stragglerSlowFactor}, 0)
	b.addFault(b.offsetAt(0.35), down, faultBody{Down: true}, 0)
	b.addFault(b.offsetAt(0.60), slow, faultBody{}, 0)
	b.addFault(b.offsetAt(0.70), down, faultBody{}, 0)
	return nil
}

// Parameters of generateRetryStorm.
const (
	outageDuration = 10 * time.Second
	// outageRetries is how many times a caller without an answer retries. The
	// delay starts at firstRetryDelay and doubles with each retry.
	outageRetries   = 3
	firstRetryDelay = time.Second
)

func generateRetryStorm(b *builder) error {
	if b.Duration < 3*outageDuration {
		return fmt.Errorf("duration must be at least %v", 3*outageDuration)
	}
	pool := BusiestPool(b.Bundle, b.pipelineWeights).Name
	from := b.offsetAt(1.0 / 3)
	b.poissonArrivals(0, 1, b.arrivalRate, constantRate(b.arrivalRate), func(at time.Duration, _ float64) {
		first := *b.addRandomRequest(at, nil)
		first.Key = trace.AutoKey
		b.trace.Requests[len(b.trace.Requests)-1].Key = trace.AutoKey
		if at < from-time.Duration(first.DeadlineMS)*time.Millisecond || at > from+outageDuration {
			return
		}
		pause := firstRetryDelay
		for try := range outageRetries {
			at += pause
			pause *= 2
			b.addRetry(first, at, trace.RetryUnlessAnswered, try+1)
		}
	})
	b.addFault(from, pool, faultBody{Down: true})
	b.addFault(from+outageDuration, pool, faultBody{})
	return nil
}
