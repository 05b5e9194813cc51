package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wheatseam/wheatseam/replay"
)

// gatherer builds a Group.
type gatherer struct {
	group Group
	// roots says for each request whether any of its tries was answered in time.
	roots map[string]bool

	latency, first, between, refusal *hdrhistogram.Histogram
}

func newGatherer() *gatherer {
	return &gatherer{
		roots: map[string]bool{}, latency: newHistogram(), first: newHistogram(),
		between: newHistogram(), refusal: newHistogram(),
	}
}

func (g *gatherer) take(c *replay.Call) {
	attained := c.Attained()
	g.roots[c.Root] = g.roots[c.Root] || attained
	g.group.Tries.count(attained)
	if !c.Expected() {
		g.group.Unexpected++
	}
	switch c.Outcome {
	case replay.Answered:
		g.takeAnswer(c, attained)
	case replay.Refused:
		g.group.Refused++
		observe(g.refusal, c.Latency)
	default:
		g.group.Unanswered++
	}
}

func (g *gatherer) takeAnswer(c *replay.Call, attained bool) {
	g.group.Answered++
	if !attained {
		g.group.Late++
	}
	observe(g.latency, c.Latency)
	if c.FirstToken > 0 {
		observe(g.first, c.FirstToken)
	}
	for _, gap := range c.Gaps {
		observe(g.between, gap)
	}
}

func (g *gatherer) done() Group {
	for _, attained := range g.roots {
		g.group.Attainment.count(attained)
	}
	g.group.Latency = quantiles(g.latency)
	g.group.FirstToken = quantiles(g.first)
	g.group.BetweenTokens = quantiles(g.between)
	g.group.Refusal = quantiles(g.refusal)
	return g.group
}

// gatherers builds the groups of a key, such as the pipeline.
type gatherers map[string]*gatherer

func (g gatherers) take(key string, c *replay.Call) {
	if g[key] == nil {
		g[key] = newGatherer()
	}
	g[key].take(c)
}

func (g gatherers) done() map[string]Group {
	out := make(map[string]Group, len(g))
	for key, one := range g {
		out[key] = one.done()
	}
	return out
}

// countCalls fills in all that follows from the calls alone.
func (r *Report) countCalls(calls []*replay.Call, speed float64) {
	all, pipelines, customers := newGatherer(), gatherers{}, gatherers{}
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
		all.take(c)
		pipelines.take(c.Request.Pipeline, c)
		customers.take(c.Request.Customer, c)
		observe(lag, c.Lag)
		r.countSecond(int(offset/time.Second), c)
	}
	r.All, r.Pipelines, r.Customers = all.done(), pipelines.done(), customers.done()
	r.SendLag = quantiles(lag)
	r.SpanSeconds = last.Seconds()
	if last > 0 {
		r.Goodput = float64(r.All.Attainment.Met) / last.Seconds()
	}
}

func (r *Report) countSecond(second int, c *replay.Call) {
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

// refusals groups the refusals by kind and execution, the most frequent first.
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
