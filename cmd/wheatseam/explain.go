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
		Short: "Print every decision about a request, in order",
		Long: "Print every decision about a request with the inputs that decided it. Any host\n" +
			"can be asked. With --log, log files are read instead, of gateways too. The exit\n" +
			"code is 1 when nothing is known of the request.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(logs) > 0 {
				return explainLogs(cmd.OutOrStdout(), format, args[0], logs)
			}
			var e operator.Explanation
			err := client.fetch(cmd.Context(), http.MethodGet, "/v1/explain/"+url.PathEscape(args[0]), &e)
			if err != nil {
				return notFound(cmd, err)
			}
			if format == formatTable {
				fmt.Fprintf(cmd.OutOrStdout(), "request %s at host %s\n", e.RequestID, e.Host)
			}
			header := []string{"AT", "STEP", "STAGE", "ATTEMPT", "OUTCOME", "INPUTS"}
			return format.write(cmd.OutOrStdout(), e, header, explainRows(e.Entries))
		},
	}
	client.addFlags(c)
	c.Flags().StringSliceVar(&logs, "log", nil, "log files of hosts to read, in place of asking one")
	addOutputFlag(c, &format)
	return c
}

// notFound turns the answer that there is none into errFound.
func notFound(cmd *cobra.Command, err error) error {
	refused, ok := err.(*operatorError)
	if !ok || refused.status != http.StatusNotFound {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), refused.message)
	return errFound
}

// explainRows has one row per entry, and below it one per weighed candidate.
func explainRows(entries []record.Entry) [][]string {
	var rows [][]string
	for _, e := range entries {
		attempt := "-"
		if e.Attempt > 0 {
			attempt = strconv.Itoa(e.Attempt)
		}
		rows = append(rows, []string{
			since(entries[0].At, e.At), string(e.Step), orDash(e.Stage), attempt, e.Outcome, fieldsText(e.Fields),
		})
		for _, c := range e.Candidates {
			rows = append(rows, []string{"", "", "", "", "  " + c.Upstream, candidateText(c)})
		}
	}
	return rows
}

// since writes the first entry's time in full and the others' distance to it.
func since(first, at time.Time) string {
	if at.Equal(first) {
		return at.UTC().Format("15:04:05.000")
	}
	return "+" + at.Sub(first).Round(10*time.Microsecond).String()
}

func fieldsText(fields []record.Field) string {
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

func candidateText(c record.Candidate) string {
	if c.RefusalReason != "" {
		return "refused: " + c.RefusalReason
	}
	return "score " + strconv.FormatFloat(c.Score, 'g', 4, 64)
}
