package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/replay/scenario"
	"github.com/wheatseam/wheatseam/replay/trace"
)

func newTraceCommand() *cobra.Command {
	c := &cobra.Command{Use: "trace", Short: "Generate and check traces for replay"}
	c.AddCommand(newTraceMakeCommand(), newTraceCheckCommand())
	return c
}

func newTraceMakeCommand() *cobra.Command {
	var o scenario.Options
	var bundleFile, out string
	c := &cobra.Command{
		Use:   "make SCENARIO",
		Short: "Generate a trace for a bundle; the same seed yields the same trace",
		Long:  "Generate a trace for a bundle; the same seed yields the same trace. Scenarios:\n\n" + scenarioList(),
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if o.Bundle, err = readBundleFile(bundleFile); err != nil {
				return err
			}
			t, err := scenario.Generate(args[0], o)
			if err != nil {
				return err
			}
			return writeTrace(cmd.OutOrStdout(), out, t)
		},
	}
	f := c.Flags()
	f.StringVar(&bundleFile, "bundle", "", "bundle file")
	f.Uint64Var(&o.Seed, "seed", 1, "random seed")
	f.Float64Var(&o.Load, "load", 1, "mean request rate as a multiple of the bundle's capacity")
	f.DurationVar(&o.Duration, "duration", time.Minute, "time from the first arrival to the last")
	f.Float64Var(&o.DeadlineFactor, "patience", scenario.DefaultDeadlineFactor, "deadlines as a multiple of the expected duration")
	f.StringVar(&out, "out", "", "output file; standard output if empty")
	_ = c.MarkFlagRequired("bundle")
	return c
}

func scenarioList() string {
	var b strings.Builder
	for _, s := range scenario.Scenarios {
		fmt.Fprintf(&b, "  %-18s%s\n", s.Name, s.Note)
	}
	return b.String()
}

func writeTrace(stdout io.Writer, file string, t *trace.Trace) error {
	if file == "" {
		return trace.Write(stdout, t)
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := trace.Write(f, t); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func newTraceCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a trace and report all errors with their lines",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := readTrace(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: %d requests and %d faults in %v, seed %d\n",
				t.Header.Name, len(t.Requests), len(t.Faults), t.Duration(), t.Header.Seed)
			return err
		},
	}
}
