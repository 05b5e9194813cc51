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
	Doubled Kind = "doubled"
	// Misdelivered: an answer holds the work of another request.
	Misdelivered Kind = "misdelivered"
	// UntrueNotRun: a refusal says not_run, and a stage that may not be
	// repeated was begun.
	UntrueNotRun Kind = "untrue_not_run"
)

// Kinds lists every kind.
var Kinds = []Kind{Lost, Doubled, Misdelivered, UntrueNotRun}

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
	groups    []*group
	// byUUID finds the group of the UUID in a fleet's request id.
	byUUID  map[string]*group
	byMark  map[string]*group
	finding Finding
}

// group is one request with all of its tries.
type group struct {
	root  string
	calls []*replay.Call
	// ids are the fleet's ids of the tries that are known.
	ids     map[string]bool
	entries []ledger.Entry
}

// Audit judges calls by entries. The pipelines say which stages there are and
// which may not be repeated.
func Audit(calls []*replay.Call, entries []ledger.Entry, pipelines []bundle.Pipeline) Finding {
	a := &auditor{pipelines: map[string]bundle.Pipeline{}, byUUID: map[string]*group{}, byMark: map[string]*group{}}
	for _, p := range pipelines {
		a.pipelines[p.Name] = p
	}
	a.gather(calls)
	a.assign(entries)
	for _, g := range a.groups {
		a.findLost(g)
		a.findDoubled(g)
		a.findMisdelivered(g)
		a.findUntrueNotRun(g)
		a.countUndelivered(g)
	}
	return a.finding
}

func (a *auditor) report(k Kind, c *replay.Call, format string, args ...any) {
	a.finding.Violations = append(a.finding.Violations, Violation{
		Kind: k, Request: c.Request.ID, RequestID: c.RequestID(), Key: c.Key, Detail: fmt.Sprintf(format, args...),
	})
}

var uuidPattern = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)

// identity returns the UUID in a fleet's request id, or the id itself.
func identity(requestID string) string {
	if u := uuidPattern.FindString(requestID); u != "" {
		return u
	}
	return requestID
}

// gather groups the calls that were sent by their first try.
func (a *auditor) gather(calls []*replay.Call) {
	roots := map[string]*group{}
	for _, c := range calls {
		if !c.Sent() {
			continue
		}
		g := roots[c.Root]
		if g == nil {
			g = &group{root: c.Root, ids: map[string]bool{}}
			roots[c.Root] = g
			a.groups = append(a.groups, g)
		}
		g.calls = append(g.calls, c)
		a.byMark[c.Mark] = g
		id := c.RequestID()
		if id == "" {
			continue
		}
		if other := a.byUUID[identity(id)]; other != nil && other != g {
			a.report(Misdelivered, c, "the request id is also that of %s", other.root)
		}
		g.ids[id] = true
		a.byUUID[identity(id)] = g
	}
}

// assign gives every ledger entry to its group, by key or else by request id.
func (a *auditor) assign(entries []ledger.Entry) {
	type keyOf struct{ customer, key string }
	byKey := map[keyOf]*group{}
	for _, g := range a.groups {
		if c := g.calls[0]; c.Key != "" {
			byKey[keyOf{c.Request.Customer, c.Key}] = g
		}
	}
	for _, e := range entries {
		g := a.byUUID[identity(e.RequestID)]
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
func (a *auditor) nonRepeatable(g *group, e ledger.Entry) bool {
	for _, s := range a.pipelines[g.calls[0].Request.Pipeline].Stages {
		if LedgerStage(s) == e.Stage {
			return s.NonRepeatable
		}
	}
	return e.Key != ""
}
