// Package scenario generates traces. A scenario is a named program that always
// generates the same trace for the same bundle, options and seed. The bundle defines
// the customers, pipelines and pools and thereby their capacity; the rate of a trace
// is a multiple of that capacity.
package scenario

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/replay/trace"
)

// Options are the parameters of a scenario.
type Options struct {
	// Bundle defines customers, pipelines and pools. It must be valid.
	Bundle *bundle.Bundle
	Seed   uint64
	// Load is the mean arrival rate as a multiple of the bundle's capacity.
	Load float64
	// Duration is the time from the first arrival to the last.
	Duration time.Duration
	// DeadlineFactor is the callers' deadline as a multiple of the expected duration of
	// the pipeline's stages. The deadline is at least minDeadline and at most the
	// pipeline's own deadline.
	DeadlineFactor float64
}

// DefaultDeadlineFactor is the default of Options.DeadlineFactor.
const DefaultDeadlineFactor = 4

// minDeadline is the shortest deadline of callers, unless the pipeline's own deadline
// is shorter.
const minDeadline = time.Second

// Upper limits of Options.Load and Options.Duration.
const (
	maxLoad     = 20
	maxDuration = 20 * time.Minute
)

func (o Options) validate() error {
	switch {
	case o.Load <= 0 || o.Load > maxLoad:
		return fmt.Errorf("load %g is outside the range 0 to %d", o.Load, maxLoad)
	case o.DeadlineFactor < 1:
		return fmt.Errorf("patience %g is less than 1", o.DeadlineFactor)
	case o.Duration < time.Second || o.Duration > maxDuration:
		return fmt.Errorf("duration %v is outside the range 1s to %v", o.Duration, maxDuration)
	}
	return nil
}

// builder generates one trace.
type builder struct {
	Options
	rng   *rand.Rand
	trace trace.Trace
	// arrivalRate is the mean number of arrivals per second.
	arrivalRate float64
	// pipelineWeights holds the relative frequency of each pipeline.
	pipelineWeights map[string]float64
}

func newBuilder(name string, o Options) *builder {
	b := &builder{Options: o, rng: rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(name))), pipelineWeights: map[string]float64{}}
	b.trace.Header = trace.Header{
		Version: trace.FormatVersion, Name: name, Seed: o.Seed,
		Program: fmt.Sprintf("wheatseam trace make %s --seed %d --load %g --duration %s --patience %g (bundle %s version %d)",
			name, o.Seed, o.Load, o.Duration, o.DeadlineFactor, o.Bundle.Deployment, o.Bundle.Version),
	}
	for _, p := range o.Bundle.Pipelines {
		b.pipelineWeights[p.Name] = 1
	}
	b.addPrefixes()
	b.arrivalRate = o.Load * Capacity(o.Bundle, b.pipelineWeights)
	return b
}

const prefixesPerCustomer = 3

// prefixSentence has 16 words. It is repeated to the length of a document template.
const prefixSentence = "The parties named below agree to the terms of this instrument as recorded in the register. "

func (b *builder) addPrefixes() {
	for _, c := range b.Bundle.Customers {
		for i := range prefixesPerCustomer {
			name := prefixName(c.Name, i)
			b.trace.Prefixes = append(b.trace.Prefixes, trace.Prefix{
				Name: name, Text: name + ": " + prefixSentence, Repeat: 4 + b.rng.IntN(12),
			})
		}
	}
}

func prefixName(customer string, i int) string { return fmt.Sprintf("%s-template-%d", customer, i+1) }

// offsetAt returns the offset at a fraction (0 to 1) of the duration.
func (b *builder) offsetAt(fraction float64) time.Duration {
	return time.Duration(fraction * float64(b.Duration))
}

// poissonArrivals calls f at the arrivals of a Poisson process between the fractions
// from and to of the duration. rate returns the arrivals per second at a fraction of
// the duration; maxRate must be an upper bound of it.
func (b *builder) poissonArrivals(from, to, maxRate float64, rate func(fraction float64) float64, f func(offset time.Duration, fraction float64)) {
	seconds := b.Duration.Seconds()
	for at := from * seconds; ; {
		at += b.rng.ExpFloat64() / maxRate
		fraction := at / seconds
		if fraction >= to {
			return
		}
		if b.rng.Float64()*maxRate < rate(fraction) {
			f(time.Duration(at*float64(time.Second)), fraction)
		}
	}
}

// constantRate returns a rate function for poissonArrivals that is constant.
func constantRate(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }

// addRandomRequest adds a request of a random customer for a random pipeline, both
// chosen by weight. weightOverrides replaces the weights of some pipelines.
func (b *builder) addRandomRequest(offset time.Duration, weightOverrides map[string]float64) *trace.Request {
	customer := b.drawCustomer()
	pipeline := b.drawPipeline(customer, weightOverrides)
	return b.addRequest(offset, customer, pipeline)
}

func (b *builder) drawCustomer() bundle.Customer {
	return drawWeighted(b.rng, b.Bundle.Customers, func(c bundle.Customer) float64 { return c.Weight })
}

func (b *builder) drawPipeline(c bundle.Customer, weightOverrides map[string]float64) bundle.Pipeline {
	name := drawWeighted(b.rng, c.Pipelines, func(name string) float64 {
		if w, ok := weightOverrides[name]; ok {
			return w
		}
		return b.pipelineWeights[name]
	})
	for _, p := range b.Bundle.Pipelines {
		if p.Name == name {
			return p
		}
	}
	return bundle.Pipeline{Name: name, Deadline: time.Second}
}

// drawWeighted returns a random element of items, chosen by weight.
func drawWeighted[T any](rng *rand.Rand, items []T, weight func(T) float64) T {
	sum := 0.0
	for _, i := range items {
		sum += weight(i)
	}
	remaining := rng.Float64() * sum
	for _, i := range items {
		remaining -= weight(i)
		if remaining < 0 {
			return i
		}
	}
	return items[len(items)-1]
}

// streamedShare is the share of requests with a generate stage that are streamed.
const streamedShare = 0.7

// addRequest adds a request of customer c for pipeline p. The result is valid until
// the next request is added.
func (b *builder) addRequest(offset time.Duration, c bundle.Customer, p bundle.Pipeline) *trace.Request {
	r := trace.Request{
		ID: fmt.Sprintf("r%d", len(b.trace.Requests)+1), AtMS: offset.Milliseconds(),
		Customer: c.Name, Pipeline: p.Name, DeadlineMS: b.deadline(p).Milliseconds(),
		Prompt: promptSentence, PromptRepeat: b.drawPromptRepeat(),
	}
	if hasGenerateStage(p) {
		r.Prefix = prefixName(c.Name, b.drawRank(prefixesPerCustomer))
		r.Stream = b.rng.Float64() < streamedShare
	}
	if hasNonRepeatableStage(p) {
		r.Key = trace.AutoKey
	}
	b.trace.Requests = append(b.trace.Requests, r)
	return &b.trace.Requests[len(b.trace.Requests)-1]
}

// deadline returns the deadline of requests for p.
func (b *builder) deadline(p bundle.Pipeline) time.Duration {
	var expected time.Duration
	for _, s := range p.Stages {
		expected += s.Expected
	}
	requested := max(minDeadline, time.Duration(b.DeadlineFactor*float64(expected)))
	return min(p.Deadline, requested.Round(time.Millisecond))
}

const promptSentence = "Rent is due monthly. "

// drawPromptRepeat returns a random number of repetitions of the prompt sentence. The
// distribution is log-normal with median 6, because prompt lengths have a heavy tail,
// and is limited to 1 to 64.
func (b *builder) drawPromptRepeat() int {
	return min(64, max(1, int(6*math.Exp(b.rng.NormFloat64()))))
}

// drawRank returns a random number below n by Zipf's law (weights 1, 1/2, 1/3...).
func (b *builder) drawRank(n int) int {
	ranks := make([]int, n)
	for i := range ranks {
		ranks[i] = i
	}
	return drawWeighted(b.rng, ranks, func(i int) float64 { return 1 / float64(i+1) })
}

func hasGenerateStage(p bundle.Pipeline) bool {
	for _, s := range p.Stages {
		if s.Kind == bundle.StageGenerate {
			return true
		}
	}
	return false
}

func hasNonRepeatableStage(p bundle.Pipeline) bool {
	for _, s := range p.Stages {
		if s.NonRepeatable {
			return true
		}
	}
	return false
}

// addFault adds a fault of the given replicas of a pool; none means all replicas.
func (b *builder) addFault(offset time.Duration, pool string, f faultBody, replicas ...int) {
	body, err := json.Marshal(f)
	if err != nil {
		panic(err) // cannot fail: the struct has only plain fields
	}
	b.trace.Faults = append(b.trace.Faults, trace.Fault{
		AtMS: offset.Milliseconds(), Pool: pool, Replicas: replicas, Body: body,
	})
}

// faultBody holds the members of the stand-ins' fault messages that scenarios use.
type faultBody struct {
	SlowFactor float64 `json:"slow_factor,omitempty"`
	Down       bool    `json:"down,omitempty"`
}
