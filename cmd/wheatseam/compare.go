package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/replay/compare"
	"github.com/wheatseam/wheatseam/replay/report"
)

func newCompareCommand() *cobra.Command {
	var jsonFile string
	c := &cobra.Command{
		Use:   "compare LABEL=REPORT.json,... LABEL=REPORT.json,...",
		Short: "Compare the reports of paired runs",
		Long: "Compare the JSON reports of paired runs. The first label is the baseline; the n-th\n" +
			"reports of all labels form a pair. A difference within the spread of the pairs is\n" +
			"not reported as a change.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var sets []compare.RunSet
			for _, arg := range args {
				s, err := readReportSet(arg)
				if err != nil {
					return err
				}
				sets = append(sets, s)
			}
			comparison, err := compare.New(sets)
			if err != nil {
				return err
			}
			if jsonFile != "" {
				if err := writeJSONFile(jsonFile, comparison); err != nil {
					return err
				}
			}
			return comparison.WriteTable(cmd.OutOrStdout())
		},
	}
	c.Flags().StringVar(&jsonFile, "json", "", "write the comparison as JSON to this file")
	return c
}

// readReportSet reads the reports of one LABEL=FILE,FILE argument.
func readReportSet(arg string) (compare.RunSet, error) {
	label, files, ok := strings.Cut(arg, "=")
	if !ok {
		return compare.RunSet{}, fmt.Errorf("%q does not have the form LABEL=FILE,FILE", arg)
	}
	s := compare.RunSet{Label: label}
	for file := range strings.SplitSeq(files, ",") {
		text, err := os.ReadFile(file)
		if err != nil {
			return s, err
		}
		var r report.Report
		if err := json.Unmarshal(text, &r); err != nil {
			return s, fmt.Errorf("%s: %w", file, err)
		}
		s.Reports = append(s.Reports, &r)
	}
	return s, nil
}
