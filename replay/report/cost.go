package report

import (
	"cmp"
	"slices"

	"github.com/wheatseam/wheatseam/replay"
	"github.com/wheatseam/wheatseam/replay/ledger"
)

// Spent is the cost of a set of executions.
type Spent struct {
	Calls         int     `json:"calls"`
	EngineSeconds float64 `json:"engine_seconds"`
	Tokens        int     `json:"tokens"`
}

func (s *Spent) add(e ledger.Entry) {
	s.Calls++
	s.EngineSeconds += e.EngineMS / 1000
	s.Tokens += e.Tokens
}

// StageCost is the cost of one stage and the share of it that was wasted.
type StageCost struct {
	Stage string `json:"stage"`
	All   Spent  `json:"all"`
	// Retries is the cost of attempts for requests that were answered in time by
	// another attempt that did not run at the same time.
	Retries Spent `json:"retries"`
	// Hedges is the cost of attempts that ran at the same time as the attempt
	// whose result was used.
	Hedges Spent `json:"hedges"`
	// Late is the cost of executions for requests that were not answered in
	// time, Cancelled that of such executions that were cancelled. Late does not
	// include Cancelled.
	Late      Spent `json:"late"`
	Cancelled Spent `json:"cancelled"`
	// WastedShare is the share of Retries, Hedges, Late and Cancelled in the
	// engine seconds, or in the calls if no engine seconds are known.
	WastedShare float64 `json:"wasted_share"`
}

func (c *StageCost) computeWastedShare() {
	seconds, calls := 0.0, 0
	for _, s := range []Spent{c.Retries, c.Hedges, c.Late, c.Cancelled} {
		seconds += s.EngineSeconds
		calls += s.Calls
	}
	switch {
	case c.All.EngineSeconds > 0:
		c.WastedShare = seconds / c.All.EngineSeconds
	case c.All.Calls > 0:
		c.WastedShare = float64(calls) / float64(c.All.Calls)
	}
}

// executionUse says what an execution contributed to its request.
type executionUse uint8

const (
	useNeeded executionUse = iota
	useRetry
	useHedge
	useLate
	useCancelled
)

// stageWork identifies the executions for one stage of one request.
type stageWork struct{ request, stage string }

// stageCosts sums up the entries by stage and sorts the result by stage name.
func stageCosts(calls []*replay.Call, entries []ledger.Entry) []StageCost {
	index := newRequestIndex(calls)
	executionsByWork := map[stageWork][]ledger.Entry{}
	for _, e := range entries {
		work := stageWork{index.requestOf(e), e.Stage}
		executionsByWork[work] = append(executionsByWork[work], e)
	}
	stages := map[string]*StageCost{}
	for work, executions := range executionsByWork {
		if stages[work.stage] == nil {
			stages[work.stage] = &StageCost{Stage: work.stage}
		}
		for i, use := range classifyExecutions(executions, index.attained[work.request]) {
			stages[work.stage].addEntry(executions[i], use)
		}
	}
	out := []StageCost{}
	for _, c := range stages {
		c.computeWastedShare()
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b StageCost) int { return cmp.Compare(a.Stage, b.Stage) })
	return out
}

func (c *StageCost) addEntry(e ledger.Entry, use executionUse) {
	c.All.add(e)
	switch use {
	case useRetry:
		c.Retries.add(e)
	case useHedge:
		c.Hedges.add(e)
	case useLate:
		c.Late.add(e)
	case useCancelled:
		c.Cancelled.add(e)
	}
}

// requestIndex finds the request of an execution and whether the request was answered
// in time. Requests are identified by the id of their first try.
type requestIndex struct {
	byID     map[string]string
	byKey    map[[2]string]string
	attained map[string]bool
}

func newRequestIndex(calls []*replay.Call) requestIndex {
	r := requestIndex{byID: map[string]string{}, byKey: map[[2]string]string{}, attained: map[string]bool{}}
	for _, c := range calls {
		if id := c.RequestID(); id != "" {
			r.byID[id] = c.FirstTryID
		}
		if c.Key != "" {
			r.byKey[[2]string{c.Request.Customer, c.Key}] = c.FirstTryID
		}
		r.attained[c.FirstTryID] = r.attained[c.FirstTryID] || c.Attained()
	}
	return r
}

// requestOf returns the request that e was executed for. If no call has the key or the
// request id of e, it returns a name made from the request id, which does not count as
// attained.
func (r requestIndex) requestOf(e ledger.Entry) string {
	if firstTryID, ok := r.byKey[[2]string{e.Customer, e.Key}]; ok && e.Key != "" {
		return firstTryID
	}
	if firstTryID, ok := r.byID[e.RequestID]; ok {
		return firstTryID
	}
	return "unknown " + e.RequestID
}

// classifyExecutions returns the use of each execution for one stage of one request.
// The result of the execution that completed first is the one that was used.
func classifyExecutions(executions []ledger.Entry, attained bool) []executionUse {
	out := make([]executionUse, len(executions))
	firstDone := -1
	for i, e := range executions {
		if e.State == ledger.Done && (firstDone < 0 || e.FinishedUnixMS < executions[firstDone].FinishedUnixMS) {
			firstDone = i
		}
	}
	for i, e := range executions {
		switch {
		case !attained && e.State == ledger.Cancelled:
			out[i] = useCancelled
		case !attained:
			out[i] = useLate
		case i == firstDone:
			out[i] = useNeeded
		case firstDone >= 0 && overlap(e, executions[firstDone]):
			out[i] = useHedge
		default:
			out[i] = useRetry
		}
	}
	return out
}

// overlap reports whether two executions ran at the same time.
func overlap(a, b ledger.Entry) bool {
	return a.StartedUnixMS < b.FinishedUnixMS && (b.StartedUnixMS < a.FinishedUnixMS || a.State == ledger.Running)
}

// SumCosts adds up the costs of several stages.
func SumCosts(stages []StageCost) StageCost {
	var out StageCost
	for _, c := range stages {
		out.All.merge(c.All)
		out.Retries.merge(c.Retries)
		out.Hedges.merge(c.Hedges)
		out.Late.merge(c.Late)
		out.Cancelled.merge(c.Cancelled)
	}
	out.computeWastedShare()
	return out
}

func (s *Spent) merge(o Spent) {
	s.Calls += o.Calls
	s.EngineSeconds += o.EngineSeconds
	s.Tokens += o.Tokens
}
