package site

import (
	"fmt"
	"sync"
	"time"
)

// Run is one execution of a request at a replica.
type Run struct {
	RequestID string
	Replica   string
	Service   string
	Tenant    string
	Method    string
	Target    string
	Body      string
	// Key says that the caller's API key was passed on.
	HasAPIKey bool
	// After is the event after which a stream went on.
	LastEventID string
	// At is when it began.
	StartedAt time.Time
	// CopyFrom is the engine from which the replica was told to copy.
	CacheSource string
	// End is how it ended and Ended when; zero while it is under way.
	End     End
	EndedAt time.Time
}

// End is how a run ended.
type End uint8

// The ends of runs.
const (
	// UnderWay runs have not ended.
	InProgress End = iota
	// Complete runs came to their end, whether the answer arrived or not.
	Completed
	// Cancelled runs ended since the host closed the connection.
	Cancelled
	// Cut runs ended by the replica's behaviour, or with its process.
	Cut
)

// String names the end.
func (e End) String() string {
	return [...]string{"under way", "complete", "cancelled", "cut"}[e]
}

// Ledger holds what ran, over all replicas of a site, and what they found
// wrong. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	runs   []*Run
	faults []string
	holds  ReservationCounts
	// results maps the handles that exist to what made them.
	results map[string]result
	made    int
	freed   int
}

// result is the result of one piece.
type result struct {
	request string
	stage   int
	piece   int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{results: map[string]result{}} }

func (l *Ledger) ran(r *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// ended notes the end of a run.
func (l *Ledger) ended(r *Run, end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.End, r.EndedAt = end, time.Now()
}

func (l *Ledger) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// Runs returns the executions of a request.
func (l *Ledger) Runs(request string) []Run {
	return l.which(func(r Run) bool { return r.RequestID == request })
}

// RunsOf returns the executions of requests with a body.
func (l *Ledger) RunsWithBody(body string) []Run {
	return l.which(func(r Run) bool { return r.Body == body })
}

func (l *Ledger) which(counts func(Run) bool) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []Run
	for _, r := range l.runs {
		if counts(*r) {
			runs = append(runs, *r)
		}
	}
	return runs
}

// Faults returns what replicas found wrong with what they were sent.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.faults...)
}

// Results returns how many results of stages were made, freed and are held.
func (l *Ledger) Results() (made, freed, held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.made, l.freed, len(l.results)
}
