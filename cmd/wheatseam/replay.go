package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/replay"
	"github.com/wheatseam/wheatseam/replay/audit"
	"github.com/wheatseam/wheatseam/replay/ledger"
	"github.com/wheatseam/wheatseam/replay/report"
	"github.com/wheatseam/wheatseam/replay/trace"
	"github.com/wheatseam/wheatseam/replay/verdict"
)

// replayOptions are the flags of `wheatseam replay`.
type replayOptions struct {
	trace, keys, bundle, outcomes, json, label string

	callers           []string
	control           []string
	seed              uint64
	speed             float64
	ledgerIdleTimeout time.Duration
	config            replay.Config
}

func newReplayCommand() *cobra.Command {
	var o replayOptions
	c := &cobra.Command{
		Use:   "replay",
		Short: "Replay a trace against a running fleet and evaluate the results",
		Long: "Replay a recorded trace against a running fleet of entry hosts, open-loop, and\n" +
			"compare the callers' responses with the stand-ins' ledgers, which are cleared\n" +
			"first. The formats are in docs/REPLAY.md. The exit code is 1 if the outcomes of\n" +
			"--outcomes are not met.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd.Context(), cmd.OutOrStdout()) },
	}
	f := c.Flags()
	f.StringVar(&o.trace, "trace", "", "trace file in JSON Lines format")
	f.StringVar(&o.keys, "keys", "", "YAML file with the customers' API keys")
	f.StringSliceVar(&o.callers, "callers", nil, "callers' addresses of the entry hosts, ip:port")
	f.StringSliceVar(&o.control, "control", nil, "control addresses of stand-in fleets; default: the upstreams of --bundle")
	f.StringVar(&o.bundle, "bundle", "", "file of the active bundle, for its stages and upstreams")
	f.StringVar(&o.outcomes, "outcomes", "", "YAML file with the required outcomes")
	f.StringVar(&o.json, "json", "", "write the report as JSON to this file")
	f.StringVar(&o.label, "label", "run", "name of the measured variant, such as the policy")
	f.Uint64Var(&o.seed, "seed", 1, "random seed for the choice of hosts")
	f.Float64Var(&o.speed, "speed", 1, "divisor of the offsets in the trace; deadlines do not change")
	f.DurationVar(&o.config.GracePeriod, "grace", replay.DefaultGracePeriod, "time after its deadline during which a response is still accepted")
	f.IntVar(&o.config.MaxInFlight, "max-in-flight", replay.DefaultMaxInFlight, "maximum number of requests in flight")
	f.DurationVar(&o.config.MaxDuration, "max-duration", replay.DefaultMaxDuration, "maximum time during which requests are sent")
	f.DurationVar(&o.ledgerIdleTimeout, "settle", 5*time.Second, "maximum time to wait for executions still running at the end")
	for _, name := range []string{"trace", "keys", "callers"} {
		_ = c.MarkFlagRequired(name)
	}
	c.AddCommand(newCompareCommand(), newPrepareCommand())
	return c
}

// replayInput is the parsed content of the files named by the options.
type replayInput struct {
	trace     *trace.Trace
	keys      map[string]string
	outcomes  *verdict.Outcomes
	pipelines []bundle.Pipeline
	standIns  []standIn
}

func (o *replayOptions) run(ctx context.Context, out io.Writer) error {
	client := replay.NewClient()
	in, err := o.readInput(ctx, client)
	if err != nil {
		return err
	}
	reader := &ledger.Reader{Client: client, Upstreams: o.ledgerSources(in.standIns)}
	if err := reader.Clear(ctx); err != nil {
		return err
	}
	cfg := o.config
	cfg.Hosts, cfg.Keys, cfg.Seed, cfg.Speed, cfg.Client = o.callers, in.keys, o.seed, o.speed, client
	cfg.StandIns = addressesByPool(in.standIns)
	result, err := replay.Run(ctx, cfg, in.trace)
	// Faults are cleared even if the run failed or was cancelled, so that none
	// remain in the stand-ins.
	clearErr := clearFaults(context.WithoutCancel(ctx), client, in)
	if err = errors.Join(err, clearErr); err != nil {
		return err
	}
	entries, err := reader.WaitUntilIdle(ctx, o.ledgerIdleTimeout)
	if err != nil {
		return err
	}
	r := report.New(o.label, o.speed, result, entries, audit.Audit(result.Calls, entries, in.pipelines))
	return o.writeResults(out, r, in.outcomes)
}

func (o *replayOptions) writeResults(out io.Writer, r *report.Report, outcomes *verdict.Outcomes) error {
	if err := r.WriteTable(out); err != nil {
		return err
	}
	if o.json != "" {
		if err := writeJSONFile(o.json, r); err != nil {
			return err
		}
	}
	if outcomes == nil {
		return nil
	}
	v := outcomes.Evaluate(r)
	if err := v.Write(out); err != nil {
		return err
	}
	if !v.Met() {
		return errNegativeResult
	}
	return nil
}

func (o *replayOptions) readInput(ctx context.Context, client *http.Client) (*replayInput, error) {
	var in replayInput
	var err error
	if in.trace, err = readTrace(o.trace); err != nil {
		return nil, err
	}
	if in.keys, err = readKeys(o.keys); err != nil {
		return nil, err
	}
	if o.outcomes != "" {
		if in.outcomes, err = readOutcomes(o.outcomes); err != nil {
			return nil, err
		}
	}
	if o.bundle != "" {
		b, err := readBundleFile(o.bundle)
		if err != nil {
			return nil, err
		}
		in.pipelines = b.Pipelines
		in.standIns = listBundleUpstreams(b)
	}
	if len(o.control) > 0 {
		if in.standIns, err = discoverStandIns(ctx, client, o.control); err != nil {
			return nil, err
		}
	}
	if len(in.standIns) == 0 {
		return nil, errors.New("--control or --bundle is required: the stand-ins' ledgers are needed to evaluate the run")
	}
	return &in, nil
}

func readTrace(file string) (*trace.Trace, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t, err := trace.Parse(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return t, nil
}

// readKeys reads a YAML file of the form `keys: {customer: API key}`.
func readKeys(file string) (map[string]string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var keys struct {
		Keys map[string]string `yaml:"keys"`
	}
	if err := yaml.UnmarshalWithOptions(text, &keys, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return keys.Keys, nil
}

func readOutcomes(file string) (*verdict.Outcomes, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	o, err := verdict.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return o, nil
}

func readBundleFile(file string) (*bundle.Bundle, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	b, err := bundle.Parse(bundle.StripSignature(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return b, nil
}

func writeJSONFile(file string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}
