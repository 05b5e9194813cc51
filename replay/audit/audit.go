// Package audit compares what callers heard with what the stand-ins executed
// and finds the violations of what must always hold.
package audit

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/replay"
	"github.com/wheatseam/wheatseam/replay/ledger"
)

// Kind is a kind of violation.
type Kind string

// The kinds of violation.
const (
	// Lost: a caller heard neither an answer nor a refusal, or had an answer
	// that no execution stands behind.
	Lost Kind = "lost"
	// Doubled: a stage that may not be repeated was begun more than once.
	DuplicateExecution Kind = "doubled"
	// Misdelivered: an answer holds the work of another request.
	Misdelivered Kind = "misdelivered"
	// UntrueNotRun: a refusal says not_run, and a stage that may not be
	// repeated was begun.
	FalseNotRun Kind = "untrue_not_run"
)

// Kinds lists every kind.
var Kinds = []Kind{Lost, DuplicateExecution, Misdelivered, FalseNotRun}

// Violation is one violation, with enough to look it up in the decision record.
type Violation struct {
	Kind Kind `json:"kind"`
	// Request is the id within the trace, RequestID that of the fleet.
	Request   string `json:"request"`
	RequestID string `json:"request_id,omitempty"`
	Key       string `json:"key,omitempty"`
	Detail    string `json:"detail"`
}

// Finding is what an audit yields.
type Finding struct {
	Violations []Violation
	// Undelivered counts requests whose stage that may not be repeated was
	// done and whose caller was told so (or that it may be), but never got the
	// answer. It is honest, and no violation.
	Undelivered int
}

// auditor holds the indexes over one run.
type auditor struct {
	pipelines map[string]bundle.Pipeline
	groups    []*requestGroup
	// byUUID finds the group of the UUID in a fleet's request id.
	groupsByUUID  map[string]*requestGroup
	groupsByToken map[string]*requestGroup
	finding       Finding
}

// group is one request with all of its tries.
type requestGroup struct {
	firstTryID string
	calls      []*replay.Call
	// ids are the fleet's ids of the tries that are known.
	requestIDs map[string]bool
	entries    []ledger.Entry
}

// Audit judges calls by entries. The pipelines say which stages there are and
// which may not be repeated.
func Audit(calls []*replay.Call, entries []ledger.Entry, pipelines []bundle.Pipeline) Finding {
	a := &auditor{pipelines: map[string]bundle.Pipeline{}, groupsByUUID: map[string]*requestGroup{}, groupsByToken: map[string]*requestGroup{}}
	for _, p := range pipelines {
		a.pipelines[p.Name] = p
	}
	a.groupCalls(calls)
	a.assignEntries(entries)
	for _, g := range a.groups {
		a.findLost(g)
		a.findDuplicateExecution(g)
		a.findMisdelivered(g)
		a.findFalseNotRun(g)
		a.countUndelivered(g)
	}
	return a.finding
}

func (a *auditor) addViolation(k Kind, c *replay.Call, format string, args ...any) {
	a.finding.Violations = append(a.finding.Violations, Violation{
		Kind: k, Request: c.Request.ID, RequestID: c.RequestID(), Key: c.Key, Detail: fmt.Sprintf(format, args...),
	})
}

var uuidPattern = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)

// identity returns the UUID in a fleet's request id, or the id itself.
func requestUUID(requestID string) string {
	if u := uuidPattern.FindString(requestID); u != "" {
		return u
	}
	return requestID
}

// gather groups the calls that were sent by their first try.
func (a *auditor) groupCalls(calls []*replay.Call) {
	roots := map[string]*requestGroup{}
	for _, c := range calls {
		if !c.Sent() {
			continue
		}
		g := roots[c.FirstTryID]
		if g == nil {
			g = &requestGroup{firstTryID: c.FirstTryID, requestIDs: map[string]bool{}}
			roots[c.FirstTryID] = g
			a.groups = append(a.groups, g)
		}
		g.calls = append(g.calls, c)
		a.groupsByToken[c.CorrelationToken] = g
		id := c.RequestID()
		if id == "" {
			continue
		}
		if other := a.groupsByUUID[requestUUID(id)]; other != nil && other != g {
			a.addViolation(Misdelivered, c, "the request id is also that of %s", other.firstTryID)
		}
		g.requestIDs[id] = true
		a.groupsByUUID[requestUUID(id)] = g
	}
}

// assign gives every ledger entry to its group, by key or else by request id.
func (a *auditor) assignEntries(entries []ledger.Entry) {
	type keyOf struct{ customer, key string }
	byKey := map[keyOf]*requestGroup{}
	for _, g := range a.groups {
		if c := g.calls[0]; c.Key != "" {
			byKey[keyOf{c.Request.Customer, c.Key}] = g
		}
	}
	for _, e := range entries {
		g := a.groupsByUUID[requestUUID(e.RequestID)]
		if e.Key != "" {
			if keyed := byKey[keyOf{e.Customer, uuidPattern.FindString(e.Key)}]; keyed != nil {
				g = keyed
			}
		}
		if g != nil {
			g.entries = append(g.entries, e)
		}
	}
	for _, g := range a.groups {
		slices.SortStableFunc(g.entries, func(x, y ledger.Entry) int { return cmp.Compare(x.StartedUnixMS, y.StartedUnixMS) })
	}
}

// LedgerStage returns the name under which executions of s stand in a ledger:
// engines know of no stages and enter all as generations.
func LedgerStage(s bundle.Stage) string {
	if s.Kind == bundle.StageGenerate {
		return string(bundle.StageGenerate)
	}
	return s.Name
}

// nonRepeatable says whether e executes a stage that may not be repeated.
func (a *auditor) isNonRepeatable(g *requestGroup, e ledger.Entry) bool {
	for _, s := range a.pipelines[g.calls[0].Request.Pipeline].Stages {
		if LedgerStage(s) == e.Stage {
			return s.NonRepeatable
		}
	}
	return e.Key != ""
}
