package site

import (
	"fmt"
	"sync"
	"time"
)

// Run is one execution of a request at a replica.
type Run struct {
	Request string
	Replica string
	Service string
	Tenant  string
	Method  string
	Target  string
	Body    string
	// Key says that the caller's API key was passed on.
	Key bool
	// After is the event after which a stream went on.
	After string
	// At is when it began.
	At time.Time
	// CopyFrom is the engine from which the replica was told to copy.
	CopyFrom string
	// End is how it ended and Ended when; zero while it is under way.
	End   End
	Ended time.Time
}

// End is how a run ended.
type End uint8

// The ends of runs.
const (
	// UnderWay runs have not ended.
	UnderWay End = iota
	// Complete runs came to their end, whether the answer arrived or not.
	Complete
	// Cancelled runs ended since the host closed the connection.
	Cancelled
	// Cut runs ended by the replica's behaviour, or with its process.
	Aborted
)

// String names the end.
func (e End) String() string {
	return [...]string{"under way", "complete", "cancelled", "cut"}[e]
}

// Ledger holds what ran, over all replicas of a site, and what they found
// wrong. It is safe for concurrent use.
type Ledger struct {
	mu           sync.Mutex
	runs         []*Run
	violations   []string
	reservations Holds
	// results maps the handles that exist to what made them.
	results         map[string]stageResult
	resultsCreated  int
	resultsReleased int
}

// result is the result of one piece.
type stageResult struct {
	requestID string
	stage     int
	piece     int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{results: map[string]stageResult{}} }

func (l *Ledger) recordRun(r *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// ended notes the end of a run.
func (l *Ledger) recordEnd(r *Run, end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.End, r.Ended = end, time.Now()
}

func (l *Ledger) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// Runs returns the executions of a request.
func (l *Ledger) Runs(request string) []Run {
	return l.runsWhere(func(r Run) bool { return r.Request == request })
}

// RunsOf returns the executions of requests with a body.
func (l *Ledger) RunsOf(body string) []Run {
	return l.runsWhere(func(r Run) bool { return r.Body == body })
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

// Faults returns what replicas found wrong with what they were sent.
func (l *Ledger) Faults() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// Results returns how many results of stages were made, freed and are held.
func (l *Ledger) Results() (created, released, live int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resultsCreated, l.resultsReleased, len(l.results)
}
