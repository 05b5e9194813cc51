package audit

import (
	"strings"

	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/replay"
	"github.com/wheatseam/wheatseam/replay/ledger"
)

// answered returns the first whole answer of the group, in time or late.
func (g *requestGroup) answered() *replay.Call {
	for _, c := range g.calls {
		if c.Outcome == replay.Answered {
			return c
		}
	}
	return nil
}

func (g *requestGroup) unanswered() *replay.Call {
	for _, c := range g.calls {
		if c.Outcome == replay.Unanswered {
			return c
		}
	}
	return nil
}

// findLost reports a request whose caller heard nothing whole, and an answer
// with a stage that nothing executed.
func (a *auditor) findLost(g *requestGroup) {
	answer := g.answered()
	unanswered := g.unanswered()
	if answer == nil {
		if unanswered != nil {
			a.addViolation(Lost, unanswered, "neither answered nor refused by %s: %s", unanswered.Host, unanswered.Problem)
		}
		return
	}
	if unanswered != nil {
		// The id of the silent try is unknown, and the answer may rest on
		// stages that it ran.
		return
	}
	for _, s := range a.pipelines[answer.Request.Pipeline].Stages {
		if !g.completed(LedgerStage(s)) {
			a.addViolation(Lost, answer, "answered, and stage %s was never done", s.Name)
		}
	}
}

func (g *requestGroup) completed(stage string) bool {
	for _, e := range g.entries {
		if e.Stage == stage && e.State == ledger.Done {
			return true
		}
	}
	return false
}

// findDoubled reports a stage that may not be repeated and was begun twice,
// whatever became of it: an execution that failed may have had its effect.
func (a *auditor) findDuplicateExecution(g *requestGroup) {
	begun := map[string][]ledger.Entry{}
	for _, e := range g.entries {
		if a.isNonRepeatable(g, e) {
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
		a.addViolation(DuplicateExecution, g.calls[0], "stage %s was begun %d times: %s", stage, len(entries), strings.Join(where, ", "))
	}
}

// findMisdelivered reports an answer that bears the mark or the id of another
// request, or whose work was executed for another customer.
func (a *auditor) findMisdelivered(g *requestGroup) {
	for _, c := range g.calls {
		if c.Outcome != replay.Answered {
			continue
		}
		if c.StreamedTextDiffers {
			a.addViolation(Misdelivered, c, "the streamed text is not the text of the closing event")
		}
		if other := a.otherGroupIn(g, c); other != nil {
			a.addViolation(Misdelivered, c, "the answer holds work of %s", other.firstTryID)
		}
	}
	for _, e := range g.entries {
		if customer := g.calls[0].Request.Customer; e.Customer != customer {
			a.addViolation(Misdelivered, g.calls[0], "stage %s was executed for customer %q, not %q", e.Stage, e.Customer, customer)
		}
	}
}

// foreign returns another group whose mark or request id stands in c's answer.
func (a *auditor) otherGroupIn(g *requestGroup, c *replay.Call) *requestGroup {
	for _, m := range replay.FindCorrelationTokens(c.Answer.Result) {
		if other := a.groupsByToken[m]; m != c.CorrelationToken && other != nil {
			return other
		}
	}
	for _, u := range uuidPattern.FindAll(c.Answer.Result, -1) {
		if other := a.groupsByUUID[string(u)]; other != nil && other != g {
			return other
		}
	}
	return nil
}

// findUntrueNotRun reports a refusal that says not_run although a stage that
// may not be repeated was begun for the very request, or for an earlier try of
// it before this one was even sent.
func (a *auditor) findFalseNotRun(g *requestGroup) {
	for _, c := range g.calls {
		if c.Outcome != replay.Refused || c.Refusal.Execution != problem.NotRun {
			continue
		}
		for _, e := range g.entries {
			if !a.isNonRepeatable(g, e) {
				continue
			}
			own := e.RequestID == c.Refusal.RequestID
			if own || e.StartedUnixMS < c.SentAt.UnixMilli() {
				a.addViolation(FalseNotRun, c, "refused as %s, and stage %s was begun by %s for %s", c.Refusal.Kind, e.Stage, e.Upstream, e.RequestID)
				break
			}
		}
	}
}

func (a *auditor) countUndelivered(g *requestGroup) {
	if g.answered() != nil {
		return
	}
	for _, e := range g.entries {
		if e.State == ledger.Done && a.isNonRepeatable(g, e) {
			a.finding.Undelivered++
			return
		}
	}
}
