package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wheatseam/wheatseam/replay"
)

// groupBuilder builds a Group from calls.
type groupBuilder struct {
	group Group
	// attainedByRequest says for each request, by the id of its first try, whether
	// any of its tries was answered in time.
	attainedByRequest map[string]bool

	latency, firstToken, betweenTokens, refusal *hdrhistogram.Histogram
}

func newGroupBuilder() *groupBuilder {
	return &groupBuilder{
		attainedByRequest: map[string]bool{}, latency: newHistogram(), firstToken: newHistogram(),
		betweenTokens: newHistogram(), refusal: newHistogram(),
	}
}

func (g *groupBuilder) add(c *replay.Call) {
	attained := c.Attained()
	g.attainedByRequest[c.FirstTryID] = g.attainedByRequest[c.FirstTryID] || attained
	g.group.Tries.count(attained)
	if !c.Expected() {
		g.group.Unexpected++
	}
	switch c.Outcome {
	case replay.Answered:
		g.addAnswer(c, attained)
	case replay.Refused:
		g.group.Refused++
		observe(g.refusal, c.Latency)
	default:
		g.group.Unanswered++
	}
}

func (g *groupBuilder) addAnswer(c *replay.Call, attained bool) {
	g.group.Answered++
	if !attained {
		g.group.Late++
	}
	observe(g.latency, c.Latency)
	if c.FirstToken > 0 {
		observe(g.firstToken, c.FirstToken)
	}
	for _, gap := range c.InterTokenGaps {
		observe(g.betweenTokens, gap)
	}
}

func (g *groupBuilder) build() Group {
	for _, attained := range g.attainedByRequest {
		g.group.Attainment.count(attained)
	}
	g.group.Latency = quantiles(g.latency)
	g.group.FirstToken = quantiles(g.firstToken)
	g.group.BetweenTokens = quantiles(g.betweenTokens)
	g.group.Refusal = quantiles(g.refusal)
	return g.group
}

// groupBuilders builds one Group for each value of a key, such as the pipeline.
type groupBuilders map[string]*groupBuilder

func (g groupBuilders) add(key string, c *replay.Call) {
	if g[key] == nil {
		g[key] = newGroupBuilder()
	}
	g[key].add(c)
}

func (g groupBuilders) build() map[string]Group {
	out := make(map[string]Group, len(g))
	for key, builder := range g {
		out[key] = builder.build()
	}
	return out
}

// countCalls fills in the metrics that depend on the calls alone.
func (r *Report) countCalls(calls []*replay.Call, speed float64) {
	all, pipelines, customers := newGroupBuilder(), groupBuilders{}, groupBuilders{}
	lag := newHistogram()
	var last time.Duration
	for _, c := range calls {
		switch c.Outcome {
		case replay.Skipped:
			r.Skipped++
			continue
		case replay.NotSent:
			r.NotSent++
			continue
		}
		offset := time.Duration(float64(c.Request.At()) / speed)
		last = max(last, offset)
		all.add(c)
		pipelines.add(c.Request.Pipeline, c)
		customers.add(c.Request.Customer, c)
		observe(lag, c.SendLag)
		r.addToTimeline(int(offset/time.Second), c)
	}
	r.All, r.Pipelines, r.Customers = all.build(), pipelines.build(), customers.build()
	r.SendLag = quantiles(lag)
	r.SpanSeconds = last.Seconds()
	if last > 0 {
		r.Goodput = float64(r.All.Attainment.Met) / last.Seconds()
	}
}

func (r *Report) addToTimeline(second int, c *replay.Call) {
	for len(r.Timeline) <= second {
		r.Timeline = append(r.Timeline, Second{At: len(r.Timeline)})
	}
	s := &r.Timeline[second]
	s.Sent++
	if c.Attained() {
		s.Attained++
	}
	if c.Outcome == replay.Refused {
		s.Refused++
	}
}

// refusals groups the refusals by kind and execution, sorted by descending count.
func refusals(calls []*replay.Call) []Refusal {
	type kind struct{ kind, execution string }
	after := map[kind]*hdrhistogram.Histogram{}
	for _, c := range calls {
		if c.Outcome != replay.Refused {
			continue
		}
		k := kind{string(c.Refusal.Kind), string(c.Refusal.Execution)}
		if after[k] == nil {
			after[k] = newHistogram()
		}
		observe(after[k], c.Latency)
	}
	out := []Refusal{}
	for k, h := range after {
		out = append(out, Refusal{Kind: k.kind, Execution: k.execution, Count: int(h.TotalCount()), After: quantiles(h)})
	}
	slices.SortFunc(out, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Execution, b.Execution))
	})
	return out
}
