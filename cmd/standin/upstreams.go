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
	f.StringVar(&cfg.Model, "model", "", "model loaded at the start; empty serves any")
	f.StringVar(&cfg.Version, "model-version", "", "version of the model")
	f.StringSliceVar(&cfg.Adapters, "adapters", nil, "adapters loaded at the start")
	f.StringVar(&cfg.Role, "role", engine.Defaults.Role, "mixed, prefill or decode")
	f.IntVar(&cfg.Slots, "slots", engine.Defaults.Slots, "sequences in a batch")
	f.BoolVar(&cfg.Priority, "priority", false, "honour priorities in the queue")
	f.BoolVar(&cfg.NoCancellation, "no-cancellation", false, "finish sequences whose caller is gone")
	f.Float64Var(&cfg.TimeScale, "time-scale", 1, "factor on all service times")
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of everything random")
	engineFlags(f, &cfg)
	return cmd
}

// engineFlags adds the flags that a fleet does not take from its bundle.
func engineFlags(f *pflag.FlagSet, cfg *engine.Config) {
	d := engine.Defaults
	f.IntVar(&cfg.Queue, "engine-queue", d.Queue, "sequences that may wait at an engine")
	f.DurationVar(&cfg.StepBase, "step-base", d.StepBase, "time of a step of an empty batch")
	f.DurationVar(&cfg.StepPerSequence, "step-per-sequence", d.StepPerSequence, "time that each sequence adds to a step")
	f.DurationVar(&cfg.PrefillPerToken, "prefill-per-token", d.PrefillPerToken, "time that each prefilled token adds to a step")
	f.IntVar(&cfg.PrefillChunk, "prefill-chunk", d.PrefillChunk, "prompt tokens prefilled in one step at most")
	f.IntVar(&cfg.KVBlocks, "kv-blocks", d.KVBlocks, "memory in blocks of 16 tokens")
	f.IntVar(&cfg.OutputMedian, "output-median", d.OutputMedian, "median tokens of an answer")
	f.Float64Var(&cfg.OutputSigma, "output-sigma", 0.5, "standard deviation of the logarithm of an answer's tokens")
	f.DurationVar(&cfg.LoadLag, "engine-load-lag", d.LoadLag, "how far engines' load reports lag")
	f.DurationVar(&cfg.EventLag, "event-lag", d.EventLag, "how far cache events lag")
	f.Float64Var(&cfg.EventLossRatio, "event-gap", 0, "share of cache events that are never published")
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
	f.IntVar(&cfg.Slots, "slots", service.DefaultSlots, "calls that run at a time")
	f.BoolVar(&cfg.Deduplicate, "deduplicate", false, "answer a repeated idempotency key from its execution")
	f.BoolVar(&cfg.NoStatusLookup, "no-status-lookup", false, "answer 404 to status look-ups")
	f.BoolVar(&cfg.Cancellation, "cancellation", false, "end an execution when its caller goes away")
	f.DurationVar(&cfg.Median, "median", service.DefaultMedian, "median service time")
	f.Float64Var(&cfg.TimeScale, "time-scale", 1, "factor on all service times")
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of everything random")
	serviceFlags(f, &cfg)
	return cmd
}

// serviceFlags adds the flags that a fleet does not take from its bundle.
func serviceFlags(f *pflag.FlagSet, cfg *service.Config) {
	f.IntVar(&cfg.Queue, "service-queue", 0, "calls that may wait at a service (0: 4 times its slots)")
	f.Float64Var(&cfg.Sigma, "service-sigma", 0.3, "standard deviation of the logarithm of the service time")
	f.DurationVar(&cfg.LoadLag, "service-load-lag", 0, "how far services' load reports lag")
}
