package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// ResultBytes is the size of a stage result in bytes, as set in GatewayConfig.
const ResultBytes = 100

// pieceRequest is a piece to execute.
type pieceRequest struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// pieceResult is the outcome of a piece: the handle of its result, or the reason why
// it was not executed.
type pieceResult struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// runPieces executes the pieces of a piece call.
func (r *Replica) runPieces(w http.ResponseWriter, req *http.Request, b Behaviour) {
	var call struct {
		Entries []pieceRequest `json:"entries"`
	}
	if err := json.NewDecoder(req.Body).Decode(&call); err != nil {
		r.ledger.recordViolation("%s: decoding a piece call failed: %v", r.ID, err)
		refuse(w, http.StatusBadRequest)
		return
	}
	select {
	case <-time.After(b.ServiceTime):
	case <-req.Context().Done():
		return
	}
	if b.AbortBeforeResponse {
		panic(http.ErrAbortHandler)
	}
	var response struct {
		Entries []pieceResult `json:"entries"`
	}
	for _, e := range call.Entries {
		response.Entries = append(response.Entries, r.runPiece(e))
	}
	w.Header().Set("Replica-Load", r.loadReport("0,0,1"))
	writeJSON(w, response)
}

// runPiece executes a piece if its inputs exist.
func (r *Replica) runPiece(e pieceRequest) pieceResult {
	l := r.ledger
	if (e.Key == "") == (len(e.Inputs) == 0) {
		l.recordViolation("%s: piece %d of stage %d of request %s has key %q and %d inputs, want either a key or inputs", r.ID, e.Piece, e.Stage, e.ID, e.Key, len(e.Inputs))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := map[string]bool{}
	for _, handle := range e.Inputs {
		in, ok := l.results[handle]
		switch {
		case !ok:
			return pieceResult{Reason: "gone"}
		case in.requestID != e.ID || in.stage >= e.Stage:
			l.violations = append(l.violations, fmt.Sprintf("%s: piece of request %s has a result of request %s, stage %d, as input", r.ID, e.ID, in.requestID, in.stage))
		case seen[handle]:
			l.violations = append(l.violations, fmt.Sprintf("%s: piece of request %s has input %s twice", r.ID, e.ID, handle))
		}
		seen[handle] = true
	}
	r.resultsCreated++
	l.resultsCreated++
	handle := fmt.Sprintf("%s/%s-%d", r.Address(), r.ID, r.resultsCreated)
	l.results[handle] = stageResult{e.ID, e.Stage, e.Piece}
	return pieceResult{Handle: handle}
}

// releaseResults releases results by their handles.
func (r *Replica) releaseResults(w http.ResponseWriter, req *http.Request) {
	var call struct {
		Handles []string `json:"handles"`
	}
	if err := json.NewDecoder(req.Body).Decode(&call); err != nil {
		refuse(w, http.StatusBadRequest)
		return
	}
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, handle := range call.Handles {
		if _, ok := l.results[handle]; !ok {
			l.violations = append(l.violations, fmt.Sprintf("%s: result %s was released twice or never created", r.ID, handle))
			continue
		}
		delete(l.results, handle)
		l.resultsReleased++
	}
	w.WriteHeader(http.StatusOK)
}

// headroomBytes is the memory for results of each replica in GatewayConfig.
const headroomBytes = 1_000_000

// writeStageReport responds with the free memory for results.
func (r *Replica) writeStageReport(w http.ResponseWriter) {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	live := 0
	for handle := range l.results {
		if strings.HasPrefix(handle, r.Address()+"/") {
			live++
		}
	}
	writeJSON(w, map[string]any{"queued": 0, "busy": 0, "free_mb": (headroomBytes - live*ResultBytes) / 1_000_000})
}

// checkInputs checks the stage results that a request refers to. If one does not
// exist, it refuses the request with 409 and returns false.
func (r *Replica) checkInputs(w http.ResponseWriter, req *http.Request, id string) bool {
	list := req.Header.Get("Input-Count")
	if list == "" {
		return true
	}
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, handle := range strings.Split(list, ",") {
		in, ok := l.results[handle]
		if !ok {
			refuse(w, http.StatusConflict)
			return false
		}
		if in.requestID != id {
			l.violations = append(l.violations, fmt.Sprintf("%s: request %s has a result of request %s as input", r.ID, id, in.requestID))
		}
	}
	return true
}
