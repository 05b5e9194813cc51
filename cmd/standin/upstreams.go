package main

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wheatseam/wheatseam/internal/standin/engine"
	"github.com/wheatseam/wheatseam/internal/standin/service"
)

func newEngineCommand() *cobra.Command {
	var cfg engine.Config
	var listen string
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Serve one model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, listen, engine.New(cfg))
		},
	}
	f := cmd.Flags()
	listenFlag(cmd, &listen)
	f.StringVar(&cfg.Name, "name", "", "name of the replica")
	f.StringVar(&cfg.Model, "model", "", "model loaded at startup; empty serves any model")
	f.StringVar(&cfg.Version, "model-version", "", "version of the model")
	f.StringSliceVar(&cfg.Adapters, "adapters", nil, "adapters loaded at startup")
	f.StringVar(&cfg.Role, "role", engine.Defaults.Role, "mixed, prefill or decode")
	f.IntVar(&cfg.Slots, "slots", engine.Defaults.Slots, "maximum number of sequences in a batch")
	f.BoolVar(&cfg.Priority, "priority", false, "order the queue by priority")
	f.BoolVar(&cfg.NoCancellation, "no-cancellation", false, "finish sequences whose caller has disconnected")
	f.Float64Var(&cfg.TimeScale, "time-scale", 1, "factor applied to all service times")
	f.Uint64Var(&cfg.Seed, "seed", 1, "random seed")
	engineFlags(f, &cfg)
	return cmd
}

// engineFlags adds the engine flags whose values a fleet cannot take from its bundle.
func engineFlags(f *pflag.FlagSet, cfg *engine.Config) {
	d := engine.Defaults
	f.IntVar(&cfg.Queue, "engine-queue", d.Queue, "maximum number of sequences queued at an engine")
	f.DurationVar(&cfg.StepBase, "step-base", d.StepBase, "duration of a step of an empty batch")
	f.DurationVar(&cfg.StepPerSequence, "step-per-sequence", d.StepPerSequence, "time that each sequence adds to a step")
	f.DurationVar(&cfg.PrefillPerToken, "prefill-per-token", d.PrefillPerToken, "time that each prefilled token adds to a step")
	f.IntVar(&cfg.PrefillChunk, "prefill-chunk", d.PrefillChunk, "maximum number of prompt tokens prefilled in one step")
	f.IntVar(&cfg.KVBlocks, "kv-blocks", d.KVBlocks, "KV cache size in blocks of 16 tokens")
	f.IntVar(&cfg.OutputMedian, "output-median", d.OutputMedian, "median number of output tokens")
	f.Float64Var(&cfg.OutputSigma, "output-sigma", 0.5, "standard deviation of the logarithm of the number of output tokens")
	f.DurationVar(&cfg.LoadLag, "engine-load-lag", d.LoadLag, "delay of engines' load reports")
	f.DurationVar(&cfg.EventLag, "event-lag", d.EventLag, "delay of cache events")
	f.Float64Var(&cfg.EventLossRatio, "event-gap", 0, "fraction of cache events that are never published")
}

func newServiceCommand() *cobra.Command {
	var cfg service.Config
	var listen string
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Serve one plain service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, listen, service.New(cfg))
		},
	}
	f := cmd.Flags()
	listenFlag(cmd, &listen)
	f.StringVar(&cfg.Name, "name", "", "name of the replica")
	f.IntVar(&cfg.Slots, "slots", service.DefaultSlots, "maximum number of concurrent calls")
	f.BoolVar(&cfg.Deduplicate, "deduplicate", false, "answer a repeated idempotency key with the result of its first execution")
	f.BoolVar(&cfg.NoStatusLookup, "no-status-lookup", false, "answer 404 to status lookups")
	f.BoolVar(&cfg.Cancellation, "cancellation", false, "cancel an execution when its caller disconnects")
	f.DurationVar(&cfg.Median, "median", service.DefaultMedian, "median service time")
	f.Float64Var(&cfg.TimeScale, "time-scale", 1, "factor applied to all service times")
	f.Uint64Var(&cfg.Seed, "seed", 1, "random seed")
	serviceFlags(f, &cfg)
	return cmd
}

// serviceFlags adds the service flags whose values a fleet cannot take from its
// bundle.
func serviceFlags(f *pflag.FlagSet, cfg *service.Config) {
	f.IntVar(&cfg.Queue, "service-queue", 0, "maximum number of calls queued at a service (0: 4 times its slots)")
	f.Float64Var(&cfg.Sigma, "service-sigma", 0.3, "standard deviation of the logarithm of the service time")
	f.DurationVar(&cfg.LoadLag, "service-load-lag", 0, "delay of services' load reports")
}
