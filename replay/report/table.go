package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/wheatseam/wheatseam/replay/audit"
)

// maxTableExamples limits the violations in the table; the JSON lists up to
// maxExamples.
const maxTableExamples = 10

// WriteTable writes r as a human-readable table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s: trace %s, seed %d, speed %g, %.1f s, goodput %.2f/s, send lag p99 %.1f ms\n\n",
		r.Label, r.Trace, r.Seed, r.Speed, r.SpanSeconds, r.Goodput, r.SendLag.P99)
	r.writeGroups(t)
	r.writeRefusals(t)
	r.writeStages(t)
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeViolations(w)
}

func (r *Report) writeGroups(w io.Writer) {
	fmt.Fprintln(w, "requests\tattained\tof\tshare\tlate\trefused\tunanswered\tp50 ms\tp90\tp95\tp99\tmax\ttoken 1 p50\tp99\tbetween p50\tp99\t")
	writeGroup(w, "all", r.All)
	for _, name := range slices.Sorted(maps.Keys(r.Pipelines)) {
		writeGroup(w, "pipeline "+name, r.Pipelines[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Customers)) {
		writeGroup(w, "customer "+name, r.Customers[name])
	}
	fmt.Fprintln(w, "\t")
}

func writeGroup(w io.Writer, name string, g Group) {
	l, f, b := g.Latency, g.FirstToken, g.BetweenTokens
	fmt.Fprintf(w, "%s\t%d\t%d\t%.2f%%\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
		name, g.Attainment.Met, g.Attainment.Of, 100*g.Attainment.Share, g.Late, g.Refused, g.Unanswered,
		l.P50, l.P90, l.P95, l.P99, l.Max, f.P50, f.P99, b.P50, b.P99)
}

func (r *Report) writeRefusals(w io.Writer) {
	if len(r.Refusals) == 0 {
		return
	}
	fmt.Fprintln(w, "refusals\texecution\tcount\tafter p50 ms\tp99\t")
	for _, k := range r.Refusals {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%.1f\t\n", k.Kind, k.Execution, k.Count, k.After.P50, k.After.P99)
	}
	fmt.Fprintln(w, "\t")
}

func (r *Report) writeStages(w io.Writer) {
	fmt.Fprintln(w, "stage\tcalls\tengine s\ttokens\twasted\tretries s\thedges s\tlate s\tcancelled s\t")
	for _, c := range r.Stages {
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%d\t%.1f%%\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
			c.Stage, c.All.Calls, c.All.EngineSeconds, c.All.Tokens, 100*c.WastedShare,
			c.Retries.EngineSeconds, c.Hedges.EngineSeconds, c.Late.EngineSeconds, c.Cancelled.EngineSeconds)
	}
}

func (r *Report) writeViolations(w io.Writer) error {
	fmt.Fprintf(w, "\nviolations: %d", r.Violations.Total)
	for _, k := range audit.Kinds {
		fmt.Fprintf(w, ", %s %d", k, r.Violations.ByKind[k])
	}
	fmt.Fprintf(w, "; undelivered %d; not sent %d; skipped retries %d\n", r.Violations.Undelivered, r.NotSent, r.Skipped)
	for _, v := range r.Violations.Examples[:min(len(r.Violations.Examples), maxTableExamples)] {
		fmt.Fprintf(w, "  %s: %s %s: %s\n", v.Kind, v.Request, v.RequestID, v.Detail)
	}
	for _, f := range r.Faults {
		if f.Error != "" {
			fmt.Fprintf(w, "  fault at %d ms not injected: %s\n", f.AtMS, f.Error)
		}
	}
	_, err := fmt.Fprintln(w)
	return err
}
