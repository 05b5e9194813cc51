package soak

import (
	"fmt"
	"io"
	"time"
)

// Report is what came of a soak.
type Report struct {
	Seed     uint64
	Dir      string
	Daemons  int
	Duration time.Duration
	Requests int
	// Served, Refused (truly not run), Failed, Broken (no complete answer) and
	// Left (the caller gave up) add up to Requests.
	Served, Refused, Failed, Broken, Left int
	// Paused are the runs of streams at sound replicas that were silent for long.
	Paused int
	Faults []string
	// Violations are the promises that were broken.
	Violations []string
}

// Print writes the report for a person.
func (r Report) Print(w io.Writer) {
	verdict := "kept every promise"
	if len(r.Violations) > 0 {
		verdict = fmt.Sprintf("BROKE %d PROMISES", len(r.Violations))
	}
	fmt.Fprintf(w, "seed %d: %d daemons for %s under %d faults: %s\n", r.Seed, r.Daemons, r.Duration, len(r.Faults), verdict)
	fmt.Fprintf(w, "  %d requests: %d served, %d refused, %d failed, %d broken off, %d left by their callers; %d streams paused\n",
		r.Requests, r.Served, r.Refused, r.Failed, r.Broken, r.Left, r.Paused)
	const shown = 20
	for i, v := range r.Violations {
		if i == shown {
			fmt.Fprintf(w, "  and %d more\n", len(r.Violations)-shown)
			break
		}
		fmt.Fprintf(w, "  broken: %s\n", v)
	}
	if len(r.Violations) == 0 {
		return
	}
	fmt.Fprintf(w, "  logs and settings: %s\n  faults:\n", r.Dir)
	for _, f := range r.Faults {
		fmt.Fprintf(w, "  %s\n", f)
	}
}
