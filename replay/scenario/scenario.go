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

// Scenario is one named program.
type Scenario struct {
	Name string
	// Note says in one sentence what its traces stand for.
	Note string
	make func(*builder) error
}

// Scenarios lists all programs.
var Scenarios = []Scenario{
	{"steady", "A constant rate without faults.", makeSteady},
	{"firma-day", "A day at Firma Abierta, compressed, with a rush of seals before the signing deadline.", makeFirmaDay},
	{"kawabata-typhoon", "A quiet day at Kawabata, then the surge after a typhoon, which ebbs away slowly.", makeTyphoon},
	{"stragglers", "In each pool in turn one replica is ten times slower.", makeStragglers},
	{"upstream-down", "One replica of the busiest pool fails outright and comes back.", makeUpstreamDown},
	{"greedy-customer", "One customer sends ten times its share.", makeGreedy},
	{"two-faults", "A straggler in one pool while a replica of another is down.", makeTwoFaults},
	{"retry-storm", "The busiest pool is down for ten seconds, and callers retry.", makeRetryStorm},
}

// Names lists the names of all programs.
func Names() []string {
	var out []string
	for _, s := range Scenarios {
		out = append(out, s.Name)
	}
	return out
}

// Make runs the program called name.
func Generate(name string, o Options) (*trace.Trace, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	i := slices.IndexFunc(Scenarios, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return nil, fmt.Errorf("unknown scenario %q; there are %s", name, strings.Join(Names(), ", "))
	}
	b := newBuilder(name, o)
	b.trace.Header.Note = Scenarios[i].Note
	if math.IsInf(b.rate, 0) || b.rate <= 0 {
		return nil, errors.New("the bundle has no pool that a pipeline uses")
	}
	if err := Scenarios[i].make(b); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	if n := len(b.trace.Requests); n == 0 || n > trace.MaxRequests {
		return nil, fmt.Errorf("scenario %s: %d requests lie outside 1 to %d", name, n, trace.MaxRequests)
	}
	slices.SortStableFunc(b.trace.Requests, func(x, y trace.Request) int { return cmp.Compare(x.AtMS, y.AtMS) })
	return &b.trace, nil
}

func makeSteady(b *builder) error {
	b.steady()
	return nil
}

func (b *builder) steady() {
	b.poisson(0, 1, b.rate, constant(b.rate), func(at time.Duration, _ float64) { b.arrive(at, nil) })
}

// nonRepeatable returns the mix with the weight of pipelines that need a key
// multiplied by factor.
func (b *builder) nonRepeatable(factor float64) map[string]float64 {
	out := maps.Clone(b.mix)
	for _, p := range b.Bundle.Pipelines {
		if needsKey(p) {
			out[p.Name] *= factor
		}
	}
	return out
}

// The day of makeFirmaDay runs from 8 to 18 o'clock; the rush is before 17.
const (
	rushFrom = 0.80
	rushTo   = 0.90
	// rushRate is the rate in the rush beside the mean, rushSeals how much
	// more often than usual seals are asked for.
	rushRate  = 2.5
	rushSeals = 6
	// tidalSwing is how far the rate rises and falls over the day.
	tidalSwing = 0.4
)

func makeFirmaDay(b *builder) error {
	rate := func(share float64) float64 {
		if share >= rushFrom && share < rushTo {
			return rushRate * b.rate
		}
		// Two peaks, at 10:30 and 15:30, with the dip of lunch between.
		return b.rate * (1 - tidalSwing*math.Cos(4*math.Pi*share))
	}
	rush := b.nonRepeatable(rushSeals)
	b.poisson(0, 1, rushRate*b.rate, rate, func(at time.Duration, share float64) {
		mix := b.mix
		if share >= rushFrom && share < rushTo {
			mix = rush
		}
		r := b.arrive(at, mix)
		b.impatient(r)
	})
	return nil
}

// impatience is the share of callers with a key that ask again through another
// host, and patience how soon.
const (
	impatience = 0.05
	patience   = 300 * time.Millisecond
)

// impatient adds a caller's retry to some of the requests that have a key.
func (b *builder) impatient(r *trace.Request) {
	if r.Key == "" || b.random.Float64() >= impatience {
		return
	}
	b.retry(*r, time.Duration(r.AtMS)*time.Millisecond+patience, trace.RetryAlways, 1)
}

func (b *builder) retry(first trace.Request, at time.Duration, when trace.RetryWhen, try int) {
	again := first
	again.ID = fmt.Sprintf("%s-%d", first.ID, try)
	again.AtMS, again.RetryOf, again.When = at.Milliseconds(), first.ID, when
	b.trace.Requests = append(b.trace.Requests, again)
}

// The shape of makeTyphoon, as multiples of the mean rate.
const (
	quietRate  = 0.3
	surgePeak  = 3.0
	surgeFrom  = 0.3
	surgeRise  = 0.05
	surgeDecay = 0.25
)

func makeTyphoon(b *builder) error {
	rate := func(share float64) float64 {
		since := share - surgeFrom
		switch {
		case since < 0:
			return quietRate * b.rate
		case since < surgeRise:
			return b.rate * (quietRate + (surgePeak-quietRate)*since/surgeRise)
		default:
			return b.rate * (quietRate + (surgePeak-quietRate)*math.Exp(-(since-surgeRise)/surgeDecay))
		}
	}
	b.poisson(0, 1, surgePeak*b.rate, rate, func(at time.Duration, _ float64) { b.impatient(b.arrive(at, nil)) })
	return nil
}

// straggling is how many times slower a straggler is.
const straggling = 10

// usedPools lists the pools that pipelines use, in the order of the bundle.
func (b *builder) usedPools() []bundle.Pool {
	shares := pipelineShares(b.Bundle, b.mix)
	var out []bundle.Pool
	for _, p := range b.Bundle.Pools {
		if poolNeed(b.Bundle, p.Name, shares) > 0 {
			out = append(out, p)
		}
	}
	return out
}

func makeStragglers(b *builder) error {
	b.steady()
	pools := b.usedPools()
	// A quiet stretch of the same length stands before each straggler.
	stretch := 1 / float64(2*len(pools)+1)
	for i, p := range pools {
		from := stretch * float64(2*i+1)
		b.fault(b.at(from), p.Name, faults{SlowFactor: straggling}, 0)
		b.fault(b.at(from+stretch), p.Name, faults{}, 0)
	}
	return nil
}

func makeUpstreamDown(b *builder) error {
	b.steady()
	pool := BusiestPool(b.Bundle, b.mix).Name
	b.fault(b.at(1.0/3), pool, faults{Down: true}, 0)
	b.fault(b.at(2.0/3), pool, faults{}, 0)
	return nil
}

// greed is how many times its share the greedy customer sends.
const greed = 10

func makeGreedy(b *builder) error {
	b.steady()
	customers := b.Bundle.Customers
	// The customer with the least weight is greedy: its share is the clearest.
	greedy := slices.MinFunc(customers, func(x, y bundle.Customer) int {
		return cmp.Compare(x.Weight, y.Weight)
	})
	sum := 0.0
	for _, c := range customers {
		sum += c.Weight
	}
	extra := (greed - 1) * b.rate * greedy.Weight / sum
	b.poisson(0.25, 0.75, extra, constant(extra), func(at time.Duration, _ float64) {
		b.request(at, greedy, b.drawPipeline(greedy, nil))
	})
	b.trace.Header.Note += fmt.Sprintf(" The greedy customer is %s, from a quarter to three quarters of the time.", greedy.Name)
	return nil
}

func makeTwoFaults(b *builder) error {
	pools := b.usedPools()
	if len(pools) < 2 {
		return errors.New("the bundle needs two pools in use")
	}
	b.poisson(0, 1, b.rate, constant(b.rate), func(at time.Duration, _ float64) { b.impatient(b.arrive(at, nil)) })
	down := BusiestPool(b.Bundle, b.mix).Name
	slow := pools[slices.IndexFunc(pools, func(p bundle.Pool) bool { return p.Name != down })].Name
	b.fault(b.at(0.25), slow, faults{SlowFactor: straggling}, 0)
	b.fault(b.at(0.35), down, faults{Down: true}, 0)
	b.fault(b.at(0.60), slow, faults{}, 0)
	b.fault(b.at(0.70), down, faults{}, 0)
	return nil
}

// The storm of makeRetryStorm.
const (
	stormLasts = 10 * time.Second
	// stormTries is how often a caller that was not answered asks again, each
	// time after twice the pause before.
	stormTries = 3
	stormPause = time.Second
)

func makeRetryStorm(b *builder) error {
	if b.Duration < 3*stormLasts {
		return fmt.Errorf("duration must be %v at least", 3*stormLasts)
	}
	pool := BusiestPool(b.Bundle, b.mix).Name
	from := b.at(1.0 / 3)
	b.poisson(0, 1, b.rate, constant(b.rate), func(at time.Duration, _ float64) {
		first := *b.arrive(at, nil)
		first.Key = trace.AutoKey
		b.trace.Requests[len(b.trace.Requests)-1].Key = trace.AutoKey
		if at < from-time.Duration(first.DeadlineMS)*time.Millisecond || at > from+stormLasts {
			return
		}
		pause := stormPause
		for try := range stormTries {
			at += pause
			pause *= 2
			b.retry(first, at, trace.RetryUnlessAnswered, try+1)
		}
	})
	b.fault(from, pool, faults{Down: true})
	b.fault(from+stormLasts, pool, faults{})
	return nil
}
