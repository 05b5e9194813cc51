package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/operator"
)

// pollInterval is the interval at which a waiting command queries a host again.
const pollInterval = 50 * time.Millisecond

// newOperatorCommands returns the commands that query an operators' listener.
func newOperatorCommands() []*cobra.Command {
	return []*cobra.Command{
		newHealthCommand(), newDumpCommand(), newExplainCommand(),
		newDrainCommand(), newMetricsCommand(), newBundleStatusCommand(),
	}
}

func newHealthCommand() *cobra.Command {
	var client operatorClient
	var format outputFormat
	var wait time.Duration
	c := &cobra.Command{
		Use:   "health",
		Short: "Print whether a host is ready",
		Long:  "Print a host's status. The exit code is 0 if it is ready and 1 if it is not.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			st, err := waitReady(cmd.Context(), &client, wait)
			if err != nil {
				return err
			}
			if err := writeStatuses(cmd, format, st, []operator.Status{st}); err != nil {
				return err
			}
			return negativeUnless(st.Ready)
		},
	}
	client.addFlags(c)
	addOutputFlag(c, &format)
	c.Flags().DurationVar(&wait, "wait", 0, "maximum time to wait until the host is ready")
	return c
}

// waitReady queries the status until the host is ready, it responds with an error or
// the wait time has passed. It returns the last response.
func waitReady(ctx context.Context, client *operatorClient, wait time.Duration) (operator.Status, error) {
	deadline := time.Now().Add(wait)
	for {
		var st operator.Status
		err := client.fetch(ctx, http.MethodGet, "/v1/status", &st)
		var response *operatorError
		if (err == nil && st.Ready) || errors.As(err, &response) || !time.Now().Before(deadline) {
			return st, err
		}
		time.Sleep(pollInterval)
	}
}

// negativeUnless returns errNegativeResult unless ok is true.
func negativeUnless(ok bool) error {
	if !ok {
		return errNegativeResult
	}
	return nil
}

func newBundleStatusCommand() *cobra.Command {
	var client operatorClient
	var format outputFormat
	c := &cobra.Command{
		Use:   "bundle-status",
		Short: "Print the active bundle of every host",
		Long: "Query one host for the status of all hosts. The exit code is 1 if their active\n" +
			"bundles differ or a host does not respond.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var statuses []operator.Status
			if err := client.fetch(cmd.Context(), http.MethodGet, "/v1/bundle", &statuses); err != nil {
				return err
			}
			if err := writeStatuses(cmd, format, statuses, statuses); err != nil {
				return err
			}
			return negativeUnless(sameBundle(statuses))
		},
	}
	client.addFlags(c)
	addOutputFlag(c, &format)
	return c
}

func sameBundle(statuses []operator.Status) bool {
	return !slices.ContainsFunc(statuses, func(s operator.Status) bool {
		return s.Error != "" || s.BundleVersion != statuses[0].BundleVersion || s.BundleDigest != statuses[0].BundleDigest
	})
}

func writeStatuses(cmd *cobra.Command, format outputFormat, value any, statuses []operator.Status) error {
	var rows [][]string
	for _, s := range statuses {
		since := "-"
		if !s.BundleSince.IsZero() {
			since = s.BundleSince.UTC().Format(time.RFC3339)
		}
		rows = append(rows, []string{
			s.Host, orDash(s.FailureDomain), hostState(s), strconv.FormatUint(s.BundleVersion, 10),
			orDash(truncate(s.BundleDigest, 12)), orDash(s.BundleSource), since,
			strconv.Itoa(s.RequestsInFlight), orDash(s.Reason + s.Error),
		})
	}
	header := []string{"HOST", "DOMAIN", "STATE", "BUNDLE", "DIGEST", "FROM", "SINCE", "IN FLIGHT", "WHY"}
	return format.write(cmd.OutOrStdout(), value, header, rows)
}

func hostState(s operator.Status) string {
	switch {
	case s.Error != "":
		return "unreachable"
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func truncate(s string, n int) string { return s[:min(n, len(s))] }

func newDrainCommand() *cobra.Command {
	var client operatorClient
	var format outputFormat
	var wait time.Duration
	c := &cobra.Command{
		Use:   "drain",
		Short: "Take a host out of service",
		Long: "Tell a host to accept no new requests, finish those in flight and exit, as with\n" +
			"SIGTERM. With --wait the command returns when the host has stopped; the exit code\n" +
			"is 1 if it has not stopped in time.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var st operator.Status
			if err := client.fetch(cmd.Context(), http.MethodPost, "/v1/drain", &st); err != nil {
				return err
			}
			if err := writeStatuses(cmd, format, st, []operator.Status{st}); err != nil {
				return err
			}
			return waitStopped(cmd.Context(), &client, wait)
		},
	}
	client.addFlags(c)
	addOutputFlag(c, &format)
	c.Flags().DurationVar(&wait, "wait", 0, "maximum time to wait until the host has stopped")
	return c
}

// waitStopped polls the listener until it no longer responds. With wait 0 it returns
// at once.
func waitStopped(ctx context.Context, client *operatorClient, wait time.Duration) error {
	if wait == 0 {
		return nil
	}
	for deadline := time.Now().Add(wait); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if _, _, err := client.do(ctx, http.MethodGet, "/healthz"); err != nil {
			return nil
		}
	}
	return errNegativeResult
}

func newMetricsCommand() *cobra.Command {
	var client operatorClient
	var format outputFormat
	var match string
	c := &cobra.Command{
		Use:   "metrics",
		Short: "Print a host's metrics",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			status, body, err := client.do(cmd.Context(), http.MethodGet, "/metrics")
			if err != nil {
				return err
			}
			if status != http.StatusOK {
				return newOperatorError(status, body)
			}
			values, rows := parseMetrics(string(body), match)
			return format.write(cmd.OutOrStdout(), values, []string{"SERIES", "VALUE"}, rows)
		},
	}
	client.addFlags(c)
	addOutputFlag(c, &format)
	c.Flags().StringVar(&match, "match", "", "print only series that contain this text")
	return c
}

// metricValue is one series of `wheatseam metrics -o json`.
type metricValue struct {
	Series string `json:"series"`
	// Value is the text returned by the host. It is a string because it may be
	// NaN, which a JSON number cannot represent.
	Value string `json:"value"`
}

// parseMetrics parses metrics in the Prometheus text format into series and values.
// It returns only the series that contain match.
func parseMetrics(text, match string) ([]metricValue, [][]string) {
	values := []metricValue{}
	var rows [][]string
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		i := strings.LastIndexByte(line, ' ')
		if i < 0 || strings.HasPrefix(line, "#") || !strings.Contains(line[:i], match) {
			continue
		}
		values = append(values, metricValue{Series: line[:i], Value: line[i+1:]})
		rows = append(rows, []string{line[:i], line[i+1:]})
	}
	return values, rows
}

func newDumpCommand() *cobra.Command {
	var client operatorClient
	var format outputFormat
	var host string
	c := &cobra.Command{
		Use:   "dump [SECTION]",
		Short: "Print a host's state",
		Long: "Print the state of a host: the active bundle, membership, load, limits, queues,\n" +
			"requests in flight, claims. Any host can be queried about any other.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			query := url.Values{}
			query.Set("host", host)
			if len(args) > 0 {
				query.Set("section", args[0])
			}
			var dump map[string]json.RawMessage
			if err := client.fetch(cmd.Context(), http.MethodGet, "/v1/dump?"+query.Encode(), &dump); err != nil {
				return err
			}
			if len(args) > 0 && len(dump) == 0 {
				return fmt.Errorf("no section is named %q", args[0])
			}
			rows, err := flatten(dump)
			if err != nil {
				return err
			}
			return format.write(cmd.OutOrStdout(), dump, []string{"PATH", "VALUE"}, rows)
		},
	}
	client.addFlags(c)
	addOutputFlag(c, &format)
	c.Flags().StringVar(&host, "host", "", "host whose state is printed; the queried host if empty")
	return c
}

// flatten converts a dump to rows of path and value, sorted by path.
func flatten(dump map[string]json.RawMessage) ([][]string, error) {
	var rows [][]string
	for _, section := range sortedKeys(dump) {
		var v any
		if err := json.Unmarshal(dump[section], &v); err != nil {
			return nil, fmt.Errorf("section %s: %w", section, err)
		}
		rows = appendValue(rows, section, v)
	}
	return rows, nil
}

func appendValue(rows [][]string, path string, v any) [][]string {
	switch v := v.(type) {
	case map[string]any:
		for _, k := range sortedKeys(v) {
			rows = appendValue(rows, path+"."+k, v[k])
		}
		return rows
	case []any:
		for i, e := range v {
			rows = appendValue(rows, fmt.Sprintf("%s[%d]", path, i), e)
		}
		return rows
	default:
		raw, _ := json.Marshal(v) // cannot fail: v was decoded from JSON
		return append(rows, []string{path, string(raw)})
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
