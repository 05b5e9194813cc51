// Package scenario makes traces: named programs that, given a bundle and a
// seed, always make the same trace. The bundle says which customers, pipelines
// and pools there are, and how much they can carry; the rate of a trace is
// stated as a multiple of that capacity.
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

// Options say what a trace is made for.
type Options struct {
	// Bundle names customers, pipelines and pools. It must be checked.
	Bundle *bundle.Bundle
	Seed   uint64
	// Load is the mean rate as a multiple of the bundle's capacity.
	Load float64
	// Duration is the time from the first arrival to the last.
	Duration time.Duration
	// Patience is the deadline that callers state, as a multiple of what the
	// pipeline's stages are expected to take; the pipeline's own deadline and
	// leastDeadline bound it.
	Patience float64
}

// DefaultPatience is a usual Patience.
const DefaultPatience = 4

// leastDeadline is the shortest deadline that callers state.
const minDeadline = time.Second

// Limits of Options.
const (
	maxLoad     = 20
	maxDuration = 20 * time.Minute
)

func (o Options) validate() error {
	switch {
	case o.Load <= 0 || o.Load > maxLoad:
		return fmt.Errorf("load %g lies outside 0 to %d", o.Load, maxLoad)
	case o.Patience < 1:
		return fmt.Errorf("patience %g is less than 1", o.Patience)
	case o.Duration < time.Second || o.Duration > maxDuration:
		return fmt.Errorf("duration %v lies outside 1s to %v", o.Duration, maxDuration)
	}
	return nil
}

// builder gathers the lines of a trace.
type builder struct {
	Options
	rng   *rand.Rand
	trace trace.Trace
	// rate is the mean arrivals a second.
	arrivalRate float64
	// mix holds the weights of the pipelines.
	pipelineWeights map[string]float64
}

func newBuilder(name string, o Options) *builder {
	b := &builder{Options: o, rng: rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(name))), pipelineWeights: map[string]float64{}}
	b.trace.Header = trace.Header{
		Version: trace.FormatVersion, Name: name, Seed: o.Seed,
		Program: fmt.Sprintf("wheatseam trace make %s --seed %d --load %g --duration %s --patience %g (bundle %s version %d)",
			name, o.Seed, o.Load, o.Duration, o.Patience, o.Bundle.Deployment, o.Bundle.Version),
	}
	for _, p := range o.Bundle.Pipelines {
		b.pipelineWeights[p.Name] = 1
	}
	b.addPrefixes()
	b.arrivalRate = o.Load * Capacity(o.Bundle, b.pipelineWeights)
	return b
}

// prefixesEach is the number of shared prefixes of each customer.
const prefixesPerCustomer = 3

// prefixSentence is 16 words, repeated to the length of a template.
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

// at returns the offset at a share of the duration, 0 to 1.
func (b *builder) offsetAt(share float64) time.Duration {
	return time.Duration(share * float64(b.Duration))
}

// poisson calls f at random offsets between the shares from and to of the
// duration. rate is the arrivals a second, highest its upper bound, at a share
// of the duration.
func (b *builder) poissonArrivals(from, to, maxRate float64, rate func(share float64) float64, f func(offset time.Duration, share float64)) {
	seconds := b.Duration.Seconds()
	for at := from * seconds; ; {
		at += b.rng.ExpFloat64() / maxRate
		share := at / seconds
		if share >= to {
			return
		}
		if b.rng.Float64()*maxRate < rate(share) {
			f(time.Duration(at*float64(time.Second)), share)
		}
	}
}

// constant is a rate that does not change.
func constantRate(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }

// arrive adds a request of a customer drawn by weight for a pipeline drawn by
// the mix, with boost giving some pipelines another weight.
func (b *builder) addRandomRequest(offset time.Duration, boost map[string]float64) *trace.Request {
	customer := b.drawCustomer()
	pipeline := b.drawPipeline(customer, boost)
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

// draw draws one of items by weight.
func drawWeighted[T any](random *rand.Rand, items []T, weight func(T) float64) T {
	sum := 0.0
	for _, i := range items {
		sum += weight(i)
	}
	remaining := random.Float64() * sum
	for _, i := range items {
		remaining -= weight(i)
		if remaining < 0 {
			return i
		}
	}
	return items[len(items)-1]
}

// streamedShare is the share of generations that are streamed.
const streamedShare = 0.7

// request adds one request.
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

// deadline returns the deadline that callers of p state.
func (b *builder) deadline(p bundle.Pipeline) time.Duration {
	var expected time.Duration
	for _, s := range p.Stages {
		expected += s.Expected
	}
	requested := max(minDeadline, time.Duration(b.Patience*float64(expected)))
	return min(p.Deadline, requested.Round(time.Millisecond))
}

const promptSentence = "Rent is due monthly. "

// length draws how often the sentence of a prompt is repeated: median 6, with a
// heavy tail.
func (b *builder) drawPromptRepeat() int {
	return min(64, max(1, int(6*math.Exp(b.rng.NormFloat64()))))
}

// rank draws one of n, the first ones more often (weights 1, 1/2, 1/3...).
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

// fault adds a fault of replicas of a pool, all of them when none are named.
func (b *builder) addFault(offset time.Duration, pool string, f faultBody, replicas ...int) {
	body, err := json.Marshal(f)
	if err != nil {
		panic(err) // a struct of plain fields
	}
	b.trace.Faults = append(b.trace.Faults, trace.Fault{
		AtMS: offset.Milliseconds(), Pool: pool, Replicas: replicas, Body: body,
	})
}

// faults is the part of the stand-ins' control messages that scenarios use.
type faultBody struct {
	SlowFactor float64 `json:"slow_factor,omitempty"`
	Down       bool    `json:"down,omitempty"`
}
