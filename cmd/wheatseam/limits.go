package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/core/capacity"
)

func newLimitsCommand() *cobra.Command {
	var file string
	var asJSON bool
	c := &cobra.Command{
		Use:   "limits",
		Short: "Calculate an upper bound on what a deployment can serve in time",
		Long: "Calculate an upper bound on the requests that a deployment can serve in time, by\n" +
			"second and by kind, and the constraint that binds. How to read the output is in\n" +
			"docs/CAPACITY.md, the method in docs/design/deployment-limits.md.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := readDeployment(file)
			if err != nil {
				return err
			}
			limits := capacity.Calculate(d)
			if asJSON {
				return writeJSON(cmd.OutOrStdout(), limits)
			}
			return writeLimits(cmd.OutOrStdout(), limits)
		},
	}
	c.Flags().StringVar(&file, "file", "", "YAML file that describes the deployment")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON instead of tables")
	must(c.MarkFlagRequired("file"))
	return c
}

func readDeployment(file string) (*capacity.Deployment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	d, err := capacity.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", file, err)
	}
	return d, nil
}

// writeLimits prints the assumptions, the whole period and a table of the seconds.
func writeLimits(out io.Writer, l *capacity.Limits) error {
	var text strings.Builder
	for _, a := range l.Assumptions {
		fmt.Fprintln(&text, a)
	}
	fmt.Fprintf(&text, "\nPeriod %d s, resolution %d ms. Worth offered %.4g, served in time at most %.4g: %.3f\n",
		l.PeriodSeconds, l.StepMs, l.Worth.Offered, l.Worth.AtMost, l.Worth.Share)
	if len(l.Impossible) > 0 {
		fmt.Fprintf(&text, "Requests of these kinds miss their objective on an idle deployment: %s\n", strings.Join(l.Impossible, ", "))
	}
	if !l.Exact {
		fmt.Fprintln(&text, "The search was ended early: the bounds of the period hold, the values of its seconds are approximate.")
	}
	fmt.Fprintf(&text, "Binding: %s\n\n", bindingText(l.Whole.Binding))
	if _, err := io.WriteString(out, text.String()); err != nil {
		return err
	}
	if err := writeKinds(out, l.Whole.Kinds); err != nil {
		return err
	}
	if err := writeUsage(out, l); err != nil {
		return err
	}
	if err := writeDensest(out, l.Densest); err != nil {
		return err
	}
	return writeSeconds(out, l)
}

func bindingText(binding []capacity.Resource) string {
	if len(binding) == 0 {
		return "none"
	}
	var names []string
	for _, b := range binding {
		names = append(names, b.String())
	}
	return strings.Join(names, ", ")
}

func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }

func writeKinds(out io.Writer, kinds []capacity.KindLimit) error {
	table := newTable(out)
	fmt.Fprintln(table, "KIND\tREQUESTS\tSHARE ALONE\tSHARE IN BEST")
	for _, k := range kinds {
		fmt.Fprintf(table, "%s\t%.0f\t%.3f\t%.3f\n", k.Kind, k.Requests, k.ShareAlone, k.ShareInBest)
	}
	fmt.Fprintln(table)
	return table.Flush()
}

// writeUsage prints each constraint's usage over the period and in its busiest second.
func writeUsage(out io.Writer, l *capacity.Limits) error {
	table := newTable(out)
	fmt.Fprintln(table, "SERVICE\tCONSTRAINT\tUSAGE\tBUSIEST SECOND\tUSAGE THEN")
	for i, u := range l.Whole.Usage {
		busiest := 0
		for n, s := range l.Seconds {
			if s.Usage[i].Share > l.Seconds[busiest].Usage[i].Share {
				busiest = n
			}
		}
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%d\t%.3f\n", u.Service, u.Constraint, u.Share, busiest, l.Seconds[busiest].Usage[i].Share)
	}
	fmt.Fprintln(table)
	return table.Flush()
}

// writeDensest prints the interval of each constraint in which most of its work is due.
func writeDensest(out io.Writer, intervals []capacity.Dense) error {
	table := newTable(out)
	fmt.Fprintln(table, "SERVICE\tCONSTRAINT\tDENSEST FROM\tTO\tWORK DUE")
	for _, v := range intervals {
		fmt.Fprintf(table, "%s\t%s\t%.1f s\t%.1f s\t%.3f\n", v.Service, v.Constraint, float64(v.FromMs)/1000, float64(v.ToMs)/1000, v.Share)
	}
	fmt.Fprintln(table)
	return table.Flush()
}

// writeSeconds prints, for each second, the constraint with the highest usage, those that
// bind, and the share of each kind in the schedule of the highest worth.
func writeSeconds(out io.Writer, l *capacity.Limits) error {
	table := newTable(out)
	header := []string{"SECOND", "HIGHEST USAGE", "", "BINDING"}
	for _, k := range l.Whole.Kinds {
		header = append(header, strings.ToUpper(k.Kind))
	}
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, s := range l.Seconds {
		highest := s.Usage[0]
		for _, u := range s.Usage {
			if u.Share > highest.Share {
				highest = u
			}
		}
		fmt.Fprintf(table, "%d\t%s\t%.3f\t%s", s.Second, highest.Resource, highest.Share, bindingText(s.Binding))
		for _, k := range s.Kinds {
			fmt.Fprintf(table, "\t%.3f", k.ShareInBest)
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
