package route

import (
	"slices"
	"strconv"
	"time"

	"github.com/wheatseam/wheatseam/record"
)

// StepPick is the decision step that a Router records.
const StepPick record.Step = "route.pick"

// maxRecordedCandidates limits the candidates in one record entry.
const maxRecordedCandidates = 16

// recordPick records the pick with its candidates: first the sampled ones, then
// rejected ones.
func (p *poolView) recordPick(rec record.Recorder, v *View, outcome string, drawn []scoredCandidate) {
	if rec == nil {
		return
	}
	s := p.shard
	e := record.Entry{At: v.Now, Step: StepPick, Stage: v.Query.Stage, Attempt: v.Query.Attempt, Outcome: outcome}
	e.Candidates = make([]record.Candidate, 0, min(maxRecordedCandidates, len(v.Candidates)))
	for _, d := range drawn {
		e.Candidates = append(e.Candidates, record.Candidate{Upstream: v.Candidates[d.index].Name, Score: d.cost})
	}
	refused := 0
	for i, set := range s.result.refusals {
		if set == 0 || wasDrawn(drawn, i) {
			continue
		}
		refused++
		if len(e.Candidates) < maxRecordedCandidates {
			c := &v.Candidates[i]
			e.Candidates = append(e.Candidates, record.Candidate{Upstream: c.Name, RefusalReason: refusalReason(v, p.steps.filters, c)})
		}
	}
	e.Fields = p.recordFields(v, refused, drawn)
	rec.Add(e)
}

// recordFields returns the values on which a pick was based.
func (p *poolView) recordFields(v *View, refused int, drawn []scoredCandidate) []record.Field {
	fs := make([]record.Field, 0, 10+len(p.steps.scorers))
	add := func(key, value string) { fs = append(fs, record.Field{Key: key, Value: value}) }
	add("pool", p.name)
	add("policy", string(p.steps.policy))
	add("candidates", strconv.Itoa(len(v.Candidates)))
	if v.Sampled {
		add("pool_size", strconv.Itoa(len(p.members.all)))
	}
	add("refused", strconv.Itoa(refused))
	if r := p.shard.result.relaxed; r != Never {
		add("relaxed", strconv.Itoa(int(r)))
	}
	if v.PrefixHome >= 0 {
		add("prefix_home", v.Candidates[v.PrefixHome].Name)
	}
	if len(drawn) == 0 {
		return fs
	}
	c := &v.Candidates[drawn[0].index]
	add("own", strconv.Itoa(c.OwnCalls))
	add("foreign", formatCost(c.OtherCalls))
	add("believed", formatCost(c.SampledOtherCalls))
	if v.HasSlowdowns {
		add("slowdown", formatCost(c.Slowdown))
		if pause := v.expectedPause(c); pause > 0 {
			add("expected_pause", pause.Round(time.Millisecond).String())
		}
	}
	for _, s := range p.steps.scorers {
		add("cost."+s.Name(), formatCost(s.Cost(v, c)))
	}
	return fs
}

func formatCost(x float64) string { return strconv.FormatFloat(x, 'f', 3, 64) }

// wasDrawn reports whether candidate i was sampled. That is possible for a rejected
// candidate if the filters that reject it were relaxed.
func wasDrawn(drawn []scoredCandidate, i int) bool {
	return slices.ContainsFunc(drawn, func(d scoredCandidate) bool { return d.index == i })
}
