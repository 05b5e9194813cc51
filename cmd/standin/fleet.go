package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/internal/standin/fleet"
)

func newFleetCommand() *cobra.Command {
	var cfg fleet.Config
	var bundleFile, control string
	var medians map[string]string
	var scale float64
	var seed uint64
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Serve all upstreams of a bundle on their addresses in one process",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			b, err := readBundle(bundleFile)
			if err != nil {
				return err
			}
			cfg.Bundle = b
			cfg.Engine.TimeScale, cfg.Service.TimeScale = scale, scale
			cfg.Engine.Seed, cfg.Service.Seed = seed, seed
			if cfg.Medians, err = parseMedians(medians); err != nil {
				return err
			}
			f := fleet.New(cfg)
			defer f.Close()
			return f.Serve(cmd.Context(), control, cmd.OutOrStdout())
		},
	}
	f := cmd.Flags()
	f.StringVar(&bundleFile, "bundle", "", "bundle file, unsigned YAML")
	f.StringVar(&control, "control", "127.0.0.1:0", "ip:port of the control listener")
	f.StringToStringVar(&medians, "medians", nil, "pool=duration: median service times (default: the expected durations of the stages)")
	f.Float64Var(&scale, "time-scale", 1, "factor applied to all service times")
	f.Uint64Var(&seed, "seed", 1, "random seed")
	engineFlags(f, &cfg.Engine)
	serviceFlags(f, &cfg.Service)
	_ = cmd.MarkFlagRequired("bundle")
	return cmd
}

func readBundle(file string) (*bundle.Bundle, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read bundle: %w", err)
	}
	b, err := bundle.Parse(body)
	if err != nil {
		return nil, fmt.Errorf("parse bundle: %w", err)
	}
	return b, nil
}

func parseMedians(in map[string]string) (map[string]time.Duration, error) {
	out := make(map[string]time.Duration, len(in))
	for pool, text := range in {
		d, err := time.ParseDuration(text)
		if err != nil {
			return nil, fmt.Errorf("median of pool %s: %w", pool, err)
		}
		out[pool] = d
	}
	return out, nil
}
