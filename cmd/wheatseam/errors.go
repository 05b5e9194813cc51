package main

import (
	"strconv"

	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/problem"
)

// errorRow is one row of `wheatseam errors -o json`.
type errorRow struct {
	Kind   problem.Kind `json:"kind"`
	Status int          `json:"status"`
	Retry  bool         `json:"retry"`
	Title  string       `json:"title"`
}

func newErrorsCommand() *cobra.Command {
	var format outputFormat
	c := &cobra.Command{
		Use:   "errors",
		Short: "Print the response for each error kind",
		Long: "Print every kind of error that a caller can receive, with the HTTP status and title\n" +
			"of the response, and whether a later retry may succeed.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			listed := make([]errorRow, 0, len(problem.Table))
			var rows [][]string
			for _, r := range problem.Table {
				listed = append(listed, errorRow{r.Kind, r.Status, r.Retryable, r.Title})
				rows = append(rows, []string{string(r.Kind), strconv.Itoa(r.Status), strconv.FormatBool(r.Retryable), r.Title})
			}
			return format.write(cmd.OutOrStdout(), listed, []string{"KIND", "STATUS", "RETRY", "TITLE"}, rows)
		},
	}
	addOutputFlag(c, &format)
	return c
}
