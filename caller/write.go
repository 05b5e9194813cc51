package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/wheatseam/wheatseam/problem"
)

// problemDocument is an RFC 9457 problem document.
type problemDocument struct {
	Type      string            `json:"type"`
	Title     string            `json:"title"`
	Status    int               `json:"status"`
	Detail    string            `json:"detail,omitempty"`
	Kind      problem.Kind      `json:"kind"`
	Execution problem.Execution `json:"execution"`
	StagesRun []string          `json:"stages_run,omitempty"`
	RequestID string            `json:"request_id"`
	// RetryAfterMs is Retry-After in milliseconds, or 0 if a retry does not help.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

func newProblemDocument(id string, e *problem.Error) problemDocument {
	row := problem.Lookup(e.Kind)
	d := problemDocument{
		Type: "urn:wheatseam:problem:" + string(row.Kind), Title: row.Title, Status: row.Status,
		Detail: e.Detail, Kind: row.Kind, Execution: e.Execution, StagesRun: e.StagesRun, RequestID: id,
	}
	if row.Retryable {
		d.RetryAfterMs = e.RetryAfter.Milliseconds()
	}
	return d
}

func writeProblem(w http.ResponseWriter, id string, e *problem.Error) {
	d := newProblemDocument(id, e)
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set("X-Request-Id", id)
	if d.RetryAfterMs > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	w.WriteHeader(d.Status)
	// A failed write means that the caller has disconnected, so that the error
	// cannot be reported to it.
	_ = json.NewEncoder(w).Encode(d)
}

// retryAfterSeconds rounds up, since the Retry-After header takes whole seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
