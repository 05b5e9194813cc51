package soak

import (
	"fmt"
	"io"
	"time"
)

// Report is the result of a soak.
type Report struct {
	Seed     uint64
	Dir      string
	Daemons  int
	Duration time.Duration
	// Sessions is the number of sessions of the callers; 0 for none.
	Sessions int
	// WithLosses says that the run was to check streams that are taken up after losses.
	WithLosses bool
	Requests   int
	// Served, Refused (answered as not run), Failed, Incomplete (no complete answer) and
	// Abandoned (by the caller) add up to Requests.
	Served, Refused, Failed, Incomplete, Abandoned int
	// PausedStreams counts the runs of streams at healthy replicas that completed after at
	// least minStreamPause, the shortest pause that the soak injects.
	PausedStreams int
	// TakenUp counts the broken streams that callers took up at undisturbed daemons, and
	// Continued those of them that went on.
	TakenUp, Continued int
	// Losses counts the losses of all daemons at once. TakenUpAfterLoss counts the streams that
	// were taken up after one, while two sound engines of their version had been listed since
	// they began, and ContinuedAfterLoss those of them that went on; SentAfterLoss and
	// BegunAfterLoss are the same for new streams.
	Losses                               int
	TakenUpAfterLoss, ContinuedAfterLoss int
	SentAfterLoss, BegunAfterLoss        int
	// Streams counts the streams that were checked, and how they were taken up.
	Streams StreamCounts

	// PeakMemory is the largest resident memory of a daemon in bytes.
	PeakMemory int
	Faults     []string
	// Violations describe the guarantees that were violated.
	Violations []string
}

// Verdict is the outcome of a run.
type Verdict int

// The verdicts. CheckedNone means that no guarantee was seen violated, but that one of those that
// the run was to check could not be.
const (
	Passed Verdict = iota
	CheckedNone
	Violated
)

// Verdict returns the outcome of the run.
func (r Report) Verdict() Verdict {
	switch {
	case len(r.Violations) > 0:
		return Violated
	case len(r.Unchecked()) > 0:
		return CheckedNone
	}
	return Passed
}

// Unchecked describes the guarantees that the run was to check, but for which too few streams were
// taken up after losses.
func (r Report) Unchecked() []string {
	if !r.WithLosses {
		return nil
	}
	var out []string
	tally := shareTally{r.SentAfterLoss, r.BegunAfterLoss, r.TakenUpAfterLoss, r.ContinuedAfterLoss}
	if _, _, enough := tally.shares(); !enough {
		out = append(out, fmt.Sprintf("lost: %d attempts took streams up after losses of all daemons, %d are needed", r.TakenUpAfterLoss, minTakenUp))
	}
	if r.Streams.checkedAfterLosses() == 0 {
		out = append(out, "order: no attempt to take a stream up after a loss brought an event")
	}
	return out
}

// summary says the verdict in words.
func (r Report) summary() string {
	switch r.Verdict() {
	case Violated:
		return fmt.Sprintf("%d VIOLATIONS", len(r.Violations))
	case CheckedNone:
		return "CHECKED NONE (inconclusive)"
	}
	return "no violations"
}

// Print writes the report as text. It includes the faults only if there are violations.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d daemons for %s, %d sessions, under %d faults: %s\n", r.Seed, r.Daemons, r.Duration, r.Sessions, len(r.Faults), r.summary())
	fmt.Fprintf(w, "  %d requests: %d served, %d refused, %d failed, %d incomplete, %d abandoned by their callers; %d streams paused; %d of %d went on; peak memory %d MB\n",
		r.Requests, r.Served, r.Refused, r.Failed, r.Incomplete, r.Abandoned, r.PausedStreams, r.Continued, r.TakenUp, r.PeakMemory>>20)
	if r.Losses > 0 {
		fmt.Fprintf(w, "  %d losses of all daemons: %d of %d streams taken up after them went on; %d of %d new ones began\n",
			r.Losses, r.ContinuedAfterLoss, r.TakenUpAfterLoss, r.BegunAfterLoss, r.SentAfterLoss)
	}
	r.Streams.print(w)
	for _, u := range r.Unchecked() {
		fmt.Fprintf(w, "  checked none of %s\n", u)
	}
	const shown = 20
	for i, v := range r.Violations {
		if i == shown {
			fmt.Fprintf(w, "  and %d more\n", len(r.Violations)-shown)
			break
		}
		fmt.Fprintf(w, "  violation: %s\n", v)
	}
	if len(r.Violations) == 0 {
		return
	}
	fmt.Fprintf(w, "  logs and settings: %s\n  faults:\n", r.Dir)
	for _, f := range r.Faults {
		fmt.Fprintf(w, "  %s\n", f)
	}
}
