package audit

import (
	"strings"

	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/replay"
	"github.com/wheatseam/wheatseam/replay/ledger"
)

// answered returns the first call of the group with an answer, in time or late.
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

// findLost reports a request whose caller received neither an answer nor a refusal, and
// an answer although one of its stages has no completed execution.
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
		// The request id of the unanswered try is unknown, and the answer may
		// be based on stages that this try executed.
		return
	}
	for _, s := range a.pipelines[answer.Request.Pipeline].Stages {
		if !g.completed(LedgerStage(s)) {
			a.addViolation(Lost, answer, "answered although stage %s was not completed", s.Name)
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

// findDuplicateExecution reports a non-repeatable stage that was started more than
// once, regardless of the state of the executions: a failed one may have had its side
// effect.
func (a *auditor) findDuplicateExecution(g *requestGroup) {
	started := map[string][]ledger.Entry{}
	for _, e := range g.entries {
		if a.isNonRepeatable(g, e) {
			started[e.Stage] = append(started[e.Stage], e)
		}
	}
	for stage, entries := range started {
		if len(entries) < 2 {
			continue
		}
		var where []string
		for _, e := range entries {
			where = append(where, e.Upstream+" for "+e.RequestID+" ("+string(e.State)+")")
		}
		a.addViolation(DuplicateExecution, g.calls[0], "stage %s was started %d times: %s", stage, len(entries), strings.Join(where, ", "))
	}
}

// findMisdelivered reports an answer that contains the correlation token or the id of
// another request, whose streamed text differs from its final text, or whose stages
// were executed for another customer.
func (a *auditor) findMisdelivered(g *requestGroup) {
	for _, c := range g.calls {
		if c.Outcome != replay.Answered {
			continue
		}
		if c.StreamedTextDiffers {
			a.addViolation(Misdelivered, c, "the streamed text differs from the text of the final event")
		}
		if other := a.otherGroupIn(g, c); other != nil {
			a.addViolation(Misdelivered, c, "the answer contains results of %s", other.firstTryID)
		}
	}
	for _, e := range g.entries {
		if customer := g.calls[0].Request.Customer; e.Customer != customer {
			a.addViolation(Misdelivered, g.calls[0], "stage %s was executed for customer %q, not %q", e.Stage, e.Customer, customer)
		}
	}
}

// otherGroupIn returns another group whose correlation token or request id appears in
// the answer of c, or nil.
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

// findFalseNotRun reports a refusal that states not_run although a non-repeatable stage
// was started for this try, or for another try of the request before this one was sent.
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
				a.addViolation(FalseNotRun, c, "refused as %s although stage %s was started by %s for %s", c.Refusal.Kind, e.Stage, e.Upstream, e.RequestID)
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
