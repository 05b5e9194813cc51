package site

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// execution is a run at a replica, with what only the replica knows of it.
type execution struct {
	replica *Replica
	run     *Run
	// process numbers the process that runs it.
	processGeneration int
	// tokens is the length of the prompt, priority that of the request and after the
	// event after which the stream goes on.
	promptTokens, priority, lastEventID int
	// end is what the run comes to unless something else happens.
	finalEnd End

	// made has the time of each event, ended that of the end; the replica's mutex
	// guards them.
	eventTimes []time.Time
	endedAt    time.Time
}

// defaultPriority is that of requests that name none.
const defaultPriority = 5

// begin notes a run.
func (r *Replica) beginRun(req *http.Request, id, body string) *execution {
	run := &Run{
		Request: id, Replica: r.ID, Service: r.Service, Tenant: req.Header.Get("Tenant"), Method: req.Method,
		Target: req.RequestURI, Body: body, At: time.Now(), Key: req.Header.Get("X-Api-Key") != "", After: req.Header.Get("Last-Event-Id"),
		CopyFrom: req.Header.Get("Kv-Fetch"),
	}
	e := &execution{replica: r, run: run, promptTokens: promptTokens(req), priority: defaultPriority, finalEnd: Aborted}
	if p, err := strconv.Atoi(req.Header.Get("Request-Priority")); err == nil {
		e.priority = p
	}
	e.lastEventID, _ = strconv.Atoi(run.After) // 0 from the start
	r.ledger.recordRun(run)
	r.mu.Lock()
	defer r.mu.Unlock()
	e.processGeneration = r.crashes
	r.pruneRuns(run.At.Add(-r.ReportLag))
	r.runs = append(r.runs, e)
	return e
}

// finish notes the end of a run, if it is not noted.
func (e *execution) recordEnd() {
	r := e.replica
	r.mu.Lock()
	recorded := !e.endedAt.IsZero()
	if !recorded {
		e.endedAt = time.Now()
	}
	r.mu.Unlock()
	if !recorded {
		r.ledger.recordEnd(e.run, e.finalEnd)
	}
}

// complete notes that a run came to its end.
func (e *execution) complete() {
	e.finalEnd = Complete
	e.recordEnd()
}

// wait works for a while; it says whether the host still wants the answer by then.
func (e *execution) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		e.cancel()
		return false
	}
}

// cancelled notes that the connection has closed; the host did that unless the
// process has ended.
func (e *execution) cancel() {
	r := e.replica
	r.mu.Lock()
	r.cancelled++
	if !r.closed && r.crashes == e.processGeneration {
		e.finalEnd = Cancelled
	}
	r.mu.Unlock()
	e.recordEnd()
}

// makes notes that an event was made.
func (e *execution) recordEvent() {
	e.replica.mu.Lock()
	defer e.replica.mu.Unlock()
	e.eventTimes = append(e.eventTimes, time.Now())
}
