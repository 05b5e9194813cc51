package site

import (
	"encoding/json"
	"net/http"
	"strings"
)

const (
	movePath       = "/-/kv-move"
	copyPathPrefix = "/-/kv-handle/"
)

// serveMove serves the calls that move a run or release its copy. It reports whether the request
// was one.
func (r *Replica) serveMove(w http.ResponseWriter, req *http.Request, b Behaviour) bool {
	handle, isRelease := strings.CutPrefix(req.URL.Path, copyPathPrefix)
	switch {
	case !isRelease && req.URL.Path != movePath:
		return false
	case b.NoEngineCalls || b.NoMoves:
		w.WriteHeader(http.StatusNotFound)
	case isRelease:
		r.ledger.takeRunCopy(r.address + "/" + handle)
	default:
		r.moveRun(w, req, b)
	}
	return true
}

// moveRun stops a run and makes a copy of its memory.
func (r *Replica) moveRun(w http.ResponseWriter, req *http.Request, b Behaviour) {
	var call struct {
		ID, Destination string
		Last            bool
	}
	if err := json.NewDecoder(req.Body).Decode(&call); err != nil || call.ID == "" || call.Destination == "" || !call.Last {
		r.ledger.recordViolation("%s: invalid move of run %q to %q, last %t: %v", r.ID, call.ID, call.Destination, call.Last, err)
		refuse(w, http.StatusBadRequest)
		return
	}
	e := r.stopRun(call.ID)
	if e == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	handle := "copy-" + call.ID
	r.ledger.recordRunCopy(r.address+"/"+handle, call.ID)
	if b.NoRoomForMoves {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	writeJSON(w, map[string]any{"handle": handle, "made": e.lastEventID})
}

// stopRun ends the run of a request and returns it; nil if none is in progress.
func (r *Replica) stopRun(id string) *execution {
	r.mu.Lock()
	var found *execution
	for _, e := range r.runs {
		if e.run.RequestID == id && e.endedAt.IsZero() {
			found, e.finalEnd = e, Stopped
		}
	}
	r.mu.Unlock()
	if found != nil {
		found.recordEnd()
	}
	return found
}

// useRunCopy uses the copy that a request names. It reports whether the request can run: a copy
// must exist and be that of a run of the same request.
func (r *Replica) useRunCopy(w http.ResponseWriter, req *http.Request, id string) bool {
	name := req.Header.Get("Kv-From")
	if name == "" || name == ForgedValue {
		return true // serve records forged values
	}
	switch of := r.ledger.takeRunCopy(name); of {
	case id:
		return true
	case "":
	default:
		r.ledger.recordViolation("%s: request %s goes on from the memory of %s", r.ID, id, of)
	}
	refuse(w, http.StatusServiceUnavailable)
	return false
}

// RunCopies returns the number of copies of runs that were neither used nor released.
func (l *Ledger) RunCopies() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runCopies)
}

func (l *Ledger) recordRunCopy(name, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runCopies[name] = request
}

// takeRunCopy removes a copy and returns the id of its request; "" if there is no such copy.
func (l *Ledger) takeRunCopy(name string) (request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request = l.runCopies[name]
	delete(l.runCopies, name)
	return request
}
