package audit

import (
	"strings"

	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/replay"
	"github.com/wheatseam/wheatseam/replay/ledger"
)

// answered returns the first whole answer of the group, in time or late.
func (g *group) answered() *replay.Call {
	for _, c := range g.calls {
		if c.Outcome == replay.Answered {
			return c
		}
	}
	return nil
}

func (g *group) unanswered() *replay.Call {
	for _, c := range g.calls {
		if c.Outcome == replay.Unanswered {
			return c
		}
	}
	return nil
}

// findLost reports a request whose caller heard nothing whole, and an answer
// with a stage that nothing executed.
func (a *auditor) findLost(g *group) {
	answer := g.answered()
	silent := g.unanswered()
	if answer == nil {
		if silent != nil {
			a.report(Lost, silent, "neither answered nor refused by %s: %s", silent.Host, silent.Problem)
		}
		return
	}
	if silent != nil {
		// The id of the silent try is unknown, and the answer may rest on
		// stages that it ran.
		return
	}
	for _, s := range a.pipelines[answer.Request.Pipeline].Stages {
		if !g.done(LedgerStage(s)) {
			a.report(Lost, answer, "answered, and stage %s was never done", s.Name)
		}
	}
}

func (g *group) done(stage string) bool {
	for _, e := range g.entries {
		if e.Stage == stage && e.State == ledger.Done {
			return true
		}
	}
	return false
}

// findDoubled reports a stage that may not be repeated and was begun twice,
// whatever became of it: an execution that failed may have had its effect.
func (a *auditor) findDoubled(g *group) {
	begun := map[string][]ledger.Entry{}
	for _, e := range g.entries {
		if a.nonRepeatable(g, e) {
			begun[e.Stage] = append(begun[e.Stage], e)
		}
	}
	for stage, entries := range begun {
		if len(entries) < 2 {
			continue
		}
		var where []string
		for _, e := range entries {
			where = append(where, e.Upstream+" for "+e.RequestID+" ("+string(e.State)+")")
		}
		a.report(Doubled, g.calls[0], "stage %s was begun %d times: %s", stage, len(entries), strings.Join(where, ", "))
	}
}

// findMisdelivered reports an answer that bears the mark or the id of another
// request, or whose work was executed for another customer.
func (a *auditor) findMisdelivered(g *group) {
	for _, c := range g.calls {
		if c.Outcome != replay.Answered {
			continue
		}
		if c.TextDiffers {
			a.report(Misdelivered, c, "the streamed text is not the text of the closing event")
		}
		if other := a.foreign(g, c); other != nil {
			a.report(Misdelivered, c, "the answer holds work of %s", other.root)
		}
	}
	for _, e := range g.entries {
		if customer := g.calls[0].Request.Customer; e.Customer != customer {
			a.report(Misdelivered, g.calls[0], "stage %s was executed for customer %q, not %q", e.Stage, e.Customer, customer)
		}
	}
}

// foreign returns another group whose mark or request id stands in c's answer.
func (a *auditor) foreign(g *group, c *replay.Call) *group {
	for _, m := range replay.Marks(c.Answer.Result) {
		if other := a.byMark[m]; m != c.Mark && other != nil {
			return other
		}
	}
	for _, u := range uuidPattern.FindAll(c.Answer.Result, -1) {
		if other := a.byUUID[string(u)]; other != nil && other != g {
			return other
		}
	}
	return nil
}

// findUntrueNotRun reports a refusal that says not_run although a stage that
// may not be repeated was begun for the very request, or for an earlier try of
// it before this one was even sent.
func (a *auditor) findUntrueNotRun(g *group) {
	for _, c := range g.calls {
		if c.Outcome != replay.Refused || c.Refusal.Execution != problem.NotRun {
			continue
		}
		for _, e := range g.entries {
			if !a.nonRepeatable(g, e) {
				continue
			}
			own := e.RequestID == c.Refusal.RequestID
			if own || e.StartedUnixMS < c.SentAt.UnixMilli() {
				a.report(UntrueNotRun, c, "refused as %s, and stage %s was begun by %s for %s", c.Refusal.Kind, e.Stage, e.Upstream, e.RequestID)
				break
			}
		}
	}
}

func (a *auditor) countUndelivered(g *group) {
	if g.answered() != nil {
		return
	}
	for _, e := range g.entries {
		if e.State == ledger.Done && a.nonRepeatable(g, e) {
			a.finding.Undelivered++
			return
		}
	}
}
