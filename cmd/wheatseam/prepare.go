package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/replay/fleetfiles"
)

func newPrepareCommand() *cobra.Command {
	var cfg fleetfiles.Config
	var bundleFile, policy string
	c := &cobra.Command{
		Use:   "prepare",
		Short: "Write the files with which scripts/fleet.sh starts a fleet for measurements",
		Long: "Write the files with which scripts/fleet.sh starts a fleet on loopback: the bundle\n" +
			"with free ports and new API keys, signed with a new key, and the settings of every\n" +
			"entry host. The command starts no processes.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if cfg.Bundle, err = readBundleFile(bundleFile); err != nil {
				return err
			}
			cfg.Policy = bundle.Policy(policy)
			if err := fleetfiles.Write(cfg); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), cfg.Dir)
			return err
		},
	}
	f := c.Flags()
	f.StringVar(&bundleFile, "bundle", "", "bundle file")
	f.StringVar(&policy, "policy", "", "override the bundle's policy: adaptive, round_robin or least_requests")
	f.StringVar(&cfg.Dir, "out", "", "output directory")
	f.StringSliceVar(&cfg.StandInFlags, "standin-flags", nil, "additional flags of `standin fleet`, such as --time-scale,0.1")
	_ = c.MarkFlagRequired("bundle")
	_ = c.MarkFlagRequired("out")
	return c
}
