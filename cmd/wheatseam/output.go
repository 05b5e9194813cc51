package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// The output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// outputFormat is the value of the flag -o.
type outputFormat string

// String implements pflag.Value.
func (f *outputFormat) String() string { return string(*f) }

// Type implements pflag.Value.
func (f *outputFormat) Type() string { return "format" }

// Set implements pflag.Value.
func (f *outputFormat) Set(text string) error {
	if text != formatTable && text != formatJSON {
		return fmt.Errorf("must be %s or %s", formatTable, formatJSON)
	}
	*f = outputFormat(text)
	return nil
}

// addOutputFlag adds the flag -o to cmd. Its default is the table format.
func addOutputFlag(cmd *cobra.Command, f *outputFormat) {
	*f = formatTable
	cmd.Flags().VarP(f, "output", "o", "output format: table or json")
}

// write prints value as JSON, or header and rows as a table.
func (f *outputFormat) write(out io.Writer, value any, header []string, rows [][]string) error {
	if *f == formatJSON {
		return writeJSON(out, value)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
