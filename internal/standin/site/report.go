package site

import (
	"net/http"
	"slices"
	"time"
)

// reportRuns tells the runs of an engine as they were ReportLag ago: the request,
// the tokens in memory, the number of the newest event made, and the priority.
func (r *Replica) reportRuns(w http.ResponseWriter) {
	asOf := time.Now().Add(-r.ReportLag)
	runs := [][]any{}
	r.mu.Lock()
	r.forget(asOf)
	for _, e := range r.runs {
		if e.run.StartedAt.After(asOf) {
			continue
		}
		made := e.after
		for _, at := range e.made {
			if !at.After(asOf) {
				made++
			}
		}
		runs = append(runs, []any{e.run.RequestID, e.tokens + made, made, e.priority})
	}
	r.mu.Unlock()
	writeJSON(w, map[string]any{"stage": "colocated", "queued": 0, "active": len(runs), "runs": runs})
}

// forget drops the runs that no report lists any more; the caller holds mu.
func (r *Replica) forget(asOf time.Time) {
	r.runs = slices.DeleteFunc(r.runs, func(e *execution) bool { return !e.ended.IsZero() && e.ended.Before(asOf) })
}
