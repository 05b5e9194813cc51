// Package audit compares the outcomes that callers observed with the executions in the
// ledgers of the stand-ins and reports violations of the correctness guarantees.
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

// Kind is the kind of a violation.
type Kind string

const (
	// Lost means that a caller received neither an answer nor a refusal, or an
	// answer although one of its stages has no completed execution.
	Lost Kind = "lost"
	// DuplicateExecution means that a non-repeatable stage was started more than
	// once for the same request.
	DuplicateExecution Kind = "doubled"
	// Misdelivered means that an answer contains results of another request.
	Misdelivered Kind = "misdelivered"
	// FalseNotRun means that a refusal stated not_run although a non-repeatable
	// stage had been started.
	FalseNotRun Kind = "untrue_not_run"
)

// Kinds lists all kinds.
var Kinds = []Kind{Lost, DuplicateExecution, Misdelivered, FalseNotRun}

// Violation is one violation with the ids needed to find the request in the decision
// record.
type Violation struct {
	Kind Kind `json:"kind"`
	// Request is the id in the trace, RequestID the id that the fleet assigned.
	Request   string `json:"request"`
	RequestID string `json:"request_id,omitempty"`
	Key       string `json:"key,omitempty"`
	Detail    string `json:"detail"`
}

// Finding is the result of an audit.
type Finding struct {
	Violations []Violation
	// Undelivered counts requests whose non-repeatable stage was completed but
	// whose caller received no answer. This is no violation if the caller was
	// informed that the stage ran or may have run; any other case is reported as a
	// violation as well.
	Undelivered int
}

// auditor holds the state of one audit.
type auditor struct {
	pipelines map[string]bundle.Pipeline
	groups    []*requestGroup
	// groupsByUUID maps the UUID in a request id of the fleet to its group.
	groupsByUUID  map[string]*requestGroup
	groupsByToken map[string]*requestGroup
	finding       Finding
}

// requestGroup is one request with all of its tries and executions.
type requestGroup struct {
	firstTryID string
	calls      []*replay.Call
	// requestIDs are the known ids that the fleet assigned to the tries.
	requestIDs map[string]bool
	entries    []ledger.Entry
}

// Audit compares calls with ledger entries. The pipelines define the stages and which
// of them are non-repeatable.
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

// requestUUID returns the UUID in a request id of the fleet, or the id itself if it
// contains none.
func requestUUID(requestID string) string {
	if u := uuidPattern.FindString(requestID); u != "" {
		return u
	}
	return requestID
}

// groupCalls groups the sent calls by their first try.
func (a *auditor) groupCalls(calls []*replay.Call) {
	groupsByFirstTry := map[string]*requestGroup{}
	for _, c := range calls {
		if !c.Sent() {
			continue
		}
		g := groupsByFirstTry[c.FirstTryID]
		if g == nil {
			g = &requestGroup{firstTryID: c.FirstTryID, requestIDs: map[string]bool{}}
			groupsByFirstTry[c.FirstTryID] = g
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

// assignEntries assigns every ledger entry to its group, by idempotency key or else by
// request id.
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

// LedgerStage returns the stage name of executions of s in a ledger. Engines do not
// receive the stage name, so they record every execution as "generate".
func LedgerStage(s bundle.Stage) string {
	if s.Kind == bundle.StageGenerate {
		return string(bundle.StageGenerate)
	}
	return s.Name
}

// isNonRepeatable reports whether e is an execution of a non-repeatable stage. If the
// stage is not in the pipeline, a key in the entry indicates a non-repeatable one.
func (a *auditor) isNonRepeatable(g *requestGroup, e ledger.Entry) bool {
	for _, s := range a.pipelines[g.calls[0].Request.Pipeline].Stages {
		if LedgerStage(s) == e.Stage {
			return s.NonRepeatable
		}
	}
	return e.Key != ""
}
