package site

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// execution is a run on a replica, with the state that is private to the replica.
type execution struct {
	replica *Replica
	run     *Run
	// processGeneration is the value of Replica.crashes at the start of the run. It
	// identifies the process that executes the run.
	processGeneration int
	// promptTokens is the number of prompt tokens, priority the request priority,
	// and lastEventID the number of the event after which the stream resumes; 0 if it starts at the
	// beginning.
	promptTokens, priority, lastEventID int

	// lastPart is the last part of the prompt, once the engine has read it.
	lastPart cachedPart

	// finalEnd is the End that recordEnd records, eventTimes the time of each generated event,
	// and endedAt the end of the run. They are guarded by the mutex of the replica.
	finalEnd   End
	eventTimes []time.Time
	endedAt    time.Time
}

// defaultPriority is the priority of requests without a Request-Priority header.
const defaultPriority = 5

// beginRun records the start of a run.
func (r *Replica) beginRun(req *http.Request, id, body string, ids EventIDs) *execution {
	run := &Run{
		RequestID: id, Replica: r.ID, Service: r.Service, Version: r.Version, Tenant: req.Header.Get("Tenant"), Method: req.Method,
		Target: req.RequestURI, Body: body, StartedAt: time.Now(), HasAPIKey: req.Header.Get("X-Api-Key") != "", LastEventID: req.Header.Get("Last-Event-Id"),
		CacheSource: req.Header.Get("Kv-Fetch"), SharedParts: sharedParts(req),
	}
	e := &execution{replica: r, run: run, promptTokens: promptTokens(req), priority: defaultPriority, finalEnd: Aborted}
	if p, err := strconv.Atoi(req.Header.Get("Request-Priority")); err == nil {
		e.priority = p
	}
	e.lastEventID = ids.number(run.LastEventID)
	r.ledger.recordRun(run)
	r.mu.Lock()
	defer r.mu.Unlock()
	e.processGeneration = r.crashes
	r.pruneRuns(run.StartedAt.Add(-r.ReportLag))
	r.runs = append(r.runs, e)
	return e
}

// recordEnd records the end of the run, unless it is already recorded.
func (e *execution) recordEnd() {
	r := e.replica
	r.mu.Lock()
	recorded, end := !e.endedAt.IsZero(), e.finalEnd
	if !recorded {
		e.endedAt = time.Now()
	}
	r.mu.Unlock()
	if !recorded {
		r.ledger.recordEnd(e.run, end)
	}
}

// ended reports whether the run has ended.
func (e *execution) ended() bool {
	e.replica.mu.Lock()
	defer e.replica.mu.Unlock()
	return !e.endedAt.IsZero()
}

// complete records that the run has completed.
func (e *execution) complete() {
	e.replica.mu.Lock()
	e.finalEnd = Completed
	e.replica.mu.Unlock()
	e.recordEnd()
}

// wait waits for d. If ctx is done first, it records the cancellation and returns
// false.
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

// cancel records that the connection has closed. The run counts as cancelled by the
// host unless the process of the replica has crashed or was closed.
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

// recordEvent records that an event was generated.
func (e *execution) recordEvent() {
	e.replica.mu.Lock()
	defer e.replica.mu.Unlock()
	e.eventTimes = append(e.eventTimes, time.Now())
	e.keepGenerated()
}
