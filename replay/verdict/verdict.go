// Package verdict evaluates a report against required outcomes.
package verdict

import (
	"errors"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"

	"github.com/wheatseam/wheatseam/replay/report"
)

// Outcomes are the requirements on a run; see docs/REPLAY.md.
type Outcomes struct {
	// Trace is the name of the trace that the outcomes apply to; empty for any.
	Trace    string    `yaml:"trace"`
	Outcomes []Outcome `yaml:"outcomes"`
}

// Outcome requires a metric to be at least Min and at most Max. At least one of the two
// must be set.
type Outcome struct {
	Metric Metric `yaml:"metric"`
	// Pipeline or Customer restricts a metric of requests; only one may be set.
	Pipeline string `yaml:"pipeline,omitempty"`
	Customer string `yaml:"customer,omitempty"`
	// Stage restricts a metric of cost; empty means the sum of all stages.
	Stage string `yaml:"stage,omitempty"`
	// Kind restricts the metric violations to one kind (lost, doubled,
	// misdelivered, untrue_not_run).
	Kind string `yaml:"kind,omitempty"`
	// From (inclusive) and To (exclusive; 0 for the end of the run) restrict
	// windowed_attainment to requests due in these seconds of the run.
	From int      `yaml:"from_s,omitempty"`
	To   int      `yaml:"to_s,omitempty"`
	Min  *float64 `yaml:"min,omitempty"`
	Max  *float64 `yaml:"max,omitempty"`
}

// OutcomeResult is the evaluation of one outcome.
type OutcomeResult struct {
	Outcome Outcome
	Value   float64
	// Err is the reason why there is no value; the outcome is then not met.
	Err error
	Met bool
}

// Verdict is the evaluation of a report.
type Verdict struct {
	// InvalidReasons lists the reasons why the run cannot be evaluated; empty if
	// it can.
	InvalidReasons []string
	Results        []OutcomeResult
}

// Parse decodes outcomes from YAML and validates them. Its error joins all invalid
// outcomes.
func Parse(text []byte) (*Outcomes, error) {
	var o Outcomes
	if err := yaml.UnmarshalWithOptions(text, &o, yaml.Strict()); err != nil {
		return nil, err
	}
	var errs []error
	if len(o.Outcomes) == 0 {
		errs = append(errs, errors.New("no outcomes are set"))
	}
	for i, one := range o.Outcomes {
		if err := one.validate(); err != nil {
			errs = append(errs, fmt.Errorf("outcomes[%d]: %w", i, err))
		}
	}
	return &o, errors.Join(errs...)
}

func (o Outcome) validate() error {
	m, ok := metrics[o.Metric]
	switch {
	case !ok:
		return fmt.Errorf("unknown metric %q", o.Metric)
	case o.Min == nil && o.Max == nil:
		return errors.New("neither min nor max is set")
	case o.Pipeline != "" && o.Customer != "":
		return errors.New("pipeline and customer are mutually exclusive")
	case (o.Pipeline != "" || o.Customer != "") && m.scope != scopeRequests:
		return fmt.Errorf("%s has no pipeline or customer", o.Metric)
	case o.Stage != "" && m.scope != scopeStages:
		return fmt.Errorf("%s has no stage", o.Metric)
	case o.Kind != "" && m.scope != scopeViolations:
		return fmt.Errorf("%s has no kind", o.Metric)
	case (o.From != 0 || o.To != 0) != (m.scope == scopeWindow):
		return fmt.Errorf("from_s and to_s are required for %s and not allowed otherwise", WindowedAttainment)
	default:
		return nil
	}
}

// Evaluate evaluates r against the outcomes.
func (o *Outcomes) Evaluate(r *report.Report) Verdict {
	var v Verdict
	if o.Trace != "" && o.Trace != r.Trace {
		v.InvalidReasons = append(v.InvalidReasons, fmt.Sprintf("the outcomes are for trace %s, not %s", o.Trace, r.Trace))
	}
	if r.NotSent > 0 {
		v.InvalidReasons = append(v.InvalidReasons, fmt.Sprintf("%d requests could not be sent", r.NotSent))
	}
	for _, f := range r.Faults {
		if f.Error != "" {
			v.InvalidReasons = append(v.InvalidReasons, fmt.Sprintf("the fault at %d ms was not injected: %s", f.AtMS, f.Error))
		}
	}
	for _, outcome := range o.Outcomes {
		v.Results = append(v.Results, outcome.evaluate(r))
	}
	return v
}

func (o Outcome) evaluate(r *report.Report) OutcomeResult {
	value, err := metrics[o.Metric].value(r, o)
	met := err == nil && (o.Min == nil || value >= *o.Min) && (o.Max == nil || value <= *o.Max)
	return OutcomeResult{Outcome: o, Value: value, Err: err, Met: met}
}

// Met reports whether the run is valid and every outcome is met.
func (v Verdict) Met() bool {
	for _, result := range v.Results {
		if !result.Met {
			return false
		}
	}
	return len(v.InvalidReasons) == 0
}

// Write writes the verdict as human-readable text.
func (v Verdict) Write(w io.Writer) error {
	for _, reason := range v.InvalidReasons {
		fmt.Fprintf(w, "void: %s\n", reason)
	}
	for _, result := range v.Results {
		fmt.Fprintln(w, result)
	}
	conclusion := "met"
	if !v.Met() {
		conclusion = "NOT MET"
	}
	_, err := fmt.Fprintf(w, "verdict: %s\n", conclusion)
	return err
}

// String implements fmt.Stringer.
func (r OutcomeResult) String() string {
	status := "ok  "
	if !r.Met {
		status = "FAIL"
	}
	text := fmt.Sprintf("%s %s%s", status, r.Outcome.Metric, r.Outcome.selector())
	if r.Err != nil {
		return fmt.Sprintf("%s: %v", text, r.Err)
	}
	text += fmt.Sprintf(" = %.6g", r.Value)
	if r.Outcome.Min != nil {
		text += fmt.Sprintf(", min %g", *r.Outcome.Min)
	}
	if r.Outcome.Max != nil {
		text += fmt.Sprintf(", max %g", *r.Outcome.Max)
	}
	return text
}

func (o Outcome) selector() string {
	for _, s := range []struct{ name, value string }{
		{"pipeline", o.Pipeline}, {"customer", o.Customer}, {"stage", o.Stage}, {"kind", o.Kind},
	} {
		if s.value != "" {
			return fmt.Sprintf("{%s=%s}", s.name, s.value)
		}
	}
	if o.Metric == WindowedAttainment {
		return fmt.Sprintf("{%d s to %d s}", o.From, o.To)
	}
	return ""
}
