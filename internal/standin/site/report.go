package site

import (
	"net/http"
	"slices"
	"time"
)

// writeEngineReport responds with the runs of the engine as of ReportLag ago. For
// each run it lists the request id, the number of tokens in memory, the id of the
// newest event and the priority.
func (r *Replica) writeEngineReport(w http.ResponseWriter) {
	asOf := time.Now().Add(-r.ReportLag)
	runs := [][]any{}
	r.mu.Lock()
	r.pruneRuns(asOf)
	for _, e := range r.runs {
		if e.run.StartedAt.After(asOf) {
			continue
		}
		eventID := e.lastEventID
		for _, at := range e.eventTimes {
			if !at.After(asOf) {
				eventID++
			}
		}
		runs = append(runs, []any{e.run.RequestID, e.promptTokens + eventID, eventID, e.priority})
	}
	r.mu.Unlock()
	writeJSON(w, map[string]any{"stage": "colocated", "queued": 0, "active": len(runs), "runs": runs})
}

// pruneRuns removes the runs that ended before asOf, which no report lists any more.
// The caller holds mu.
func (r *Replica) pruneRuns(asOf time.Time) {
	r.runs = slices.DeleteFunc(r.runs, func(e *execution) bool { return !e.endedAt.IsZero() && e.endedAt.Before(asOf) })
}
