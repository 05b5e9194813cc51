package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// ResultBytes is the size of a result, as Configuration tells it.
const ResultBytes = 100

// entry is a piece as it is asked for.
type entry struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// outcome is what became of a piece.
type outcome struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// runPieces makes the pieces of a call.
func (r *Replica) runPieces(w http.ResponseWriter, req *http.Request, b Behaviour) {
	var call struct {
		Entries []entry `json:"entries"`
	}
	if err := json.NewDecoder(req.Body).Decode(&call); err != nil {
		r.ledger.fault("%s: call not read: %v", r.ID, err)
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
	var answer struct {
		Entries []outcome `json:"entries"`
	}
	for _, e := range call.Entries {
		answer.Entries = append(answer.Entries, r.make(e))
	}
	w.Header().Set("Replica-Load", "0,0,1")
	writeJSON(w, answer)
}

// make makes one piece if its inputs exist.
func (r *Replica) make(e entry) outcome {
	l := r.ledger
	if (e.Key == "") == (len(e.Inputs) == 0) {
		l.fault("%s: piece %d of stage %d of %s has key %q and %d inputs", r.ID, e.Piece, e.Stage, e.ID, e.Key, len(e.Inputs))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := map[string]bool{}
	for _, h := range e.Inputs {
		in, ok := l.results[h]
		switch {
		case !ok:
			return outcome{Reason: "gone"}
		case in.request != e.ID || in.stage >= e.Stage:
			l.faults = append(l.faults, fmt.Sprintf("%s: piece of %s was given a result of %s, stage %d", r.ID, e.ID, in.request, in.stage))
		case seen[h]:
			l.faults = append(l.faults, fmt.Sprintf("%s: piece of %s was given %s twice", r.ID, e.ID, h))
		}
		seen[h] = true
	}
	r.handles++
	l.made++
	handle := fmt.Sprintf("%s/%s-%d", r.Address(), r.ID, r.handles)
	l.results[handle] = result{e.ID, e.Stage, e.Piece}
	return outcome{Handle: handle}
}

// freePieces gives results up.
func (r *Replica) freePieces(w http.ResponseWriter, req *http.Request) {
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
	for _, h := range call.Handles {
		if _, ok := l.results[h]; !ok {
			l.faults = append(l.faults, fmt.Sprintf("%s: %s freed twice or never made", r.ID, h))
			continue
		}
		delete(l.results, h)
		l.freed++
	}
	w.WriteHeader(http.StatusOK)
}

// headroomBytes is the memory for results that Configuration gives each replica.
const headroomBytes = 1_000_000

// report tells the room for results.
func (r *Replica) report(w http.ResponseWriter) {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	held := 0
	for handle := range l.results {
		if strings.HasPrefix(handle, r.Address()+"/") {
			held++
		}
	}
	writeJSON(w, map[string]any{"queued": 0, "busy": 0, "free_mb": (headroomBytes - held*ResultBytes) / 1_000_000})
}

// inputsHeld checks the results that a request was given; without them it
// refuses.
func (r *Replica) inputsHeld(w http.ResponseWriter, req *http.Request, id string) bool {
	list := req.Header.Get("Input-Count")
	if list == "" {
		return true
	}
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range strings.Split(list, ",") {
		in, ok := l.results[h]
		if !ok {
			refuse(w, http.StatusConflict)
			return false
		}
		if in.request != id {
			l.faults = append(l.faults, fmt.Sprintf("%s: request %s was given a result of %s", r.ID, id, in.request))
		}
	}
	return true
}
