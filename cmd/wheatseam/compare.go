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
		Short: "Set the reports of paired runs side by side",
		Long: "Set the JSON reports of paired runs side by side. The first label is the base;\n" +
			"the n-th reports of all labels are a pair. A difference within the spread of\n" +
			"the pairs is no change.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var sets []compare.RunSet
			for _, arg := range args {
				s, err := readSet(arg)
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

// readSet reads the reports of one argument.
func readSet(arg string) (compare.RunSet, error) {
	label, files, ok := strings.Cut(arg, "=")
	if !ok {
		return compare.RunSet{}, fmt.Errorf("%q is not of the form LABEL=FILE,FILE", arg)
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
