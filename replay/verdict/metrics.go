package verdict

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/wheatseam/wheatseam/replay/audit"
	"github.com/wheatseam/wheatseam/replay/report"
)

// Metric is the name of a metric of a report.
type Metric string

// The metrics. Latencies are in milliseconds; shares are between 0 and 1.
const (
	Attainment       Metric = "attainment"
	TriesAttainment  Metric = "tries_attainment"
	Unexpected       Metric = "unexpected"
	LatencyP50       Metric = "latency_p50_ms"
	LatencyP99       Metric = "latency_p99_ms"
	FirstTokenP50    Metric = "first_token_p50_ms"
	FirstTokenP99    Metric = "first_token_p99_ms"
	BetweenTokensP99 Metric = "between_tokens_p99_ms"
	RefusedShare     Metric = "refused_share"
	RefusalP50       Metric = "refusal_p50_ms"
	RefusalP99       Metric = "refusal_p99_ms"
	// WindowedAttainment is the share of attained tries among those due in a
	// time window.
	WindowedAttainment Metric = "windowed_attainment"
	Goodput            Metric = "goodput"
	SendLagP99         Metric = "send_lag_p99_ms"
	EngineSeconds      Metric = "engine_seconds"
	// EngineSecondsPerAttained is the engine seconds per request that was answered
	// in time.
	EngineSecondsPerAttained Metric = "engine_seconds_per_attained"
	Tokens                   Metric = "tokens"
	StageCalls               Metric = "stage_calls"
	WastedShare              Metric = "wasted_share"
	ViolationCount           Metric = "violations"
	Undelivered              Metric = "undelivered"
)

// scope says which members of an Outcome may restrict a metric.
type scope uint8

const (
	scopeAll scope = iota
	scopeRequests
	scopeStages
	scopeViolations
	scopeWindow
)

type metricSpec struct {
	scope scope
	value func(*report.Report, Outcome) (float64, error)
}

var (
	errNoRequests = errors.New("no such requests in the run")
	errNoStage    = errors.New("no such stage in the run")
	errNoSamples  = errors.New("nothing was measured")
)

var metrics = map[Metric]metricSpec{
	Attainment:               groupMetric(func(g report.Group) (float64, error) { return g.Attainment.Share, nil }),
	TriesAttainment:          groupMetric(func(g report.Group) (float64, error) { return g.Tries.Share, nil }),
	Unexpected:               groupMetric(func(g report.Group) (float64, error) { return float64(g.Unexpected), nil }),
	RefusedShare:             groupMetric(func(g report.Group) (float64, error) { return float64(g.Refused) / float64(g.Tries.Of), nil }),
	LatencyP50:               quantileMetric(func(g report.Group) (report.Quantiles, float64) { return g.Latency, g.Latency.P50 }),
	LatencyP99:               quantileMetric(func(g report.Group) (report.Quantiles, float64) { return g.Latency, g.Latency.P99 }),
	FirstTokenP50:            quantileMetric(func(g report.Group) (report.Quantiles, float64) { return g.FirstToken, g.FirstToken.P50 }),
	FirstTokenP99:            quantileMetric(func(g report.Group) (report.Quantiles, float64) { return g.FirstToken, g.FirstToken.P99 }),
	BetweenTokensP99:         quantileMetric(func(g report.Group) (report.Quantiles, float64) { return g.BetweenTokens, g.BetweenTokens.P99 }),
	RefusalP50:               quantileMetric(func(g report.Group) (report.Quantiles, float64) { return g.Refusal, g.Refusal.P50 }),
	RefusalP99:               quantileMetric(func(g report.Group) (report.Quantiles, float64) { return g.Refusal, g.Refusal.P99 }),
	WindowedAttainment:       {scopeWindow, windowedAttainment},
	Goodput:                  reportMetric(func(r *report.Report) float64 { return r.Goodput }),
	SendLagP99:               reportMetric(func(r *report.Report) float64 { return r.SendLag.P99 }),
	Undelivered:              reportMetric(func(r *report.Report) float64 { return float64(r.Violations.Undelivered) }),
	EngineSeconds:            stageMetric(func(c report.StageCost, _ *report.Report) (float64, error) { return c.All.EngineSeconds, nil }),
	EngineSecondsPerAttained: stageMetric(engineSecondsPerAttained),
	Tokens:                   stageMetric(func(c report.StageCost, _ *report.Report) (float64, error) { return float64(c.All.Tokens), nil }),
	StageCalls:               stageMetric(func(c report.StageCost, _ *report.Report) (float64, error) { return float64(c.All.Calls), nil }),
	WastedShare:              stageMetric(func(c report.StageCost, _ *report.Report) (float64, error) { return c.WastedShare, nil }),
	ViolationCount:           {scopeViolations, violationCount},
}

// Metrics returns the names of all metrics in alphabetical order.
func Metrics() []Metric { return slices.Sorted(maps.Keys(metrics)) }

// Value returns the value of the metric that o selects in r, regardless of Min and Max.
// It fails if the metric is unknown or the run has no such requests, stage or samples.
func (o Outcome) Value(r *report.Report) (float64, error) {
	m, ok := metrics[o.Metric]
	if !ok {
		return 0, fmt.Errorf("unknown metric %q", o.Metric)
	}
	return m.value(r, o)
}

func reportMetric(f func(*report.Report) float64) metricSpec {
	return metricSpec{scopeAll, func(r *report.Report, _ Outcome) (float64, error) { return f(r), nil }}
}

func groupMetric(f func(report.Group) (float64, error)) metricSpec {
	return metricSpec{scopeRequests, func(r *report.Report, o Outcome) (float64, error) {
		g := r.All
		switch {
		case o.Pipeline != "":
			g = r.Pipelines[o.Pipeline]
		case o.Customer != "":
			g = r.Customers[o.Customer]
		}
		if g.Tries.Of == 0 {
			return 0, errNoRequests
		}
		return f(g)
	}}
}

func quantileMetric(f func(report.Group) (report.Quantiles, float64)) metricSpec {
	return groupMetric(func(g report.Group) (float64, error) {
		q, value := f(g)
		if q.Count == 0 {
			return 0, errNoSamples
		}
		return value, nil
	})
}

func stageMetric(f func(report.StageCost, *report.Report) (float64, error)) metricSpec {
	return metricSpec{scopeStages, func(r *report.Report, o Outcome) (float64, error) {
		if o.Stage == "" {
			return f(report.SumCosts(r.Stages), r)
		}
		for _, c := range r.Stages {
			if c.Stage == o.Stage {
				return f(c, r)
			}
		}
		return 0, errNoStage
	}}
}

func engineSecondsPerAttained(c report.StageCost, r *report.Report) (float64, error) {
	if r.All.Attainment.Met == 0 {
		return 0, errNoRequests
	}
	return c.All.EngineSeconds / float64(r.All.Attainment.Met), nil
}

func windowedAttainment(r *report.Report, o Outcome) (float64, error) {
	sent, attained := 0, 0
	for _, s := range r.Timeline {
		if s.At >= o.From && (o.To == 0 || s.At < o.To) {
			sent += s.Sent
			attained += s.Attained
		}
	}
	if sent == 0 {
		return 0, errNoRequests
	}
	return float64(attained) / float64(sent), nil
}

func violationCount(r *report.Report, o Outcome) (float64, error) {
	if o.Kind == "" {
		return float64(r.Violations.Total), nil
	}
	if !slices.Contains(audit.Kinds, audit.Kind(o.Kind)) {
		return 0, fmt.Errorf("unknown kind of violation %q", o.Kind)
	}
	return float64(r.Violations.ByKind[audit.Kind(o.Kind)]), nil
}
