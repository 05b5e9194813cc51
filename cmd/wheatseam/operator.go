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

// pollEvery is how often a waiting command asks again.
const pollEvery = 50 * time.Millisecond

// newOperatorCommands returns the commands that ask an operators' listener.
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
		Short: "Say whether a host is ready",
		Long:  "Print a host's status. The exit code is 0 when it is ready and 1 when it is not.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			st, err := waitReady(cmd.Context(), &client, wait)
			if err != nil {
				return err
			}
			if err := writeStatuses(cmd, format, st, []operator.Status{st}); err != nil {
				return err
			}
			return foundUnless(st.Ready)
		},
	}
	client.addFlags(c)
	addOutputFlag(c, &format)
	c.Flags().DurationVar(&wait, "wait", 0, "wait this long for the host to be ready")
	return c
}

// waitReady asks for the status until the host is ready or wait is over; it
// returns the last answer.
func waitReady(ctx context.Context, client *operatorClient, wait time.Duration) (operator.Status, error) {
	limit := time.Now().Add(wait)
	for {
		var st operator.Status
		err := client.fetch(ctx, http.MethodGet, "/v1/status", &st)
		var refused *operatorError
		if (err == nil && st.Ready) || errors.As(err, &refused) || !time.Now().Before(limit) {
			return st, err
		}
		time.Sleep(pollEvery)
	}
}

// foundUnless returns errFound unless ok.
func foundUnless(ok bool) error {
	if !ok {
		return errFound
	}
	return nil
}

func newBundleStatusCommand() *cobra.Command {
	var client operatorClient
	var format outputFormat
	c := &cobra.Command{
		Use:   "bundle-status",
		Short: "Print which bundle is in force at every host",
		Long: "Ask one host for the status of all. The exit code is 1 when hosts differ in the\n" +
			"bundle in force or one does not answer.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var all []operator.Status
			if err := client.fetch(cmd.Context(), http.MethodGet, "/v1/bundle", &all); err != nil {
				return err
			}
			if err := writeStatuses(cmd, format, all, all); err != nil {
				return err
			}
			return foundUnless(sameBundle(all))
		},
	}
	client.addFlags(c)
	addOutputFlag(c, &format)
	return c
}

func sameBundle(all []operator.Status) bool {
	return !slices.ContainsFunc(all, func(s operator.Status) bool {
		return s.Error != "" || s.BundleVersion != all[0].BundleVersion || s.BundleDigest != all[0].BundleDigest
	})
}

func writeStatuses(cmd *cobra.Command, format outputFormat, value any, all []operator.Status) error {
	var rows [][]string
	for _, s := range all {
		since := "-"
		if !s.BundleSince.IsZero() {
			since = s.BundleSince.UTC().Format(time.RFC3339)
		}
		rows = append(rows, []string{
			s.Host, orDash(s.FailureDomain), stateOf(s), strconv.FormatUint(s.BundleVersion, 10),
			orDash(firstN(s.BundleDigest, 12)), orDash(s.BundleSource), since,
			strconv.Itoa(s.RequestsInFlight), orDash(s.Reason + s.Error),
		})
	}
	header := []string{"HOST", "DOMAIN", "STATE", "BUNDLE", "DIGEST", "FROM", "SINCE", "IN FLIGHT", "WHY"}
	return format.write(cmd.OutOrStdout(), value, header, rows)
}

func stateOf(s operator.Status) string {
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

func firstN(s string, n int) string { return s[:min(n, len(s))] }

func newDrainCommand() *cobra.Command {
	var client operatorClient
	var format outputFormat
	var wait time.Duration
	c := &cobra.Command{
		Use:   "drain",
		Short: "Take a host out of service",
		Long: "Tell a host to take no new requests, finish those in flight and exit, as SIGTERM\n" +
			"does. With --wait the command returns when the host is gone, and with exit code 1\n" +
			"when it is not gone in time.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var st operator.Status
			if err := client.fetch(cmd.Context(), http.MethodPost, "/v1/drain", &st); err != nil {
				return err
			}
			if err := writeStatuses(cmd, format, st, []operator.Status{st}); err != nil {
				return err
			}
			return waitGone(cmd.Context(), &client, wait)
		},
	}
	client.addFlags(c)
	addOutputFlag(c, &format)
	c.Flags().DurationVar(&wait, "wait", 0, "wait this long for the host to be gone")
	return c
}

// waitGone asks until the listener no longer answers; wait 0 does not ask.
func waitGone(ctx context.Context, client *operatorClient, wait time.Duration) error {
	if wait == 0 {
		return nil
	}
	for limit := time.Now().Add(wait); time.Now().Before(limit); time.Sleep(pollEvery) {
		if _, _, err := client.do(ctx, http.MethodGet, "/healthz"); err != nil {
			return nil
		}
	}
	return errFound
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
	c.Flags().StringVar(&match, "match", "", "print only series that contain this")
	return c
}

// metricValue is one series of `wheatseam metrics -o json`.
type metricValue struct {
	Series string `json:"series"`
	// Value is as the host wrote it: it may be NaN, which JSON numbers can't.
	Value string `json:"value"`
}

// parseMetrics splits lines in the Prometheus text form into series and value.
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
		Long: "Print the state of a host: the bundle in force, membership, load, limits, queues,\n" +
			"requests in flight, claims. Any host can be asked about any other.",
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
				return fmt.Errorf("there is no section %q", args[0])
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
	c.Flags().StringVar(&host, "host", "", "the host to be dumped, if not the one asked")
	return c
}

// flatten turns a dump into rows of path and value, sorted by path.
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
		raw, _ := json.Marshal(v) // was JSON before
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
