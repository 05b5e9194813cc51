// Package compare compares reports of paired runs: the same trace, replayed in
// alternation against several deployments, such as one for each policy.
//
// Runs are paired by their index. A difference counts as a change only if all paired
// differences have the same sign, that is, if their range does not contain zero.
// With fewer than MinPairs pairs, no conclusion is drawn.
package compare

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/wheatseam/wheatseam/replay/report"
	"github.com/wheatseam/wheatseam/replay/verdict"
)

// MinPairs is the smallest number of paired runs from which a change is concluded.
const MinPairs = 5

// comparedMetrics are the metrics of a comparison, in the order of its rows.
var comparedMetrics = []verdict.Metric{
	verdict.Attainment, verdict.Goodput, verdict.LatencyP50, verdict.LatencyP99, verdict.FirstTokenP50,
	verdict.RefusedShare, verdict.RefusalP50, verdict.RefusalP99,
	verdict.EngineSeconds, verdict.EngineSecondsPerAttained, verdict.WastedShare, verdict.ViolationCount,
}

// RunSet holds the runs of one deployment in chronological order.
type RunSet struct {
	Label   string
	Reports []*report.Report
}

// Spread is the median and the range of a set of values.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// Judgement is the conclusion from the paired differences.
type Judgement string

const (
	NoChange Judgement = "no change"
	Higher   Judgement = "higher"
	Lower    Judgement = "lower"
	// TooFew means that fewer than MinPairs pairs have values.
	TooFew Judgement = "too few pairs"
)

// Cell is one metric of one set.
type Cell struct {
	Label string `json:"label"`
	// Runs is the number of runs that have a value.
	Runs   int    `json:"runs"`
	Values Spread `json:"values"`
	// Difference is the spread of the paired differences from the first set.
	// Difference and Judgement are empty for the first set.
	Difference Spread    `json:"difference"`
	Judgement  Judgement `json:"judgement,omitempty"`
}

// Row is one metric for all sets.
type Row struct {
	Metric verdict.Metric `json:"metric"`
	Cells  []Cell         `json:"cells"`
}

// Comparison compares several sets of runs; the first set is the baseline.
type Comparison struct {
	Trace string  `json:"trace"`
	Speed float64 `json:"speed"`
	Rows  []Row   `json:"rows"`
}

// New compares sets. It fails unless there are at least two sets with the same number
// of runs, all of the same trace, seed and speed and all valid.
func New(sets []RunSet) (*Comparison, error) {
	if err := validate(sets); err != nil {
		return nil, err
	}
	first := sets[0].Reports[0]
	c := &Comparison{Trace: first.Trace, Speed: first.Speed}
	for _, m := range comparedMetrics {
		row := Row{Metric: m}
		base := values(sets[0], m)
		for i, s := range sets {
			row.Cells = append(row.Cells, newCell(s.Label, base, values(s, m), i == 0))
		}
		c.Rows = append(c.Rows, row)
	}
	return c, nil
}

func validate(sets []RunSet) error {
	if len(sets) < 2 {
		return errors.New("a comparison requires at least two sets of runs")
	}
	first := sets[0]
	for _, s := range sets {
		if len(s.Reports) == 0 || len(s.Reports) != len(first.Reports) {
			return fmt.Errorf("%s has %d runs, %s has %d: runs must be paired", first.Label, len(first.Reports), s.Label, len(s.Reports))
		}
		for _, r := range s.Reports {
			base := first.Reports[0]
			if r.Trace != base.Trace || r.Seed != base.Seed || r.Program != base.Program || r.Speed != base.Speed {
				return fmt.Errorf("a run of %s has another trace, seed or speed than those of %s", s.Label, first.Label)
			}
			if r.NotSent > 0 {
				return fmt.Errorf("a run of %s is invalid: %d requests were not sent", s.Label, r.NotSent)
			}
		}
	}
	return nil
}

// values returns the value of the metric for each run; NaN if a run has none.
func values(s RunSet, m verdict.Metric) []float64 {
	out := make([]float64, len(s.Reports))
	for i, r := range s.Reports {
		v, err := verdict.Outcome{Metric: m}.Value(r)
		if err != nil {
			v = math.NaN()
		}
		out[i] = v
	}
	return out
}

func newCell(label string, base, own []float64, first bool) Cell {
	measured := slices.DeleteFunc(slices.Clone(own), math.IsNaN)
	c := Cell{Label: label, Runs: len(measured), Values: newSpread(measured)}
	if first {
		return c
	}
	var differences []float64
	for i := range own {
		if d := own[i] - base[i]; !math.IsNaN(d) {
			differences = append(differences, d)
		}
	}
	c.Difference = newSpread(differences)
	c.Judgement = judge(differences)
	return c
}

func judge(differences []float64) Judgement {
	s := newSpread(differences)
	switch {
	case len(differences) < MinPairs:
		return TooFew
	case s.Min > 0:
		return Higher
	case s.Max < 0:
		return Lower
	default:
		return NoChange
	}
}

func newSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return Spread{Median: median, Min: sorted[0], Max: sorted[len(sorted)-1]}
}

// WriteTable writes c as a human-readable table.
func (c *Comparison) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "trace %s, speed %g; median [min, max]; differences to the first, pair by pair\n", c.Trace, c.Speed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range c.Rows {
		for _, cell := range r.Cells {
			if cell.Runs == 0 {
				fmt.Fprintf(t, "%s\t%s\tnot measured\t\t\n", r.Metric, cell.Label)
				continue
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", r.Metric, cell.Label, cell.Values, cell.difference(), cell.Judgement)
		}
	}
	return t.Flush()
}

func (c Cell) difference() string {
	if c.Judgement == "" {
		return ""
	}
	return c.Difference.String()
}

// String implements fmt.Stringer.
func (s Spread) String() string { return fmt.Sprintf("%.4g [%.4g, %.4g]", s.Median, s.Min, s.Max) }
