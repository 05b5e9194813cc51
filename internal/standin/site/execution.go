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
	process int
	// tokens is the length of the prompt, priority that of the request and after the
	// event after which the stream goes on.
	tokens, priority, after int
	// end is what the run comes to unless something else happens.
	end End

	// made has the time of each event, ended that of the end; the replica's mutex
	// guards them.
	made  []time.Time
	ended time.Time
}

// defaultPriority is that of requests that name none.
const defaultPriority = 5

// begin notes a run.
func (r *Replica) begin(req *http.Request, id, body string) *execution {
	run := &Run{
		RequestID: id, Replica: r.ID, Service: r.Service, Tenant: req.Header.Get("Tenant"), Method: req.Method,
		Target: req.RequestURI, Body: body, StartedAt: time.Now(), HasAPIKey: req.Header.Get("X-Api-Key") != "", LastEventID: req.Header.Get("Last-Event-Id"),
		CacheSource: req.Header.Get("Kv-Fetch"),
	}
	e := &execution{replica: r, run: run, tokens: promptTokens(req), priority: defaultPriority, end: Cut}
	if p, err := strconv.Atoi(req.Header.Get("Request-Priority")); err == nil {
		e.priority = p
	}
	e.after, _ = strconv.Atoi(run.LastEventID) // 0 from the start
	r.ledger.ran(run)
	r.mu.Lock()
	defer r.mu.Unlock()
	e.process = r.crashes
	r.forget(run.StartedAt.Add(-r.ReportLag))
	r.runs = append(r.runs, e)
	return e
}

// finish notes the end of a run, if it is not noted.
func (e *execution) finish() {
	r := e.replica
	r.mu.Lock()
	noted := !e.ended.IsZero()
	if !noted {
		e.ended = time.Now()
	}
	r.mu.Unlock()
	if !noted {
		r.ledger.ended(e.run, e.end)
	}
}

// complete notes that a run came to its end.
func (e *execution) complete() {
	e.end = Completed
	e.finish()
}

// wait works for a while; it says whether the host still wants the answer by then.
func (e *execution) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		e.cancelled()
		return false
	}
}

// cancelled notes that the connection has closed; the host did that unless the
// process has ended.
func (e *execution) cancelled() {
	r := e.replica
	r.mu.Lock()
	r.cancelled++
	if !r.closed && r.crashes == e.process {
		e.end = Cancelled
	}
	r.mu.Unlock()
	e.finish()
}

// makes notes that an event was made.
func (e *execution) makes() {
	e.replica.mu.Lock()
	defer e.replica.mu.Unlock()
	e.made = append(e.made, time.Now())
}
