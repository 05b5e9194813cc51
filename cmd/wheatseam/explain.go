package main

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/operator"
	"github.com/wheatseam/wheatseam/record"
)

func newExplainCommand() *cobra.Command {
	var client operatorClient
	var format outputFormat
	var logs []string
	c := &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Print every decision about a request in order",
		Long: "Print every decision about a request with its inputs. Any host can be queried.\n" +
			"With --log, log files are read instead, including those of gateways. The exit\n" +
			"code is 1 if there is no record of the request.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(logs) > 0 {
				return explainLogs(cmd.OutOrStdout(), format, args[0], logs)
			}
			var e operator.Explanation
			err := client.fetch(cmd.Context(), http.MethodGet, "/v1/explain/"+url.PathEscape(args[0]), &e)
			if err != nil {
				return reportNotFound(cmd, err)
			}
			if format == formatTable {
				fmt.Fprintf(cmd.OutOrStdout(), "request %s at host %s\n", e.RequestID, e.Host)
			}
			header := []string{"AT", "STEP", "STAGE", "ATTEMPT", "OUTCOME", "INPUTS"}
			return format.write(cmd.OutOrStdout(), e, header, explainRows(e.Entries))
		},
	}
	client.addFlags(c)
	c.Flags().StringSliceVar(&logs, "log", nil, "log files of hosts to read instead of querying a host")
	addOutputFlag(c, &format)
	return c
}

// reportNotFound prints the message of a 404 response and returns errNegativeResult.
// It returns any other error unchanged.
func reportNotFound(cmd *cobra.Command, err error) error {
	response, ok := err.(*operatorError)
	if !ok || response.status != http.StatusNotFound {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), response.message)
	return errNegativeResult
}

// explainRows returns one row per entry, each followed by one row per candidate.
func explainRows(entries []record.Entry) [][]string {
	var rows [][]string
	for _, e := range entries {
		attempt := "-"
		if e.Attempt > 0 {
			attempt = strconv.Itoa(e.Attempt)
		}
		rows = append(rows, []string{
			formatOffset(entries[0].At, e.At), string(e.Step), orDash(e.Stage), attempt, e.Outcome, formatFields(e.Fields),
		})
		for _, c := range e.Candidates {
			rows = append(rows, []string{"", "", "", "", "  " + c.Upstream, formatCandidate(c)})
		}
	}
	return rows
}

// formatOffset formats the time of the first entry as a time of day, and that of the
// others as an offset from the first.
func formatOffset(first, at time.Time) string {
	if at.Equal(first) {
		return at.UTC().Format("15:04:05.000")
	}
	return "+" + at.Sub(first).Round(10*time.Microsecond).String()
}

func formatFields(fields []record.Field) string {
	var parts []string
	for _, f := range fields {
		value := f.Value
		if value == "" || strings.ContainsAny(value, " \t\n\"=") {
			value = strconv.Quote(value)
		}
		parts = append(parts, f.Key+"="+value)
	}
	return strings.Join(parts, " ")
}

func formatCandidate(c record.Candidate) string {
	if c.RefusalReason != "" {
		return "refused: " + c.RefusalReason
	}
	return "score " + strconv.FormatFloat(c.Score, 'g', 4, 64)
}
