package site

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Run is an execution of a request on a replica.
type Run struct {
	RequestID string
	Replica   string
	Service   string
	// Version is the version of the replica's software; "" for none.
	Version string
	Tenant  string
	Method  string
	Target  string
	Body    string
	// HasAPIKey reports whether the client's API key was passed on to the replica.
	HasAPIKey bool
	// LastEventID is the id of the event after which a stream resumed.
	LastEventID string
	// StartedAt is the start time.
	StartedAt time.Time
	// CacheSource is the engine from which the replica was told to copy the KV cache.
	CacheSource string
	// SharedParts are the IDs of the parts of the prompt, without the last one.
	SharedParts []string
	// End is how the run ended and EndedAt when; both are zero while the run is in
	// progress.
	End     End
	EndedAt time.Time
}

// End is how a run ended.
type End uint8

// The ways in which a run can end, and InProgress for one that has not ended.
const (
	// InProgress runs are in progress.
	InProgress End = iota
	// Completed runs have finished, whether or not the response was delivered.
	Completed
	// Cancelled runs ended because the host closed the connection.
	Cancelled
	// Stopped runs were ended by a call that moved their memory.
	Stopped
	// Aborted runs were ended by the behaviour of the replica or with its process.
	Aborted
)

// String returns the name of the end as used in reports.
func (e End) String() string {
	return [...]string{"in progress", "completed", "cancelled", "stopped", "aborted"}[e]
}

// Ledger records the runs of all replicas of a site and the protocol violations
// that the replicas detected. It is safe for concurrent use.
type Ledger struct {
	mu           sync.Mutex
	runs         []*Run
	violations   []string
	reservations ReservationCounts
	// runCopies maps the copies of runs that were moved and not used or released, named as in
	// Kv-From, to the ids of their requests.
	runCopies map[string]string
	// results maps the handles of results that are not released to the results.
	results         map[string]stageResult
	resultsCreated  int
	resultsReleased int
}

// stageResult identifies the piece that produced a result.
type stageResult struct {
	requestID string
	stage     int
	piece     int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{results: map[string]stageResult{}, runCopies: map[string]string{}}
}

func (l *Ledger) recordRun(r *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// recordEnd records the end of a run.
func (l *Ledger) recordEnd(r *Run, end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.End, r.EndedAt = end, time.Now()
}

func (l *Ledger) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// Runs returns the runs of a request.
func (l *Ledger) Runs(request string) []Run {
	return l.runsWhere(func(r Run) bool { return r.RequestID == request })
}

// RunsWithBody returns the runs of all requests with the given body.
func (l *Ledger) RunsWithBody(body string) []Run {
	return l.runsWhere(func(r Run) bool { return r.Body == body })
}

// RunsWithPart returns the runs of all requests with the given part in their prompts, unless it
// is the last one.
func (l *Ledger) RunsWithPart(part string) []Run {
	return l.runsWhere(func(r Run) bool { return slices.Contains(r.SharedParts, part) })
}

func (l *Ledger) runsWhere(matches func(Run) bool) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []Run
	for _, r := range l.runs {
		if matches(*r) {
			runs = append(runs, *r)
		}
	}
	return runs
}

// Violations returns the protocol violations that replicas detected in requests, and
// failures of the fake itself.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// Results returns the numbers of stage results that were created, were released and
// still exist.
func (l *Ledger) Results() (created, released, live int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resultsCreated, l.resultsReleased, len(l.results)
}
