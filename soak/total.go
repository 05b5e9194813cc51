package soak

import (
	"fmt"
	"io"
)

// Total is the result of several runs.
type Total struct {
	// Passed, CheckedNone and Violated are the numbers of runs with each verdict.
	Passed, CheckedNone, Violated int
	// Losses and the four numbers after it are the sums of those of the reports.
	Losses                               int
	TakenUpAfterLoss, ContinuedAfterLoss int
	SentAfterLoss, BegunAfterLoss        int
	// AfterLoss counts the attempts of TakenUpAfterLoss by evidence and reason.
	AfterLoss TakeUpCounts
	// WithFault counts the streams with each kind of fault, and JoinedBy the joined ones by evidence.
	WithFault, JoinedBy map[string]int
	withLosses          bool
}

// NewTotal returns the total of no runs.
func NewTotal() *Total {
	return &Total{AfterLoss: newTakeUpCounts(), WithFault: map[string]int{}, JoinedBy: map[string]int{}}
}

// Add adds the report of a run.
func (t *Total) Add(r Report) {
	switch r.Verdict() {
	case Passed:
		t.Passed++
	case CheckedNone:
		t.CheckedNone++
	case Violated:
		t.Violated++
	}
	t.withLosses = t.withLosses || r.WithLosses
	t.Losses += r.Losses
	t.TakenUpAfterLoss += r.TakenUpAfterLoss
	t.ContinuedAfterLoss += r.ContinuedAfterLoss
	t.SentAfterLoss += r.SentAfterLoss
	t.BegunAfterLoss += r.BegunAfterLoss
	t.AfterLoss.merge(r.Streams.AfterLoss)
	mergeCounts(t.WithFault, r.Streams.WithFault)
	mergeCounts(t.JoinedBy, r.Streams.JoinedBy)
}

// Verdict returns the worst verdict of the runs.
func (t *Total) Verdict() Verdict {
	switch {
	case t.Violated > 0:
		return Violated
	case t.CheckedNone > 0:
		return CheckedNone
	}
	return Passed
}

// Print writes the total as text.
func (t *Total) Print(w io.Writer) {
	fmt.Fprintf(w, "%d of %d seeds passed, %d with violations, %d checked none\n",
		t.Passed, t.Passed+t.Violated+t.CheckedNone, t.Violated, t.CheckedNone)
	if !t.withLosses {
		return
	}
	fmt.Fprintf(w, "  %d losses of all daemons: %d of %d streams taken up after them went on; %d of %d new ones began; %d streams joined\n",
		t.Losses, t.ContinuedAfterLoss, t.TakenUpAfterLoss, t.BegunAfterLoss, t.SentAfterLoss, t.WithFault[string(joinedStream)])
	t.AfterLoss.print(w)
	if len(t.JoinedBy) > 0 {
		fmt.Fprintf(w, "    joined by %s\n", counted(t.JoinedBy))
	}
}

// merge adds other counts.
func (c *TakeUpCounts) merge(other TakeUpCounts) {
	c.Attempts += other.Attempts
	c.Checked += other.Checked
	c.Unanswered += other.Unanswered
	for evidence, share := range other.ByEvidence {
		c.ByEvidence[evidence] = c.ByEvidence[evidence].plus(share)
	}
	mergeCounts(c.Refused, other.Refused)
}

// mergeCounts adds counts to others by their names.
func mergeCounts(to, from map[string]int) {
	for name, n := range from {
		to[name] += n
	}
}
